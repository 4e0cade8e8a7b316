// An explanation is written once as lines for people and once as values, from the
// same numbers.

#include "control/json_archive.h"
#include "daemon/operator_fields.h"
#include "route/workspace_shares.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>

namespace mimosahub
{

namespace
{

namespace json = boost::json;

json::object outcomeFields(const VersionOutcomes &outcomes)
{
    json::object fields;
    fields["finished"] = outcomes.finished;
    fields["failed"] = outcomes.failed;
    fields["slow"] = outcomes.slow;
    return fields;
}

std::string outcomeText(const VersionId &version, const VersionOutcomes &outcomes)
{
    return absl::StrCat(version.str(), " finished ", outcomes.finished, ", failed ", outcomes.failed, ", slow ",
                        outcomes.slow);
}

std::uint32_t leasedOf(const OperatorSources &sources, const EndpointId &endpoint)
{
    const auto it = sources.leasedSlots.find(endpoint);
    return it == sources.leasedSlots.end() ? 0 : it->second;
}

/// One explanation as it grows.
class Explanation
{
public:
    Explanation(const OperatorSources &sources, std::string_view kind, const std::string &name) : m_sources(sources)
    {
        json::object subject;
        subject["kind"] = kind;
        subject["name"] = name;
        m_body["subject"] = std::move(subject);
    }

    void line(std::string_view text)
    {
        json::object entry;
        entry["text"] = text;
        m_lines.push_back(std::move(entry));
    }
    void addZone(const ZoneId &zone, Duration ramp);
    void addEndpoint(const EndpointSummary &it);
    void addRollouts(const ServiceId &service);
    /// What is known now of the active \a rollout; \a entry takes the values.
    void addEvidence(const Rollout &rollout, const RolloutSummary &summary, json::object &entry);
    void addShare(const Service &service, const WorkspaceId &workspace);
    void addOrders(const EndpointId &endpoint);
    [[nodiscard]] json::object finish()
    {
        m_body["lines"] = std::move(m_lines);
        return std::move(m_body);
    }

private:
    void add(std::string_view list, json::object entry)
    {
        auto &value = m_body[{list.data(), list.size()}];
        if (!value.is_array()) {
            value.emplace_array();
        }
        value.get_array().push_back(std::move(entry));
    }

