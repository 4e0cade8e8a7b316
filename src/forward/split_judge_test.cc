// Rollouts played with simulated daemons: each draws, counts and reports for itself, and
// one judge decides for all.

#include "forward/split_judge.h"

#include <rapidcheck.h>

#include <functional>
#include <vector>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const RolloutId kRollout{ServiceId("s"), VersionId("v2"), RolloutRecord(3)};
const ExposureLimit kLimit{0.1, 50.0};
constexpr Duration kStep = 20ms;
constexpr Duration kReportEvery = 300ms;
constexpr int kBadAnswers = 50; ///< After so many the bound on the rollback begins.

/// Rates of bad answers.
struct Rates {
    double failed = 0.0;
    double slow = 0.0;
};

struct Scenario {
    int daemons = 6;
    double perSecond = 45.0; ///< Requests of the service, over all daemons.
    Duration duration = 15s;
    int routes = 3;
    double rarePart = 0.0; ///< Of the requests that go to route 0 alone, if not 0; the others share the rest.
    Rates old = {0.005, 0.03};
    /// The target's rates on \a route, \a elapsed after the order, with \a share of the last half second's requests.
    std::function<Rates(int route, Duration elapsed, double share)> target;
    std::function<bool(int daemon, Duration elapsed)> cutOff = [](int, Duration) { return false; };
};

struct Ending {
    SplitPhase phase = SplitPhase::Paused;
    Duration at{};
    std::string reason;
    int target = 0;
    int all = 0;
    std::optional<Duration> fiftieth;
    std::optional<Duration> lastTarget;

    [[nodiscard]] bool withinExposure() const
    {
        return target <= kLimit.share * all + kLimit.slack;
    }
    [[nodiscard]] bool stoppedInTime() const
    {
        return !fiftieth || *lastTarget <= *fiftieth + 5s;
    }
};

struct Daemon {
    VersionSplit split{kLimit};
    RolloutCounts counts;
    TimePoint newsAt{1h};
};

int drawRoute(const Scenario &scenario, Random &random)
{
    const auto routes = static_cast<std::uint64_t>(scenario.routes);
    if (scenario.rarePart == 0.0) {
        return static_cast<int>(random.below(routes));
    }
    return random.uniform() < scenario.rarePart ? 0 : 1 + static_cast<int>(random.below(routes - 1));
}

Ending play(const Scenario &scenario, std::uint64_t seed)
{
    Random random(seed);
    SplitJudge judge(scenario.duration);
    std::vector<Daemon> daemons(static_cast<std::size_t>(scenario.daemons));
    for (auto &daemon : daemons) {
        daemon.split.setDaemons(scenario.daemons);
    }
    Ending ending;
    int recentAll = 0;
    int recentTarget = 0;
    double share = 0.0;
    double due = 0.0;
    const TimePoint begin(1h);
    Duration nextReport{};
    for (Duration elapsed{}; elapsed < scenario.duration; elapsed += kStep) {
        const auto now = begin + elapsed;
        if (elapsed >= nextReport) {
            nextReport += kReportEvery;
            for (std::size_t i = 0; i < daemons.size(); ++i) {
                if (scenario.cutOff(static_cast<int>(i), elapsed)) {
                    continue;
                }
                SplitReport report{kRollout,         InstanceId(std::to_string(i)), 1,
                                   elapsed,          daemons[i].split.phase(),      "",
                                   daemons[i].counts};
                judge.take(report, now);
            }
            const auto decision = judge.decide(scenario.daemons, now);
            for (std::size_t i = 0; i < daemons.size(); ++i) {
                const bool cut = scenario.cutOff(static_cast<int>(i), elapsed);
                daemons[i].newsAt = cut ? daemons[i].newsAt : now;
                if (!cut) {
                    daemons[i].split.setPhase(decision.phase);
                } else if (now - daemons[i].newsAt > 2s) {
                    daemons[i].split.setPhase(SplitPhase::Paused);
                }
            }
            if (isSettled(decision.phase) && ending.at == Duration::zero()) {
                ending.phase = decision.phase;
                ending.at = elapsed;
                ending.reason = decision.reason;
            }
        }
        if (elapsed % Duration(500ms) == Duration::zero()) {
            share = recentAll == 0 ? 0.0 : static_cast<double>(recentTarget) / recentAll;
            recentAll = recentTarget = 0;
        }
        due += scenario.perSecond * std::chrono::duration<double>(kStep).count();
        for (; due >= 1.0; due -= 1.0) {
            auto &daemon = daemons[random.below(daemons.size())];
            const auto route = drawRoute(scenario, random);
            const RouteId routeId(std::to_string(route));
            const bool target = daemon.split.drawTarget(routeId, random);
            const auto rates = target ? scenario.target(route, elapsed, share) : scenario.old;
            const bool failed = random.uniform() < rates.failed;
            const bool slow = !failed && random.uniform() < rates.slow;
            auto &counts = daemon.counts[{routeId.str(), ZoneId("any")}];
            auto &version = target ? counts.to : counts.from;
            ++version.finished;
            version.failed += failed ? 1 : 0;
            version.slow += slow ? 1 : 0;
            ++ending.all;
            ++recentAll;
            if (target) {
                daemon.split.recordTargetSend(routeId);
                ++ending.target;
                ++recentTarget;
                ending.lastTarget = elapsed;
            } else {
                daemon.split.recordOldSend(routeId);
            }
            const auto &all = judge.sum().to;
            if (!ending.fiftieth && all.failed + all.slow >= kBadAnswers) {
                ending.fiftieth = elapsed;
            }
        }
    }
    return ending;
}

