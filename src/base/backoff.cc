// Exponential backoff. The jitter keeps requests that failed together from
// coming back together.

#include "base/backoff.h"

#include <algorithm>
#include <cmath>

namespace mimosahub
{

Duration backoffMean(const BackoffOptions &options, int retry)
{
    const double mean = static_cast<double>(options.first.count()) * std::pow(options.factor, retry - 1);
    const double capped = std::min(mean, static_cast<double>(options.max.count()));
    return Duration(static_cast<Duration::rep>(capped));
}

Duration backoffDelay(const BackoffOptions &options, int retry, Random &random)
{
    return random.jitter(backoffMean(options, retry), options.jitter);
}

} // namespace mimosahub
