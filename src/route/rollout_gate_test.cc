// Simulates rollouts in process: three daemons, each with its own gate and its own view
// of the sums (its own counts immediately, the others' a second late), and a new version
// with a given fault. A verdict reaches the other daemons through a record.

#include "base/random.h"
#include "route/rollout_gate.h"

#include <boost/random/binomial_distribution.hpp>
#include <boost/random/poisson_distribution.hpp>

#include <array>
#include <criterion/criterion.h>
#include <cstdio>
#include <utility>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

constexpr int kDaemons = 3;
constexpr int kRoutes = 9;
constexpr auto kDelay = 1s; // Delay of the other daemons' counts.
constexpr auto kRecordDelay = 2s; // From a daemon's verdict until its record reaches the other daemons.

// Calls per second: with many, steps wait for the schedule; with few, for outcomes.
constexpr double kManyCalls = 900.0;
constexpr double kFewCalls = 150.0;

// Behaviour of the new version. Of the old version, 0.5 % of the calls fail and 10 % of
// the answers are slow.
struct Behaviour {
    const char *name = "good";
    double failRate = 0.005;
    double slowRate = 0.1;
    int onlyRoute = -1; ///< The one route with the fault, or -1 for all.
    Duration from = 0s; ///< The fault starts this long after the rollout begins.
    double aboveShare = 0.0; ///< The fault shows only above this share.
    Duration commonFrom = 4min; ///< Time at which both versions begin to degrade, for one minute.
    double commonFailRate = 0.005; ///< Failure rate of both versions in that minute.
    double commonSlowRate = 0.1; ///< Rate of slow answers of both versions in that minute.
    Duration burstEvery = 0s; ///< Interval at which both versions are slow for one second; 0 for never.
    double burstSlowRate = 0.1; ///< Rate of slow answers of both versions in that second.
    bool oldVersionLater = false; ///< Other daemons' counts of the old version arrive a second after the new one's.
    double perSecond = kManyCalls;
    int routes = kRoutes;
    std::int64_t mostOutcomes = 400; ///< The fault must be found within this many outcomes of the faulty version.
};

struct Run {
    bool rolledBack = false;
    bool done = false;
    double highestShareBeforeFault = 0.0; ///< Up to the first daemon's verdict or the fault's start.
    double highestShare = 0.0;
    std::int64_t faultyOutcomes = 0; ///< Outcomes of the faulty version before the verdict.
    double secondsToStop = 0.0; ///< From the first verdict to the last new call on any daemon.
    std::string evidence;
    bool recordedDone = false; ///< A daemon found it done; its record would end the rollout on all daemons.
    bool warned = false; ///< A daemon reported before the due time that it would be missed.
};

const Chart &rolloutChart()
{
    std::vector<Problem> problems;
    static const auto chart = Chart::load("charts/rollout.json", rolloutVocabulary(), problems);
    cr_assert(chart.ok());
    return *chart;
}

RolloutSchedule schedule(Duration length)
{
    RolloutSchedule result{ServiceId("assistant"), VersionId("v1"), VersionId("v2"), WallTime(1h), WallTime(1h), {}};
    result.due += std::chrono::duration_cast<std::chrono::milliseconds>(length);
    result.policy.firstShare = 0.02;
    return result;
}

std::int64_t binomial(Random &random, std::int64_t n, double p)
{
    return boost::random::binomial_distribution<std::int64_t>(n, p)(random.engine());
}

VersionOutcomes outcomes(Random &random, double mean, double failRate, double slowRate)
{
    if (mean <= 0.0) {
        return {};
    }
    const auto n = boost::random::poisson_distribution<std::int64_t>(mean)(random.engine());
    return {n, binomial(random, n, failRate), binomial(random, n, slowRate)};
}

RouteKey routeKey(int route)
{
    return {"stage" + std::to_string(route / 3), ZoneId("z" + std::to_string(route % 3))};
}

using RouteSums = std::array<RouteOutcomes, kRoutes>;

