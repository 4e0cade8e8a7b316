#pragma once

#include "mimosahub/clock.h"
#include "request/latency_histogram.h"

#include <optional>
#include <span>

namespace mimosahub
{

/// How the time of a request is divided among its stages and attempts.
struct BudgetOptions {
    double finishQuantile = 0.1; ///< A stage is assumed to need at least this quantile of its time.
    double reserveQuantile = 0.9; ///< Quantile of its time that is reserved for a later stage.
    double typicalQuantile = 0.5; ///< Quantile that estimates the time a call occupies an endpoint.
    double minSamples = 20; ///< Decayed number of recorded durations below which the declared time is used.
    double attemptFactor = 3.0; ///< Timeout of an attempt that can be retried, as a multiple of the reserve quantile.
    double unmeasuredFactor = 10.0; ///< The same multiple for a declared time, which doesn't include cold starts.
    Duration minAttempt = std::chrono::milliseconds(20); ///< Least timeout of an attempt that can be retried.
};

/// Expected time of one stage.
struct StageEstimate {
    Duration least{}; ///< Least time in which it is expected to finish; zero while unmeasured.
    Duration reserve{}; ///< Time that earlier stages leave for it.
    Duration typical{}; ///< Median of its time, or the declared time.
    bool measured = false; ///< Whether the reserve is a measured quantile rather than the declared time.
};

/// Estimates a stage from its measured times, or from \a typicalTime while there are
/// too few of them.
[[nodiscard]] StageEstimate estimateStage(const BudgetOptions &options, const LatencyHistogram &latency,
                                          Duration typicalTime, TimePoint now);

/// The part of \a remaining that the first of \a stages may use, given the stages
/// after it; absent if the stages can't all finish in time. \a stages must not be
/// empty.
[[nodiscard]] std::optional<Duration> stageBudget(std::span<const StageEstimate> stages, Duration remaining);

/// Timeout of an attempt that can still be followed by another one, given \a budget
/// for all of them.
[[nodiscard]] Duration attemptTimeout(const BudgetOptions &options, const StageEstimate &estimate, Duration budget);

} // namespace mimosahub
