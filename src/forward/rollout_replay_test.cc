// The exposure limit over whole rollouts: whatever is wrong with a version, and whenever it
// shows, the version gets no more than the limit until the deadline.

#include "forward/rollout_replay_test.h"

#include <absl/strings/str_cat.h>
#include <rapidcheck.h>

#include <deque>
#include <vector>

#include <criterion/criterion.h>

namespace mimosahub::testing
{

namespace
{

using namespace std::chrono_literals;

const RolloutId kRollout{ServiceId("s"), VersionId("v2"), RolloutRecord(3)};
const ExposureLimit kLimit{0.1, 50.0};
constexpr Duration kStep = 10ms;
constexpr int kBadAnswers = 50; ///< After so many the bound on the rollback begins.
constexpr Duration kRollbackTime = 5s;
constexpr Duration kAfterDeadline = 7s; ///< Played after the deadline.
constexpr Duration kTakeover = 700ms; ///< Until a coordinator's successor is asked.
constexpr Duration kShareTime = 500ms;

/// One rollout while it is played.
class Replay
{
public:
    Replay(const Scenario &scenario, std::uint64_t seed)
        : m_scenario(scenario), m_random(seed), m_judge(std::make_unique<SplitJudge>(scenario.duration, kLimit))
    {
        m_judge->setStoreTime(scenario.storeAnswer);
        for (int i = 0; i < scenario.daemons; ++i) {
            m_daemons.emplace_back(m_random.uniform());
            m_daemons.back().split.setDaemons(scenario.daemons);
        }
    }

    Ending run()
    {
        for (m_elapsed = {}; m_elapsed < m_scenario.duration + kAfterDeadline; m_elapsed += kStep) {
            restartDaemons();
            replaceCoordinator();
            writeStatus();
            report();
            updateShare();
            m_due +=
                m_scenario.perSecond * m_scenario.rateFactor(m_elapsed) * std::chrono::duration<double>(kStep).count();
            for (; m_due >= 1.0; m_due -= 1.0) {
                request();
            }
        }
        return m_ending;
    }

private:
    struct Daemon {
        explicit Daemon(double rounding) : split(kLimit, rounding)
        {
        }
        VersionSplit split;
        RolloutCounts counts;
        std::uint64_t incarnation = 1;
        Duration startedAt{};
        TimePoint newsAt{1h};
        bool down = false;
    };

    [[nodiscard]] TimePoint now() const
    {
        return TimePoint(1h) + m_elapsed;
    }

    void restartDaemons()
    {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            auto &daemon = m_daemons[i];
            const bool down = m_scenario.isDown(static_cast<int>(i), m_elapsed);
            if (daemon.down && !down) {
                const auto incarnation = daemon.incarnation + 1;
                daemon = Daemon(m_random.uniform());
                daemon.split.setDaemons(m_scenario.daemons);
                daemon.incarnation = incarnation;
                daemon.startedAt = m_elapsed;
                if (isSettled(m_ending.phase)) {
                    daemon.split.setPhase(m_ending.phase);
                }
            }
            daemon.down = down;
        }
    }

    void replaceCoordinator()
    {
        const auto &dies = m_scenario.coordinatorDies;
        if (!dies || m_elapsed < *dies) {
            return;
        }
        if (m_elapsed < *dies + kTakeover) {
            m_judge.reset();
        } else if (!m_judge) {
            m_judge = std::make_unique<SplitJudge>(m_scenario.duration, kLimit);
        }
    }

    // The coordinator asks for it with each decision, so that what is written is the newest.
    void writeStatus()
    {
        if (isSettled(m_ending.phase) || !m_judge || !m_wanted || m_elapsed < m_wantedAt + m_scenario.storeTime) {
            return;
        }
        m_ending.phase = *m_wanted;
        m_ending.at = m_elapsed;
        m_ending.reason = m_judge->decision().reason;
        for (auto &daemon : m_daemons) {
            daemon.split.setPhase(m_ending.phase);
        }
    }

