#pragma once

#include "http/message.h"
#include "mimosahub/clock.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <optional>

namespace mimosahub
{

/// Lets one coroutine sleep until a time or until it is woken.
class WakeTimer
{
public:
    explicit WakeTimer(boost::asio::io_context &io) : m_timer(io)
    {
    }

    /// Sleeps until \a until, but at most \a longest; returns at once if wake()
    /// was called since the last sleep.
    http::Awaitable<void> sleep(TimePoint now, std::optional<TimePoint> until, Duration longest)
    {
        if (!m_woken) {
            const auto wait = until ? std::clamp(Duration(*until - now), Duration(0), longest) : longest;
            m_timer.expires_after(wait);
            co_await m_timer.async_wait(http::kTuple);
        }
        m_woken = false;
    }
    /// Ends the present or the next sleep.
    void wake()
    {
        m_woken = true;
        m_timer.cancel();
    }

private:
    boost::asio::steady_timer m_timer;
    bool m_woken = false;
};

} // namespace mimosahub