    const OperatorSources &m_sources;
    json::object m_body;
    json::array m_lines;
};

void Explanation::addZone(const ZoneId &zone, Duration ramp)
{
    const auto exclusion = m_sources.state.zonesOut().find(zone);
    const bool out = exclusion != m_sources.state.zonesOut().end();
    const double factor = out ? 0.0 : m_sources.zones.factor(zone, ramp, m_sources.now);
    const auto state = zoneStateName(m_sources.zones.state(zone));
    json::object entry;
    entry["zone"] = zone.str();
    entry["state"] = state;
    entry["factor"] = factor;
    auto text = absl::StrCat("zone ", zone.str(), ": ", std::string(state), ", gets ", std::lround(factor * 100),
                             "% of its share");
    if (out) {
        absl::StrAppend(&text, "; taken out by ", exclusion->second.operatorName, " at offset ",
                        exclusion->second.position.offset.value());
    }
    line(text);
    add("zones", std::move(entry));
}

void Explanation::addEndpoint(const EndpointSummary &it)
{
    const auto leased = leasedOf(m_sources, it.info.id);
    const auto &drained = m_sources.state.drainedEndpoints();
    const auto drain = drained.find(it.info.id);
    auto entry = endpointFields(it);
    entry["allowed"] = it.allowed;
    entry["leased"] = leased;
    entry["drained"] = drain != drained.end();
    entry["leaving"] = it.info.leaving;
    add("endpoints", std::move(entry));
    auto text = absl::StrCat("endpoint ", it.info.id.str(), " (", it.info.service.str(), " ", it.info.version.str(),
                             ", zone ", it.info.zone.str(), "): ", std::string(endpointStateName(it.state)), ", bears ",
                             it.limit, " calls over all daemons; this one may send ", it.allowed, " (leased ", leased,
                             ") and has ", it.inFlight, " open; ", it.failures, " failed");
    if (drain != drained.end()) {
        absl::StrAppend(&text, "; drained by ", drain->second.operatorName, " at offset ",
                        drain->second.position.offset.value());
    }
    if (it.info.leaving) {
        absl::StrAppend(&text, "; the platform is about to stop it");
    }
    line(text);
}

void Explanation::addEvidence(const Rollout &rollout, const RolloutSummary &summary, json::object &entry)
{
    addProgress(entry, summary);
    RouteOutcomes sum;
    json::array routes;
    std::vector<std::string> texts;
    for (const auto &[key, outcomes] : summary.outcomes) {
        json::object route;
        route["caller"] = key.caller;
        route["zone"] = key.zone.str();
        route["old"] = outcomeFields(outcomes.from);
        route["new"] = outcomeFields(outcomes.to);
        routes.push_back(std::move(route));
        sum += outcomes;
        texts.push_back(absl::StrCat("route ", key.str(), ": ", outcomeText(rollout.fromVersion, outcomes.from), "; ",
                                     outcomeText(rollout.toVersion, outcomes.to)));
    }
    entry["old"] = outcomeFields(sum.from);
    entry["new"] = outcomeFields(sum.to);
    entry["routes"] = std::move(routes);
    const auto detail = activeDetail(rollout, &summary, m_sources.wallNow);
    line(absl::StrCat("now ", std::string(rolloutStateName(summary.verdict.state)), " with ",
                      absl::StrFormat("%g", 100 * summary.verdict.share), "% for ", rollout.toVersion.str(),
                      detail.empty() ? "" : ": ", detail));
    line(absl::StrCat("outcomes over all daemons: ", outcomeText(rollout.fromVersion, sum.from), "; ",
                      outcomeText(rollout.toVersion, sum.to)));
    for (const auto &text : texts) {
        line(text);
    }
}

void Explanation::addRollouts(const ServiceId &service)
{
    const auto found = m_sources.state.rollouts().services().find(service);
    if (found == m_sources.state.rollouts().services().end()) {
        return;
    }
    const auto &latest = found->second.latest;
    auto text =
        absl::StrCat("rollout ", latest.fromVersion.str(), " to ", latest.toVersion.str(), " by ", latest.operatorName,
                     " at offset ", latest.position.offset.value(), ": ", std::string(enumName(latest.status)));
    json::object entry;
    entry["offset"] = latest.position.offset.value();
    entry["from"] = latest.fromVersion.str();
    entry["to"] = latest.toVersion.str();
    entry["status"] = enumName(latest.status);
    if (latest.reason) {
        entry["reason"] = enumName(*latest.reason);
        entry["detail"] = latest.evidence;
        absl::StrAppend(&text, " for ", std::string(enumName(*latest.reason)), ": ", latest.evidence);
    }
    line(text);
    if (const auto *summary = summaryOf(m_sources.rollouts, latest.position)) {
        addEvidence(latest, *summary, entry);
    }
    add("rollouts", std::move(entry));
    for (const auto &[version, position] : found->second.rolledBack) {
        line(absl::StrCat("version ", version.str(), " was taken back at offset ", position.offset.value()));
    }
}

void Explanation::addShare(const Service &service, const WorkspaceId &workspace)
{
    const auto load = loadOf(m_sources, service.id, workspace);
    const double share = shareOf(*m_sources.state.configuration(), service, workspace);
    const int capacity = capacityOf(m_sources, service.id);
    const int guaranteed = guaranteedCalls(capacity, share);
    json::object entry;
    entry["service"] = service.id.str();
    entry["workspace"] = workspace.str();
    entry["share"] = share;
    entry["guaranteed"] = guaranteed;
    entry["open"] = load.running;
    entry["queued"] = load.waiting;
    add("shares", std::move(entry));
    line(absl::StrCat("workspace ", workspace.str(), " in service ", service.id.str(), ": share ", share,
                      " by profile ", service.profile.str(), ", that is ", guaranteed, " of ", capacity,
                      " calls over all daemons; here ", load.running, " open, ", load.waiting, " queued"));
}

void Explanation::addOrders(const EndpointId &endpoint)
{
    for (const auto &[position, it] : m_sources.state.endpointOrders()) {
        if (it.order.endpoint != endpoint) {
            continue;
        }
        auto entry = endpointOrderFields(position, it);
        line(absl::StrCat("order ", std::string(enumName(it.order.action)), " ", it.order.argument, " at offset ",
                          position.offset.value(), ": ",
                          !it.done ? "pending" : (it.done->succeeded ? "done" : "failed: " + it.done->result)));
        add("orders", std::move(entry));
    }
}

Duration rampOf(const Configuration &configuration, const ServiceId &id)
{
    const auto service = configuration.services.find(id);
    return service == configuration.services.end() ? Duration(0) : configuration.zoneRamp(service->second);
}

} // namespace

std::optional<json::object> explainService(const OperatorSources &sources, const ServiceId &id)
{
    const auto configuration = sources.state.configuration();
    const auto service = configuration->services.find(id);
    if (service == configuration->services.end()) {
        return std::nullopt;
    }
    Explanation explanation(sources, "service", id.str());
    explanation.line(absl::StrCat("service ", id.str(), ": profile ", service->second.profile.str(), ", ",
                                  capacityOf(sources, id), " calls over all daemons"));
    explanation.addRollouts(id);
    for (const auto &[zone, it] : configuration->zones) {
        explanation.addZone(zone, rampOf(*configuration, id));
    }
    for (const auto &it : sources.endpoints) {
        if (it.info.service == id) {
            explanation.addEndpoint(it);
        }
    }
    for (const auto &[workspace, it] : configuration->workspaces) {
        explanation.addShare(service->second, workspace);
    }
    return explanation.finish();
}

std::optional<json::object> explainEndpoint(const OperatorSources &sources, const EndpointId &id)
{
    const auto it = std::find_if(sources.endpoints.begin(), sources.endpoints.end(),
                                 [&](const auto &endpoint) { return endpoint.info.id == id; });
    if (it == sources.endpoints.end()) {
        return std::nullopt;
    }
    Explanation explanation(sources, "endpoint", id.str());
    explanation.addEndpoint(*it);
    explanation.addZone(it->info.zone, rampOf(*sources.state.configuration(), it->info.service));
    explanation.addRollouts(it->info.service);
    explanation.addOrders(id);
    return explanation.finish();
}

std::optional<json::object> explainWorkspace(const OperatorSources &sources, const WorkspaceId &id)
{
    const auto configuration = sources.state.configuration();
    const auto workspace = configuration->workspaces.find(id);
    if (workspace == configuration->workspaces.end()) {
        return std::nullopt;
    }
    Explanation explanation(sources, "workspace", id.str());
    explanation.line(absl::StrCat("workspace ", id.str(), ": priority ", workspace->second.priority));
    for (const auto &[name, service] : configuration->services) {
        explanation.addShare(service, id);
    }
    return explanation.finish();
}

} // namespace mimosahub
