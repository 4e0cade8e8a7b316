#pragma once

#include "forward/version_split.h"
#include "mimosahub/clock.h"
#include "route/rollout_evidence.h"

#include <map>
#include <string>

/// Decisions on a rollout by the outcomes that daemons report.
namespace mimosahub
{

/// What one daemon has counted for one order since it read it.
struct SplitReport {
    RolloutId rollout;
    InstanceId daemon;
    std::uint64_t incarnation = 0; ///< Differs for each start of the daemon.
    Duration elapsed{}; ///< Since the daemon read the order.
    SplitPhase phase = SplitPhase::Paused; ///< In force at the daemon.
    std::string fault; ///< Why the daemon takes the target for faulty; empty if it doesn't.
    RolloutCounts counts; ///< Cumulative.
};

struct SplitDecision {
    SplitPhase phase = SplitPhase::Paused;
    std::string reason; ///< Human-readable, with counts; empty while there is none.
};

/// Decides on one order. The coordinator's judge gets the reports of all daemons; each
/// daemon has a judge of its own counts besides, which may only find a fault. Does no
/// I/O and reads no clock. Not thread-safe.
class SplitJudge
{
public:
    /// \a duration: from the order to the time by which it must be settled.
    explicit SplitJudge(Duration duration);

    /// Replaces what the daemon has reported before.
    void take(const SplitReport &report, TimePoint now);
    /// The decision on the reports so far. \a daemons is the number of daemons that are
    /// listed: unless half of them have reported lately, only a fault changes the phase.
    const SplitDecision &decide(int daemons, TimePoint now);
    /// What decide() returned last.
    [[nodiscard]] const SplitDecision &decision() const
    {
        return m_decision;
    }
    /// Outcomes of all reports.
    [[nodiscard]] RouteOutcomes sum() const;

private:
    struct Source {
        SplitReport report;
        TimePoint receivedAt;
    };
    /// Times since the order at which the phases begin.
    struct Schedule {
        Duration loadTest{};
        Duration moving{};
        Duration completion{};
        Duration lastCall{}; ///< What isn't completed by then is rolled back.
    };

    [[nodiscard]] static Schedule scheduleOf(Duration duration);
    [[nodiscard]] RolloutCounts total() const;
    [[nodiscard]] Duration elapsed(TimePoint now) const;
    /// Whether half of \a daemons have reported after \a since.
    [[nodiscard]] bool heardMost(int daemons, TimePoint since) const;
    [[nodiscard]] bool looksSound() const;
    void findFault(TimePoint now);
    void follow(int daemons, TimePoint now);
    void enter(SplitPhase phase, TimePoint now);
    void settle(SplitPhase phase, std::string reason);

    Schedule m_schedule;
    Duration m_duration;
    std::map<std::string, Source> m_sources; ///< By daemon and incarnation.
    RolloutEvidence m_evidence;
    std::optional<TimePoint> m_begin; ///< Of the evidence.
    TimePoint m_phaseBegan; ///< When the decision's phase became what it is.
    SplitDecision m_decision;
};

} // namespace mimosahub
