// Hedges only after a high quantile of the latency, so that extra calls stay at a
// few percent. If all calls become slow at once, the retry budget bounds them.

#include "request/hedge_policy.h"

namespace mimosahub
{

std::optional<Duration> hedgeDelay(const HedgeOptions &options, const StagePlan &stage, const LatencyHistogram &latency,
                                   TimePoint now)
{
    if (!stage.idempotent || stage.streaming || options.quantile >= 1.0) {
        return std::nullopt;
    }
    if (latency.weight(now) < options.minSamples) {
        return std::nullopt;
    }
    return latency.quantile(options.quantile);
}

} // namespace mimosahub