    void want(SplitPhase phase)
    {
        const bool final = phase == SplitPhase::Completing || isSettled(phase);
        const auto wanted = phase == SplitPhase::Completing ? SplitPhase::Completed : phase;
        if (!final) {
            m_wanted.reset();
        } else if (m_wanted != wanted) {
            m_wanted = wanted;
            m_wantedAt = m_elapsed;
        }
    }

    void report()
    {
        if (m_elapsed < m_nextReport || isSettled(m_ending.phase)) {
            return;
        }
        const auto phase = m_judge ? m_judge->decision().phase : SplitPhase::Trial;
        m_nextReport = m_elapsed + splitReportInterval(phase, m_scenario.duration - m_elapsed);
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (isHeard(i)) {
                m_judge->take(reportOf(i), now());
            }
        }
        if (m_judge) {
            want(m_judge->decide(m_scenario.daemons, now()).phase);
        }
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            takeDecision(i);
        }
    }

    [[nodiscard]] bool isHeard(std::size_t i) const
    {
        return m_judge && !m_daemons[i].down && !m_scenario.cutOff(static_cast<int>(i), m_elapsed);
    }

    [[nodiscard]] DaemonRun runOf(std::size_t i) const
    {
        return {InstanceId(std::to_string(i)), m_daemons[i].incarnation};
    }

    [[nodiscard]] SplitReport reportOf(std::size_t i) const
    {
        const auto &daemon = m_daemons[i];
        return {kRollout,     runOf(i), m_elapsed - daemon.startedAt, daemon.split.phase(), "", daemon.split.sends(),
                daemon.counts};
    }

    void takeDecision(std::size_t i)
    {
        auto &daemon = m_daemons[i];
        if (isHeard(i)) {
            const auto decision = m_judge->decisionFor(runOf(i), now());
            daemon.newsAt = now();
            daemon.split.setTargetCap(decision.targetCap);
            daemon.split.setTriedRoutes(decision.triedRoutes);
            daemon.split.setPhase(decision.phase);
        } else if (now() - daemon.newsAt > kRolloutNewsAge && !isSettled(daemon.split.phase())) {
            daemon.split.setPhase(SplitPhase::Paused);
        }
    }

    void updateShare()
    {
        if (m_elapsed % kShareTime == Duration::zero()) {
            m_share = m_recentAll == 0 ? 0.0 : static_cast<double>(m_recentTarget) / m_recentAll;
            m_recentAll = m_recentTarget = 0;
        }
    }

    [[nodiscard]] int drawRoute()
    {
        const auto routes = static_cast<std::uint64_t>(m_scenario.routes);
        if (m_scenario.rarePart == 0.0) {
            return static_cast<int>(m_random.below(routes));
        }
        return m_random.uniform() < m_scenario.rarePart ? 0 : 1 + static_cast<int>(m_random.below(routes - 1));
    }

    Daemon *drawDaemon()
    {
        std::vector<Daemon *> running;
        for (auto &daemon : m_daemons) {
            if (!daemon.down) {
                running.push_back(&daemon);
            }
        }
        return running.empty() ? nullptr : running[m_random.below(running.size())];
    }

    [[nodiscard]] Rates targetRates(int route)
    {
        const auto &fault = m_scenario.loadFault;
        if (fault) {
            m_targetArrivals.push_back(m_elapsed);
            while (m_targetArrivals.front() < m_elapsed - fault->window) {
                m_targetArrivals.pop_front();
            }
            if (m_targetArrivals.size() > static_cast<std::size_t>(fault->requests)) {
                return fault->rates;
            }
        }
        return m_scenario.target(route, m_elapsed, m_share);
    }

    void request()
    {
        auto *daemon = drawDaemon();
        if (daemon == nullptr) {
            return;
        }
        const auto route = drawRoute();
        const RouteId routeId(std::to_string(route));
        const bool target = daemon->split.drawTarget(routeId, m_random);
        const auto rates = target ? targetRates(route) : m_scenario.old;
        const bool failed = m_random.uniform() < rates.failed;
        const bool slow = !failed && m_random.uniform() < rates.slow;
        auto &counts = daemon->counts[{routeId.str(), ZoneId("any")}];
        auto &version = target ? counts.to : counts.from;
        ++version.finished;
        version.failed += failed ? 1 : 0;
        version.slow += slow ? 1 : 0;
        const bool inTime = m_elapsed < m_scenario.duration;
        m_ending.all += inTime ? 1 : 0;
        ++m_recentAll;
        if (!target) {
            daemon->split.recordOldSend(routeId);
            return;
        }
        daemon->split.recordTargetSend(routeId);
        m_ending.target += inTime ? 1 : 0;
        ++m_recentTarget;
        m_ending.lastTarget = m_elapsed;
        m_bad += failed || slow ? 1 : 0;
        if (m_bad == kBadAnswers && !m_ending.fiftieth) {
            m_ending.fiftieth = m_elapsed;
        }
    }

    const Scenario &m_scenario;
    Random m_random;
    std::unique_ptr<SplitJudge> m_judge; ///< Absent between two coordinators.
    std::vector<Daemon> m_daemons;
    Ending m_ending;
    Duration m_elapsed{}; ///< Since the order.
    Duration m_nextReport{};
    std::optional<SplitPhase> m_wanted; ///< The status that is being written.
    Duration m_wantedAt{};
    std::deque<Duration> m_targetArrivals; ///< Within the window of the load fault.
    double m_due = 0.0; ///< Requests that are to be sent.
    double m_share = 0.0;
    int m_recentAll = 0;
    int m_recentTarget = 0;
    int m_bad = 0; ///< Bad answers of the target.
};

} // namespace

