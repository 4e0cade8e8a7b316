#pragma once

#include <chrono>

namespace mimosahub
{

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Source of time. Leases, timeouts and deadlines use now(); wallTime() is only for
/// times that people specify: due times and the expiry of idempotency keys.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Monotonic time of this process.
    [[nodiscard]] virtual TimePoint now() const = 0;
    /// Calendar time of this instance; other instances' clocks may differ.
    [[nodiscard]] virtual WallTime wallTime() const = 0;
};

/// The operating system's clocks.
class SystemClock : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }
    [[nodiscard]] WallTime wallTime() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }
};

/// A clock that moves only by advance(); for tests and benchmarks.
class ManualClock : public Clock
{
public:
    explicit ManualClock(TimePoint now = TimePoint(std::chrono::hours(1)),
                         WallTime wallTime = WallTime(std::chrono::hours(24 * 365 * 50)))
        : m_now(now), m_wallTime(wallTime)
    {
    }

    [[nodiscard]] TimePoint now() const override
    {
        return m_now;
    }
    [[nodiscard]] WallTime wallTime() const override
    {
        return m_wallTime;
    }
    /// Moves both clocks forward by \a step.
    void advance(Duration step)
    {
        m_now += step;
        m_wallTime += std::chrono::duration_cast<std::chrono::milliseconds>(step);
    }

private:
    TimePoint m_now;
    WallTime m_wallTime;
};

} // namespace mimosahub
