#pragma once

#include "mimosahub/clock.h"

#include <optional>

namespace mimosahub
{

/// Estimates true time from an instance's wall clock, which may jump by seconds and jump back. A jump
/// is taken for a fault until it has lasted.
class TrueTime
{
public:
    /// The estimate at \a steady, at which the wall clock shows \a wall.
    [[nodiscard]] WallTime estimate(TimePoint steady, WallTime wall)
    {
        const Duration offset = wall.time_since_epoch() - steady.time_since_epoch();
        if (!m_offset || isNear(offset, *m_offset)) {
            m_offset = offset;
            m_jump.reset();
        } else if (!m_jump || !isNear(offset, m_jump->offset)) {
            m_jump = Jump{offset, steady};
        } else if (steady - m_jump->since >= kLastingJump) {
            m_offset = offset;
            m_jump.reset();
        }
        return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(steady.time_since_epoch() + *m_offset));
    }

private:
    struct Jump {
        Duration offset;
        TimePoint since;
    };

    static constexpr Duration kSlew = std::chrono::milliseconds(100); ///< Corrections that are no jump.
    static constexpr Duration kLastingJump = std::chrono::minutes(2);

    static bool isNear(Duration a, Duration b)
    {
        return a - b <= kSlew && b - a <= kSlew;
    }

    std::optional<Duration> m_offset; ///< Of the wall clock to the steady one.
    std::optional<Jump> m_jump;
};

} // namespace mimosahub
