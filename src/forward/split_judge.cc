// The target gets a small share for most of the time, so that a fault that comes late is
// found while few callers meet it. Then all requests go there as far as the exposure
// limit allows, which shows a version that is faulty under load; and only after that
// without a limit, for the old endpoints' last answers. A phase has shown nothing until
// half of the daemons have reported since it began: reports from before it end no phase.
//
// Reports hold totals, so that a coordinator that takes over has all counts with the
// next report of each daemon. Time is that since the order was read, by the daemon that
// has known it longest: the instances' times of day may differ.

#include "forward/split_judge.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace mimosahub
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration kNewsAge = 2s; ///< An older report shows nothing about the present.
constexpr std::int64_t kLeastOutcomes = 10; ///< Of the target, without which it isn't completed.
constexpr double kExcess = 0.12; ///< Of a sound target's rates of bad answers over the old version's, at most.
constexpr std::int64_t kLeastOfRoute = 8; ///< Outcomes of the target on a route that is looked at by itself.
constexpr std::int64_t kLeastOfRareRoute = 3; ///< From so many on, failures on a route are looked at.
constexpr std::int64_t kKnownRoute = 20; ///< Outcomes of the old version on a route that the target must know too.
constexpr double kRouteExcess = 0.3;
constexpr double kStandardErrors = 1.5; ///< Of the old version's rate, which count as chance.
constexpr double kMovingShare = 1.0;
constexpr double kTestShare = 0.5; ///< Of the requests that the target gets in trial and load test, at most.

VersionPolicy policy()
{
    VersionPolicy policy;
    policy.maxFailureIncrease = 0.1;
    policy.maxSlowdown = 2.0;
    return policy;
}

RolloutEvidenceOptions evidenceOptions()
{
    RolloutEvidenceOptions options;
    options.failureFloor = 0.02;
    options.routeFailureFactor = 2.5;
    options.sparseBaselineSlowFloor = 0.12;
    options.minBaselineOutcomes = 10;
    options.blockLength = 500ms;
    options.countDelay = 700ms;
    return options;
}

/// Whether the target's rate of \a hits is no more than \a excess, and some chance, above
/// the old version's.
bool isNear(const RouteOutcomes &outcomes, HitCounter hits, double excess)
{
    const auto rate = [hits](const VersionOutcomes &version) {
        return static_cast<double>(version.*hits) / static_cast<double>(std::max<std::int64_t>(1, version.finished));
    };
    const double usual = rate(outcomes.from);
    const double trials = static_cast<double>(std::max<std::int64_t>(1, outcomes.to.finished));
    const double chance = kStandardErrors * std::sqrt(usual * (1.0 - usual) / trials);
    return rate(outcomes.to) <= usual + excess + chance;
}

bool isNear(const RouteOutcomes &outcomes, double excess)
{
    return isNear(outcomes, &VersionOutcomes::failed, excess) && isNear(outcomes, &VersionOutcomes::slow, excess);
}

/// Whether nothing on one route speaks against the target. A few slow answers may be chance;
/// a few failures, and hardly anything else, are not.
bool looksSoundOnRoute(const RouteOutcomes &outcomes)
{
    if (outcomes.to.finished >= kLeastOfRoute) {
        return isNear(outcomes, kRouteExcess);
    }
    if (outcomes.to.finished >= kLeastOfRareRoute) {
        return outcomes.to.failed < kLeastOfRareRoute || isNear(outcomes, &VersionOutcomes::failed, kRouteExcess);
    }
    return outcomes.from.finished < kKnownRoute;
}

/// \a fraction of \a duration, but \a longest at most.
Duration part(Duration duration, double fraction, Duration longest)
{
    return std::min(longest, std::chrono::duration_cast<Duration>(duration * fraction));
}

} // namespace

SplitJudge::Schedule SplitJudge::scheduleOf(Duration duration)
{
    Schedule schedule;
    schedule.lastCall = duration - part(duration, 0.07, 1s);
    schedule.completion = duration - part(duration, 0.15, 3s);
    schedule.moving = schedule.completion - part(duration, 0.1, 1500ms);
    schedule.loadTest = schedule.moving - part(duration, 0.15, 3s);
    return schedule;
}

SplitJudge::SplitJudge(Duration duration)
    : m_schedule(scheduleOf(duration)), m_duration(duration), m_evidence(policy(), evidenceOptions())
{
    m_decision.phase = SplitPhase::Trial;
}

