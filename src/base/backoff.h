#pragma once

#include "base/random.h"
#include "mimosahub/clock.h"

namespace mimosahub
{

struct BackoffOptions {
    Duration first = std::chrono::milliseconds(10); ///< Mean delay before the first retry.
    double factor = 2.0; ///< Growth with each retry.
    Duration max = std::chrono::seconds(1); ///< Greatest mean delay.
    double jitter = 0.5; ///< Delays spread over mean * (1 - jitter, 1 + jitter).
};

/// The mean delay before retry number \a retry, from 1.
[[nodiscard]] Duration backoffMean(const BackoffOptions &options, int retry);
/// The delay before retry number \a retry, from 1.
[[nodiscard]] Duration backoffDelay(const BackoffOptions &options, int retry, Random &random);

} // namespace mimosahub
