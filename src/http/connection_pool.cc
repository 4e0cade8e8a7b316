// The youngest idle connection goes out first. One that its peer has closed, or that
// has been idle for long, is dropped when it is met.

#include "http/connection_pool.h"

namespace mimosahub::http
{

ConnectionPool::ConnectionPool(asio::io_context &io, const Clock &clock, PoolOptions options)
    : m_io(io), m_clock(clock), m_options(options)
{
}

std::unique_ptr<ClientConnection> ConnectionPool::takeIdle(const Address &peer, Duration maxAge)
{
    const auto it = m_idle.find(peer);
    if (it == m_idle.end()) {
        return nullptr;
    }
    auto &idle = it->second;
    const auto oldest = m_clock.now() - m_options.maxIdle;
    while (!idle.empty() && idle.front().since < oldest) {
        idle.pop_front();
    }
    while (!idle.empty() && m_clock.now() - idle.back().since <= maxAge) {
        auto connection = std::move(idle.back().connection);
        idle.pop_back();
        // A call sent to a peer that has gone would end as "may have run".
        if (connection->idleAndOpen()) {
            return connection;
        }
    }
    return nullptr;
}

Awaitable<absl::StatusOr<std::unique_ptr<ClientConnection>>> ConnectionPool::acquire(Address peer, bool proven)
{
    if (auto idle = takeIdle(peer, proven ? m_options.provenAge : m_options.maxIdle)) {
        co_return idle;
    }
    co_return co_await connect(std::move(peer));
}

Awaitable<absl::StatusOr<std::unique_ptr<ClientConnection>>> ConnectionPool::connect(Address peer)
{
    auto connection = std::make_unique<ClientConnection>(m_io, std::move(peer), m_options.silence);
    const auto status = co_await connection->connect(m_options.connectTimeout);
    if (!status.ok()) {
        co_return status;
    }
    co_return connection;
}

Awaitable<absl::Status> ConnectionPool::open(Address peer)
{
    auto connection = co_await connect(std::move(peer));
    if (!connection.ok()) {
        co_return connection.status();
    }
    release(std::move(*connection));
    co_return absl::OkStatus();
}

void ConnectionPool::release(std::unique_ptr<ClientConnection> connection)
{
    if (!connection->reusable()) {
        return;
    }
    auto &idle = m_idle[connection->peer()];
    if (idle.size() < m_options.maxIdlePerPeer) {
        idle.push_back({std::move(connection), m_clock.now()});
    }
}

Awaitable<absl::StatusOr<Response>> ConnectionPool::call(Address peer, Request request, Duration timeout,
                                                         std::uint64_t maxBytes)
{
    auto connection = co_await acquire(peer, false);
    if (!connection.ok()) {
        co_return connection.status();
    }
    auto response = co_await (*connection)->call(std::move(request), timeout, maxBytes);
    if (response.ok()) {
        release(std::move(*connection));
    }
    co_return response;
}

} // namespace mimosahub::http
