#pragma once

#include "mimosahub/clock.h"

#include <array>
#include <optional>

namespace mimosahub
{

/// Estimates quantiles of recent durations. The bucket bounds grow by a fixed ratio,
/// so that a quantile is overestimated by at most about a fifth. Weights halve with
/// each half-life, so that old samples lose their influence.
class LatencyHistogram
{
public:
    explicit LatencyHistogram(Duration halfLife = std::chrono::seconds(30)) : m_halfLife(halfLife)
    {
    }

    /// Adds \a duration as a sample taken at \a now.
    void record(Duration duration, TimePoint now);
    /// The upper bound of the bucket that holds quantile \a q, in (0, 1]; absent
    /// if nothing was recorded.
    [[nodiscard]] std::optional<Duration> quantile(double q) const;
    /// The lower bound of the bucket that holds quantile \a q; absent if nothing was recorded.
    [[nodiscard]] std::optional<Duration> quantileFloor(double q) const;
    /// The decayed number of samples as of \a now.
    [[nodiscard]] double weight(TimePoint now) const;
    [[nodiscard]] Duration halfLife() const
    {
        return m_halfLife;
    }

private:
    static constexpr std::size_t kBuckets = 96;

    [[nodiscard]] static std::size_t bucketOf(Duration duration);
    [[nodiscard]] static Duration upperBound(std::size_t bucket);
    [[nodiscard]] std::optional<std::size_t> quantileBucket(double q) const;
    void rescale(TimePoint now);

    Duration m_halfLife;
    std::array<double, kBuckets> m_buckets = {};
    double m_total = 0;
    TimePoint m_landmark; // A sample recorded at this time has weight 1, a later one more.
};

} // namespace mimosahub
