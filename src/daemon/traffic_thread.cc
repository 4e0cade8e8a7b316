// Each traffic thread has its own listening socket on the shared port, its own
// connections to endpoints and its own requests, so that no lock is held while
// a request runs. Request ids are random per daemon and counted per thread.

#include "daemon/traffic_thread.h"

#include "daemon/request_settings.h"
#include "http/memory_shares.h"
#include "http/socket_buffers.h"
#include "mimosahub/error.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

namespace mimosahub
{

namespace
{

/// For a whole body: its least pace bounds it before, unless it is small.
constexpr Duration kBodyTimeout = std::chrono::minutes(1);

/// What a daemon answers that has not read the log yet.
Refusal notCaughtUp()
{
    return makeRefusal(Reason::NotFresh, "this daemon has not read the configuration yet", Step::Admit, kNotFreshRetry);
}

/// Each thread gets its part of the daemon's limits for a workspace.
WorkspaceLimitOptions limitsOf(const Settings &settings)
{
    const auto threads = static_cast<std::size_t>(std::max(1, settings.threads.traffic));
    WorkspaceLimitOptions options;
    options.maxOpenRequests = static_cast<std::size_t>(settings.limits.openRequestsPerWorkspace) / threads + 1;
    options.maxBufferedBytes = settings.limits.bufferedBytesPerWorkspace / threads + 1;
    return options;
}

std::uint64_t memoryOf(const Settings &settings)
{
    return http::MemoryShares::of(settings.limits.memoryMb).requests
        / static_cast<std::uint64_t>(std::max(1, settings.threads.traffic));
}

} // namespace

absl::StatusOr<std::unique_ptr<TrafficThread>>
TrafficThread::create(const TrafficShared &shared, const Address &address, int index, std::uint64_t seed)
{
    const auto memory = memoryOf(shared.settings);
    if (memory < shared.settings.limits.bodyBytes + 4 * http::kRequestOverheadBytes) {
        return errorAt(absl::StatusCode::kInvalidArgument, Step::Listen, address.str(),
                       absl::StrCat("limits.memory_mb leaves ", memory,
                                    " bytes to each traffic thread, fewer than a body of limits.body_bytes needs"));
    }
    std::unique_ptr<TrafficThread> thread(new TrafficThread(shared, index, seed));
    http::ServerOptions options;
    options.maxHeaderBytes = static_cast<std::uint32_t>(shared.settings.limits.headerBytes);
    options.maxBodyBytes = shared.settings.limits.bodyBytes;
    options.maxConnections = static_cast<std::size_t>(shared.settings.limits.openConnections);
    options.idleTimeout = shared.settings.timeouts.idleConnection;
    options.bodyTimeout = kBodyTimeout;
    options.receiveBufferBytes = http::kCallerReceiveBytes;
    options.bodyReceiveBufferBytes = http::kBodyReceiveBytes;
    options.sendBufferBytes = http::kCallerSendBytes;
    auto *self = thread.get();
    auto server = http::Server::listen(*thread->m_io, address, options,
                                       [self](http::Exchange &exchange) { return self->handle(exchange); });
    if (!server.ok()) {
        return server.status();
    }
    (*server)->setMemory(self->m_memory);
    thread->m_server = *server;
    return thread;
}

TrafficThread::TrafficThread(const TrafficShared &shared, int index, std::uint64_t seed)
    : m_shared(shared),
      m_memoryMetrics(shared.clock, shared.registry, absl::StrCat("requests-", index), memoryOf(shared.settings)),
      m_memory(shared.clock, {.budget = memoryOf(shared.settings)}),
      m_io(std::make_unique<boost::asio::io_context>(1)),
      m_work(boost::asio::make_work_guard(*m_io)),
      m_random(seed),
      m_pool(*m_io, shared.clock, {}),
      m_dispatcher(*m_io, shared.clock, shared.views, shared.freshness, shared.policy, shared.workspaces, m_random),
      m_requestOptions(requestOptionsOf(shared.settings)),
      m_idempotency(idempotencyOptionsOf(shared.settings)),
      m_limits(limitsOf(shared.settings)),
      m_context{*m_io,
                shared.clock,
                shared.views,
                shared.freshness,
                m_pool,
                m_dispatcher,
                shared.feedback,
                shared.claims,
                shared.metrics,
                {m_requestOptions, m_histories, m_counters, m_random},
                m_idempotency,
                m_random,
                m_live,
                m_memory,
                shared.settings.instance.zone},
      m_idPrefix(m_random.below(UINT64_MAX))
{
    m_memory.setObserver(&m_memoryMetrics);
}

TrafficThread::~TrafficThread()
{
    stop();
    // Requests still open are coroutines held by m_io. They use the other members
    // when they are dropped, so m_io goes before those, and what uses it before it.
    m_server.reset();
    m_pool.stop();
    m_io.reset();
}

void TrafficThread::stop()
{
    m_work.reset();
    m_io->stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    m_ended = true;
}

void TrafficThread::start()
{
    m_server->start();
    m_pool.startSweeping();
    m_thread = std::thread([this] { m_io->run(); });
}

void TrafficThread::drain(TimePoint lastMoment)
{
    m_server->drain();
    boost::asio::post(*m_io, [this, lastMoment] { m_live.stopBefore(lastMoment); });
}

void TrafficThread::stopAccepting()
{
    m_server->stopAccepting();
    // Handlers run in order: when this one has run, so has the server's.
    boost::asio::post(*m_io, boost::asio::use_future).get();
}

RequestId TrafficThread::nextRequestId()
{
    return RequestId(absl::StrCat(absl::Hex(m_idPrefix, absl::kZeroPad16), "-", ++m_requestCount));
}

http::Awaitable<void> TrafficThread::handle(http::Exchange &exchange)
{
    const auto view = m_shared.views.load();
    if (view->applied == Offset()) {
        // Without any record it can't tell a wrong route from one it hasn't read yet.
        co_await exchange.answer(refusalResponse(notCaughtUp(), RequestId()));
        co_return;
    }
    auto request = readCallerRequest(exchange.request(), std::move(exchange.body()), nextRequestId(),
                                     *view->configuration, m_memory);
    if (const auto *refusal = std::get_if<Refusal>(&request)) {
        co_await exchange.answer(refusalResponse(*refusal, RequestId()));
        co_return;
    }
    co_await run(std::move(std::get<CallerRequest>(request)), exchange);
}

http::Awaitable<void> TrafficThread::run(CallerRequest request, http::Exchange &exchange)
{
    const auto id = request.id;
    const auto workspace = request.workspace;
    if (const auto refusal = m_limits.open(workspace)) {
        co_await exchange.answer(refusalResponse(*refusal, id));
        co_return;
    }
    // Also runs when the caller leaves, which cancels this coroutine.
    struct Leave {
        std::shared_ptr<RequestRunner> runner;
        WorkspaceLimits &limits;
        const bool &ended;
        bool answered = false;
        ~Leave()
        {
            limits.close(runner->request().workspace);
            if (!answered && !ended) {
                runner->callerLeft();
            }
        }
    };
    Leave leave{std::make_shared<RequestRunner>(m_context, std::move(request)), m_limits, m_ended};
    leave.runner->start();
    leave.answered = co_await leave.runner->sink().writeTo(exchange, id);
}

} // namespace mimosahub