bool Ending::withinExposure() const
{
    return target <= kLimit.allowed(all);
}

bool Ending::stoppedInTime() const
{
    return !fiftieth || *lastTarget <= *fiftieth + kRollbackTime;
}

std::string Ending::describe() const
{
    const auto milliseconds = [](std::optional<Duration> time) {
        return time ? std::chrono::duration_cast<std::chrono::milliseconds>(*time).count() : -1;
    };
    return absl::StrCat(std::string(splitPhaseName(phase)), " at ", milliseconds(at), " ms, ", target, " of ", all,
                        " at the target, ", "fiftieth bad answer at ", milliseconds(fiftieth), ", last request at ",
                        milliseconds(lastTarget), ": ", reason);
}

Ending play(const Scenario &scenario, std::uint64_t seed)
{
    return Replay(scenario, seed).run();
}

void expectAll(const Scenario &scenario, SplitPhase phase)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        const auto ending = play(scenario, seed);
        cr_assert(ending.phase == phase, "seed %d: %s", static_cast<int>(seed), ending.describe().c_str());
        cr_assert(ending.withinExposure(), "seed %d: %s", static_cast<int>(seed), ending.describe().c_str());
        cr_assert(phase != SplitPhase::Completed || ending.at < scenario.duration, "seed %d: %s",
                  static_cast<int>(seed), ending.describe().c_str());
        if (phase == SplitPhase::RolledBack) {
            cr_assert(ending.stoppedInTime(), "seed %d: %s", static_cast<int>(seed), ending.describe().c_str());
        }
    }
}

void expectAllWithAnyDaemons(Scenario scenario, SplitPhase phase)
{
    for (const int daemons : {1, 2, 7, 70}) {
        scenario.daemons = daemons;
        scenario.perSecond = daemons == 70 ? 400.0 : 50.0;
        expectAll(scenario, phase);
    }
}

namespace
{

/// The figures of review/9.
Scenario failingUnderLoad()
{
    Scenario scenario;
    scenario.daemons = 2;
    scenario.perSecond = 52.0;
    scenario.duration = 20s;
    scenario.routes = 1;
    scenario.old = {0.0, 0.0};
    scenario.target = [](int, Duration, double) { return Rates{}; };
    scenario.loadFault = LoadFault{75, 2500ms, {0.5, 0.0}};
    return scenario;
}

/// A service of any size, and an order of any duration.
Scenario anyService()
{
    Scenario scenario;
    scenario.daemons = *rc::gen::element(1, 2, 7, 30);
    scenario.perSecond = *rc::gen::inRange(5, 400);
    scenario.duration = std::chrono::seconds(*rc::gen::inRange(3, 40));
    return scenario;
}

/// Rates of a version that fails, or is slow, in \a leastTenths of ten answers or more.
Rates anyRates(int leastTenths)
{
    const auto share = *rc::gen::inRange(leastTenths, 11) / 10.0;
    return *rc::gen::arbitrary<bool>() ? Rates{share, 0.03} : Rates{0.005, share};
}

void expectKept(const Ending &ending)
{
    RC_LOG(ending.describe());
    RC_ASSERT(ending.withinExposure());
    RC_ASSERT(ending.phase == SplitPhase::Completed || ending.stoppedInTime());
}

} // namespace

