#pragma once

#include "http/body_reader.h"
#include "http/memory_account.h"
#include "http/message.h"
#include "mimosahub/endpoint.h"

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace mimosahub::http
{

/// Limits of a server's connections.
struct ServerOptions {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = std::uint64_t(1024) * 1024;
    std::size_t maxConnections = 4096; ///< At the limit, a new one replaces the longest-idle one.
    Duration idleTimeout = std::chrono::seconds(60); ///< Between requests of one connection.
    Duration headerTimeout = std::chrono::seconds(10); ///< From a request's first byte to the end of its header.
    /// For the first byte of a new connection, or writing one piece of an answer.
    Duration messageTimeout = std::chrono::seconds(10);
    Duration bodyTimeout = std::chrono::seconds(10); ///< For a whole body.
    Duration bodyPause = std::chrono::seconds(5); ///< Longest time without a byte within a body.
    Duration admissionWait = std::chrono::seconds(2); ///< For which a large body waits for memory.
    /// Of the kernel, for bytes that are not read yet; 0: the system's, which grows with the sender's rate.
    int receiveBufferBytes = 0;
    int bodyReceiveBufferBytes = 0; ///< The same once a large body is admitted; 0: no more than before.
    int sendBufferBytes = 0; ///< Of the kernel, for bytes on their way; 0: the system's, which grows.
    /// Field by which callers name their requests; refusals repeat it if it has come. Must outlive the server.
    std::string_view requestIdField = {};

    /// Limits of a port for operators, metrics or the balancer, which few clients use at once.
    [[nodiscard]] static ServerOptions forOperators();
};

/// Counters of a server, readable from any thread.
struct ServerCounters {
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> refusedConnections{0}; ///< Above maxConnections, with no idle one to close.
    std::atomic<std::uint64_t> givenUp{0}; ///< Connections without a whole request that were closed for a new one.
    std::atomic<std::uint64_t> malformed{0}; ///< Requests that could not be read.
    std::atomic<std::uint64_t> failed{0}; ///< Requests whose handler ended by an exception.
    std::atomic<std::uint64_t> open{0};
    std::atomic<std::uint64_t> busy{0}; ///< Connections with a request to answer, or whose first one is still to come.
};

/// One request and the means to answer it, whole or as a stream.
class Exchange
{
public:
    /// \a draining tells whether the server drains; it must outlive the exchange.
    Exchange(beast::tcp_stream &stream, Request request, Duration writeTimeout, const std::atomic<bool> &draining);

    [[nodiscard]] const Request &request() const
    {
        return m_request;
    }
    /// The request's body, which may be lent to the call that carries it on.
    [[nodiscard]] std::string &body()
    {
        return m_request.body();
    }
    [[nodiscard]] bool answered() const
    {
        return m_answered;
    }
    /// Whether the connection can carry another request.
    [[nodiscard]] bool keepAlive() const
    {
        return m_keepAlive;
    }

    /// Writes a whole answer.
    Awaitable<absl::Status> respond(Response response);
    /// As respond(), where nothing is left to do if the caller has left.
    Awaitable<void> answer(Response response);
    /// Starts a chunked answer with \a header's status and fields.
    Awaitable<absl::Status> startStream(Response header);
    /// Writes one piece of a chunked answer; waits while the caller reads slowly.
    Awaitable<absl::Status> writeChunk(std::string_view data);
    /// Ends a chunked answer.
    Awaitable<absl::Status> finishStream();
    /// Drops the connection after the answer, so that a caller sees a cut as one.
    void closeAfterwards()
    {
        m_keepAlive = false;
    }
    /// Gives up what is being written, and drops the connection.
    void cut()
    {
        m_keepAlive = false;
        m_stream.cancel();
    }

private:
    absl::Status checkWrite(boost::system::error_code ec);
    void beginAnswer();

    beast::tcp_stream &m_stream;
    Request m_request;
    Duration m_writeTimeout;
    const std::atomic<bool> &m_draining;
    bool m_answered = false;
    bool m_keepAlive = true;
};

/// Counts a connection as busy for as long as it lives.
class BusyMark
{
public:
    explicit BusyMark(std::atomic<std::uint64_t> &count) : m_count(count)
    {
        ++m_count;
    }
    ~BusyMark()
    {
        --m_count;
    }
    BusyMark(const BusyMark &) = delete;
    BusyMark &operator=(const BusyMark &) = delete;

private:
    std::atomic<std::uint64_t> &m_count;
};

class IdleWatch;
class IdleConnections;

/// Answers one request. It is cancelled when the caller closes its connection.
using Handler = std::function<Awaitable<void>(Exchange &)>;

/// Accepts HTTP/1.1 connections on one address and runs a handler for each
/// request. Lives on one io_context; several servers may share a port.
class Server : public std::enable_shared_from_this<Server>
{
public:
    /// Opens the listening socket; port 0 lets the system choose.
    static absl::StatusOr<std::shared_ptr<Server>> listen(asio::io_context &io, const Address &address,
                                                          ServerOptions options, Handler handler);

    ~Server();

    /// Starts accepting.
    void start();
    /// Stops accepting, after taking what has connected already; open connections
    /// go on until their request is answered.
    void stopAccepting();
    /// Ends each connection with the next answer that begins.
    void drain();
    /// Makes \a account keep the memory of bodies. To be called before start(); it must outlive the
    /// server's connections.
    void setMemory(MemoryAccount &account)
    {
        m_memory = &account;
    }
    /// Bounds requests that begin from now on, and the time for which connections that
    /// are idle already stay open.
    void setLimits(const ServerOptions &options)
    {
        m_options = options;
    }

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] const ServerCounters &counters() const
    {
        return m_counters;
    }

private:
    Server(asio::io_context &io, ServerOptions options, Handler handler);
    Awaitable<void> acceptLoop();
    void startServing(asio::ip::tcp::socket socket);
    Awaitable<void> serve(asio::ip::tcp::socket socket, std::unique_ptr<BusyMark> busy);
    struct Connection;

    static Awaitable<bool> readSome(Connection &connection);
    static Awaitable<bool> readFirstBytes(Connection &connection, IdleConnections &waiting, IdleWatch &watch);
    /// Closes a connection that waits for a request, or for the rest of one, in favour of a new one;
    /// false if there is none.
    bool giveUpOne();
    Awaitable<void> runHandler(Exchange &exchange);
    Awaitable<bool> serveOne(Connection &connection);
    Awaitable<bool> readRequest(Connection &connection, BodyReader::Parser &parser, MemoryHold &hold);
    /// A request that was not received whole.
    struct Unfinished;

    Awaitable<void> rejectUnreadable(const Unfinished &request, boost::system::error_code ec);
    Awaitable<void> reject(const Unfinished &request, Refusal refusal);

    asio::io_context &m_io;
    ServerOptions m_options;
    Handler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    ServerCounters m_counters;
    SystemClock m_clock;
    MemoryAccount m_unlimited{m_clock, {}};
    MemoryAccount *m_memory = &m_unlimited;
    std::unique_ptr<IdleConnections> m_silent; ///< New ones of which no byte has come.
    std::unique_ptr<IdleConnections> m_idle;
    std::atomic<bool> m_draining{false};
};

} // namespace mimosahub::http
