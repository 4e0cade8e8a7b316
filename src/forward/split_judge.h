#pragma once

#include "forward/exposure_budget.h"
#include "forward/version_split.h"
#include "mimosahub/clock.h"
#include "route/rollout_evidence.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

/// Decisions on a rollout by the outcomes that daemons report.
namespace mimosahub
{

/// What one daemon has counted for one order since it read it.
struct SplitReport {
    RolloutId rollout;
    DaemonRun run;
    Duration elapsed{}; ///< Since the daemon read the order.
    SplitPhase phase = SplitPhase::Paused; ///< In force at the daemon.
    std::string fault; ///< Why the daemon takes the target for faulty; empty if it doesn't.
    SplitSends sends; ///< Cumulative.
    RolloutCounts counts; ///< Cumulative.
};

struct SplitDecision {
    SplitPhase phase = SplitPhase::Paused;
    std::string reason; ///< Human-readable, with counts; empty while there is none.
    std::uint64_t targetCap = 0; ///< In a load test: total number of sends of the daemon to the target, at most.
    std::vector<RouteId> triedRoutes; ///< In a trial: routes of which the target has had enough, the busiest first.
};

/// Time between two reports of a daemon that is in \a phase, \a remaining before the deadline of the order.
[[nodiscard]] Duration splitReportInterval(SplitPhase phase, Duration remaining);

/// Decides on one order. The coordinator's judge gets the reports of all daemons; each
/// daemon has a judge of its own counts besides, which may only find a fault. Does no
/// I/O and reads no clock. Not thread-safe.
class SplitJudge
{
public:
    /// \a duration: from the order to the time by which it must be settled.
    SplitJudge(Duration duration, const ExposureLimit &limit);

    /// How long the store takes to answer; the verdict falls the earlier, so that it is written by the deadline.
    void setStoreTime(Duration time)
    {
        m_storeTime = time;
    }
    /// Replaces what the daemon has reported before.
    void take(const SplitReport &report, TimePoint now);
    /// The decision on the reports so far, for all daemons. \a daemons is the number of
    /// daemons that are listed: unless half of them have reported lately, only a fault
    /// changes the phase.
    const SplitDecision &decide(int daemons, TimePoint now);
    /// What decide() returned last.
    [[nodiscard]] const SplitDecision &decision() const
    {
        return m_decision;
    }
    /// The same, with what \a run may send.
    [[nodiscard]] SplitDecision decisionFor(const DaemonRun &run, TimePoint now);

private:
    struct Source {
        SplitReport report;
        TimePoint receivedAt;
    };
    /// Outcomes of the target at one time of the load test.
    struct Sample {
        TimePoint at;
        VersionOutcomes target; ///< Cumulative.
    };
    /// Times since the order.
    struct Schedule {
        Duration loadTest{}; ///< No load test begins before.
        Duration verdict{}; ///< No version is completed before.
        Duration lastCall{}; ///< What isn't completed by then is rolled back.
        Duration leastLoadTest{}; ///< Length of a load test without which no version is completed.
    };

    [[nodiscard]] static Schedule scheduleOf(Duration duration);
    /// Time by which the verdict falls earlier for a slow store.
    [[nodiscard]] Duration writeTime() const;
    /// Times since the order, before the store that was measured.
    [[nodiscard]] Duration verdictAt() const;
    [[nodiscard]] Duration lastCallAt() const;
    [[nodiscard]] RolloutCounts total() const;
    [[nodiscard]] RouteOutcomes sum() const;
    [[nodiscard]] Duration elapsed(TimePoint now) const;
    /// Whether half of \a daemons have reported after \a since.
    [[nodiscard]] bool heardMost(int daemons, TimePoint since) const;
    [[nodiscard]] std::vector<RouteId> triedRoutes() const;
    [[nodiscard]] bool hasEvidenceAgainst() const;
    /// Whether the target has given enough outcomes to judge by, also on each route that the old version knows.
    [[nodiscard]] bool hasEnoughOutcomes() const;
    /// Whether the target's newest outcomes are far worse than the old version's.
    [[nodiscard]] bool isWorseLately() const;
    void recordSample(TimePoint now);
    [[nodiscard]] bool mayComplete(int daemons, TimePoint now) const;
    void findFault(TimePoint now);
    void follow(int daemons, TimePoint now);
    void followTrial(TimePoint now);
    void followLoadTest(int daemons, TimePoint now);
    void takeAlarm(TimePoint now);
    void enter(SplitPhase phase, TimePoint now, std::string reason = {});
    void settle(SplitPhase phase, std::string reason);
    [[nodiscard]] std::string describeBudget(TimePoint now) const;
    [[nodiscard]] std::string describeOutcomes() const;

    Schedule m_schedule;
    Duration m_duration;
    Duration m_storeTime{};
    std::map<DaemonRun, Source> m_sources;
    RolloutCounts m_total; ///< Of all reports, at the last decision.
    ExposureBudget m_budget;
    RolloutEvidence m_evidence;
    std::optional<TimePoint> m_begin; ///< Of the evidence.
    TimePoint m_phaseBegan; ///< When the decision's phase became what it is.
    bool m_hasFollowed = false; ///< The phase is this judge's own, not one that daemons have reported.
    std::vector<RouteId> m_triedRoutes;
    std::deque<Sample> m_samples; ///< The newest last.
    SplitDecision m_decision;
};

} // namespace mimosahub
