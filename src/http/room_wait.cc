// The account wakes the coroutine that has got its room. Between, it looks for what has stalled meanwhile.

#include "http/room_wait.h"

#include "http/client.h"

#include <algorithm>
#include <utility>

namespace mimosahub::http
{

namespace
{

/// Time between looks for what has stalled while others wait for room.
constexpr Duration kStallPoll = std::chrono::milliseconds(250);

} // namespace

Awaitable<bool> RoomWait::take(MemoryHold &hold, std::uint64_t bytes, Duration longest)
{
    const MemoryWait wait(hold.account(), hold, bytes, [this] { m_timer.cancel(); });
    const auto &clock = hold.account().clock();
    const auto end = clock.now() + longest;
    while (!wait.admitted() && !hold.ended() && !m_interrupted) {
        const auto now = clock.now();
        if (now >= end) {
            hold.account().recordRefusal(MemoryRefusal::WaitedTooLong, bytes);
            break;
        }
        hold.account().endForWaiting();
        if (wait.admitted()) {
            break;
        }
        m_timer.expires_after(std::min<Duration>(kStallPoll, end - now));
        co_await m_timer.async_wait(kTuple);
    }
    co_return wait.admitted();
}

bool RoomWait::tryTakeForRead(MemoryHold &hold, std::uint64_t unfinished)
{
    const auto next = unfinished > kUnaskedBytes ? kLongestReadBytes : 0;
    return hold.tryResize(hold.bytes() + next);
}

Awaitable<bool> RoomWait::takeForRead(MemoryHold &hold, std::uint64_t unfinished, Duration longest)
{
    if (tryTakeForRead(hold, unfinished)) {
        co_return true;
    }
    const auto roomWait = hold.account().options().roomWait;
    co_return co_await take(hold, kLongestReadBytes, std::min(longest, roomWait));
}

} // namespace mimosahub::http
