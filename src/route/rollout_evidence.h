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

/// Statistical comparison of the outcomes of a new version with those of the old one.
namespace mimosahub
{

/// Error bounds and thresholds of the tests.
struct RolloutEvidenceOptions {
    double falseRollback = 0.005; ///< Probability that a good version is rolled back, over all tests.
    double falseAccept = 0.001; ///< Probability that a route's test accepts a faulty version.
    std::size_t expectedRoutes = 16; ///< The false-alarm bound is split over at least this many routes.
    double routeFailureFactor = 4.0; ///< A single route is tested for this multiple of maxFailureIncrease.
    double minRouteShare = 0.01; ///< Routes with a smaller fraction of the outcomes don't delay a step.
    double failureFloor = 0.005; ///< Lower bound of the acceptable failure rate.
    double slowFloor = 0.05; ///< Lower bound of the acceptable rate of slow answers.
    double sparseBaselineFailureFloor = 0.05; ///< failureFloor while the old version has too few outcomes.
    double sparseBaselineSlowFloor = 0.3; ///< slowFloor while the old version has too few outcomes.
    std::int64_t minBaselineOutcomes = 20; ///< Outcomes of the old version from which its rates are used.
    double sparseBaselineRatio = 4.0; ///< The baseline is sparse above this multiple of the old version's traffic.
    Duration recentWindow = 10s; ///< Period of the newest outcomes, in which the old version's rates may rise too.
    Duration blockLength = 1s; ///< Outcomes are tested in blocks of this length.
    Duration countDelay = 1s; ///< From a block's end until all daemons' counts of it have arrived.
    std::size_t neighbourBlocks = 2; ///< Blocks before and after a block among which the old version's worst is used.
    VersionAlarmOptions alarm;
};

/// Sequential tests of a new version against the old one, for failures and slow
/// answers, on each route and on all routes together.
class RolloutEvidence
{
public:
    /// Outcomes and tests of one route.
    struct Route {
        RouteKey key;
        RouteOutcomes sum; ///< Outcomes since this object was created.
        VersionAlarm failure;
        VersionAlarm slowness;
        RateHypotheses failureRates; ///< Rates in the newest evaluation, for this route's test.
        RateHypotheses sumFailureRates; ///< The same, for the test of all routes.
        RateHypotheses slowRates;

        [[nodiscard]] bool accepted() const
        {
            return failure.test().accepted() && slowness.test().accepted();
        }
        /// Expected number of further outcomes of a good version until accepted().
        [[nodiscard]] double outcomesToAccept() const;
    };

    RolloutEvidence(const VersionPolicy &policy, const RolloutEvidenceOptions &options);

    /// Adds the outcomes in \a counts since the last sums, while the new version has
    /// \a share of the traffic. Times never decrease.
    void addCounts(const RolloutCounts &counts, double share, WallTime now);

    /// Description of the new version's fault, with counts; empty if none was found.
    /// Never reset.
    [[nodiscard]] const std::optional<std::string> &fault() const
    {
        return m_fault;
    }
    /// There is evidence against the new version, and it isn't determined yet whether
    /// the old one performs equally badly at the same time.
    [[nodiscard]] bool hasUnconfirmedAlarm() const
    {
        return m_unconfirmedAlarm;
    }
    /// Routes with enough of the traffic to be tested separately.
    [[nodiscard]] std::vector<const Route *> mainRoutes() const;
    /// The test of all routes together found no fault of the size given in the policy.
    [[nodiscard]] bool acceptedOverall() const
    {
        return m_overallFailure.test().accepted() && m_overallSlowness.test().accepted();
    }
    /// Expected number of further outcomes on all routes until acceptedOverall().
    [[nodiscard]] double outcomesToAcceptOverall() const;

private:
    /// Log likelihood ratios of a set of outcomes.
    struct LogRatios {
        double failure = 0.0;
        double slowness = 0.0;
    };
    struct Entry {
        Route route;
        RouteOutcomes lastSums; ///< Sums at the last call of addCounts().
        OutcomeBlocks history;
    };
    /// Excess of the old version's rates on all routes around a block over its
    /// long-term rates.
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
    std::optional<WallTime> m_evaluatedTo; ///< Begin of the last block that was added to the tests.
    VersionAlarm m_overallFailure;
    VersionAlarm m_overallSlowness;
    bool m_hadSparseBaseline = false; ///< The new version has had nearly all traffic at some time.
    bool m_unconfirmedAlarm = false;
    std::optional<std::string> m_fault;
};

} // namespace mimosahub
