// The youngest idle connection goes out first. One that its peer has closed, or that
// has been idle for long, is dropped when it is met, or by a sweep: a peer that has ended
// is called no more, and its connections would hold their descriptors for ever.

#include "http/connection_pool.h"

#include <algorithm>

namespace mimosahub::http
{

namespace
{

constexpr int kFreedForConnect = 8; ///< Idle connections that are closed where a descriptor is lacking.

} // namespace

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
    dropTooOld(idle);
    while (!idle.empty() && m_clock.now() - idle.back().since <= maxAge) {
        auto connection = std::move(idle.back().connection);
        idle.pop_back();
        --m_idleCount;
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
    auto status = co_await connection->connect(m_options.connectTimeout);
    if (absl::IsResourceExhausted(status) && m_idleCount > 0) {
        for (int i = 0; i < kFreedForConnect; ++i) {
            dropLongestIdle();
        }
        connection = std::make_unique<ClientConnection>(m_io, connection->peer(), m_options.silence);
        status = co_await connection->connect(m_options.connectTimeout);
    }
    if (!status.ok()) {
        if (absl::IsNotFound(status)) {
            dropPeer(connection->peer()); // It has ended.
        }
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
    if (idle.size() >= m_options.maxIdlePerPeer) {
        return;
    }
    idle.push_back({std::move(connection), m_clock.now()});
    ++m_idleCount;
    if (m_idleCount > m_options.maxIdleTotal) {
        dropLongestIdle();
    }
}

void ConnectionPool::dropPeer(const Address &peer)
{
    const auto it = m_idle.find(peer);
    if (it != m_idle.end()) {
        m_idleCount -= it->second.size();
        m_idle.erase(it);
    }
}

void ConnectionPool::dropTooOld(std::deque<Idle> &idle)
{
    const auto oldest = m_clock.now() - m_options.maxIdle;
    while (!idle.empty() && idle.front().since < oldest) {
        idle.pop_front();
        --m_idleCount;
    }
}

void ConnectionPool::dropClosed(std::deque<Idle> &idle)
{
    m_idleCount -= std::erase_if(idle, [](const Idle &it) { return !it.connection->idleAndOpen(); });
}

void ConnectionPool::dropLongestIdle()
{
    auto longest = m_idle.end();
    for (auto it = m_idle.begin(); it != m_idle.end(); ++it) {
        const auto &idle = it->second;
        if (!idle.empty() && (longest == m_idle.end() || idle.front().since < longest->second.front().since)) {
            longest = it;
        }
    }
    if (longest != m_idle.end()) {
        longest->second.pop_front();
        --m_idleCount;
    }
}

void ConnectionPool::retain(const std::set<Address> &peers)
{
    std::erase_if(m_idle, [&](const auto &item) {
        const bool dropped = !peers.contains(item.first);
        m_idleCount -= dropped ? item.second.size() : 0;
        return dropped;
    });
}

void ConnectionPool::startSweeping()
{
    m_sweepTimer.emplace(m_io);
    armSweep();
}

void ConnectionPool::stop()
{
    m_sweepTimer.reset();
    clear();
}

void ConnectionPool::armSweep()
{
    m_sweepTimer->expires_after(m_options.sweepInterval);
    m_sweepTimer->async_wait([this, alive = std::weak_ptr(m_alive)](const boost::system::error_code &ec) {
        if (!ec && !alive.expired() && m_sweepTimer) {
            sweep();
            armSweep();
        }
    });
}

/// Drops what is too old everywhere, which takes no system call, and looks for connections
/// that their peer has closed at some peers, in turn.
void ConnectionPool::sweep()
{
    for (auto &[peer, idle] : m_idle) {
        dropTooOld(idle);
    }
    std::erase_if(m_idle, [](const auto &item) { return item.second.empty(); });
    std::size_t looks = 0;
    auto it = m_idle.upper_bound(m_sweptPeer);
    for (auto left = m_idle.size(); left > 0 && looks < m_options.maxLooksPerSweep; --left, ++it) {
        it = it == m_idle.end() ? m_idle.begin() : it;
        looks += it->second.size();
        m_sweptPeer = it->first;
        dropClosed(it->second);
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
