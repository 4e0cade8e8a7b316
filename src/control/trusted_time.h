#pragma once

#include "mimosahub/record.h"

namespace mimosahub
{

/// The calendar time that at least two writers report as passed. The state
/// machine has no clock; it uses the second highest stamp over distinct writers,
/// so that one instance whose clock is far ahead can't expire the claims of all
/// others. Never decreases.
class TrustedTime
{
public:
    /// Adds the stamp of \a header.
    void observe(const BatchHeader &header)
    {
        if (header.writer == m_highestWriter) {
            m_highest = std::max(m_highest, header.stamp);
        } else if (header.stamp > m_highest) {
            m_second = m_highest;
            m_highest = header.stamp;
            m_highestWriter = header.writer;
        } else {
            m_second = std::max(m_second, header.stamp);
        }
    }
    /// The latest time that has certainly passed, unless two clocks are wrong at the same time.
    [[nodiscard]] WallTime passed() const
    {
        return m_second;
    }

    template<class Archive>
    friend void describe(Archive &archive, TrustedTime &it)
    {
        archive.field("highest", it.m_highest);
        archive.field("writer", it.m_highestWriter);
        archive.field("second", it.m_second);
    }
    friend bool operator==(const TrustedTime &, const TrustedTime &) = default;

private:
    WallTime m_highest{};
    InstanceId m_highestWriter;
    WallTime m_second{};
};

} // namespace mimosahub
