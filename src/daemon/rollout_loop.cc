// Each daemon runs the gate of each rollout for itself, on sums that all of them
// exchange. Whoever finds the fault first stops sending at once and records the
// take-back; the record makes the others stop. Routes are told apart by caller
// and zone. "Slow" is a latency bucket above the one that holds the old version's
// 0.9 quantile when the route was first seen.

#include "daemon/rollout_loop.h"

#include "base/log.h"
#include "mimosahub/error.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

/// Between two looks at the sums: others' counts come once a second.
constexpr Duration kLookInterval = std::chrono::milliseconds(200);
constexpr Duration kEndPatience = std::chrono::seconds(5);
constexpr double kSlowQuantile = 0.9;
/// Answers of the old version that a route's quantile needs.
constexpr std::uint64_t kQuantileSamples = 20;
constexpr char kRouteSeparator = '|';

std::string routeName(const CallFeedback &feedback)
{
    return feedback.caller + kRouteSeparator + feedback.zone.str();
}

RouteKey routeKey(const std::string &route)
{
    const auto at = route.rfind(kRouteSeparator);
    return {route.substr(0, at), ZoneId(route.substr(at + 1))};
}

/// Counts of all daemons, this one included.
std::map<OutcomeKey, OutcomeCounts> sumOf(const LoadDigestSender &own, const LoadDigestMerger &peers)
{
    auto totals = peers.outcomes();
    for (const auto &[key, counts] : own.outcomes()) {
        totals[key] += counts;
    }
    return totals;
}

std::uint64_t difference(std::uint64_t now, std::uint64_t before)
{
    return now > before ? now - before : 0;
}

VersionOutcomes outcomesSince(const OutcomeCounts &now, const OutcomeCounts &before, std::size_t slowBucket)
{
    VersionOutcomes result;
    const auto failed = difference(now.failed, before.failed);
    result.failed = static_cast<std::int64_t>(failed);
    result.finished = static_cast<std::int64_t>(failed + difference(now.ok, before.ok));
    for (auto i = slowBucket + 1; i < kLatencyBuckets; ++i) {
        result.slow += static_cast<std::int64_t>(difference(now.latency.at(i), before.latency.at(i)));
    }
    return result;
}

std::size_t quantileBucket(const OutcomeCounts &counts, double q)
{
    const auto rank = static_cast<std::uint64_t>(q * static_cast<double>(counts.ok));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
        seen += counts.latency.at(i);
        if (seen > rank) {
            return i;
        }
    }
    return kLatencyBuckets - 1;
}

OutcomeCounts valueOr(const std::map<OutcomeKey, OutcomeCounts> &totals, const OutcomeKey &key)
{
    const auto it = totals.find(key);
    return it == totals.end() ? OutcomeCounts() : it->second;
}

} // namespace

absl::StatusOr<std::unique_ptr<RolloutLoop>> RolloutLoop::create(const Clock &clock, LogLoop &log,
                                                                 const std::string &chartFolder)
{
    const auto path = chartFolder + "/rollout.json";
    std::vector<Problem> problems;
    auto chart = Chart::load(path, rolloutVocabulary(), problems);
    if (!problems.empty()) {
        return errorAt(absl::StatusCode::kInvalidArgument, Step::Settings, path, problemLines(problems));
    }
    if (!chart.ok()) {
        return chart.status();
    }
    return std::unique_ptr<RolloutLoop>(new RolloutLoop(clock, log, std::move(*chart)));
}

RolloutLoop::RolloutLoop(const Clock &clock, LogLoop &log, Chart chart)
    : m_clock(clock), m_log(log), m_chart(std::move(chart))
{
}

void RolloutLoop::take(const std::vector<CallFeedback> &feedback, LoadDigestSender &own) const
{
    for (const auto &it : feedback) {
        if (m_active.contains(it.service)) {
            own.addOutcome({it.service, it.version, routeName(it)}, it.ok, it.latency);
        }
    }
}

void RolloutLoop::begin(const ServiceId &service, const Rollout &rollout, const Totals &totals)
{
    const auto configuration = m_log.state().configuration();
    const auto found = configuration->services.find(service);
    if (found == configuration->services.end()) {
        return;
    }
    const auto &policy = configuration->profiles.at(found->second.profile).versions;
    auto gate = RolloutGate::create(
        m_chart, {service, rollout.fromVersion, rollout.toVersion, rollout.begin, rollout.due, policy});
    if (!gate.ok()) {
        logEvent(LogLevel::Error, "rollout-refused").with("service", service).with(gate.status());
        return;
    }
    Active active(rollout.position, std::move(*gate));
    active.atStart = totals;
    m_active.insert_or_assign(service, std::move(active));
    logEvent(LogLevel::Info, "rollout-began").with("service", service).with("version", rollout.toVersion);
}

