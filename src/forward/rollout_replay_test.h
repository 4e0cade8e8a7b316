#pragma once

#include "forward/split_judge.h"

#include <functional>
#include <optional>
#include <string>

/// Rollouts played with simulated daemons: each draws, counts and reports for itself, and
/// one judge decides for all. For tests.
namespace mimosahub::testing
{

/// Rates of bad answers.
struct Rates {
    double failed = 0.0;
    double slow = 0.0;
};

/// A number of requests in some time, above which a version has other rates of bad answers.
struct LoadFault {
    int requests = 0;
    Duration window{};
    Rates rates;
};

struct Scenario {
    int daemons = 6;
    double perSecond = 45.0; ///< Requests of the service, over all daemons.
    Duration duration = std::chrono::seconds(15);
    int routes = 3;
    double rarePart = 0.0; ///< Of the requests that go to route 0 alone, if not 0; the others share the rest.
    Rates old = {0.005, 0.03};
    /// The target's rates on \a route, \a elapsed after the order, with \a share of the last half second's requests.
    std::function<Rates(int route, Duration elapsed, double share)> target = [](int, Duration, double) {
        return Rates{0.005, 0.03};
    };
    std::optional<LoadFault> loadFault; ///< Of the target.
    std::function<double(Duration elapsed)> rateFactor = [](Duration) { return 1.0; };
    /// The daemon exchanges no message with the coordinator.
    std::function<bool(int daemon, Duration elapsed)> cutOff = [](int, Duration) { return false; };
    /// The daemon is not running; what it counted is lost.
    std::function<bool(int daemon, Duration elapsed)> isDown = [](int, Duration) { return false; };
    std::optional<Duration> coordinatorDies; ///< Another one has taken over 700 ms later.
    Duration storeAnswer{}; ///< As it was measured before.
    Duration storeTime = std::chrono::milliseconds(20); ///< From the verdict until the store holds it.
};

/// How a rollout ended, and what reached the target.
struct Ending {
    SplitPhase phase = SplitPhase::Paused; ///< As the store holds it.
    Duration at{}; ///< Since the order.
    std::string reason;
    int target = 0; ///< Requests until the deadline that reached the target.
    int all = 0; ///< Requests until the deadline.
    std::optional<Duration> fiftieth; ///< When the target gave its fiftieth bad answer.
    std::optional<Duration> lastTarget; ///< When the last request reached the target.

    [[nodiscard]] bool withinExposure() const;
    [[nodiscard]] bool stoppedInTime() const;
    /// All figures, for a failed assertion.
    [[nodiscard]] std::string describe() const;
};

/// Plays the scenario until some seconds after the deadline.
[[nodiscard]] Ending play(const Scenario &scenario, std::uint64_t seed);

/// Plays the scenario with several seeds: each ends in \a phase, within the exposure limit, and completed
/// before the deadline.
void expectAll(const Scenario &scenario, SplitPhase phase);
/// Plays the scenario as expectAll() does, with one daemon up to many.
void expectAllWithAnyDaemons(Scenario scenario, SplitPhase phase);

} // namespace mimosahub::testing
