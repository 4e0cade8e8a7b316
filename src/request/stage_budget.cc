// Divides the time until the deadline among the stages. With enough time, each
// later stage keeps its reserve and the current one gets all the slack, since
// unused slack is available to the next stage. With too little time for all
// reserves, the remaining time is divided in proportion to them. The greater of the
// two values is the right one in either case: they are equal where the remaining
// time equals the sum of the reserves.

#include "request/stage_budget.h"

#include <algorithm>

namespace mimosahub
{

StageEstimate estimateStage(const BudgetOptions &options, const LatencyHistogram &latency, Duration typicalTime,
                            TimePoint now)
{
    if (latency.weight(now) < options.minSamples) {
        return StageEstimate{Duration::zero(), typicalTime, typicalTime, false};
    }
    return StageEstimate{latency.quantileFloor(options.finishQuantile).value_or(Duration::zero()),
                         latency.quantile(options.reserveQuantile).value_or(typicalTime),
                         latency.quantile(options.typicalQuantile).value_or(typicalTime), true};
}

std::optional<Duration> stageBudget(std::span<const StageEstimate> stages, Duration remaining)
{
    Duration least{};
    Duration reserve{};
    for (const auto &stage : stages) {
        least += stage.least;
        reserve += stage.reserve;
    }
    if (remaining <= Duration::zero() || remaining < least) {
        return std::nullopt;
    }
    if (reserve <= Duration::zero()) {
        return remaining;
    }
    const auto own = stages.front().reserve;
    const double fraction = static_cast<double>(own.count()) / static_cast<double>(reserve.count());
    const Duration share(static_cast<Duration::rep>(static_cast<double>(remaining.count()) * fraction));
    return std::clamp(std::max(remaining - (reserve - own), share), Duration::zero(), remaining);
}

Duration attemptTimeout(const BudgetOptions &options, const StageEstimate &estimate, Duration budget)
{
    const double factor = estimate.measured ? options.attemptFactor : options.unmeasuredFactor;
    const Duration slow(static_cast<Duration::rep>(static_cast<double>(estimate.reserve.count()) * factor));
    return std::min(budget, std::max(slow, options.minAttempt));
}

} // namespace mimosahub
