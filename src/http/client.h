#pragma once

#include "http/message.h"
#include "mimosahub/endpoint.h"
#include "mimosahub/error.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace mimosahub::http
{

/// When a connection whose peer has fallen silent is given up.
struct SilenceOptions {
    Duration idle = std::chrono::seconds(2); ///< Without traffic until the first probe.
    Duration interval = std::chrono::seconds(1); ///< Between probes.
    int probes = 3; ///< Unanswered ones that end the connection.
    Duration unacknowledged = std::chrono::seconds(5); ///< Age of sent data that ends the connection.
};

/// One connection to a server. It carries one call at a time; after any error
/// or timeout it is closed and never used again.
class ClientConnection
{
public:
    ClientConnection(asio::io_context &io, Address peer, const SilenceOptions &silence = {});

    /// Connects within \a timeout.
    Awaitable<absl::Status> connect(Duration timeout);
    /// Writes \a request. Once it has begun, bytes may have reached the peer.
    Awaitable<absl::Status> send(Request &request, Duration timeout);
    /// Reads the answer's header.
    Awaitable<absl::StatusOr<Response>> readHeader(Duration timeout);
    /// Reads more of the body: all bytes that have come, at least one, or empty at
    /// the end of the answer.
    Awaitable<absl::StatusOr<std::string>> readSome(Duration timeout);
    /// Waits until something can be read or \a timeout is over, and leaves the
    /// connection as it is; false if nothing came.
    Awaitable<bool> waitReadable(Duration timeout);
    /// As readSome(), but absent, with a connection that can still be read, if nothing
    /// comes for \a patience.
    Awaitable<absl::StatusOr<std::optional<std::string>>> readSomeWithin(Duration patience);
    /// Reads the rest of the body, of at most \a maxBytes.
    Awaitable<absl::StatusOr<std::string>> readRest(Duration timeout, std::uint64_t maxBytes);
    /// Sends \a request and reads its whole answer, of at most \a maxBytes of body.
    Awaitable<absl::StatusOr<Response>> call(Request request, Duration timeout, std::uint64_t maxBytes);
    /// Closes at once.
    void close();

    /// Whether a byte of the last call may have left.
    [[nodiscard]] bool bytesLeft() const
    {
        return m_bytesLeft;
    }
    /// Whether the last answer, if there was a call, was read whole and the connection can go on.
    [[nodiscard]] bool reusable() const;
    /// Whether the peer has neither closed the connection nor sent anything that is still to be read.
    [[nodiscard]] bool idleAndOpen();
    [[nodiscard]] const Address &peer() const
    {
        return m_peer;
    }

private:
    absl::Status failed(Step step, boost::system::error_code ec);
    Awaitable<bool> waitForBytes(Duration timeout);
    Awaitable<boost::system::error_code> readOnce(std::string &data);
    boost::system::error_code takeBuffered(std::string &data);

    Address m_peer;
    SilenceOptions m_silence;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<beast::http::response_parser<beast::http::buffer_body>> m_parser;
    bool m_bytesLeft = false;
    bool m_broken = false;
};

/// Limits of a pool.
struct PoolOptions {
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration maxIdle = std::chrono::seconds(4); ///< Older idle connections may have gone silent and are dropped.
    Duration provenAge = std::chrono::milliseconds(500); ///< Idle at most this long counts as proven.
    std::size_t maxIdlePerPeer = 64;
    std::uint64_t maxAnswerBytes = std::uint64_t(8) * 1024 * 1024;
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
    /// Takes back a connection; it is kept only if its last answer was whole.
    void release(std::unique_ptr<ClientConnection> connection);

    /// Closes all idle connections.
    void clear()
    {
        m_idle.clear();
    }

    /// Sends one request and reads its whole answer within \a timeout.
    Awaitable<absl::StatusOr<Response>> call(Address peer, Request request, Duration timeout);

private:
    struct Idle {
        std::unique_ptr<ClientConnection> connection;
        TimePoint since;
    };
    std::unique_ptr<ClientConnection> takeIdle(const Address &peer, Duration maxAge);

    asio::io_context &m_io;
    const Clock &m_clock;
    PoolOptions m_options;
    std::map<Address, std::deque<Idle>> m_idle;
};

} // namespace mimosahub::http
