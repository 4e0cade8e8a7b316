// The registry never frees a metric, and operators may publish thousands of routes
// and workspaces: the first ones that are used get metrics of their own.

#include "gateway/forward_metrics.h"

namespace mimosahub
{

namespace
{

constexpr std::size_t kMostRoutes = 64; ///< With metrics of their own.
constexpr std::size_t kMostWorkspaces = 64;
constexpr std::string_view kOther = "other"; ///< Label of all beyond.

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// The label under which \a name is counted among those that have metrics already.
template<typename Map>
std::string labelOf(const Map &known, const std::string &name, std::size_t most)
{
    const bool own = known.contains(name) || known.size() < most;
    return own ? name : std::string(kOther);
}

} // namespace

void ForwardMetrics::record(const ForwardedEnd &end)
{
    auto &metrics = ofRoute(end.route);
    auto it = metrics.ends.find(end.outcome);
    if (it == metrics.ends.end()) {
        const auto label = labelOf(m_routes, end.route.str(), kMostRoutes);
        auto &counter =
            m_registry.counter("mimosahub_forwarded_requests_total", "Forwarded requests, by how they ended.",
                               {{"route", label}, {"outcome", std::string(end.outcome)}});
        it = metrics.ends.emplace(end.outcome, &counter).first;
    }
    it->second->add();
    metrics.total->record(seconds(end.total));
    if (end.first) {
        metrics.first->record(seconds(*end.first));
    }
    if (!end.workspace.empty()) {
        ofWorkspace(end.workspace).record(seconds(end.total));
    }
}

void ForwardMetrics::recordSilence(RetryObstacle obstacle)
{
    m_registry
        .counter("mimosahub_endpoint_silences_total",
                 "Silences of endpoints longer than usual, by the obstacle to a second send; none: it was sent.",
                 {{"obstacle", std::string(retryObstacleName(obstacle))}})
        .add();
}

void ForwardMetrics::recordStreamCut(SendLoss loss, RetryObstacle obstacle)
{
    m_registry
        .counter("mimosahub_streams_cut_total",
                 "Streams cut at the caller after they had begun, by what was lost and the obstacle to a second send.",
                 {{"loss", std::string(sendLossName(loss))}, {"obstacle", std::string(retryObstacleName(obstacle))}})
        .add();
}

void ForwardMetrics::recordStreamPause()
{
    m_registry
        .counter("mimosahub_stream_pauses_total",
                 "Times that a stream was not read on, since there was no memory for the rest of an event.")
        .add();
}

void ForwardMetrics::recordStreamPauseEnd(Duration paused, bool goesOn)
{
    m_registry
        .histogram(
            "mimosahub_stream_pause_seconds",
            "From a stream's pause for lack of memory to its end, by whether the stream went on or was given up.",
            {{"end", goesOn ? "continued" : "given-up"}})
        .record(seconds(paused));
}

void ForwardMetrics::recordUnprovenRefusal(int status)
{
    m_registry
        .counter("mimosahub_unproven_refusals_total",
                 "Answers of endpoints whose status promises that the request has not run, without the header that "
                 "says so; callers get 502.",
                 {{"status", std::to_string(status)}})
        .add();
}

ForwardMetrics::RouteMetrics &ForwardMetrics::ofRoute(const RouteId &route)
{
    const auto label = labelOf(m_routes, route.str(), kMostRoutes);
    const auto [it, isNew] = m_routes.try_emplace(label);
    if (isNew) {
        it->second.total = &m_registry.histogram("mimosahub_forwarded_request_seconds",
                                                 "From a request's arrival to its end.", {{"route", label}});
        it->second.first = &m_registry.histogram("mimosahub_forwarded_first_byte_seconds",
                                                 "From a send to the answer or its first event.", {{"route", label}});
    }
    return it->second;
}

Histogram &ForwardMetrics::ofWorkspace(const WorkspaceId &workspace)
{
    const auto label = labelOf(m_workspaces, workspace.str(), kMostWorkspaces);
    const auto [it, isNew] = m_workspaces.try_emplace(label);
    if (isNew) {
        it->second =
            &m_registry.histogram("mimosahub_forwarded_workspace_seconds",
                                  "From a request's arrival to its end, by workspace.", {{"workspace", label}});
    }
    return *it->second;
}

} // namespace mimosahub