/// Plays the scenario with several seeds.
void expectAll(const Scenario &scenario, SplitPhase phase)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        const auto ending = play(scenario, seed);
        cr_assert(ending.phase == phase, "seed %d: %s at %lld ms, %d of %d, %s", static_cast<int>(seed),
                  std::string(splitPhaseName(ending.phase)).c_str(), static_cast<long long>(ending.at / Duration(1ms)),
                  ending.target, ending.all, ending.reason.c_str());
        if (phase == SplitPhase::RolledBack) {
            cr_assert(ending.withinExposure() && ending.stoppedInTime(), "seed %d: %d of %d", static_cast<int>(seed),
                      ending.target, ending.all);
        }
    }
}

/// Plays the scenario as expectAll() does, with one daemon up to many.
void expectAllWithAnyDaemons(Scenario scenario, SplitPhase phase)
{
    for (const int daemons : {1, 2, 7, 70}) {
        scenario.daemons = daemons;
        scenario.perSecond = daemons == 70 ? 400.0 : 50.0;
        expectAll(scenario, phase);
    }
}

} // namespace

Test(split_judge, a_slow_version_ends_in_a_rollback_within_its_bound)
{
    Scenario scenario;
    scenario.target = [](int, Duration, double) { return Rates{0.005, 0.5}; };
    expectAll(scenario, SplitPhase::RolledBack);
    scenario.daemons = 70;
    scenario.perSecond = 400.0;
    expectAll(scenario, SplitPhase::RolledBack);
}

Test(split_judge, a_failing_version_ends_in_a_rollback)
{
    Scenario scenario;
    scenario.target = [](int, Duration, double) { return Rates{0.4, 0.03}; };
    expectAll(scenario, SplitPhase::RolledBack);
}

Test(split_judge, a_version_that_fails_later_ends_in_a_rollback)
{
    Scenario scenario;
    scenario.target = [](int, Duration elapsed, double) { return Rates{elapsed < 7s ? 0.005 : 0.5, 0.03}; };
    expectAll(scenario, SplitPhase::RolledBack);
}

Test(split_judge, a_version_that_is_slow_under_load_ends_in_a_rollback)
{
    Scenario scenario;
    scenario.target = [](int, Duration, double share) { return Rates{0.005, share > 0.2 ? 0.6 : 0.03}; };
    scenario.perSecond = 200.0;
    expectAll(scenario, SplitPhase::RolledBack);
}

Test(split_judge, a_version_that_fails_on_one_route_ends_in_a_rollback)
{
    Scenario scenario;
    scenario.target = [](int route, Duration, double) { return Rates{route == 0 ? 0.7 : 0.005, 0.03}; };
    expectAll(scenario, SplitPhase::RolledBack);
}

// A route with 2 in 100 of the requests had too few outcomes to be looked at: the version was completed,
// and each request of the route failed from then on.
Test(split_judge, a_version_that_fails_on_a_rare_route_ends_in_a_rollback)
{
    Scenario scenario;
    scenario.duration = 20s;
    scenario.rarePart = 0.02;
    scenario.target = [](int route, Duration, double) { return Rates{route == 0 ? 1.0 : 0.005, 0.03}; };
    expectAllWithAnyDaemons(scenario, SplitPhase::RolledBack);
}

Test(split_judge, a_sound_version_with_a_rare_route_is_completed)
{
    Scenario scenario;
    scenario.duration = 20s;
    scenario.target = [](int, Duration, double) { return Rates{0.005, 0.03}; };
    for (const double rarePart : {0.001, 0.005, 0.02, 0.1}) {
        scenario.rarePart = rarePart;
        expectAllWithAnyDaemons(scenario, SplitPhase::Completed);
    }
}

