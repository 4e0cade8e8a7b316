// A request finds its metrics in maps under a shared lock and takes the
// exclusive lock only for a label set that is new, which happens a bounded
// number of times: the registry never frees a metric, so that at the limit
// further workspaces share one label set.

#include "daemon/request_metrics.h"

#include <algorithm>
#include <mutex>
#include <vector>

namespace mimosahub
{

namespace
{

constexpr std::string_view kOther = "other";
constexpr std::string_view kUnresolved = "none";

std::string labelOf(std::string_view name)
{
    return std::string(name.empty() ? kUnresolved : name);
}

/// The value of \a map for \a key, made by \a make if there is none. At \a limit
/// entries the value of \a overflow stands in.
template<typename Key, typename Value, typename Make>
Value &findOrMake(std::map<Key, Value *> &map, std::shared_mutex &mutex, const Key &key, const Key &overflow,
                  std::size_t limit, const Make &make)
{
    {
        const std::shared_lock lock(mutex);
        if (const auto it = map.find(key); it != map.end()) {
            return *it->second;
        }
    }
    const std::unique_lock lock(mutex);
    const auto &used = map.contains(key) || map.size() < limit ? key : overflow;
    auto &value = map[used];
    if (value == nullptr) {
        value = &make(used);
    }
    return *value;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Adds the samples of \a other, which has the same bounds.
void merge(HistogramSnapshot &sum, const HistogramSnapshot &other)
{
    if (sum.buckets.empty()) {
        sum = other;
        return;
    }
    for (std::size_t i = 0; i < sum.buckets.size(); ++i) {
        sum.buckets[i] += other.buckets[i];
    }
    sum.count += other.count;
    sum.sum += other.sum;
    sum.max = std::max(sum.max, other.max);
}

} // namespace

RequestMetrics::RequestMetrics(MetricRegistry &registry, RequestMetricsOptions options)
    : m_registry(registry), m_options(options)
{
}

void RequestMetrics::recordStage(const WorkspaceId &workspace, const StageId &stage, Duration duration)
{
    stageHistogram({workspace, stage}).record(seconds(duration));
}

void RequestMetrics::recordRequest(const WorkspaceId &workspace, std::string_view route, Outcome outcome, Reason reason,
                                   Duration duration)
{
    RouteKey key{workspace, std::string(route)};
    routeHistogram(key).record(seconds(duration));
    endCounter({std::move(key), outcome, reason}).add();
}

Histogram &RequestMetrics::stageHistogram(const StageKey &key)
{
    const StageKey overflow{WorkspaceId(kOther), StageId(kOther)};
    return findOrMake(m_stages, m_mutex, key, overflow, m_options.maxSeries, [&](const StageKey &it) -> Histogram & {
        return m_registry.histogram("mimosahub_stage_seconds",
                                    "Time of one call of a stage, from send to the whole answer.",
                                    {{"workspace", labelOf(it.workspace.str())}, {"stage", labelOf(it.stage.str())}});
    });
}

Histogram &RequestMetrics::routeHistogram(const RouteKey &key)
{
    const RouteKey overflow{WorkspaceId(kOther), std::string(kOther)};
    return findOrMake(m_routes, m_mutex, key, overflow, m_options.maxSeries, [&](const RouteKey &it) -> Histogram & {
        return m_registry.histogram("mimosahub_request_seconds",
                                    "Time of one request, from arrival to the end of its final answer.",
                                    {{"workspace", labelOf(it.workspace.str())}, {"route", labelOf(it.route)}});
    });
}

Counter &RequestMetrics::endCounter(const EndKey &key)
{
    const EndKey overflow{{WorkspaceId(kOther), std::string(kOther)}, key.outcome, key.reason};
    return findOrMake(m_ends, m_mutex, key, overflow, m_options.maxSeries, [&](const EndKey &it) -> Counter & {
        return m_registry.counter("mimosahub_requests_total", "Requests that got their final answer.",
                                  {{"workspace", labelOf(it.route.workspace.str())},
                                   {"route", labelOf(it.route.route)},
                                   {"outcome", std::string(outcomeName(it.outcome))},
                                   {"reason", std::string(reasonName(it.reason))}});
    });
}

std::map<WorkspaceId, WorkspaceActivity> RequestMetrics::activity() const
{
    std::map<WorkspaceId, WorkspaceActivity> result;
    std::map<WorkspaceId, HistogramSnapshot> times;
    const std::shared_lock lock(m_mutex);
    for (const auto &[key, counter] : m_ends) {
        auto &it = result[key.route.workspace];
        it.requests += counter->value();
        it.refused += key.outcome == Outcome::NotRun ? counter->value() : 0;
    }
    for (const auto &[key, histogram] : m_routes) {
        merge(times[key.workspace], histogram->snapshot());
    }
    for (const auto &[workspace, snapshot] : times) {
        result[workspace].p50 = snapshot.quantile(0.5);
        result[workspace].p99 = snapshot.quantile(0.99);
    }
    return result;
}

} // namespace mimosahub