// Sums in the view of daemon \a self: its own counts, and the delayed counts of the
// others.
RolloutCounts viewOf(std::size_t self, const std::vector<RouteSums> &counts, const std::vector<RouteSums> &late,
                     const std::vector<RouteSums> &lateOldVersion)
{
    static const auto keys = [] {
        std::array<RouteKey, kRoutes> result;
        for (int route = 0; route < kRoutes; ++route) {
            result[route] = routeKey(route);
        }
        return result;
    }();
    RolloutCounts view;
    for (int route = 0; route < kRoutes; ++route) {
        auto &sum = view.emplace_hint(view.end(), keys[route], RouteOutcomes())->second;
        for (std::size_t n = 0; n < counts.size(); ++n) {
            sum.from += (n == self ? counts : lateOldVersion)[n][route].from;
            sum.to += (n == self ? counts : late)[n][route].to;
        }
    }
    return view;
}

// Simulates one rollout over nine routes, or fewer if \a behaviour says so.
Run simulate(const Behaviour &behaviour, std::uint64_t seed)
{
    Random random(seed);
    const auto plan = schedule(10min);
    std::vector<RolloutGate> gates;
    gates.reserve(kDaemons);
    for (int n = 0; n < kDaemons; ++n) {
        gates.push_back(*RolloutGate::create(rolloutChart(), plan));
    }
    std::vector<RouteSums> counts(kDaemons);
    auto late = counts;
    auto later = counts;
    Run run;
    std::optional<WallTime> verdictAt;
    WallTime lastWork = plan.begin;
    for (auto now = plan.begin; now <= plan.due && !(verdictAt && now > *verdictAt + 10s); now += kDelay) {
        double share = 0.0;
        for (int n = 0; n < kDaemons; ++n) {
            if (verdictAt && now >= *verdictAt + kRecordDelay) {
                gates[n].rolledBack(run.evidence);
            }
            const auto &verdict =
                gates[n].update(viewOf(n, counts, late, behaviour.oldVersionLater ? later : late), now);
            share += verdict.share / kDaemons;
            run.recordedDone = run.recordedDone || verdict.state == RolloutState::Done;
            run.warned = run.warned || (verdict.willMissDue && now < plan.due);
            if (verdict.state == RolloutState::RolledBack && !verdictAt) {
                verdictAt = now;
                run.evidence = verdict.reason;
            }
        }
        const bool shows = now - plan.begin >= behaviour.from && share > behaviour.aboveShare;
        if (!verdictAt && (!shows || behaviour.from == 0s)) {
            run.highestShareBeforeFault = std::max(run.highestShareBeforeFault, share);
        }
        run.highestShare = std::max(run.highestShare, share);
        if (share > 0.0) {
            lastWork = now;
        }
        later = std::exchange(late, counts);
        const bool trouble = now - plan.begin >= behaviour.commonFrom && now - plan.begin < behaviour.commonFrom + 1min;
        const double baseFailRate = trouble ? behaviour.commonFailRate : 0.005;
        const bool burst = behaviour.burstEvery > 0s && (now - plan.begin) % behaviour.burstEvery < kDelay;
        const double baseSlowRate = burst ? behaviour.burstSlowRate : trouble ? behaviour.commonSlowRate : 0.1;
        for (int n = 0; n < kDaemons; ++n) {
            for (int route = 0; route < behaviour.routes; ++route) {
                const bool faulty = shows && (behaviour.onlyRoute < 0 || behaviour.onlyRoute == route);
                const double mean = behaviour.perSecond / behaviour.routes / kDaemons;
                const double own = gates[n].verdict().share;
                auto &sums = counts[n][route];
                const auto to = outcomes(random, mean * own, std::max(baseFailRate, faulty ? behaviour.failRate : 0.0),
                                         std::max(baseSlowRate, faulty ? behaviour.slowRate : 0.0));
                sums.to += to;
                sums.from += outcomes(random, mean * (1.0 - own), baseFailRate, baseSlowRate);
                run.faultyOutcomes += faulty && !verdictAt ? to.finished : 0;
            }
        }
    }
    run.rolledBack = verdictAt.has_value();
    run.done = std::all_of(gates.begin(), gates.end(),
                           [](const auto &gate) { return gate.verdict().state == RolloutState::Done; });
    if (verdictAt) {
        run.secondsToStop = std::chrono::duration<double>(lastWork - *verdictAt).count();
    }
    return run;
}

