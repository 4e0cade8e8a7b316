#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/configuration.h"
#include "route/outcome_blocks.h"
#include "route/rollout_counts.h"
#include "route/version_alarm.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// What the outcomes of a new version say, beside those of the old one.
namespace mimosahub
{

/// Error bounds and thresholds of the tests.
struct RolloutEvidenceOptions {
    double falseRollback = 0.005; ///< Probability that a good version is found faulty, over all tests.
    double falseAccept = 0.001; ///< Probability that a route's test accepts a fault.
    std::size_t expectedRoutes = 16; ///< The false-alarm bound is split over this many routes, or more if there are.
    double routeFailureFactor = 4.0; ///< A single route's fault is this multiple of maxFailureIncrease.
    double minRouteShare = 0.01; ///< Routes with less of the outcomes hold no step back.
    double failureFloor = 0.005; ///< Least failure rate that is taken as usual.
    double slowFloor = 0.05; ///< Least rate of slow answers that is taken as usual.
    double sparseBaselineFailureFloor =
        0.05; ///< As failureFloor, while the old version has too few outcomes to compare.
    double sparseBaselineSlowFloor = 0.3; ///< As slowFloor, likewise.
    std::int64_t minBaselineOutcomes = 20; ///< Outcomes of the old version from which on its own rates count.
    double sparseBaselineRatio = 4.0; ///< The old version is too rare when the new one has this many times its traffic.
    Duration recentWindow = 10s; ///< The newest outcomes, in which the old version's own trouble shows.
    Duration blockLength = 1s; ///< Outcomes are judged in blocks of this length.
    Duration countDelay = 1s; ///< From a block's end until all daemons' counts of it have come.
    std::size_t neighbourBlocks =
        2; ///< A block is held against the old version's worst of so many before and after it.
    VersionAlarmOptions alarm;
};

/// Sequential tests of a new version against the old one: failures and
/// slowness, on each route and in sum.
class RolloutEvidence
{
public:
    /// One route's outcomes and tests.
    struct Route {
        RouteKey key;
        RouteOutcomes sum; ///< Since the evidence began.
        VersionAlarm failure;
        VersionAlarm slowness;
        RateHypotheses failureRates; ///< Of the newest look, for this route's test.
        RateHypotheses sumFailureRates; ///< For the test of all routes.
        RateHypotheses slowRates;

        [[nodiscard]] bool accepted() const
        {
            return failure.test().accepted() && slowness.test().accepted();
        }
        /// Further outcomes of a good version until accepted(), as expected.
        [[nodiscard]] double outcomesToAccept() const;
    };

    RolloutEvidence(const VersionPolicy &policy, const RolloutEvidenceOptions &options);

    /// Adds what \a counts has beyond the last sums, while the new version has
    /// \a share of the traffic. Times never decrease.
    void addCounts(const RolloutCounts &counts, double share, WallTime now);

    /// What is wrong with the new version, with figures; empty if nothing is.
    /// Sticky.
    [[nodiscard]] const std::optional<std::string> &fault() const
    {
        return m_fault;
    }
    /// Something speaks against the new version, and it isn't settled yet whether
    /// the old one does as badly at the same time.
    [[nodiscard]] bool hasUnconfirmedAlarm() const
    {
        return m_unconfirmedAlarm;
    }
    /// Routes that carry enough of the traffic to be judged by themselves.
    [[nodiscard]] std::vector<const Route *> mainRoutes() const;
    /// All routes together show no fault of the size that the policy names.
    [[nodiscard]] bool acceptedOverall() const
    {
        return m_overallFailure.test().accepted() && m_overallSlowness.test().accepted();
    }
    /// Further outcomes on all routes until acceptedInSum(), as expected.
    [[nodiscard]] double outcomesToAcceptOverall() const;

private:
    /// Log likelihood ratios of some outcomes.
    struct LogRatios {
        double failure = 0.0;
        double slowness = 0.0;
    };
    struct Entry {
        Route route;
        RouteOutcomes lastSums; ///< The last sums.
        OutcomeBlocks history;
    };
    /// By how much the old version's rates on all routes around a block lie above
    /// its usual ones.
    struct SharedDegradation {
        double failure = 0.0;
        double slowness = 0.0;
    };

    Entry &entryOf(const RouteKey &key);
    void updateSums(const RolloutCounts &counts, double share, WallTime now);
    [[nodiscard]] bool hasSparseBaseline(std::size_t block) const;
    [[nodiscard]] bool isSparseBaselineShare(double share) const;
    [[nodiscard]] double baselineRate(const OutcomeBlocks &history, std::size_t block, HitCounter hits) const;
    [[nodiscard]] SharedDegradation sharedDegradation(std::size_t block) const;
    void setRates(Entry &entry, std::size_t block, const SharedDegradation &degradation) const;
    void evaluateBlock(std::size_t block, bool complete, WallTime now);
    void checkAlarms();
    void clearPreviews();
    void recordAlarm(const VersionAlarm &alarm, const std::string &where);

    VersionPolicy m_policy;
    RolloutEvidenceOptions m_options;
    std::map<RouteKey, Entry> m_entries;
    OutcomeBlocks m_all;
    std::optional<WallTime> m_evaluatedTo; ///< Begin of the last block that the tests were told of.
    VersionAlarm m_overallFailure;
    VersionAlarm m_overallSlowness;
    bool m_hadSparseBaseline = false; ///< The new version has had nearly all traffic.
    bool m_unconfirmedAlarm = false;
    std::optional<std::string> m_fault;
};

} // namespace mimosahub
