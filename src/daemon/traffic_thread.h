#pragma once

#include "config/settings.h"
#include "daemon/request_runner.h"
#include "http/memory_metrics.h"
#include "request/workspace_limits.h"

#include <memory>
#include <thread>

namespace mimosahub
{

/// What traffic threads share with the rest of the daemon.
struct TrafficShared {
    const Clock &clock;
    const Settings &settings;
    const TrafficViews &views;
    const FreshnessSignal &freshness;
    EndpointPolicy &policy;
    FeedbackQueue &feedback;
    std::shared_ptr<WorkspaceCounters> workspaces;
    ClaimGate &claims;
    RequestMetrics &metrics;
    MetricRegistry &registry;
};

/// One thread that owns callers' connections and their requests.
class TrafficThread
{
public:
    /// Opens the listening socket on \a address. \a index: the thread's, from 0.
    static absl::StatusOr<std::unique_ptr<TrafficThread>> create(const TrafficShared &shared, const Address &address,
                                                                 int index, std::uint64_t seed);
    ~TrafficThread();

    void start();
    /// Tells callers with each answer to open no further requests here, and
    /// requests that an answer is of use until \a lastMoment only. Any thread.
    void drain(TimePoint lastMoment);
    /// Stops accepting; what has connected already is counted in openRequests()
    /// when this returns. Any thread but this one.
    void stopAccepting();
    /// Requests that are not yet answered or settled. Any thread.
    [[nodiscard]] std::uint64_t openRequests() const
    {
        return m_server->counters().busy + m_live.count();
    }
    /// Ends the thread; requests still open are dropped with this object. Any
    /// thread but this one.
    void stop();
    [[nodiscard]] std::uint16_t port() const
    {
        return m_server->port();
    }
    /// Counters of callers' connections. Any thread.
    [[nodiscard]] const http::ServerCounters &serverCounters() const
    {
        return m_server->counters();
    }

private:
    TrafficThread(const TrafficShared &shared, int index, std::uint64_t seed);
    http::Awaitable<void> handle(http::Exchange &exchange);
    http::Awaitable<void> run(CallerRequest request, http::Exchange &exchange);
    RequestId nextRequestId();

    const TrafficShared m_shared;
    http::MemoryMetrics m_memoryMetrics;
    http::MemoryAccount m_memory;
    std::unique_ptr<boost::asio::io_context> m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    Random m_random;
    http::ConnectionPool m_pool;
    Dispatcher m_dispatcher;
    RequestOptions m_requestOptions;
    ServiceHistories m_histories;
    RequestCounters m_counters;
    IdempotencyOptions m_idempotency;
    WorkspaceLimits m_limits;
    LiveRequests m_live;
    TrafficContext m_context;
    std::shared_ptr<http::Server> m_server;
    std::uint64_t m_idPrefix;
    std::uint64_t m_requestCount = 0;
    bool m_ended = false; ///< What is dropped now has nobody to tell.
    std::thread m_thread;
};

} // namespace mimosahub
