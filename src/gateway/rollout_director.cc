// Each daemon holds the split of each service under a rollout and counts outcomes. It
// reports them to the service's coordinator some times a second, whose answer is the
// phase for all; without an answer for a while, the daemon sends the target nothing.
// What it finds by its own counts it obeys at once.
//
// The status in the store is final: a daemon that reads it there obeys it, whatever the
// coordinator says.

#include "gateway/rollout_director.h"

#include "base/log.h"
#include "gateway/counted_send.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace mimosahub
{

namespace
{

using namespace std::chrono_literals;

constexpr double kIntervalSpread = 0.2;
constexpr int kAllDaemons = std::numeric_limits<int>::max(); ///< More than ever report to a judge of own counts.
constexpr int kDecisionsPerInterval = 2; ///< Sums over all daemons are not made for each report.
constexpr Duration kMeasureBefore = 4s; ///< The deadline: time for a slow store to answer before the load test.

SplitPhase phaseOf(RolloutStage stage)
{
    return stage == RolloutStage::Completed ? SplitPhase::Completed : SplitPhase::RolledBack;
}

} // namespace

RolloutDirector::RolloutDirector(boost::asio::io_context &io, const Clock &clock, InstanceId self,
                                 std::uint64_t incarnation, const std::optional<ExposureLimit> &limit,
                                 MetricRegistry &metrics, Random &random)
    : m_clock(clock),
      m_self(std::move(self)),
      m_incarnation(incarnation),
      m_limit(limit),
      m_random(random),
      m_timer(io),
      m_targetSends(metrics.counter("mimosahub_rollout_target_sends_total",
                                    "Sends to the target of a rollout that was not settled.")),
      m_rolledBack(metrics.counter("mimosahub_rollout_rollbacks_total", "Rollouts that were rolled back.")),
      m_unsettled(metrics.gauge("mimosahub_rollouts_unsettled", "Rollouts that are not settled."))
{
}

void RolloutDirector::connect(RolloutPeers &peers, Callbacks callbacks)
{
    m_peers = &peers;
    m_callbacks = std::move(callbacks);
}

RolloutDirector::Active *RolloutDirector::find(const ServiceId &service)
{
    const auto it = m_active.find(service);
    return it == m_active.end() ? nullptr : it->second.get();
}

const RolloutDirector::Active *RolloutDirector::find(const ServiceId &service) const
{
    const auto it = m_active.find(service);
    return it == m_active.end() ? nullptr : it->second.get();
}

void RolloutDirector::setView(const GatewayView &view)
{
    m_daemons = std::max(1, static_cast<int>(view.daemons.size()));
    for (const auto &order : view.rollouts) {
        takeOrder(order);
    }
    for (const auto &[service, active] : m_active) {
        bool target = false;
        bool old = false;
        for (const auto &endpoint : view.endpoints) {
            if (endpoint.info.service == service) {
                (endpoint.info.version == active->rollout.target ? target : old) = true;
            }
        }
        active->sharesTraffic = target && old;
        active->hasShared = active->hasShared || active->sharesTraffic;
        active->split.setDaemons(m_daemons);
        active->judge.setStoreTime(view.storeTime);
    }
    armTick();
}

void RolloutDirector::takeOrder(const GatewayView::Rollout &order)
{
    if (!m_limit) {
        refuseOrder(order.id);
        return;
    }
    const auto now = m_clock.now();
    auto &active = m_active[order.id.service];
    if (active && order.rewritten && active->rollout != order.id && active->rollout.target == order.id.target) {
        logEvent(LogLevel::Info, "rollout-order-rewritten")
            .with("service", order.id.service)
            .with("target", order.id.target)
            .with("order", order.id.record)
            .with("order_before", active->rollout.record);
        active->rollout = order.id;
    }
    if (!active || active->rollout != order.id) {
        active = std::make_unique<Active>(order, *m_limit, m_random.uniform(), now);
        active->newsAt = now - kRolloutNewsAge;
        logEvent(LogLevel::Info, "rollout-begun")
            .with("service", order.id.service)
            .with("target", order.id.target)
            .with("order", order.id.record)
            .with("duration", order.duration);
    }
    active->status = order.status;
    if (order.status && *order.status != RolloutStage::Running) {
        enter(*active, phaseOf(*order.status), "the status in the store");
    }
}

void RolloutDirector::refuseOrder(const RolloutId &rollout)
{
    const auto [it, isNew] = m_refused.try_emplace(rollout.service, rollout);
    if (!isNew && it->second == rollout) {
        return;
    }
    it->second = rollout;
    logEvent(LogLevel::Warning, "rollout-refused")
        .with("service", rollout.service)
        .with("target", rollout.target)
        .with("order", rollout.record)
        .with("reason", "the settings have no group \"rollouts\"");
}

std::optional<VersionFilter> RolloutDirector::drawVersion(const ServiceId &service, const RouteId &route)
{
    const auto *active = find(service);
    if (active == nullptr) {
        return std::nullopt;
    }
    const bool excluded = active->hasShared && active->split.phase() == SplitPhase::RolledBack;
    if (!active->sharesTraffic && !excluded) {
        return std::nullopt;
    }
    return VersionFilter{active->rollout.target, active->split.drawTarget(route, m_random)};
}

bool RolloutDirector::mayUseOther(const ServiceId &service, const VersionFilter &filter) const
{
    const auto *active = find(service);
    return active == nullptr || filter.wanted || active->split.mayUseTarget();
}

std::optional<VersionFilter> RolloutDirector::stageVersion(const ServiceId &service) const
{
    const auto *active = find(service);
    if (active == nullptr || !active->sharesTraffic) {
        return std::nullopt;
    }
    const auto phase = active->split.phase();
    return VersionFilter{active->rollout.target, phase == SplitPhase::Completed};
}

bool RolloutDirector::isUnsettled(const Active &active) const
{
    return !isSettled(active.split.phase()) || !active.status || *active.status == RolloutStage::Running;
}

Duration RolloutDirector::reportInterval(const Active &active) const
{
    const Duration elapsed = m_clock.now() - active.begin;
    return splitReportInterval(active.split.phase(), active.duration - elapsed);
}

void RolloutDirector::armTick()
{
    int unsettled = 0;
    auto interval = Duration::max();
    for (const auto &[service, active] : m_active) {
        if (isUnsettled(*active)) {
            ++unsettled;
            interval = std::min(interval, reportInterval(*active));
        }
    }
    m_unsettled.set(static_cast<double>(unsettled));
    if (m_armed || unsettled == 0 || !m_timer) {
        return;
    }
    m_armed = true;
    m_timer->expires_after(m_random.jitter(interval, kIntervalSpread));
    m_timer->async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            m_armed = false;
            tick();
        }
    });
}

