#pragma once

#include "http/awaitable.h"
#include "http/memory_account.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

namespace mimosahub::http
{

/// Unfinished bytes of an answer up to which it is read on without asking for room: an event or a small answer
/// may come in several reads.
constexpr std::uint64_t kUnaskedBytes = std::uint64_t(16) * 1024;

/// Waits until an account has room for a hold. While a coroutine waits here it reads nothing, so that the
/// sender is held up by the connection.
class RoomWait
{
public:
    explicit RoomWait(const boost::asio::any_io_executor &executor) : m_timer(executor)
    {
    }

    /// Takes \a bytes more for \a hold once there is room; false if there was none for \a longest, the hold
    /// was ended, or interrupt() was called.
    Awaitable<bool> take(MemoryHold &hold, std::uint64_t bytes, Duration longest);
    /// Before more is read of an answer of which \a unfinished bytes are held: takes room for a whole read. The
    /// first kUnaskedBytes need none. False if there is no room or \a hold was ended. Room that isn't used is
    /// given back by MemoryHold::holdReceived().
    [[nodiscard]] static bool tryTakeForRead(MemoryHold &hold, std::uint64_t unfinished);
    /// As tryTakeForRead(), but waits for room as take() does, and no longer than the account allows.
    Awaitable<bool> takeForRead(MemoryHold &hold, std::uint64_t unfinished, Duration longest);
    /// Ends the present wait, and each later one at once.
    void interrupt()
    {
        m_interrupted = true;
        m_timer.cancel();
    }

private:
    boost::asio::steady_timer m_timer;
    bool m_interrupted = false;
};

} // namespace mimosahub::http
