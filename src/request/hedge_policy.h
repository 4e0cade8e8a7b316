#pragma once

#include "request/latency_histogram.h"
#include "request/request_plan.h"

#include <optional>

namespace mimosahub
{

/// When attempts are hedged.
struct HedgeOptions {
    double quantile = 0.95; ///< Latency quantile after which an attempt is hedged; 1 disables hedging.
    double minSamples = 50; ///< Decayed number of recorded durations below which nothing is hedged.
};

/// Time from the send of an attempt of \a stage until a second one is started on
/// another endpoint; absent if it isn't hedged. Only idempotent stages that aren't
/// streamed are hedged: a second run of others could repeat an effect or be
/// relayed twice.
[[nodiscard]] std::optional<Duration> hedgeDelay(const HedgeOptions &options, const StagePlan &stage,
                                                 const LatencyHistogram &latency, TimePoint now);

} // namespace mimosahub
