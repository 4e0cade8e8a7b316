// The target gets a few requests for most of the time, so that a plain fault is found while
// few callers meet it. What is left of the exposure limit then pays for one load test, in
// which all requests go to the target: it begins as late as the limit lasts until the
// deadline at the present rate. The verdict falls shortly before the deadline. So the
// target gets no more than the limit by the deadline, however and whenever it fails, and
// every version is seen under its whole load for as long as the limit allows at all. What
// shows only after a longer time under load isn't seen.
//
// If the rate rises, the load test is broken off and begins again where the rest of the
// limit lasts. A verdict for the target is final only once the store holds it: until then
// a fault still rolls it back.
//
// A phase has shown nothing until half of the daemons have reported since it began:
// reports from before it end no phase.
//
// Reports hold totals, so that a coordinator that takes over has all counts with the
// next report of each daemon. Time is that since the order was read, by the daemon that
// has known it longest: the instances' times of day may differ.

#include "forward/split_judge.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace mimosahub
{

namespace
{

using namespace std::chrono_literals;

constexpr std::int64_t kLeastOutcomes = 10; ///< Of the target, without which it isn't completed.
constexpr double kExcess = 0.12; ///< Of a sound target's rates of bad answers over the old version's, at most.
constexpr std::int64_t kLeastOfRoute = 8; ///< Outcomes of the target on a route that is looked at by itself.
constexpr std::int64_t kLeastOfRareRoute = 3; ///< From so many on, failures on a route are looked at.
constexpr std::int64_t kKnownRoute = 20; ///< Outcomes of the old version on a route that the target must know too.
constexpr double kRouteExcess = 0.3;
constexpr double kStandardErrors = 1.5; ///< Of the old version's rate, which count as chance.
/// Share of the target that the tests are told. Below the one from which they ask to have an alarm confirmed
/// by outcomes of both versions: a trial can't show whether the target fails under load.
constexpr double kEvidenceShare = 0.5;
constexpr Duration kLateWindows[] = {500ms, 1s}; ///< Of the newest outcomes, which are looked at by themselves.
constexpr std::int64_t kLeastLateHits = 3; ///< Fewer bad answers among them may be chance.
constexpr double kLateExcess = 0.2;
constexpr std::int64_t kTrialOutcomes = 8; ///< Of the target, from which a route is tried.
constexpr std::int64_t kDoubtfulTrialOutcomes = 24; ///< The same, while something speaks against the target.
constexpr std::size_t kMostTriedRoutes = 32; ///< That a decision lists.
constexpr int kStoreAnswers = 3; ///< For a write, or one that meets another record, a read and the write again.
constexpr Duration kLongestWrite = 1s;
constexpr Duration kLongestLoadTest = 10s;
constexpr Duration kReportInterval = 300ms;
constexpr Duration kLateReportInterval = 100ms; ///< In a load test, and shortly before one.
constexpr Duration kLateTime = 5s; ///< Before the deadline.

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
    return true;
}

/// \a fraction of \a duration, but \a longest at most.
Duration part(Duration duration, double fraction, Duration longest)
{
    return std::min(longest, std::chrono::duration_cast<Duration>(duration * fraction));
}

} // namespace

Duration splitReportInterval(SplitPhase phase, Duration remaining)
{
    const bool late = remaining > Duration::zero() && remaining < kLateTime;
    return phase == SplitPhase::LoadTest || late ? kLateReportInterval : kReportInterval;
}

SplitJudge::Schedule SplitJudge::scheduleOf(Duration duration)
{
    Schedule schedule;
    schedule.lastCall = duration - part(duration, 0.04, 200ms);
    schedule.verdict = duration - part(duration, 0.09, 450ms);
    schedule.loadTest = duration - part(duration, 0.5, kLongestLoadTest);
    schedule.leastLoadTest = part(duration, 0.03, 300ms);
    return schedule;
}

Duration SplitJudge::writeTime() const
{
    return std::min(kStoreAnswers * m_storeTime, part(m_duration, 0.08, kLongestWrite));
}

Duration SplitJudge::verdictAt() const
{
    return m_schedule.verdict - writeTime();
}

Duration SplitJudge::lastCallAt() const
{
    return m_schedule.lastCall - writeTime();
}

