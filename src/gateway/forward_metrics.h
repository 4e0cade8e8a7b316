#pragma once

#include "base/metrics.h"
#include "forward/gateway_configuration.h"
#include "forward/retry_obstacle.h"
#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mimosahub
{

/// How one forwarded request ended.
struct ForwardedEnd {
    RouteId route; ///< Empty if no route was found.
    WorkspaceId workspace; ///< Empty if the route is open or no key matched.
    std::string_view outcome; ///< As in the request's log line.
    Duration total{}; ///< From its arrival to its end.
    std::optional<Duration> first; ///< From its last send to the answer or its first event.
};

/// Counts and times of forwarded requests, by route and by workspace. What exceeds
/// a fixed number of routes or workspaces is counted together, so that the page
/// stays small. Traffic thread only.
class ForwardMetrics
{
public:
    /// \a registry must outlive this object.
    explicit ForwardMetrics(MetricRegistry &registry) : m_registry(registry)
    {
    }

    void record(const ForwardedEnd &end);
    /// An endpoint was silent for longer than usual. \a obstacle: to sending the request to another one.
    void recordSilence(RetryObstacle obstacle);
    /// A stream was cut at its caller after it had begun. \a obstacle: to sending the request again.
    void recordStreamCut(SendLoss loss, RetryObstacle obstacle);
    /// A stream is not read on for lack of memory.
    void recordStreamPause();
    /// It went on or was given up after \a paused.
    void recordStreamPauseEnd(Duration paused, bool goesOn);
    /// An endpoint answered with \a status, which promises callers that the request has not run,
    /// without saying so itself.
    void recordUnprovenRefusal(int status);

private:
    struct RouteMetrics {
        std::map<std::string, Counter *, std::less<>> ends; ///< By outcome.
        Histogram *total = nullptr;
        Histogram *first = nullptr;
    };

    RouteMetrics &ofRoute(const RouteId &route);
    Histogram &ofWorkspace(const WorkspaceId &workspace);

    MetricRegistry &m_registry;
    std::map<std::string, RouteMetrics, std::less<>> m_routes;
    std::map<std::string, Histogram *, std::less<>> m_workspaces;
};

} // namespace mimosahub
