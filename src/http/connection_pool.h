#pragma once

#include "http/client.h"

#include <deque>
#include <map>
#include <memory>

namespace mimosahub::http
{

/// Largest body of an answer for which a call states no limit of its own, in bytes.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t(8) << 20U;

/// Limits of a pool.
struct PoolOptions {
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration maxIdle = std::chrono::seconds(4); ///< Older idle connections may have gone silent and are dropped.
    Duration provenAge = std::chrono::milliseconds(500); ///< Idle at most this long counts as proven.
    std::size_t maxIdlePerPeer = 64;
    SilenceOptions silence;
};

/// Idle connections by peer, for one traffic thread.
class ConnectionPool
{
public:
    ConnectionPool(asio::io_context &io, const Clock &clock, PoolOptions options);

    /// A connection to \a peer. With \a proven, one that was opened for this call
    /// or has carried an answer a moment ago: for calls that can't be sent again.
    Awaitable<absl::StatusOr<std::unique_ptr<ClientConnection>>> acquire(Address peer, bool proven);
    /// Opens a connection to \a peer that a later acquire() may return. Error: NotFound if
    /// \a peer refuses connections, others as of ClientConnection::connect().
    Awaitable<absl::Status> open(Address peer);
    /// Takes back a connection; it is kept only if its last answer was whole.
    void release(std::unique_ptr<ClientConnection> connection);

    /// Closes all idle connections.
    void clear()
    {
        m_idle.clear();
    }

    /// Sends one request and reads its whole answer, of at most \a maxBytes of body,
    /// within \a timeout.
    Awaitable<absl::StatusOr<Response>> call(Address peer, Request request, Duration timeout,
                                             std::uint64_t maxBytes = kMaxBodyBytes);

private:
    struct Idle {
        std::unique_ptr<ClientConnection> connection;
        TimePoint since;
    };
    Awaitable<absl::StatusOr<std::unique_ptr<ClientConnection>>> connect(Address peer);
    std::unique_ptr<ClientConnection> takeIdle(const Address &peer, Duration maxAge);

    asio::io_context &m_io;
    const Clock &m_clock;
    PoolOptions m_options;
    std::map<Address, std::deque<Idle>> m_idle;
};

} // namespace mimosahub::http