SplitJudge::SplitJudge(Duration duration, const ExposureLimit &limit)
    : m_schedule(scheduleOf(duration)), m_duration(duration), m_budget(limit), m_evidence(policy(), evidenceOptions())
{
    m_decision.phase = SplitPhase::Trial;
}

void SplitJudge::take(const SplitReport &report, TimePoint now)
{
    m_sources[report.run] = {report, now};
    m_budget.take(report.run, report.sends, report.elapsed, now);
    if (!m_begin) {
        m_begin = now;
    }
    // As the last coordinator decided.
    if (report.phase == SplitPhase::Completed && !isSettled(m_decision.phase)) {
        settle(SplitPhase::Completed, "the store holds it");
    } else if (!m_hasFollowed && !isSettled(m_decision.phase) && !isSettled(report.phase)) {
        enter(std::max(m_decision.phase, report.phase), now);
    }
}

SplitDecision SplitJudge::decisionFor(const DaemonRun &run, TimePoint now)
{
    auto decision = m_decision;
    if (decision.phase == SplitPhase::LoadTest) {
        decision.targetCap = m_budget.grantCap(run, now);
    } else if (decision.phase == SplitPhase::Trial) {
        decision.triedRoutes = m_triedRoutes;
    }
    return decision;
}

std::vector<RouteId> SplitJudge::triedRoutes() const
{
    const auto enough = hasEvidenceAgainst() ? kDoubtfulTrialOutcomes : kTrialOutcomes;
    std::vector<std::pair<std::int64_t, RouteId>> tried;
    for (const auto &[route, outcomes] : m_total) {
        if (outcomes.to.finished >= enough) {
            tried.emplace_back(outcomes.finished(), route.caller);
        }
    }
    std::sort(tried.rbegin(), tried.rend());
    tried.resize(std::min(tried.size(), kMostTriedRoutes));
    std::vector<RouteId> routes;
    std::transform(tried.begin(), tried.end(), std::back_inserter(routes),
                   [](const auto &item) { return item.second; });
    return routes;
}

