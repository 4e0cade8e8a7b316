#include "forward/call_fill.h"

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const TimePoint kStart(1h);

/// Fifteen endpoints with one call at a time each, of which one is idle.
CallFillState state(std::size_t queued)
{
    CallFillState it;
    it.callTime = 150ms;
    it.pieceTime = 2900us;
    it.maxPieces = 44;
    it.slots = 15.0;
    it.idleSlots = 1;
    it.queued = queued;
    it.slack = 1s;
    return it;
}

/// Records \a pieces a second, 8 at a time, for 10 s, and returns the time of the last ones.
TimePoint arrive(CallFill &fill, double pieces)
{
    auto now = kStart;
    for (; now < kStart + 10s;
         now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(8.0 / pieces))) {
        fill.recordArrivals(8, now);
    }
    return now;
}

} // namespace

// Guards against a wait at low load, where calls of one order leave most of the endpoints' time.
Test(call_fill, does_not_wait_at_low_load)
{
    CallFill fill;
    const auto now = arrive(fill, 300.0);
    cr_assert(!fill.holdUntil(state(8), now));
}

// Guards against calls of one order at a load at which these take all of the endpoints' time.
Test(call_fill, waits_a_bounded_time_while_the_endpoints_are_nearly_busy)
{
    CallFill fill;
    const auto now = arrive(fill, 1080.0);
    const auto until = fill.holdUntil(state(8), now);
    cr_assert(until);
    cr_assert(*until <= now + 38ms);
    cr_assert(!fill.holdUntil(state(8), *until));
    cr_assert_eq(fill.endHold(*until), Duration(*until - now));
}

// Guards against a wait that brings no fuller call or makes an order late.
Test(call_fill, does_not_wait_with_enough_pieces_or_idle_endpoints_or_without_slack)
{
    CallFill fill;
    const auto now = arrive(fill, 1080.0);
    cr_assert(!fill.holdUntil(state(40), now));
    auto idle = state(8);
    idle.idleSlots = 5;
    cr_assert(!fill.holdUntil(idle, now));
    auto urgent = state(8);
    urgent.slack = 0ms;
    cr_assert(!fill.holdUntil(urgent, now));
}

// Guards against a wait where calls have no fixed part that could be shared.
Test(call_fill, does_not_wait_without_a_fixed_part)
{
    CallFill fill;
    const auto now = arrive(fill, 6000.0);
    auto it = state(1);
    it.callTime = 0ms;
    cr_assert(!fill.holdUntil(it, now));
}
