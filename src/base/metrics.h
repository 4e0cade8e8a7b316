#pragma once

#include <array>
#include <atomic>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

/// Counters, gauges and histograms in the Prometheus text format. Look a metric
/// up once and keep the reference: it stays valid as long as the registry.
namespace mimosahub
{

/// A count that only grows. Thread-safe.
class Counter
{
public:
    void add(std::uint64_t n = 1)
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

/// A value that goes up and down. Thread-safe.
class Gauge
{
public:
    void set(double value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }
    void add(double difference)
    {
        m_value.fetch_add(difference, std::memory_order_relaxed);
    }
    [[nodiscard]] double value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> m_value = 0;
};

/// Upper bounds of the buckets of latency histograms, in seconds.
inline constexpr std::array kLatencyBounds = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                              0.5,   1.0,    2.0,   4.0,  8.0,   16.0, 60.0};

/// What a histogram held at one moment.
struct HistogramSnapshot {
    std::span<const double> bounds; ///< Upper bounds of all buckets but the last, which has none.
    std::vector<std::uint64_t> buckets; ///< Samples in each bucket, one more than bounds.
    std::uint64_t count = 0;
    double sum = 0;
    double max = 0; ///< 0 if there is no sample.

    /// Estimate of the quantile \a q in [0, 1]: the upper bound of its bucket,
    /// or the largest sample if that is lower. 0 if there is no sample.
    [[nodiscard]] double quantile(double q) const;
};

/// Distribution of samples over fixed buckets. Thread-safe.
class Histogram
{
public:
    /// \a bounds are ascending and have static storage.
    explicit Histogram(std::span<const double> bounds);
    ~Histogram();

    void record(double sample);
    [[nodiscard]] HistogramSnapshot snapshot() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// One dimension of a metric, for example workspace="desk".
struct Label {
    std::string name;
    std::string value;

    friend bool operator==(const Label &, const Label &) = default;
    friend std::strong_ordering operator<=>(const Label &a, const Label &b)
    {
        return std::tie(a.name, a.value) <=> std::tie(b.name, b.value);
    }
};
using Labels = std::vector<Label>;

/// All metrics of one process. Thread-safe. Label values must come from the
/// configuration or the code, never from callers, since a metric is never freed.
class MetricRegistry
{
public:
    MetricRegistry();
    ~MetricRegistry();

    /// The counter \a name with \a labels, made at its first use; the other two
    /// alike. Counters end in "_total", durations in "_seconds".
    Counter &counter(std::string_view name, std::string_view help, Labels labels = {});
    Gauge &gauge(std::string_view name, std::string_view help, Labels labels = {});
    Histogram &histogram(std::string_view name, std::string_view help, Labels labels = {},
                         std::span<const double> bounds = kLatencyBounds);

    /// All metrics in the Prometheus text format, ordered by kind, name and labels.
    [[nodiscard]] std::string render() const;

private:
    struct Families;
    mutable std::mutex m_mutex;
    std::unique_ptr<Families> m_families;
};

} // namespace mimosahub
