// A histogram is a Boost.Accumulators set with a feature of its own that counts
// samples by bucket. The set isn't thread-safe, so that a mutex guards each; it
// is held for one binary search, and histograms are split by workspace and stage,
// which keeps contention low without a copy for each thread.

#include "base/metrics.h"

#include <absl/strings/str_cat.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/parameter/keyword.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace mimosahub
{

namespace
{

namespace acc = boost::accumulators;

// Declares the argument kBucketBounds of accumulator sets.
BOOST_PARAMETER_KEYWORD(tag, kBucketBounds) // NOLINT(readability-identifier-naming): its type gets the same name.

// Counts samples by bucket. Bounds come as the argument kBucketBounds.
template<typename Sample>
class BucketCounter : public acc::accumulator_base
{
public:
    using result_type = const std::vector<std::uint64_t> &; // NOLINT(readability-identifier-naming): set by Boost.

    template<typename Args>
    explicit BucketCounter(const Args &args) : m_bounds(args[kBucketBounds]), m_counts(m_bounds.size() + 1)
    {
    }
    template<typename Args>
    void operator()(const Args &args)
    {
        const auto it = std::lower_bound(m_bounds.begin(), m_bounds.end(), args[acc::sample]);
        ++m_counts[static_cast<std::size_t>(it - m_bounds.begin())];
    }
    result_type result(acc::dont_care /*args*/) const
    {
        return m_counts;
    }

private:
    std::span<const double> m_bounds;
    std::vector<std::uint64_t> m_counts;
};

namespace tag
{
// The feature's name in accumulator sets.
struct Buckets : acc::depends_on<> {
    using impl = BucketCounter<boost::mpl::_1>; // NOLINT(readability-identifier-naming): set by Boost.
};
} // namespace tag

using Accumulators =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, tag::Buckets>>;

std::string numberText(double value)
{
    std::array<char, 32> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return {buf.data(), end};
}

std::string escaped(std::string_view value)
{
    std::string out;
    for (const char c : value) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += c;
    }
    return out;
}

// "{a="b",c="d"}", or nothing without labels.
std::string labelText(const Labels &labels)
{
    std::string out;
    for (const auto &label : labels) {
        absl::StrAppend(&out, out.empty() ? "{" : ",", label.name, "=\"", escaped(label.value), "\"");
    }
    return out.empty() ? out : out + "}";
}

std::string labelText(Labels labels, std::string name, std::string value)
{
    labels.push_back({std::move(name), std::move(value)});
    return labelText(labels);
}

// All metrics of one name.
template<typename Metric>
struct Family {
    std::string help;
    std::map<Labels, std::unique_ptr<Metric>> metrics;
};

template<typename Metric>
using FamilyMap = std::map<std::string, Family<Metric>, std::less<>>;

template<typename Metric, typename... Args>
Metric &metricOf(FamilyMap<Metric> &families, std::string_view name, std::string_view help, Labels labels, Args... args)
{
    auto it = families.find(name);
    if (it == families.end()) {
        it = families.emplace(std::string(name), Family<Metric>{std::string(help), {}}).first;
    }
    auto &metric = it->second.metrics[std::move(labels)];
    if (!metric) {
        metric = std::make_unique<Metric>(args...);
    }
    return *metric;
}

void appendHeader(std::string &out, std::string_view name, std::string_view help, std::string_view type)
{
    out.append("# HELP ").append(name).append(" ").append(help).append("\n");
    out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

template<typename Metric>
void renderValues(std::string &out, const FamilyMap<Metric> &families, std::string_view type)
{
    for (const auto &[name, family] : families) {
        appendHeader(out, name, family.help, type);
        for (const auto &[labels, metric] : family.metrics) {
            absl::StrAppend(&out, name, labelText(labels), " ", numberText(static_cast<double>(metric->value())), "\n");
        }
    }
}

void renderHistogram(std::string &out, const std::string &name, const Labels &labels, const HistogramSnapshot &snapshot)
{
    std::uint64_t cumulated = 0;
    for (std::size_t i = 0; i < snapshot.buckets.size(); ++i) {
        cumulated += snapshot.buckets[i];
        const auto bound = i < snapshot.bounds.size() ? numberText(snapshot.bounds[i]) : "+Inf";
        absl::StrAppend(&out, name, "_bucket", labelText(labels, "le", bound), " ", cumulated, "\n");
    }
    absl::StrAppend(&out, name, "_sum", labelText(labels), " ", numberText(snapshot.sum), "\n");
    absl::StrAppend(&out, name, "_count", labelText(labels), " ", snapshot.count, "\n");
}

void renderHistograms(std::string &out, const FamilyMap<Histogram> &families)
{
    for (const auto &[name, family] : families) {
        appendHeader(out, name, family.help, "histogram");
        std::string maxima;
        appendHeader(maxima, name + "_max", "Largest sample of " + name + ".", "gauge");
        for (const auto &[labels, metric] : family.metrics) {
            const auto snapshot = metric->snapshot();
            renderHistogram(out, name, labels, snapshot);
            absl::StrAppend(&maxima, name, "_max", labelText(labels), " ", numberText(snapshot.max), "\n");
        }
        out += maxima;
    }
}

} // namespace

struct Histogram::State {
    explicit State(std::span<const double> buckets) : bounds(buckets), accumulators(kBucketBounds = buckets)
    {
    }

    std::span<const double> bounds;
    mutable std::mutex mutex;
    Accumulators accumulators;
};

Histogram::Histogram(std::span<const double> bounds) : m_state(std::make_unique<State>(bounds))
{
}

Histogram::~Histogram() = default;

void Histogram::record(double sample)
{
    const std::scoped_lock lock(m_state->mutex);
    m_state->accumulators(sample);
}

HistogramSnapshot Histogram::snapshot() const
{
    HistogramSnapshot snapshot;
    snapshot.bounds = m_state->bounds;
    const std::scoped_lock lock(m_state->mutex);
    snapshot.buckets = acc::extract_result<tag::Buckets>(m_state->accumulators);
    snapshot.count = acc::count(m_state->accumulators);
    snapshot.sum = acc::sum(m_state->accumulators);
    snapshot.max = snapshot.count > 0 ? acc::max(m_state->accumulators) : 0.0;
    return snapshot;
}

double HistogramSnapshot::quantile(double q) const
{
    const double rank = std::ceil(q * static_cast<double>(count));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        seen += buckets[i];
        if (seen > 0 && static_cast<double>(seen) >= rank) {
            return std::min(bounds[i], max);
        }
    }
    return max;
}

