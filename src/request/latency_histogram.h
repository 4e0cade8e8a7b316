#pragma once

#include "mimosahub/clock.h"

#include <array>
#include <optional>

namespace mimosahub
{

/// Recent durations of one kind, from which quantiles are read. Buckets grow by
/// a fixed ratio, so that a quantile is at most about a fifth too high; weights
/// halve with each half-life, so that old load is forgotten.
class LatencyHistogram
{
public:
    explicit LatencyHistogram(Duration halfLife = std::chrono::seconds(30)) : m_halfLife(halfLife)
    {
    }

    void record(Duration duration, TimePoint now);
    /// The upper end of the bucket that holds quantile \a q, in (0, 1]; absent
    /// if nothing was recorded.
    [[nodiscard]] std::optional<Duration> quantile(double q) const;
    /// The lower end of that bucket.
    [[nodiscard]] std::optional<Duration> quantileFloor(double q) const;
    /// The decayed number of durations as of \a now.
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
    TimePoint m_landmark; // Weights are 1 for durations recorded at this time.
};

} // namespace mimosahub
