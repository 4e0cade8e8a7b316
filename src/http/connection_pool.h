#pragma once

#include "http/client.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

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
    std::size_t maxIdleTotal = 1024; ///< Over all peers; beyond it the longest-idle connection is closed.
    Duration sweepInterval = std::chrono::milliseconds(250); ///< Between two sweeps of idle connections.
    std::size_t maxLooksPerSweep = 64; ///< Each look at a connection is a system call.
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
        m_idleCount = 0;
    }
    /// Closes the idle connections to all peers but \a peers.
    void retain(const std::set<Address> &peers);
    /// From now on closes idle connections that are too old or that their peer has closed.
    void startSweeping();
    /// Ends the sweeps and closes all idle connections; to be called before the io context
    /// ends, if that ends before this object.
    void stop();
    [[nodiscard]] std::size_t idleCount() const
    {
        return m_idleCount;
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
    using IdleByPeer = std::map<Address, std::deque<Idle>>;

    Awaitable<absl::StatusOr<std::unique_ptr<ClientConnection>>> connect(Address peer);
    std::unique_ptr<ClientConnection> takeIdle(const Address &peer, Duration maxAge);
    void dropPeer(const Address &peer);
    void dropTooOld(std::deque<Idle> &idle);
    void dropClosed(std::deque<Idle> &idle);
    void dropLongestIdle();
    void armSweep();
    void sweep();

    asio::io_context &m_io;
    const Clock &m_clock;
    PoolOptions m_options;
    IdleByPeer m_idle;
    std::size_t m_idleCount = 0;
    Address m_sweptPeer; ///< The last one whose connections were looked at.
    std::optional<asio::steady_timer> m_sweepTimer; ///< Absent unless sweeping.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Tells handlers whether this object exists.
};

} // namespace mimosahub::http
