#pragma once

#include "daemon/control_thread.h"
#include "daemon/operator_views.h"
#include "daemon/process_metrics.h"
#include "daemon/request_metrics.h"
#include "http/memory_metrics.h"
#include "http/server.h"

namespace mimosahub
{

/// The operators' HTTP API of one daemon (docs/OPERATOR-API.md). Runs on the
/// control thread.
class OperatorApi
{
public:
    /// All arguments must outlive the API. \a memoryBytes: most that requests and responses may hold.
    OperatorApi(ControlThread &control, const Clock &clock, MetricRegistry &metrics, const RequestMetrics &requests,
                std::uint64_t memoryBytes);

    /// Listens on \a address.
    absl::Status listen(const Address &address);
    [[nodiscard]] std::uint16_t port() const
    {
        return m_server->port();
    }
    /// Shows the counters of a server for callers in the metrics; \a counters
    /// must outlive the control thread's run. Before that thread starts.
    void addCallersServer(const http::ServerCounters &counters)
    {
        m_process.addServer("callers", counters);
    }

private:
    http::Awaitable<void> handle(http::Exchange &exchange);
    http::Awaitable<http::Response> answer(const http::Request &request);
    http::Awaitable<http::Response> publish(std::string body);
    http::Awaitable<http::Response> order(std::string body);
    http::Awaitable<http::Response> append(Record record);
    http::Response objects() const;
    http::Response status(std::string_view target) const;
    http::Response orders() const;
    http::Response top() const;
    http::Response explain(std::string_view target) const;
    [[nodiscard]] OperatorSources sources() const;
    http::Response health() const;
    http::Response readiness() const;

    ControlThread &m_control;
    const Clock &m_clock;
    MetricRegistry &m_metrics;
    const RequestMetrics &m_requests;
    ProcessMetrics m_process;
    http::MemoryMetrics m_memoryMetrics;
    http::MemoryAccount m_memory;
    std::shared_ptr<http::Server> m_server;
};

} // namespace mimosahub