void SplitJudge::take(const SplitReport &report, TimePoint now)
{
    m_sources[absl::StrCat(report.daemon.str(), " ", report.incarnation)] = {report, now};
    if (!m_begin) {
        m_begin = now;
    }
    // As the last coordinator decided.
    if (report.phase == SplitPhase::Completed && !isSettled(m_decision.phase)) {
        settle(SplitPhase::Completed, "another coordinator has completed it");
    } else if (!isSettled(m_decision.phase) && !isSettled(report.phase)) {
        enter(std::max(m_decision.phase, report.phase), now);
    }
}

void SplitJudge::enter(SplitPhase phase, TimePoint now)
{
    if (phase != m_decision.phase) {
        m_decision.phase = phase;
        m_phaseBegan = now;
    }
}

RolloutCounts SplitJudge::total() const
{
    RolloutCounts total;
    for (const auto &[name, source] : m_sources) {
        for (const auto &[route, outcomes] : source.report.counts) {
            total[route] += outcomes;
        }
    }
    return total;
}

RouteOutcomes SplitJudge::sum() const
{
    RouteOutcomes sum;
    for (const auto &[route, outcomes] : total()) {
        sum += outcomes;
    }
    return sum;
}

Duration SplitJudge::elapsed(TimePoint now) const
{
    Duration longest{};
    for (const auto &[name, source] : m_sources) {
        longest = std::max(longest, source.report.elapsed + Duration(now - source.receivedAt));
    }
    return longest;
}

bool SplitJudge::heardMost(int daemons, TimePoint since) const
{
    const auto heard = std::count_if(m_sources.begin(), m_sources.end(),
                                     [since](const auto &item) { return item.second.receivedAt > since; });
    return 2 * heard >= daemons;
}

// That the tests found no fault isn't enough where there are few outcomes.
bool SplitJudge::looksSound() const
{
    if (m_evidence.hasUnconfirmedAlarm()) {
        return false;
    }
    RouteOutcomes sum;
    for (const auto &[route, outcomes] : total()) {
        sum += outcomes;
        if (!looksSoundOnRoute(outcomes)) {
            return false;
        }
    }
    return sum.to.finished >= kLeastOutcomes && isNear(sum, kExcess);
}

void SplitJudge::findFault(TimePoint now)
{
    const double share = m_decision.phase == SplitPhase::Moving ? kMovingShare : kTestShare;
    const auto since = m_begin ? Duration(now - *m_begin) : Duration::zero();
    m_evidence.addCounts(total(), share, WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(since)));
    if (m_evidence.fault()) {
        settle(SplitPhase::RolledBack, *m_evidence.fault());
        return;
    }
    for (const auto &[name, source] : m_sources) {
        if (!source.report.fault.empty()) {
            settle(SplitPhase::RolledBack, source.report.fault);
            return;
        }
    }
}

void SplitJudge::settle(SplitPhase phase, std::string reason)
{
    m_decision = {phase, std::move(reason)};
}

const SplitDecision &SplitJudge::decide(int daemons, TimePoint now)
{
    if (isSettled(m_decision.phase)) {
        return m_decision;
    }
    findFault(now);
    if (isSettled(m_decision.phase)) {
        return m_decision;
    }
    if (heardMost(daemons, now - kNewsAge)) {
        follow(daemons, now);
    } else {
        enter(elapsed(now) < m_duration ? SplitPhase::Trial : SplitPhase::Paused, now);
    }
    return m_decision;
}

// One phase at a time: a coordinator that takes over late tests under load too.
void SplitJudge::follow(int daemons, TimePoint now)
{
    const bool sound = looksSound();
    const bool phaseShown = heardMost(daemons, m_phaseBegan);
    const auto elapsed = this->elapsed(now);
    const auto outcomes = sum().to;
    if (m_decision.phase == SplitPhase::Moving && sound && phaseShown && elapsed >= m_schedule.completion) {
        settle(SplitPhase::Completed,
               absl::StrCat("no fault in ", outcomes.finished, " outcomes, of which ", outcomes.failed, " failed and ",
                            outcomes.slow, " were slow"));
    } else if (elapsed >= m_schedule.lastCall) {
        settle(SplitPhase::RolledBack,
               absl::StrCat("too little is known by the deadline: ", outcomes.finished, " outcomes, of which ",
                            outcomes.failed, " failed and ", outcomes.slow, " were slow"));
    } else if (!sound) {
        enter(SplitPhase::Trial, now);
    } else if (m_decision.phase == SplitPhase::LoadTest && phaseShown && elapsed >= m_schedule.moving) {
        enter(SplitPhase::Moving, now);
    } else if (m_decision.phase < SplitPhase::LoadTest) {
        enter(elapsed >= m_schedule.loadTest ? SplitPhase::LoadTest : SplitPhase::Trial, now);
    }
}

} // namespace mimosahub
