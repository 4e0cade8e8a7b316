// Each view is a plain function of values, so that two daemons with the same
// control state show the same orders; how far a rollout is and whether it will be
// late, each daemon tells from the sums that it knows.

#include "daemon/operator_views.h"

#include "control/json_archive.h"
#include "daemon/operator_fields.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace mimosahub
{

namespace
{

namespace json = boost::json;

struct OrderEntry {
    RecordPosition position;
    json::object fields;
};

/// The state of an order that lasts once it is in force.
std::string_view lastingState(RecordPosition position, const InForce &inForce)
{
    return inForce(position.offset) ? "in-force" : "pending";
}

void addTakeBack(json::object &fields, const Rollout &rollout)
{
    fields["state"] = "taken-back";
    if (rollout.reason) {
        fields["reason"] = enumName(*rollout.reason);
    }
    fields["detail"] = rollout.evidence;
}

json::object rolloutFields(const ServiceId &service, const Rollout &rollout, const InForce &inForce, WallTime wallNow,
                           const RolloutSummary *summary)
{
    auto fields = orderFields(rollout.position, rollout.operatorName, "rollout");
    fields["service"] = service.str();
    fields["from"] = rollout.fromVersion.str();
    fields["to"] = rollout.toVersion.str();
    fields["begin_ms"] = toMillis(rollout.begin);
    fields["due_ms"] = toMillis(rollout.due);
    switch (rollout.status) {
    case RolloutStatus::Active:
        fields["state"] = lastingState(rollout.position, inForce);
        if (summary != nullptr) {
            addProgress(fields, *summary);
        }
        if (const auto detail = activeDetail(rollout, summary, wallNow); !detail.empty()) {
            fields["detail"] = detail;
        }
        break;
    case RolloutStatus::Done:
        fields["state"] = "done";
        break;
    case RolloutStatus::Aborted:
        fields["state"] = "aborted";
        fields["detail"] =
            absl::StrCat("ended by an order to abort at offset ", rollout.ended ? rollout.ended->offset.value() : 0);
        break;
    case RolloutStatus::RolledBack:
        addTakeBack(fields, rollout);
        break;
    }
    return fields;
}

void addExclusions(std::vector<OrderEntry> &entries, const ControlState &state, const InForce &inForce)
{
    for (const auto &[zone, it] : state.zonesOut()) {
        auto fields = orderFields(it.position, it.operatorName, "zone-out");
        fields["zone"] = zone.str();
        fields["state"] = lastingState(it.position, inForce);
        entries.push_back({it.position, std::move(fields)});
    }
    for (const auto &[endpoint, it] : state.drainedEndpoints()) {
        auto fields = orderFields(it.position, it.operatorName, "drain");
        fields["endpoint"] = endpoint.str();
        fields["state"] = lastingState(it.position, inForce);
        entries.push_back({it.position, std::move(fields)});
    }
}

std::int64_t wholeMillis(double seconds)
{
    return std::llround(seconds * 1000);
}

/// The workspace's part over all pools: its shares and its calls at this daemon,
/// against the calls that all endpoints bear.
json::object workspaceFields(const OperatorSources &sources, const WorkspaceId &id)
{
    const auto configuration = sources.state.configuration();
    int running = 0;
    int waiting = 0;
    int capacity = 0;
    double shared = 0;
    for (const auto &[service, it] : configuration->services) {
        const auto load = loadOf(sources, service, id);
        const int calls = capacityOf(sources, service);
        running += load.running;
        waiting += load.waiting;
        capacity += calls;
        shared += shareOf(*configuration, it, id) * calls;
    }
    json::object fields;
    fields["workspace"] = id.str();
    fields["open"] = running;
    fields["queued"] = waiting;
    fields["share"] = capacity > 0 ? shared / capacity : 0.0;
    fields["used"] = capacity > 0 ? static_cast<double>(running) / capacity : 0.0;
    const auto found = sources.activity.find(id);
    const auto activity = found == sources.activity.end() ? WorkspaceActivity() : found->second;
    fields["requests"] = activity.requests;
    fields["refused"] = activity.refused;
    fields["p50_ms"] = wholeMillis(activity.p50);
    fields["p99_ms"] = wholeMillis(activity.p99);
    return fields;
}

} // namespace

json::object ordersView(const ControlState &state, const InForce &inForce, WallTime wallNow,
                        const std::vector<RolloutSummary> &rollouts)
{
    std::vector<OrderEntry> entries;
    addExclusions(entries, state, inForce);
    for (const auto &[service, it] : state.rollouts().services()) {
        const auto *summary = summaryOf(rollouts, it.latest.position);
        entries.push_back({it.latest.position, rolloutFields(service, it.latest, inForce, wallNow, summary)});
    }
    for (const auto &[position, it] : state.endpointOrders()) {
        entries.push_back({position, endpointOrderFields(position, it)});
    }
    std::sort(entries.begin(), entries.end(), [](const auto &a, const auto &b) { return a.position < b.position; });
    json::array orders;
    for (auto &entry : entries) {
        orders.push_back(std::move(entry.fields));
    }
    json::object body;
    body["applied"] = state.appliedOffset().value();
    body["orders"] = std::move(orders);
    return body;
}

json::array lateRollouts(const ControlState &state, WallTime wallNow, const std::vector<RolloutSummary> &rollouts)
{
    json::array result;
    for (const auto &[service, it] : state.rollouts().services()) {
        if (it.latest.status != RolloutStatus::Active) {
            continue;
        }
        const auto detail = lateness(it.latest, summaryOf(rollouts, it.latest.position), wallNow);
        if (detail.empty()) {
            continue;
        }
        json::object entry;
        entry["offset"] = it.latest.position.offset.value();
        entry["service"] = service.str();
        entry["to"] = it.latest.toVersion.str();
        entry["detail"] = detail;
        result.push_back(std::move(entry));
    }
    return result;
}

json::object topView(const OperatorSources &sources)
{
    json::array workspaces;
    for (const auto &[id, it] : sources.state.configuration()->workspaces) {
        workspaces.push_back(workspaceFields(sources, id));
    }
    json::array endpoints;
    for (const auto &it : sources.endpoints) {
        endpoints.push_back(endpointFields(it));
    }
    json::object body;
    body["instance"] = sources.instance.str();
    body["applied"] = sources.state.appliedOffset().value();
    body["workspaces"] = std::move(workspaces);
    body["endpoints"] = std::move(endpoints);
    return body;
}

} // namespace mimosahub