struct MetricRegistry::Families {
    FamilyMap<Counter> counters;
    FamilyMap<Gauge> gauges;
    FamilyMap<Histogram> histograms;
};

MetricRegistry::MetricRegistry() : m_families(std::make_unique<Families>())
{
}

MetricRegistry::~MetricRegistry() = default;

Counter &MetricRegistry::counter(std::string_view name, std::string_view help, Labels labels)
{
    const std::scoped_lock lock(m_mutex);
    return metricOf(m_families->counters, name, help, std::move(labels));
}

Gauge &MetricRegistry::gauge(std::string_view name, std::string_view help, Labels labels)
{
    const std::scoped_lock lock(m_mutex);
    return metricOf(m_families->gauges, name, help, std::move(labels));
}

Histogram &MetricRegistry::histogram(std::string_view name, std::string_view help, Labels labels,
                                     std::span<const double> bounds)
{
    const std::scoped_lock lock(m_mutex);
    return metricOf(m_families->histograms, name, help, std::move(labels), bounds);
}

std::string MetricRegistry::render() const
{
    const std::scoped_lock lock(m_mutex);
    std::string out;
    renderValues(out, m_families->counters, "counter");
    renderValues(out, m_families->gauges, "gauge");
    renderHistograms(out, m_families->histograms);
    return out;
}

} // namespace mimosahub