void RolloutDirector::tick()
{
    for (auto *send : m_sends) {
        send->countIfLate();
    }
    for (const auto &[service, active] : m_active) {
        look(*active);
    }
    armTick();
}

void RolloutDirector::look(Active &active)
{
    const auto now = m_clock.now();
    if (!isSettled(active.split.phase())) {
        const auto own = reportOf(active);
        active.own.take(own, now);
        const auto &finding = active.own.decide(kAllDaemons, now);
        if (finding.phase == SplitPhase::RolledBack) {
            active.fault = finding.reason;
            enter(active, SplitPhase::RolledBack, finding.reason);
        }
    }
    exchange(active);
    if (!isSettled(active.split.phase()) && now - active.newsAt > kRolloutNewsAge) {
        enter(active, SplitPhase::Paused, "no news from the coordinator");
    }
    requestStatus(active);
    measureStore(active);
}

// A daemon that has found a fault goes on reporting until the status shows it.
void RolloutDirector::exchange(Active &active)
{
    if (active.status && *active.status != RolloutStage::Running) {
        return;
    }
    const auto report = reportOf(active);
    if (m_peers->coordinates(active.rollout.service)) {
        if (const auto decision = takeReport(report)) {
            takeDecision(active, *decision);
        }
        return;
    }
    m_peers->report(report, [this, rollout = active.rollout](const std::optional<SplitDecision> &decision) {
        auto *known = find(rollout.service);
        if (decision && known != nullptr && known->rollout == rollout) {
            takeDecision(*known, *decision);
        }
    });
}

