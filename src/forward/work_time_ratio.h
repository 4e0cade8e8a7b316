#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace mimosahub
{

/// How long work takes at some place, relative to the usual time: 1.0 is as usual, 2.5 takes two
/// and a half times as long.
class WorkTimeRatio
{
public:
    static constexpr std::int64_t kMinPercent = 1;
    static constexpr std::int64_t kMaxPercent = 10'000; ///< A hundred times as long as usual.

    /// The usual time.
    WorkTimeRatio() = default;

    /// The ratio of \a percent to 100. Absent if it is outside [kMinPercent, kMaxPercent].
    [[nodiscard]] static std::optional<WorkTimeRatio> fromPercent(std::int64_t percent)
    {
        if (percent < kMinPercent || percent > kMaxPercent) {
            return std::nullopt;
        }
        return WorkTimeRatio(static_cast<double>(percent) / 100.0);
    }

    [[nodiscard]] double value() const
    {
        return m_value;
    }

    friend auto operator<=>(const WorkTimeRatio &, const WorkTimeRatio &) = default;

private:
    explicit WorkTimeRatio(double value) : m_value(value)
    {
    }

    double m_value = 1.0;
};

} // namespace mimosahub
