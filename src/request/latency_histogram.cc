// A histogram with geometric buckets and forward decay: instead of reducing all
// old weights on each record, new ones get a greater weight, by the factor
// 2^(age of the landmark / half-life). Quantiles don't depend on the scale of the
// weights, which is reset long before they lose precision. Boost.Accumulators'
// quantile estimators are unsuitable: they don't discount old samples, so that
// yesterday's load would determine today's timeouts.

#include "request/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace mimosahub
{

namespace
{

constexpr Duration kFirstBucket = std::chrono::microseconds(50);
constexpr double kBucketsPerDoubling = 4.0;
constexpr double kMaxHalfLives = 30.0;

} // namespace

std::size_t LatencyHistogram::bucketOf(Duration duration)
{
    if (duration <= kFirstBucket) {
        return 0;
    }
    const double ratio = static_cast<double>(duration.count()) / static_cast<double>(kFirstBucket.count());
    const auto bucket = static_cast<std::size_t>(std::ceil(std::log2(ratio) * kBucketsPerDoubling));
    return std::min(bucket, kBuckets - 1);
}

Duration LatencyHistogram::upperBound(std::size_t bucket)
{
    const double factor = std::exp2(static_cast<double>(bucket) / kBucketsPerDoubling);
    return Duration(static_cast<Duration::rep>(static_cast<double>(kFirstBucket.count()) * factor));
}

void LatencyHistogram::rescale(TimePoint now)
{
    const double factor = std::exp2(-std::chrono::duration<double>(now - m_landmark) / m_halfLife);
    for (auto &bucket : m_buckets) {
        bucket *= factor;
    }
    m_total *= factor;
    m_landmark = now;
}

void LatencyHistogram::record(Duration duration, TimePoint now)
{
    if (m_total == 0) {
        m_landmark = now;
    }
    double halfLives = std::chrono::duration<double>(now - m_landmark) / m_halfLife;
    if (halfLives > kMaxHalfLives) {
        rescale(now);
        halfLives = 0;
    }
    const double weight = std::exp2(halfLives);
    m_buckets.at(bucketOf(duration)) += weight;
    m_total += weight;
}

std::optional<std::size_t> LatencyHistogram::quantileBucket(double q) const
{
    if (m_total <= 0) {
        return std::nullopt;
    }
    const double wanted = q * m_total;
    double seen = 0;
    std::size_t last = 0;
    for (std::size_t i = 0; i < kBuckets; ++i) {
        if (m_buckets.at(i) <= 0) {
            continue;
        }
        last = i;
        seen += m_buckets.at(i);
        if (seen >= wanted) {
            break;
        }
    }
    return last;
}

std::optional<Duration> LatencyHistogram::quantile(double q) const
{
    const auto bucket = quantileBucket(q);
    return bucket ? std::optional(upperBound(*bucket)) : std::nullopt;
}

std::optional<Duration> LatencyHistogram::quantileFloor(double q) const
{
    const auto bucket = quantileBucket(q);
    if (!bucket) {
        return std::nullopt;
    }
    return *bucket == 0 ? Duration::zero() : upperBound(*bucket - 1);
}

double LatencyHistogram::weight(TimePoint now) const
{
    return m_total * std::exp2(-std::chrono::duration<double>(now - m_landmark) / m_halfLife);
}

} // namespace mimosahub