Test(split_judge, a_sound_version_is_completed_by_the_deadline)
{
    Scenario scenario;
    scenario.target = [](int, Duration, double) { return Rates{0.005, 0.03}; };
    expectAll(scenario, SplitPhase::Completed);
    scenario.daemons = 70;
    scenario.perSecond = 400.0;
    expectAll(scenario, SplitPhase::Completed);
    scenario.duration = 40s;
    expectAll(scenario, SplitPhase::Completed);
}

// A degradation of both versions isn't the new one's fault.
Test(split_judge, a_degradation_of_both_versions_rolls_nothing_back)
{
    Scenario scenario;
    scenario.old = {0.1, 0.3};
    scenario.target = [](int, Duration, double) { return Rates{0.1, 0.3}; };
    expectAll(scenario, SplitPhase::Completed);
}

// The limit holds over all daemons, whatever some of them get to know.
Test(split_judge, daemons_that_are_cut_off_keep_to_the_exposure_limit)
{
    cr_assert(rc::check([] {
        Scenario scenario;
        scenario.daemons = *rc::gen::inRange(1, 71);
        scenario.perSecond = *rc::gen::inRange(10, 500);
        scenario.duration = std::chrono::seconds(*rc::gen::inRange(5, 30));
        const auto cutPart = *rc::gen::inRange(0, 101);
        const auto from = std::chrono::milliseconds(*rc::gen::inRange(0, 20'000));
        const auto badFrom = std::chrono::milliseconds(*rc::gen::inRange(0, 5'000));
        scenario.target = [badFrom](int, Duration elapsed, double) {
            return Rates{0.005, elapsed < badFrom ? 0.03 : 0.6};
        };
        scenario.cutOff = [=](int daemon, Duration elapsed) { return daemon % 100 < cutPart && elapsed >= from; };
        const auto ending = play(scenario, *rc::gen::arbitrary<std::uint64_t>());
        RC_ASSERT(ending.phase != SplitPhase::Completed);
        RC_ASSERT(ending.withinExposure());
    }));
}

// The example that the property above found: the short rollout's last phases passed within the
// age of the last report.
Test(split_judge, phases_of_which_nothing_was_reported_complete_nothing)
{
    Scenario scenario;
    scenario.daemons = 1;
    scenario.perSecond = 175.0;
    scenario.duration = 5s;
    scenario.target = [](int, Duration elapsed, double) { return Rates{0.005, elapsed < 2121ms ? 0.03 : 0.6}; };
    scenario.cutOff = [](int, Duration elapsed) { return elapsed >= 3001ms; };
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        const auto ending = play(scenario, seed);
        cr_expect(ending.phase != SplitPhase::Completed, "seed %d: %s", static_cast<int>(seed), ending.reason.c_str());
        cr_expect(ending.withinExposure(), "seed %d", static_cast<int>(seed));
    }
}

Test(split_judge, short_rollouts_of_sound_versions_are_completed)
{
    Scenario scenario;
    scenario.duration = 5s;
    scenario.perSecond = 300.0;
    scenario.target = [](int, Duration, double) { return Rates{0.005, 0.03}; };
    expectAll(scenario, SplitPhase::Completed);
    scenario.daemons = 70;
    expectAll(scenario, SplitPhase::Completed);
}

Test(split_judge, a_coordinator_that_takes_over_has_all_counts_with_the_next_reports)
{
    SplitReport report{kRollout, InstanceId("a"), 1, 6s, SplitPhase::Trial, "", {}};
    report.counts[{"r", ZoneId("any")}] = {{400, 2, 8}, {30, 15, 0}};
    SplitJudge second(15s);
    TimePoint now(1h);
    second.take(report, now);
    for (int i = 0; i < 6; ++i) {
        second.take(report, now);
        static_cast<void>(second.decide(1, now));
        now += 300ms;
    }
    cr_assert(second.decide(1, now).phase == SplitPhase::RolledBack);
}

Test(split_judge, a_fault_that_one_daemon_found_counts_for_all)
{
    SplitJudge judge(15s);
    const TimePoint now(1h);
    judge.take({kRollout, InstanceId("a"), 1, 1s, SplitPhase::RolledBack, "half of it failed", {}}, now);
    cr_assert(judge.decide(70, now).phase == SplitPhase::RolledBack);
    cr_assert(judge.decide(70, now).reason == "half of it failed");
}

// A coordinator that was frozen has no news of the others and decides nothing.
Test(split_judge, old_reports_complete_nothing)
{
    SplitJudge judge(15s);
    TimePoint now(1h);
    for (const auto *daemon : {"a", "b"}) {
        SplitReport report{kRollout, InstanceId(daemon), 1, 12s, SplitPhase::Moving, "", {}};
        report.counts[{"r", ZoneId("any")}] = {{400, 2, 8}, {60, 0, 1}};
        judge.take(report, now);
    }
    now += 2100ms;
    cr_assert(judge.decide(2, now).phase == SplitPhase::Trial);
}
