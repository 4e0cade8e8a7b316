// Each slot runs full calls back to back from the time it is free. A call that has not
// ended by the given time counts for nothing.

#include "forward/call_capacity.h"

#include <algorithm>

namespace mimosahub
{

std::size_t piecesDoneBy(const std::vector<CallSlot> &slots, TimePoint now, TimePoint when)
{
    std::size_t pieces = 0;
    for (const auto &slot : slots) {
        const Duration time = when - std::max(now, slot.freeAt);
        if (time >= slot.callTime) {
            pieces += static_cast<std::size_t>(time / slot.callTime) * static_cast<std::size_t>(slot.pieces);
        }
    }
    return pieces;
}

} // namespace mimosahub