void RolloutLoop::tick(const LoadDigestSender &own, const LoadDigestMerger &peers)
{
    const auto &services = m_log.state().rollouts().services();
    std::erase_if(m_active, [&](const auto &item) {
        const auto it = services.find(item.first);
        return it == services.end() || it->second.latest.position != item.second.position
            || it->second.latest.status != RolloutStatus::Active;
    });
    const bool any = std::any_of(services.begin(), services.end(),
                                 [](const auto &item) { return item.second.latest.status == RolloutStatus::Active; });
    const auto now = m_clock.now();
    if (!any || now < m_nextLook) {
        return;
    }
    m_nextLook = now + kLookInterval;
    const auto totals = sumOf(own, peers);
    for (const auto &[service, rollouts] : services) {
        if (rollouts.latest.status != RolloutStatus::Active) {
            continue;
        }
        if (!m_active.contains(service)) {
            begin(service, rollouts.latest, totals);
        }
        if (const auto it = m_active.find(service); it != m_active.end()) {
            judge(service, it->second, totals);
        }
    }
}

/// The bucket that still counts as usual on \a key's route.
std::size_t RolloutLoop::slowBucketOf(Active &active, const OutcomeKey &key, const Totals &totals) const
{
    const auto known = active.slowBucket.find(key.route);
    if (known != active.slowBucket.end()) {
        return known->second;
    }
    const auto old = valueOr(totals, {key.service, active.gate.schedule().from, key.route});
    if (old.ok >= kQuantileSamples) {
        return active.slowBucket[key.route] = quantileBucket(old, kSlowQuantile);
    }
    const auto configuration = m_log.state().configuration();
    const auto service = configuration->services.find(key.service);
    const auto typical = service == configuration->services.end() ? Duration(0) : service->second.typicalTime;
    return latencyBucket(2 * typical);
}

void RolloutLoop::judge(const ServiceId &service, Active &active, const Totals &totals)
{
    const auto &schedule = active.gate.schedule();
    active.counts.clear();
    for (const auto &[key, counts] : totals) {
        if (key.service != service || (key.version != schedule.from && key.version != schedule.to)) {
            continue;
        }
        const auto bucket = slowBucketOf(active, key, totals);
        const auto outcomes = outcomesSince(counts, valueOr(active.atStart, key), bucket);
        auto &route = active.counts[routeKey(key.route)];
        (key.version == schedule.from ? route.from : route.to) += outcomes;
    }
    const auto before = active.gate.verdict().state;
    const auto &verdict = active.gate.update(active.counts, m_clock.wallTime());
    if (verdict.state != before) {
        logEvent(LogLevel::Info, "rollout-state")
            .with("service", service)
            .with("state", rolloutStateName(verdict.state))
            .with("share", verdict.share)
            .with("reason", verdict.reason);
    }
    const bool ended = verdict.state == RolloutState::RolledBack || verdict.state == RolloutState::Done;
    if (ended && !active.endSubmitted) {
        submitEnd(service, active);
    }
}

void RolloutLoop::submitEnd(const ServiceId &service, Active &active)
{
    active.endSubmitted = true;
    const auto &verdict = active.gate.verdict();
    Record record = RolloutDone{service, active.gate.schedule().to, active.position};
    if (verdict.state == RolloutState::RolledBack) {
        RolloutRollback takeBack;
        takeBack.service = service;
        takeBack.version = active.gate.schedule().to;
        takeBack.rollout = active.position;
        takeBack.reason =
            verdict.reason.find("slow") == std::string::npos ? RollbackReason::Failures : RollbackReason::Slowness;
        takeBack.evidence = verdict.reason.substr(0, kMaxTextBytes);
        record = std::move(takeBack);
    }
    m_log.submit(record, m_clock.now() + kEndPatience, Urgency::Normal,
                 [this, service](const absl::StatusOr<TicketOutcome> &outcome) {
                     // While the log is down the end is recorded later; the gate acts on it meanwhile.
                     const bool recorded = outcome.ok() && outcome->resolution != AppendResolution::NotAppended;
                     const auto it = m_active.find(service);
                     if (!recorded && it != m_active.end()) {
                         it->second.endSubmitted = false;
                     }
                 });
}

std::map<ServiceId, std::vector<VersionWeight>> RolloutLoop::weights() const
{
    std::map<ServiceId, std::vector<VersionWeight>> result;
    for (const auto &[id, service] : m_log.state().configuration()->services) {
        if (!service.version.empty()) {
            result[id] = {{service.version, 1.0}};
        }
    }
    for (const auto &[service, rollouts] : m_log.state().rollouts().services()) {
        const auto &latest = rollouts.latest;
        double share = latest.status == RolloutStatus::Done ? 1.0 : 0.0;
        if (const auto it = m_active.find(service); it != m_active.end()) {
            share = it->second.gate.verdict().share;
        }
        result[service] = {{latest.fromVersion, 1.0 - share}, {latest.toVersion, share}};
    }
    return result;
}

std::vector<RolloutSummary> RolloutLoop::summaries() const
{
    std::vector<RolloutSummary> result;
    for (const auto &[service, active] : m_active) {
        result.push_back({service, active.position, active.gate.verdict(), active.counts});
    }
    return result;
}

} // namespace mimosahub