// For log-normally distributed latencies with sigma 0.5, 54 % of the doubled latencies
// exceed the 0.9 quantile of the original ones.
constexpr double kDoubledSlowRate = 0.54;

// Simulates good versions, which must not be rolled back for the degradation of both
// versions in \a behaviours.
void expectKept(const std::vector<Behaviour> &behaviours)
{
    for (const auto &behaviour : behaviours) {
        const int seeds = 200;
        int rolledBack = 0;
        int done = 0;
        int unwarned = 0;
        for (int seed = 0; seed < seeds; ++seed) {
            const auto run = simulate(behaviour, 20'000 + seed);
            rolledBack += run.rolledBack;
            done += run.recordedDone;
            unwarned += !run.recordedDone && !run.rolledBack && !run.warned;
        }
        std::printf("%s: rolled back %d of %d, done in time %d\n", behaviour.name, rolledBack, seeds, done);
        std::fflush(stdout);
        cr_expect(rolledBack <= seeds / 100, "%s", behaviour.name);
        cr_expect(unwarned == 0, "%s", behaviour.name);
    }
}

} // namespace

Test(rollout_gate, rolls_back_faulty_versions_at_a_small_share)
{
    const std::vector<Behaviour> behaviours = {
        {.name = "fails 10 %", .failRate = 0.1, .perSecond = kFewCalls},
        {.name = "fails 30 %", .failRate = 0.3, .perSecond = kFewCalls},
        {.name = "twice as slow", .slowRate = kDoubledSlowRate, .perSecond = kFewCalls},
        {.name = "fails 10 % on one route", .failRate = 0.1, .onlyRoute = 4, .perSecond = kFewCalls},
        {.name = "twice as slow on one route", .slowRate = kDoubledSlowRate, .onlyRoute = 4, .perSecond = kFewCalls},
        {.name = "fails 3 %, single route", .failRate = 0.03, .perSecond = 60, .routes = 1, .mostOutcomes = 1'500},
        {.name = "fails 30 % later", .failRate = 0.3, .from = 4min},
        {.name = "fails 30 % with all traffic", .failRate = 0.3, .from = 8min, .mostOutcomes = 2'000},
        {.name = "twice as slow under load", .slowRate = kDoubledSlowRate, .aboveShare = 0.2},
    };
    for (const auto &behaviour : behaviours) {
        const int seeds = 200;
        int rolledBack = 0;
        double highest = 0.0;
        double slowestStop = 0.0;
        std::vector<std::int64_t> needed;
        for (int seed = 0; seed < seeds; ++seed) {
            const auto run = simulate(behaviour, seed);
            rolledBack += run.rolledBack;
            needed.push_back(run.faultyOutcomes);
            slowestStop = std::max(slowestStop, run.secondsToStop);
            if (behaviour.from == 0s && behaviour.aboveShare == 0.0) {
                highest = std::max(highest, run.highestShareBeforeFault);
            }
        }
        std::sort(needed.begin(), needed.end());
        std::printf("%s: rolled back %d of %d; highest share %.3f; outcomes needed p50 %ld, max %ld; stop %.0f s\n",
                    behaviour.name, rolledBack, seeds, highest, needed[seeds / 2], needed.back(), slowestStop);
        std::fflush(stdout);
        cr_expect(rolledBack == seeds, "%s", behaviour.name);
        cr_expect(highest <= 0.05 + 1e-9, "%s", behaviour.name);
        cr_expect(slowestStop <= 3.0, "%s", behaviour.name);
        cr_expect(needed.back() <= behaviour.mostOutcomes, "%s", behaviour.name);
    }
}

Test(rollout_gate, keeps_good_versions_and_finishes_in_time)
{
    const int seeds = 1000;
    int rolledBack = 0;
    int done = 0;
    for (int seed = 0; seed < seeds; ++seed) {
        const auto run = simulate({}, 10'000 + seed);
        rolledBack += run.rolledBack;
        done += run.done;
    }
    std::printf("good: rolled back %d of %d, done in time %d\n", rolledBack, seeds, done);
    cr_expect(rolledBack <= seeds / 100);
    cr_expect(done == seeds - rolledBack);
}

Test(rollout_gate, keeps_the_new_version_when_both_degrade)
{
    const std::vector<Behaviour> behaviours = {
        {.name = "both fail 20 %", .commonFailRate = 0.2},
        {.name = "both fail 20 %, few calls", .commonFailRate = 0.2, .perSecond = kFewCalls},
        {.name = "fails 3 % with all traffic", .commonFrom = 8min, .commonFailRate = 0.03},
        {.name = "both are slow", .commonSlowRate = kDoubledSlowRate},
        {.name = "both are slow, few calls", .commonSlowRate = kDoubledSlowRate, .perSecond = kFewCalls},
    };
    expectKept(behaviours);
}

Test(rollout_gate, keeps_the_new_version_when_both_degrade_in_short_bursts)
{
    expectKept({
        {.name = "both are slow for one second every 20 s", .burstEvery = 20s, .burstSlowRate = 0.6},
        {.name = "both are slow for one second every 20 s, few calls",
         .burstEvery = 20s,
         .burstSlowRate = 0.6,
         .perSecond = kFewCalls},
        {.name = "both are slow for one second every 20 s, the old version's counts later",
         .burstEvery = 20s,
         .burstSlowRate = 0.6,
         .oldVersionLater = true},
        {.name = "both are slow for one second every 20 s, the old version's counts later, few calls",
         .burstEvery = 20s,
         .burstSlowRate = 0.6,
         .oldVersionLater = true,
         .perSecond = kFewCalls},
    });
}

Test(rollout_gate, reports_early_that_the_due_time_will_be_missed)
{
    const auto plan = schedule(10min);
    auto gate = *RolloutGate::create(rolloutChart(), plan);
    RolloutCounts counts;
    for (auto now = plan.begin; now <= plan.begin + 30s; now += 1s) {
        counts[{"draft/generate", ZoneId("a")}].from.finished += 100;
        counts[{"draft/generate", ZoneId("a")}].to.finished += 2;
        counts[{"draft/generate", ZoneId("b")}].from.finished += 3;
        gate.update(counts, now);
    }
    const auto &verdict = gate.verdict();
    cr_expect(verdict.willMissDue);
    cr_expect(verdict.reason.find("draft/generate in zone b") != std::string::npos, "%s", verdict.reason.c_str());
    cr_expect(!verdict.projectedDone || *verdict.projectedDone > plan.due);
}

Test(rollout_gate, stays_at_the_first_share_without_outcomes)
{
    const auto plan = schedule(10min);
    auto gate = *RolloutGate::create(rolloutChart(), plan);
    for (auto now = plan.begin; now <= plan.due; now += 1s) {
        cr_assert(gate.update({}, now).share <= plan.policy.firstShare);
    }
    cr_expect(gate.verdict().state == RolloutState::Held);
    cr_expect(gate.verdict().willMissDue);
}

Test(rollout_gate, rejects_invalid_schedules)
{
    const auto rejects = [](const auto &change) {
        auto plan = schedule(10min);
        change(plan);
        return !RolloutGate::create(rolloutChart(), plan).ok();
    };
    cr_expect(rejects([](auto &plan) { plan.due = plan.begin; }));
    cr_expect(rejects([](auto &plan) { plan.to = plan.from; }));
    cr_expect(rejects([](auto &plan) { plan.policy.firstShare = 0.06; }));
    cr_expect(rejects([](auto &plan) { plan.policy.gateOutcomes = 0; }));
    cr_expect(!rejects([](auto &) {}));
}
