#include "gateway/forward_metrics.h"

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

std::size_t occurrences(const std::string &text, const std::string &part)
{
    std::size_t n = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++n;
    }
    return n;
}

} // namespace

Test(forward_metrics, counts_and_times_by_route_and_workspace)
{
    MetricRegistry registry;
    ForwardMetrics metrics(registry);
    metrics.record({RouteId("plan"), WorkspaceId("desk"), "streamed", 800ms, 90ms});
    metrics.record({RouteId("plan"), WorkspaceId("desk"), "not-run", 1ms, std::nullopt});
    const auto page = registry.render();
    cr_assert(page.find("mimosahub_forwarded_requests_total{outcome=\"streamed\",route=\"plan\"} 1")
                      != std::string::npos
                  || page.find("mimosahub_forwarded_requests_total{route=\"plan\",outcome=\"streamed\"} 1")
                      != std::string::npos,
              "%s", page.c_str());
    cr_assert(page.find("mimosahub_forwarded_request_seconds_count{route=\"plan\"} 2") != std::string::npos);
    cr_assert(page.find("mimosahub_forwarded_first_byte_seconds_count{route=\"plan\"} 1") != std::string::npos);
    cr_assert(page.find("mimosahub_forwarded_workspace_seconds_count{workspace=\"desk\"} 2") != std::string::npos);
}

Test(forward_metrics, counts_streams_that_were_cut_by_loss_and_obstacle)
{
    MetricRegistry registry;
    ForwardMetrics metrics(registry);
    metrics.recordStreamCut(SendLoss::Silence, RetryObstacle::NoBudget);
    metrics.recordStreamCut(SendLoss::Silence, RetryObstacle::NoBudget);
    metrics.recordStreamCut(SendLoss::BrokenOff, RetryObstacle::NoEndpoint);
    const auto page = registry.render();
    cr_assert(page.find("mimosahub_streams_cut_total{loss=\"silence\",obstacle=\"no-budget\"} 2") != std::string::npos,
              "%s", page.c_str());
    cr_assert(page.find("mimosahub_streams_cut_total{loss=\"broken-off\",obstacle=\"no-endpoint\"} 1")
              != std::string::npos);
}

Test(forward_metrics, counts_unproven_refusals_by_status)
{
    MetricRegistry registry;
    ForwardMetrics metrics(registry);
    metrics.recordUnprovenRefusal(503);
    metrics.recordUnprovenRefusal(503);
    metrics.recordUnprovenRefusal(429);
    const auto page = registry.render();
    cr_assert(page.find("mimosahub_unproven_refusals_total{status=\"503\"} 2") != std::string::npos, "%s",
              page.c_str());
    cr_assert(page.find("mimosahub_unproven_refusals_total{status=\"429\"} 1") != std::string::npos);
}

// Thousands of routes and workspaces make neither the page nor the memory grow.
Test(forward_metrics, stays_bounded_with_thousands_of_routes_and_workspaces)
{
    MetricRegistry registry;
    ForwardMetrics metrics(registry);
    for (int n = 0; n < 5000; ++n) {
        const auto name = std::to_string(n);
        metrics.record({RouteId("r" + name), WorkspaceId("w" + name), "streamed", 1ms, 1ms});
    }
    const auto page = registry.render();
    cr_assert(occurrences(page, "mimosahub_forwarded_request_seconds_count") <= 65);
    cr_assert(occurrences(page, "mimosahub_forwarded_workspace_seconds_count") <= 65);
    cr_assert(page.find("mimosahub_forwarded_requests_total") != std::string::npos);
    cr_assert(page.find("route=\"other\"") != std::string::npos);
}
