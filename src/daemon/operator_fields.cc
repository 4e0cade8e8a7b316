#include "daemon/operator_fields.h"

#include "control/json_archive.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace mimosahub
{

namespace json = boost::json;

std::int64_t toMillis(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

json::object orderFields(RecordPosition position, std::string_view operatorName, std::string_view order)
{
    json::object fields;
    fields["offset"] = position.offset.value();
    fields["operator"] = operatorName;
    fields["order"] = order;
    return fields;
}

json::object endpointOrderFields(RecordPosition position, const EndpointOrderState &it)
{
    auto fields = orderFields(position, it.order.operatorName, enumName(it.order.action));
    fields["endpoint"] = it.order.endpoint.str();
    fields["argument"] = it.order.argument;
    fields["state"] = "pending";
    if (it.done) {
        fields["state"] = it.done->succeeded ? "done" : "rejected";
        fields["detail"] = it.done->result;
        if (!it.done->succeeded) {
            fields["reason"] = "endpoint-failed";
        }
    }
    return fields;
}

json::object endpointFields(const EndpointSummary &it)
{
    json::object fields;
    fields["endpoint"] = it.info.id.str();
    fields["service"] = it.info.service.str();
    fields["zone"] = it.info.zone.str();
    fields["version"] = it.info.version.str();
    fields["state"] = endpointStateName(it.state);
    fields["open"] = it.inFlight;
    fields["limit"] = it.limit;
    fields["failed"] = it.failures;
    return fields;
}

const RolloutSummary *summaryOf(const std::vector<RolloutSummary> &rollouts, RecordPosition position)
{
    const auto it =
        std::find_if(rollouts.begin(), rollouts.end(), [&](const auto &item) { return item.position == position; });
    return it == rollouts.end() ? nullptr : &*it;
}

std::string lateness(const Rollout &rollout, const RolloutSummary *summary, WallTime wallNow)
{
    const bool known = summary != nullptr && summary->verdict.willMissDue;
    const bool explained = known && !summary->verdict.reason.empty();
    const auto because = explained ? absl::StrCat(", because it ", summary->verdict.reason) : std::string();
    if (wallNow >= rollout.due) {
        return "not done by its due time" + because;
    }
    return known ? "will miss its time" + because : std::string();
}

std::string activeDetail(const Rollout &rollout, const RolloutSummary *summary, WallTime wallNow)
{
    if (summary != nullptr && summary->verdict.state == RolloutState::RolledBack) {
        return "taken back here, not yet recorded: " + summary->verdict.reason;
    }
    auto late = lateness(rollout, summary, wallNow);
    if (!late.empty() || summary == nullptr) {
        return late;
    }
    return summary->verdict.reason;
}

void addProgress(json::object &fields, const RolloutSummary &summary)
{
    const auto &verdict = summary.verdict;
    fields["progress"] = rolloutStateName(verdict.state);
    fields["share"] = verdict.share;
    fields["will_miss"] = verdict.willMissDue;
    if (verdict.projectedDone) {
        fields["projected_done_ms"] = toMillis(*verdict.projectedDone);
    }
}

double shareOf(const Configuration &configuration, const Service &service, const WorkspaceId &workspace)
{
    const auto profile = configuration.profiles.find(service.profile);
    return profile == configuration.profiles.end() ? 0 : profile->second.shareOf(workspace);
}

int capacityOf(const OperatorSources &sources, const ServiceId &service)
{
    int capacity = 0;
    for (const auto &it : sources.endpoints) {
        capacity += it.info.service == service ? it.limit : 0;
    }
    return capacity;
}

WorkspaceLoad loadOf(const OperatorSources &sources, const ServiceId &service, const WorkspaceId &workspace)
{
    const auto it = sources.loads.find({service, workspace});
    return it == sources.loads.end() ? WorkspaceLoad() : it->second;
}

} // namespace mimosahub
