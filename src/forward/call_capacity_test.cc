#include "forward/call_capacity.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

// Compares with a simulation of each call in turn.
Test(call_capacity, counts_the_full_calls_that_end_in_time)
{
    cr_assert(rc::check([] {
        const TimePoint now(1h);
        std::vector<CallSlot> slots;
        const auto when = now + std::chrono::milliseconds(*rc::gen::inRange(-50, 2000));
        std::size_t expected = 0;
        for (int n = *rc::gen::inRange(0, 5); n > 0; --n) {
            CallSlot slot;
            slot.freeAt = now + std::chrono::milliseconds(*rc::gen::inRange(-100, 500));
            slot.callTime = std::chrono::milliseconds(*rc::gen::inRange(1, 400));
            slot.pieces = *rc::gen::inRange(1, 90);
            for (auto end = std::max(now, slot.freeAt) + slot.callTime; end <= when; end += slot.callTime) {
                expected += static_cast<std::size_t>(slot.pieces);
            }
            slots.push_back(slot);
        }
        RC_ASSERT(piecesDoneBy(slots, now, when) == expected);
    }));
}