// The version was completed three seconds before the deadline, when it had had all requests for less
// than two seconds, and got twice its limit by the deadline.
Test(rollout_replay, a_version_that_fails_after_some_time_under_load_ends_in_a_rollback)
{
    expectAll(failingUnderLoad(), SplitPhase::RolledBack);
}

// Before, each of these versions got up to twice its limit by the deadline.
Test(rollout_replay, a_version_that_turns_bad_at_any_moment_keeps_to_the_exposure_limit)
{
    cr_assert(rc::check([] {
        auto scenario = anyService();
        const auto share = *rc::gen::inRange(0, 110);
        const auto badFrom = scenario.duration * share / 100;
        const auto bad = anyRates(1);
        scenario.target = [=](int, Duration elapsed, double) { return elapsed < badFrom ? Rates{0.005, 0.03} : bad; };
        expectKept(play(scenario, *rc::gen::arbitrary<std::uint64_t>()));
    }));
}

Test(rollout_replay, a_version_with_any_load_fault_keeps_to_the_exposure_limit)
{
    cr_assert(rc::check([] {
        auto scenario = anyService();
        const auto window = std::chrono::milliseconds(*rc::gen::inRange(200, 5'000));
        const auto requests = *rc::gen::inRange(1, 500);
        scenario.loadFault = LoadFault{requests, window, anyRates(2)};
        expectKept(play(scenario, *rc::gen::arbitrary<std::uint64_t>()));
    }));
}

// A burst, a lull or the loss of a zone. Of what changes within the second before the verdict the daemons
// have seen too little: for that there is a reserve of a quarter of the rate.
Test(rollout_replay, the_exposure_limit_holds_when_the_rate_changes)
{
    cr_assert(rc::check([] {
        Scenario scenario;
        scenario.daemons = *rc::gen::element(1, 2, 7, 30);
        scenario.perSecond = *rc::gen::inRange(20, 300);
        scenario.duration = std::chrono::seconds(*rc::gen::inRange(10, 30));
        const bool strong = *rc::gen::arbitrary<bool>();
        const auto factor = strong ? *rc::gen::element(0.2, 0.5, 2.0, 3.0) : *rc::gen::element(0.8, 1.1, 1.25);
        const Duration end = strong ? Duration(scenario.duration - 1500ms) : scenario.duration;
        const auto from = end * *rc::gen::inRange(0, 100) / 100;
        const auto until = std::min(end, Duration(from + std::chrono::milliseconds(*rc::gen::inRange(100, 8'000))));
        scenario.rateFactor = [=](Duration elapsed) { return elapsed >= from && elapsed < until ? factor : 1.0; };
        const auto ending = play(scenario, *rc::gen::arbitrary<std::uint64_t>());
        RC_LOG(ending.describe());
        RC_ASSERT(ending.withinExposure());
    }));
}

Test(rollout_replay, the_exposure_limit_holds_while_daemons_come_and_go)
{
    cr_assert(rc::check([] {
        Scenario scenario;
        scenario.daemons = *rc::gen::inRange(2, 20);
        scenario.perSecond = *rc::gen::inRange(20, 300);
        scenario.duration = std::chrono::seconds(*rc::gen::inRange(10, 30));
        const auto from = scenario.duration * *rc::gen::inRange(0, 100) / 100;
        const auto gap = std::chrono::milliseconds(*rc::gen::inRange(100, 2'000));
        const auto downTime = std::chrono::milliseconds(*rc::gen::inRange(300, 3'000));
        scenario.isDown = [=](int daemon, Duration elapsed) {
            const auto begin = from + daemon * gap;
            return daemon > 0 && elapsed >= begin && elapsed < begin + downTime;
        };
        scenario.target = [=](int, Duration elapsed, double) { return Rates{elapsed < from ? 0.005 : 0.5, 0.03}; };
        const auto ending = play(scenario, *rc::gen::arbitrary<std::uint64_t>());
        RC_LOG(ending.describe());
        RC_ASSERT(ending.withinExposure());
    }));
}

Test(rollout_replay, the_exposure_limit_holds_when_the_coordinator_dies)
{
    cr_assert(rc::check([] {
        auto scenario = failingUnderLoad();
        scenario.daemons = *rc::gen::inRange(1, 20);
        scenario.perSecond = *rc::gen::inRange(20, 300);
        scenario.coordinatorDies = std::chrono::milliseconds(*rc::gen::inRange(15'000, 20'000));
        const auto ending = play(scenario, *rc::gen::arbitrary<std::uint64_t>());
        RC_LOG(ending.describe());
        RC_ASSERT(ending.withinExposure());
    }));
}

// The old endpoints stay while the store doesn't hold the verdict: what fails then is still rolled back.
Test(rollout_replay, a_fault_after_the_verdict_rolls_back_while_the_store_is_silent)
{
    Scenario scenario;
    scenario.duration = 20s;
    scenario.storeTime = 5s;
    scenario.target = [](int, Duration elapsed, double) { return Rates{elapsed < 20s ? 0.005 : 0.5, 0.03}; };
    expectAll(scenario, SplitPhase::RolledBack);
}

// The time under load that the limit pays for, less that from the verdict to the deadline.
Test(rollout_replay, sound_versions_are_completed_at_any_rate)
{
    for (const double perSecond : {3.0, 8.0, 20.0, 50.0, 200.0, 300.0}) {
        Scenario scenario;
        scenario.daemons = 2;
        scenario.duration = 20s;
        scenario.perSecond = perSecond;
        expectAll(scenario, SplitPhase::Completed);
    }
}

// At 8 requests a second a bad version was completed with more than half of the limit unused.
Test(rollout_replay, a_fault_under_the_load_of_a_small_service_is_found)
{
    auto scenario = failingUnderLoad();
    scenario.perSecond = 8.0;
    scenario.loadFault = LoadFault{12, 2500ms, {0.5, 0.0}};
    expectAll(scenario, SplitPhase::RolledBack);
}

Test(rollout_replay, sound_versions_are_completed_though_the_rate_rises_in_the_load_test)
{
    Scenario scenario;
    scenario.duration = 20s;
    scenario.perSecond = 50.0;
    scenario.rateFactor = [](Duration elapsed) { return elapsed >= 18s ? 2.0 : 1.0; };
    expectAll(scenario, SplitPhase::Completed);
}

Test(rollout_replay, sound_versions_are_completed_though_daemons_restart_in_turn)
{
    Scenario scenario;
    scenario.duration = 20s;
    scenario.perSecond = 50.0;
    scenario.isDown = [](int daemon, Duration elapsed) {
        const auto begin = 5s + daemon * 2s;
        return elapsed >= begin && elapsed < begin + 1s;
    };
    expectAll(scenario, SplitPhase::Completed);
}

// Its successor is asked 700 ms later.
Test(rollout_replay, sound_versions_are_completed_though_the_coordinator_dies_in_the_load_test)
{
    for (const double perSecond : {8.0, 50.0, 300.0}) {
        for (const auto dies : {18'000ms, 18'700ms}) {
            Scenario scenario;
            scenario.duration = 20s;
            scenario.perSecond = perSecond;
            scenario.coordinatorDies = dies;
            expectAll(scenario, SplitPhase::Completed);
        }
    }
}

// For the time until a write is made again.
Test(rollout_replay, sound_versions_are_completed_though_the_store_is_silent_for_a_moment)
{
    for (const double perSecond : {8.0, 50.0, 300.0}) {
        Scenario scenario;
        scenario.daemons = 2;
        scenario.duration = 20s;
        scenario.perSecond = perSecond;
        scenario.storeTime = 270ms;
        expectAll(scenario, SplitPhase::Completed);
    }
}

} // namespace mimosahub::testing
