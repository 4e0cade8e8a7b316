#pragma once

#include "mimosahub/clock.h"

#include <algorithm>
#include <cstdint>

namespace mimosahub::http
{

/// What a body that is being received has to keep to.
struct BodyPaceOptions {
    Duration total = std::chrono::seconds(10); ///< For the whole body.
    Duration pause = std::chrono::seconds(5); ///< Longest time without a byte.
    Duration grace = std::chrono::seconds(3); ///< Before the rate counts.
    std::uint64_t bytesPerSecond = std::uint64_t(32) << 10U; ///< Of large bodies, on average after the grace.
    std::uint64_t smallBytes = std::uint64_t(64) << 10U; ///< Bodies up to this size have no minimum rate.
};

/// Until when the next bytes of a body must come, so that senders that stall or drip don't hold
/// memory for long.
class BodyPace
{
public:
    /// \a large: whether a minimum rate applies.
    BodyPace(const BodyPaceOptions &options, bool large, TimePoint begin)
        : m_options(options), m_large(large), m_begin(begin), m_lastAt(begin)
    {
    }

    /// \a bytes came at \a now.
    void record(std::uint64_t bytes, TimePoint now)
    {
        m_bytes += bytes;
        m_lastAt = now;
    }
    /// The body grew above the size of small ones.
    void setLarge()
    {
        m_large = true;
    }
    /// When the body is given up if no more of it comes.
    [[nodiscard]] TimePoint end() const
    {
        auto end = std::min(m_begin + m_options.total, m_lastAt + m_options.pause);
        if (m_large) {
            const double earned = static_cast<double>(m_bytes) / static_cast<double>(m_options.bytesPerSecond);
            const auto rate = std::chrono::duration<double>(std::min(earned, kMostSeconds));
            end = std::min(end, m_begin + m_options.grace + std::chrono::duration_cast<Duration>(rate));
        }
        return end;
    }

private:
    static constexpr double kMostSeconds = 3600.0; ///< Above any total.

    BodyPaceOptions m_options;
    bool m_large;
    TimePoint m_begin;
    TimePoint m_lastAt;
    std::uint64_t m_bytes = 0;
};

} // namespace mimosahub::http
