#pragma once

#include "mimosahub/clock.h"

#include <atomic>

namespace mimosahub
{

/// When to come back to a daemon that isn't fresh.
constexpr Duration kNotFreshRetry = std::chrono::seconds(1);

/// Until when this daemon may send new work; traffic threads read it.
class FreshnessSignal
{
public:
    /// Whether new work may be sent at \a now. Any thread.
    [[nodiscard]] bool fresh(TimePoint now) const
    {
        return now.time_since_epoch().count() < m_until.load(std::memory_order_acquire);
    }
    void set(TimePoint until)
    {
        m_until.store(until.time_since_epoch().count(), std::memory_order_release);
    }

private:
    std::atomic<Duration::rep> m_until{0};
};

} // namespace mimosahub