SplitReport RolloutDirector::reportOf(const Active &active) const
{
    SplitReport report;
    report.rollout = active.rollout;
    report.run = {m_self, m_incarnation};
    report.elapsed = m_clock.now() - active.begin;
    report.phase = active.split.phase();
    report.fault = report.phase == SplitPhase::RolledBack ? active.reason : active.fault;
    report.sends = active.split.sends();
    report.counts = active.counts;
    return report;
}

std::optional<SplitDecision> RolloutDirector::takeReport(const SplitReport &report)
{
    auto *active = find(report.rollout.service);
    if (active == nullptr || active->rollout != report.rollout) {
        return std::nullopt;
    }
    if (isSettled(active->split.phase())) {
        return SplitDecision{active->split.phase(), active->reason, 0, {}};
    }
    const auto now = m_clock.now();
    active->judge.take(report, now);
    if (now - active->decidedAt >= reportInterval(*active) / kDecisionsPerInterval) {
        active->decidedAt = now;
        static_cast<void>(active->judge.decide(m_daemons, now));
    }
    return active->judge.decisionFor(report.run, now);
}

void RolloutDirector::takeDecision(Active &active, const SplitDecision &decision)
{
    active.newsAt = m_clock.now();
    // Without the status it isn't known whether the order was settled before.
    if (!active.status && !isSettled(decision.phase)) {
        return;
    }
    active.split.setTargetCap(decision.targetCap);
    active.split.setTriedRoutes(decision.triedRoutes);
    enter(active, decision.phase, decision.reason);
}

void RolloutDirector::enter(Active &active, SplitPhase phase, const std::string &reason)
{
    const auto before = active.split.phase();
    const bool storeSays = active.status && *active.status != RolloutStage::Running;
    if (phase == before || (isSettled(before) && !storeSays)) {
        return;
    }
    active.split.setPhase(phase);
    active.reason = reason;
    m_rolledBack.add(phase == SplitPhase::RolledBack ? 1 : 0);
    logPhase(active, before);
    m_callbacks.phaseChanged();
}

void RolloutDirector::logPhase(const Active &active, SplitPhase before) const
{
    const auto phase = active.split.phase();
    RouteOutcomes sum;
    for (const auto &[route, outcomes] : active.counts) {
        sum += outcomes;
    }
    const std::string_view event = phase == SplitPhase::RolledBack ? "rollout-rolled-back"
        : phase == SplitPhase::Completed                           ? "rollout-completed"
                                                                   : "rollout-phase";
    logEvent(LogLevel::Info, event)
        .with("service", active.rollout.service)
        .with("target", active.rollout.target)
        .with("phase", splitPhaseName(phase))
        .with("before", splitPhaseName(before))
        .with("reason", active.reason)
        .with("elapsed", Duration(m_clock.now() - active.begin))
        .with("target_sends", active.split.sends().target)
        .with("old_sends", active.split.sends().old)
        .with("target_outcomes", sum.to.finished)
        .with("target_failed", sum.to.failed)
        .with("target_slow", sum.to.slow)
        .with("old_outcomes", sum.from.finished)
        .with("old_failed", sum.from.failed)
        .with("old_slow", sum.from.slow);
}

void RolloutDirector::measureStore(Active &active)
{
    const Duration remaining = active.duration - Duration(m_clock.now() - active.begin);
    if (active.hasMeasuredStore || remaining > kMeasureBefore || isSettled(active.split.phase()) || !active.status
        || !m_peers->coordinates(active.rollout.service)) {
        return;
    }
    active.hasMeasuredStore = true;
    m_callbacks.measureStore();
}

void RolloutDirector::requestStatus(const Active &active)
{
    const auto phase = active.split.phase();
    const bool coordinates = m_peers->coordinates(active.rollout.service);
    if (active.status && *active.status != RolloutStage::Running) {
        return;
    }
    if (phase == SplitPhase::Completing || phase == SplitPhase::Completed) {
        m_callbacks.wantStatus({active.rollout, RolloutStage::Completed, coordinates});
    } else if (phase == SplitPhase::RolledBack) {
        m_callbacks.wantStatus({active.rollout, RolloutStage::RolledBack, coordinates});
    } else if (!active.status) {
        m_callbacks.wantStatus({active.rollout, RolloutStage::Running, coordinates});
    }
}

} // namespace mimosahub
