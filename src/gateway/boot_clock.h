#pragma once

#include "mimosahub/clock.h"

#include <ctime>

namespace mimosahub
{

/// A clock whose now() includes the time for which the machine was suspended, unlike that of
/// SystemClock. Its times are not comparable with those of other clocks.
class BootClock : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
    [[nodiscard]] WallTime wallTime() const override
    {
        return SystemClock().wallTime();
    }
};

} // namespace mimosahub
