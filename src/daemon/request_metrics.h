#pragma once

#include "base/metrics.h"
#include "mimosahub/clock.h"
#include "mimosahub/ids.h"
#include "mimosahub/outcome.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <tuple>

namespace mimosahub
{

/// Limits of RequestMetrics.
struct RequestMetricsOptions {
    std::size_t maxSeries = 20000; ///< Label sets of each metric; further workspaces count under "other".
};

/// One workspace's requests at this daemon since its start.
struct WorkspaceActivity {
    std::uint64_t requests = 0; ///< That got their final answer, refused ones included.
    std::uint64_t refused = 0; ///< Of them, those with outcome "not-run".
    double p50 = 0; ///< Seconds; estimated from the histogram over all routes.
    double p99 = 0; ///< Seconds.
};

/// Metrics of callers' requests by workspace. Each label set is looked up in the
/// registry once and kept. Thread-safe.
class RequestMetrics
{
public:
    /// \a registry must outlive this.
    explicit RequestMetrics(MetricRegistry &registry, RequestMetricsOptions options = {});

    /// Counts one finished call of \a stage. Both names come from the configuration.
    void recordStage(const WorkspaceId &workspace, const StageId &stage, Duration duration);
    /// Counts one final answer. \a workspace and \a route come from the
    /// configuration, and are empty for a request that could not be resolved.
    void recordRequest(const WorkspaceId &workspace, std::string_view route, Outcome outcome, Reason reason,
                       Duration duration);

    /// What each workspace did, by its name in the metrics.
    [[nodiscard]] std::map<WorkspaceId, WorkspaceActivity> activity() const;

private:
    struct StageKey {
        WorkspaceId workspace;
        StageId stage;

        friend auto operator<=>(const StageKey &a, const StageKey &b)
        {
            return std::tie(a.workspace, a.stage) <=> std::tie(b.workspace, b.stage);
        }
    };
    struct RouteKey {
        WorkspaceId workspace;
        std::string route;

        friend auto operator<=>(const RouteKey &a, const RouteKey &b)
        {
            return std::tie(a.workspace, a.route) <=> std::tie(b.workspace, b.route);
        }
    };
    struct EndKey {
        RouteKey route;
        Outcome outcome = Outcome::Ok;
        Reason reason = Reason::None;

        friend auto operator<=>(const EndKey &a, const EndKey &b)
        {
            return std::tie(a.route, a.outcome, a.reason) <=> std::tie(b.route, b.outcome, b.reason);
        }
    };

    Histogram &stageHistogram(const StageKey &key);
    Histogram &routeHistogram(const RouteKey &key);
    Counter &endCounter(const EndKey &key);

    MetricRegistry &m_registry;
    RequestMetricsOptions m_options;
    mutable std::shared_mutex m_mutex; ///< Guards the maps; the metrics guard themselves.
    std::map<StageKey, Histogram *> m_stages;
    std::map<RouteKey, Histogram *> m_routes;
    std::map<EndKey, Counter *> m_ends;
};

} // namespace mimosahub
