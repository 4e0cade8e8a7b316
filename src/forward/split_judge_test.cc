#include "forward/rollout_replay_test.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace mimosahub::testing;
using namespace std::chrono_literals;

namespace
{

const RolloutId kRollout{ServiceId("s"), VersionId("v2"), RolloutRecord(3)};
const ExposureLimit kLimit{0.1, 50.0};

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
    SplitReport report{kRollout, {InstanceId("a"), 1}, 6s, SplitPhase::Trial, "", {}, {}};
    report.counts[{"r", ZoneId("any")}] = {{400, 2, 8}, {30, 15, 0}};
    SplitJudge second(15s, kLimit);
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
    SplitJudge judge(15s, kLimit);
    const TimePoint now(1h);
    judge.take({kRollout, {InstanceId("a"), 1}, 1s, SplitPhase::RolledBack, "half of it failed", {}, {}}, now);
    cr_assert(judge.decide(70, now).phase == SplitPhase::RolledBack);
    cr_assert(judge.decide(70, now).reason == "half of it failed");
}

// A coordinator that was frozen has no news of the others and decides nothing.
Test(split_judge, old_reports_complete_nothing)
{
    SplitJudge judge(15s, kLimit);
    TimePoint now(1h);
    for (const auto *daemon : {"a", "b"}) {
        SplitReport report{kRollout, {InstanceId(daemon), 1}, 12s, SplitPhase::Completing, "", {}, {}};
        report.counts[{"r", ZoneId("any")}] = {{400, 2, 8}, {60, 0, 1}};
        judge.take(report, now);
    }
    now += 2100ms;
    cr_assert(judge.decide(2, now).phase == SplitPhase::Trial);
}

// A store that answers in 200 ms: the status was written after the deadline.
Test(split_judge, the_verdict_leaves_a_slow_store_its_time)
{
    Scenario scenario;
    scenario.duration = 15s;
    scenario.perSecond = 50.0;
    scenario.storeAnswer = 200ms;
    scenario.storeTime = 620ms; // A write, a read after a conflict, and a write again.
    expectAll(scenario, SplitPhase::Completed);
}

// Six bad answers of its first fourteen, by chance, kept a sound version from its load test: the trial
// brought few more.
Test(split_judge, a_sound_version_of_a_small_service_that_often_fails_is_completed)
{
    Scenario scenario;
    scenario.daemons = 7;
    scenario.perSecond = 18.0;
    scenario.duration = 15s;
    scenario.routes = 2;
    scenario.old = {0.15, 0.03};
    scenario.target = [](int, Duration, double) { return Rates{0.15, 0.03}; };
    int completed = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        completed += play(scenario, seed).phase == SplitPhase::Completed ? 1 : 0;
    }
    cr_assert_geq(completed, 98, "%d of 100", completed);
}
