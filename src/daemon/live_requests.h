#pragma once

#include "mimosahub/clock.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <unordered_set>

namespace mimosahub
{

class RequestRunner;

/// The requests of one traffic thread that still run, also those of callers who
/// have left. Used on that thread, unless said otherwise.
class LiveRequests
{
public:
    void add(RequestRunner &runner);
    void remove(RequestRunner &runner);
    /// Tells all requests, and each one that starts later, that an answer is of
    /// use until \a lastMoment only.
    void stopBefore(TimePoint lastMoment);
    /// Set once the daemon stops.
    [[nodiscard]] std::optional<TimePoint> lastMoment() const
    {
        return m_lastMoment;
    }
    /// Any thread.
    [[nodiscard]] std::uint64_t count() const
    {
        return m_count;
    }

private:
    std::unordered_set<RequestRunner *> m_runners;
    std::optional<TimePoint> m_lastMoment;
    std::atomic<std::uint64_t> m_count{0};
};

} // namespace mimosahub
