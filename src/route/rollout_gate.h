#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/configuration.h"
#include "route/chart.h"
#include "route/rollout_evidence.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// How much of a service's traffic a new version gets, and whether it is kept.
namespace mimosahub
{

/// A published rollout of one service.
struct RolloutSchedule {
    ServiceId service;
    VersionId from;
    VersionId to;
    WallTime begin; ///< The new version gets traffic from here on.
    WallTime due; ///< All traffic has moved by here, if nothing speaks against it.
    VersionPolicy policy;
};

/// States of charts/rollout.json.
enum class RolloutState {
    Announced, ///< Before its beginning.
    Probing, ///< First share, until each route has enough outcomes.
    Stepping, ///< Moves along the schedule.
    Held, ///< Behind the schedule: a step waits for outcomes.
    Done, ///< All traffic moved.
    TakenBack, ///< A fault was found; for good.
    Aborted, ///< Ended by an operator.
};

/// "announced", "probing" and so on, as in the chart.
[[nodiscard]] std::string_view rolloutStateName(RolloutState state);

/// The names that charts/rollout.json may use.
[[nodiscard]] const ChartVocabulary &rolloutVocabulary();

/// What is known of a rollout now.
struct RolloutVerdict {
    RolloutState state = RolloutState::Announced;
    double share = 0.0; ///< Of the service's traffic, for the new version.
    std::string reason; ///< Why it is held, late or taken back, with figures; else empty.
    std::optional<WallTime> projectedDone; ///< When it will be done at the present rates, if that can be told.
    bool willMissDue = false; ///< It will not be done in time; reason says why.
};

/// Constants of the gate.
struct RolloutGateOptions {
    std::vector<double> steps = {0.05, 0.25, 0.5, 1.0}; ///< Shares after the first, growing to 1.
    double unacceptedShareMax = 0.05; ///< Above this, the tests must have accepted the new version.
    double lastStepFraction = 0.7; ///< Part of the schedule after which the last step is taken.
    double doneFraction = 0.9; ///< Part of the schedule until which outcomes are watched even if all is well.
    Duration projectionDelay = 5s; ///< Rates are projected once outcomes came for this long.
    RolloutEvidenceOptions evidence;
};

/// Judges one rollout from counts that are summed over all daemons. Each daemon
/// runs its own; they need no leader, since the share depends only on the
/// published schedule, wall time and the sums. A fault is acted on at once and
/// for good, and the record of it makes the other daemons follow.
class RolloutGate : private ChartGuards
{
public:
    /// \a chart outlives this object. Fails on a schedule that ends before it
    /// begins, on equal versions and on a policy out of range.
    [[nodiscard]] static absl::StatusOr<RolloutGate> create(const Chart &chart, const RolloutSchedule &schedule,
                                                            const RolloutGateOptions &options = {});

    /// Looks at the newest sums. Times passed in never decrease.
    const RolloutVerdict &update(const RolloutCounts &counts, WallTime now);
    /// A record says that the rollout was taken back, and why.
    void rolledBack(const std::string &evidence);
    /// A record says that an operator ended the rollout; the old version keeps
    /// all traffic.
    void aborted(const std::string &reason);

    [[nodiscard]] const RolloutVerdict &verdict() const
    {
        return m_verdict;
    }
    [[nodiscard]] const RolloutSchedule &schedule() const
    {
        return m_schedule;
    }

private:
    /// What a step still waits for.
    struct MissingOutcomes {
        double outcomes = 0.0; ///< On the route that lacks most time; 0 if nothing is missing.
        double seconds = 0.0; ///< Until they are there, at the present rates.
        std::string description; ///< For people.
    };

    RolloutGate(const Chart &chart, const RolloutSchedule &schedule, const RolloutGateOptions &options);

    [[nodiscard]] bool holds(std::size_t guard) const override;
    void fire(std::size_t event);
    void end(std::size_t event, const std::string &reason);
    void enterStep(std::size_t step);
    [[nodiscard]] bool isLastStep() const;
    [[nodiscard]] WallTime plannedAt(std::size_t step) const;
    [[nodiscard]] WallTime timeAtFraction(double fraction) const;
    /// What is missing to leave \a step. \a collected says how many seconds' worth
    /// of all outcomes the new version will have got before it.
    [[nodiscard]] MissingOutcomes missingOutcomes(std::size_t step, double collected) const;
    /// Outcomes of both versions per second.
    [[nodiscard]] double ratePerSecond(const RolloutEvidence::Route &route) const;
    [[nodiscard]] std::int64_t outcomesAtStep(const RolloutEvidence::Route &route) const;
    void project();

    RolloutSchedule m_schedule;
    RolloutGateOptions m_options;
    ChartInstance m_chart;
    RolloutEvidence m_evidence;
    RolloutVerdict m_verdict;
    std::vector<double> m_shares; ///< By step.
    std::size_t m_step = 0;
    std::map<RouteKey, std::int64_t> m_finishedAtEntry; ///< The new version's outcomes when the step was entered.
    std::optional<WallTime> m_firstUpdate;
    std::map<RouteKey, std::int64_t> m_finishedAtFirstUpdate; ///< Outcomes of both versions at the first look.
    WallTime m_now;
};

} // namespace mimosahub