void SplitJudge::enter(SplitPhase phase, TimePoint now, std::string reason)
{
    if (phase != m_decision.phase) {
        m_decision.phase = phase;
        m_decision.reason = std::move(reason);
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
    for (const auto &[route, outcomes] : m_total) {
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
bool SplitJudge::hasEvidenceAgainst() const
{
    if (m_evidence.hasUnconfirmedAlarm()) {
        return true;
    }
    const bool soundOnRoutes =
        std::all_of(m_total.begin(), m_total.end(), [](const auto &route) { return looksSoundOnRoute(route.second); });
    const auto sum = this->sum();
    return !soundOnRoutes || (sum.to.finished >= kLeastOutcomes && !isNear(sum, kExcess));
}

bool SplitJudge::hasEnoughOutcomes() const
{
    return sum().to.finished >= kLeastOutcomes && std::all_of(m_total.begin(), m_total.end(), [](const auto &route) {
               return route.second.to.finished >= kLeastOfRareRoute || route.second.from.finished < kKnownRoute;
           });
}

void SplitJudge::findFault(TimePoint now)
{
    const auto since = m_begin ? Duration(now - *m_begin) : Duration::zero();
    m_evidence.addCounts(m_total, kEvidenceShare,
                         WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(since)));
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
    m_decision.phase = phase;
    m_decision.reason = std::move(reason);
}

const SplitDecision &SplitJudge::decide(int daemons, TimePoint now)
{
    if (isSettled(m_decision.phase)) {
        return m_decision;
    }
    m_budget.setDaemons(daemons);
    m_total = total();
    findFault(now);
    if (isSettled(m_decision.phase)) {
        return m_decision;
    }
    if (heardMost(daemons, now - kRolloutNewsAge)) {
        follow(daemons, now);
    } else {
        enter(elapsed(now) < m_duration ? SplitPhase::Trial : SplitPhase::Paused, now);
    }
    return m_decision;
}

// A coordinator that takes over goes on with the phase that the daemons have reported.
void SplitJudge::follow(int daemons, TimePoint now)
{
    m_hasFollowed = true;
    m_triedRoutes = triedRoutes();
    recordSample(now);
    switch (m_decision.phase) {
    case SplitPhase::LoadTest:
        followLoadTest(daemons, now);
        break;
    case SplitPhase::Completing: // Until the store holds it.
        break;
    default:
        followTrial(now);
        break;
    }
}

void SplitJudge::followTrial(TimePoint now)
{
    const auto elapsed = this->elapsed(now);
    if (elapsed >= lastCallAt()) {
        const auto *reason = hasEvidenceAgainst() ? "there are doubts" : "too little is known";
        settle(SplitPhase::RolledBack,
               absl::StrCat(reason, " by the deadline: ", describeOutcomes(), "; ", describeBudget(now)));
    } else if (elapsed >= m_schedule.loadTest && !hasEvidenceAgainst()
               && m_budget.mayStart(m_duration - elapsed, m_duration - verdictAt(), now)) {
        enter(SplitPhase::LoadTest, now, describeBudget(now));
    } else {
        enter(SplitPhase::Trial, now);
    }
}

void SplitJudge::followLoadTest(int daemons, TimePoint now)
{
    const auto elapsed = this->elapsed(now);
    if (m_evidence.hasUnconfirmedAlarm()) {
        takeAlarm(now);
    } else if (elapsed >= verdictAt() && mayComplete(daemons, now)) {
        enter(SplitPhase::Completing, now, absl::StrCat("no fault in ", describeOutcomes()));
    } else if (elapsed >= lastCallAt()) {
        settle(SplitPhase::RolledBack,
               absl::StrCat("not shown sound by the deadline: ", describeOutcomes(), "; ", describeBudget(now)));
    } else if (m_budget.isOverdrawn(m_duration - elapsed, now)) {
        enter(SplitPhase::Trial, now, absl::StrCat("more requests than expected: ", describeBudget(now)));
    }
}

// Before the deadline there is neither the time nor the limit for another load test.
void SplitJudge::takeAlarm(TimePoint now)
{
    auto reason = absl::StrCat("an alarm in the load test: ", describeOutcomes());
    if (m_duration - elapsed(now) < kLateTime) {
        settle(SplitPhase::RolledBack, std::move(reason));
    } else {
        enter(SplitPhase::Trial, now, std::move(reason));
    }
}

// After a verdict for the target nothing bounds what it gets: the rest of the limit must pay for all
// requests until the deadline.
bool SplitJudge::mayComplete(int daemons, TimePoint now) const
{
    return now - m_phaseBegan >= m_schedule.leastLoadTest && heardMost(daemons, m_phaseBegan) && hasEnoughOutcomes()
        && !hasEvidenceAgainst() && !isWorseLately() && m_budget.mayFinish(m_duration - elapsed(now), now);
}

void SplitJudge::recordSample(TimePoint now)
{
    m_samples.push_back({now, sum().to});
    while (m_samples.size() > 1 && m_samples[1].at <= now - kLateWindows[1]) {
        m_samples.pop_front();
    }
}

// What turns bad at the end of the load test is a small part of all outcomes.
bool SplitJudge::isWorseLately() const
{
    const auto sum = this->sum();
    for (const auto window : kLateWindows) {
        const auto begin = std::find_if(m_samples.begin(), m_samples.end(),
                                        [&](const Sample &sample) { return sample.at > m_samples.back().at - window; });
        const auto &before = begin == m_samples.begin() ? *begin : *std::prev(begin);
        const RouteOutcomes late{sum.from, difference(sum.to, before.target)};
        for (const auto hits : {&VersionOutcomes::failed, &VersionOutcomes::slow}) {
            if (late.to.*hits >= kLeastLateHits && !isNear(late, hits, kLateExcess)) {
                return true;
            }
        }
    }
    return false;
}

std::string SplitJudge::describeBudget(TimePoint now) const
{
    const auto remaining = std::max(Duration::zero(), Duration(m_duration - elapsed(now)));
    return absl::StrCat("the target had ", std::llround(m_budget.targetSends(now)), " of ",
                        std::llround(m_budget.allowed(remaining, now)),
                        " requests allowed by the deadline, which is in ",
                        std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count(), " ms, and ",
                        std::llround(m_budget.rate(now)), " a second come");
}

std::string SplitJudge::describeOutcomes() const
{
    const auto outcomes = sum().to;
    return absl::StrCat(outcomes.finished, " outcomes, of which ", outcomes.failed, " failed and ", outcomes.slow,
                        " were slow");
}

} // namespace mimosahub
