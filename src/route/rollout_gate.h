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

/// Controls a new version's share of a service's traffic, and its rollback.
namespace mimosahub
{

/// A published rollout of one service.
struct RolloutSchedule {
    ServiceId service;
    VersionId from;
    VersionId to;
    WallTime begin; ///< Time from which the new version gets traffic.
    WallTime due; ///< Time by which all traffic has moved, unless a fault is found.
    VersionPolicy policy;
};

/// States of charts/rollout.json.
enum class RolloutState {
    Announced, ///< Before begin.
    Probing, ///< At the first share, until each route has enough outcomes.
    Stepping, ///< Follows the schedule.
    Held, ///< Behind schedule: a step waits for outcomes.
    Done, ///< All traffic has moved.
    RolledBack, ///< A fault was found; final.
    Aborted, ///< Ended by an operator.
};

/// Name of \a state in the chart: "announced", "probing" and so on.
[[nodiscard]] std::string_view rolloutStateName(RolloutState state);

/// The names that charts/rollout.json may use.
[[nodiscard]] const ChartVocabulary &rolloutVocabulary();

/// Current result for a rollout.
struct RolloutVerdict {
    RolloutState state = RolloutState::Announced;
    double share = 0.0; ///< The new version's fraction of the service's traffic.
    std::string reason; ///< Why it is held, late or rolled back, with figures; otherwise empty.
    std::optional<WallTime> projectedDone; ///< Expected time of completion at the current rates, if known.
    bool willMissDue = false; ///< It is expected to miss the due time; reason says why.
};

/// Constants of the gate.
struct RolloutGateOptions {
    std::vector<double> steps = {0.05, 0.25, 0.5, 1.0}; ///< Increasing shares after the first, ending at 1.
    double unacceptedShareMax = 0.05; ///< Highest share before the tests have accepted the new version.
    double lastStepFraction = 0.7; ///< Fraction of the schedule after which the last step is taken.
    double doneFraction = 0.9; ///< Fraction of the schedule during which outcomes are monitored in any case.
    Duration projectionDelay = 5s; ///< Time of collecting outcomes before rates are projected.
    RolloutEvidenceOptions evidence;
};

/// Controls one rollout by counts that are summed over all daemons. Each daemon runs
/// its own gate without a leader, since the share depends only on the published
/// schedule, wall time and the sums. A fault rolls the version back immediately and
/// permanently; the record of it makes the other daemons do the same.
class RolloutGate : private ChartGuards
{
public:
    /// \a chart outlives this object. Fails if the schedule ends before it begins, if
    /// the versions are equal or if a value of the policy is out of range.
    [[nodiscard]] static absl::StatusOr<RolloutGate> create(const Chart &chart, const RolloutSchedule &schedule,
                                                            const RolloutGateOptions &options = {});

    /// Evaluates the newest sums. Times passed in never decrease.
    const RolloutVerdict &update(const RolloutCounts &counts, WallTime now);
    /// Applies a record that the version was rolled back, with its evidence.
    void rolledBack(const std::string &evidence);
    /// Applies a record that an operator ended the rollout; the old version gets all
    /// traffic.
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
    /// Outcomes that a step still waits for.
    struct MissingOutcomes {
        double outcomes = 0.0; ///< On the route that needs the most time; 0 if none are missing.
        double seconds = 0.0; ///< Time to collect them at the current rates.
        std::string description; ///< Human-readable.
    };

    RolloutGate(const Chart &chart, const RolloutSchedule &schedule, const RolloutGateOptions &options);

    [[nodiscard]] bool holds(std::size_t guard) const override;
    void fire(std::size_t event);
    void end(std::size_t event, const std::string &reason);
    void enterStep(std::size_t step);
    [[nodiscard]] bool isLastStep() const;
    [[nodiscard]] WallTime plannedAt(std::size_t step) const;
    [[nodiscard]] WallTime timeAtFraction(double fraction) const;
    /// Outcomes missing to leave \a step. \a collected is the number of outcomes that the
    /// new version will have got before it, in seconds of all outcomes of both versions.
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
    std::vector<double> m_shares; ///< Indexed by step.
    std::size_t m_step = 0;
    std::map<RouteKey, std::int64_t> m_finishedAtEntry; ///< The new version's outcomes at entry of the current step.
    std::optional<WallTime> m_firstUpdate;
    std::map<RouteKey, std::int64_t> m_finishedAtFirstUpdate; ///< Outcomes of both versions at the first update.
    WallTime m_now;
};

} // namespace mimosahub
