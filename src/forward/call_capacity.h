#pragma once

#include "mimosahub/clock.h"

#include <cstddef>
#include <vector>

/// Number of pieces that the endpoints of a service can complete by a given time.
namespace mimosahub
{

/// One slot of an endpoint.
struct CallSlot {
    TimePoint freeAt; ///< Earliest start of the next call.
    Duration callTime{}; ///< Time of one call; above 0.
    int pieces = 1; ///< Pieces per call.
};

/// Number of pieces that \a slots complete by \a when if all calls from \a now on are full.
[[nodiscard]] std::size_t piecesDoneBy(const std::vector<CallSlot> &slots, TimePoint now, TimePoint when);

} // namespace mimosahub
