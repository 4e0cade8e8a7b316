// One coroutine for each connection: read a request, run the handler, repeat.
// While the handler runs, a second coroutine waits for the caller to close; if
// it does, the handler is cancelled, which closes its endpoint connections and
// so cancels the work there. A caller that pipelines its next request looks the
// same as one that is silent: only an end of stream cancels.

#include "http/server.h"

#include "base/log.h"
#include "http/idle_watch.h"
#include "http/request_framing.h"
#include "http/socket_buffers.h"
#include "http/socket_state.h"
#include "mimosahub/error.h"
#include "mimosahub/outcome.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

#include <sys/socket.h>

namespace mimosahub::http
{

namespace
{

using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

/// Time between looks at a connection that has unread data while its handler runs.
constexpr auto kPeekInterval = std::chrono::milliseconds(50);

/// Bytes of a chunk's header, or of the trailer, that are kept beyond a header's limit.
constexpr std::size_t kMaxFramingBytes = 16384;

/// Bytes asked for when a connection wakes up.
constexpr std::size_t kFirstReadSize = 4096;

/// How long the rest of a request that could not be read is taken in and dropped.
/// Closing with unread data resets the connection, and a caller that sends all of
/// its request before it reads would see that instead of the answer.
constexpr auto kLingerTime = std::chrono::seconds(2);
constexpr std::size_t kLingerReadSize = 16384;
constexpr int kMostDroppedReads = 4; ///< Of what has come already, where there is no memory to linger.

/// Status of an answer to a request whose handler failed.
constexpr int kInternalError = 500;

/// Pause after a failed accept, for example when descriptors run out.
constexpr auto kAcceptPause = std::chrono::milliseconds(20);
constexpr int kFreedForAccept = 8; ///< Idle connections that are closed after an accept without a descriptor.

/// Completes when the caller has closed its side.
Awaitable<void> waitForClose(beast::tcp_stream &stream)
{
    auto &socket = stream.socket();
    while (true) {
        const auto [ec] = co_await socket.async_wait(tcp::socket::wait_read, kTuple);
        if (ec || stateOf(socket) == SocketState::Closed) {
            co_return;
        }
        asio::steady_timer timer(socket.get_executor(), kPeekInterval);
        co_await timer.async_wait(kTuple);
    }
}

/// Answers a request whose handler ended by an exception. What it had begun can't
/// be known here, so the outcome is unknown.
Awaitable<void> answerFailed(Exchange &exchange, const std::string &failure)
{
    logEvent(LogLevel::Error, "handler-failed")
        .with("target", fromBeast(exchange.request().target()))
        .with("answered", exchange.answered())
        .with("error", failure);
    if (exchange.answered()) {
        co_return;
    }
    auto response = makeResponse(kInternalError, "text/plain", "the daemon failed to handle the request\n");
    response.set(toBeast(kOutcomeHeader), toBeast(outcomeName(Outcome::Unknown)));
    co_await exchange.answer(std::move(response));
}

/// Drops what still comes, until the caller closes its side or kLingerTime is over.
Awaitable<void> linger(beast::tcp_stream &stream)
{
    boost::system::error_code ec;
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    stream.expires_after(kLingerTime);
    std::array<char, kLingerReadSize> dropped;
    while (!ec) {
        const auto [error, n] = co_await stream.async_read_some(asio::buffer(dropped), kTuple);
        ec = error;
    }
}

/// Drops what has come already, so that a caller who sent all of a small request gets the answer to it.
void dropWaiting(beast::tcp_stream &stream)
{
    auto &socket = stream.socket();
    boost::system::error_code ec;
    socket.shutdown(tcp::socket::shutdown_send, ec);
    socket.non_blocking(true, ec);
    std::array<char, kLingerReadSize> dropped;
    for (int i = 0; i < kMostDroppedReads && !ec; ++i) {
        socket.read_some(asio::buffer(dropped), ec);
    }
}

/// Frees what was read of a request that is refused. Its connection stays for kLingerTime and holds \a kept bytes.
void drop(BodyReader::Parser &parser, beast::flat_buffer &buffer, MemoryHold &hold, std::uint64_t kept)
{
    std::string().swap(parser.get().body());
    buffer.clear();
    buffer.shrink_to_fit();
    hold.shrinkTo(kept);
}

Reason unreadableReason(boost::system::error_code ec)
{
    if (ec == beast::http::error::header_limit || ec == beast::http::error::buffer_overflow) {
        return Reason::HeaderTooLarge;
    }
    if (ec == beast::http::error::body_limit) {
        return Reason::TooLarge;
    }
    return ec == beast::error::timeout ? Reason::RequestTimeout : Reason::BadRequest;
}

absl::Status listenError(const Address &address, const boost::system::error_code &ec)
{
    return errorAt(absl::StatusCode::kUnavailable, Step::Listen, address.str(), ec.message());
}

/// Binds with SO_REUSEPORT, so that each traffic thread has its own queue of connections.
/// Sizes of buffers other than 0 hold for the connections that are accepted.
boost::system::error_code openAcceptor(tcp::acceptor &acceptor, const tcp::endpoint &endpoint,
                                       const ServerOptions &options)
{
    boost::system::error_code ec;
    acceptor.open(endpoint.protocol(), ec);
    if (ec) {
        return ec;
    }
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    acceptor.set_option(ReusePort(true), ec);
    if (options.receiveBufferBytes > 0) {
        acceptor.set_option(asio::socket_base::receive_buffer_size(options.receiveBufferBytes), ec);
    }
    if (options.sendBufferBytes > 0) {
        acceptor.set_option(asio::socket_base::send_buffer_size(options.sendBufferBytes), ec);
    }
    acceptor.bind(endpoint, ec);
    if (ec) {
        return ec;
    }
    acceptor.listen(tcp::acceptor::max_listen_connections, ec);
    return ec;
}

} // namespace

/// One caller's connection.
struct Server::Connection {
    explicit Connection(tcp::socket socket) : stream(std::move(socket))
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::uint64_t windowBytes = 0; ///< That its sender may send ahead since it had a large body.
};

struct Server::Unfinished {
    Connection &connection;
    const BodyReader::Parser &parser;
    const MemoryHold &hold;
};

ServerOptions ServerOptions::forOperators()
{
    ServerOptions options;
    options.maxConnections = 64;
    options.receiveBufferBytes = kCallerReceiveBytes;
    options.sendBufferBytes = kCallerSendBytes;
    return options;
}

Exchange::Exchange(beast::tcp_stream &stream, Request request, Duration writeTimeout, const std::atomic<bool> &draining)
    : m_stream(stream),
      m_request(std::move(request)),
      m_writeTimeout(writeTimeout),
      m_draining(draining),
      m_keepAlive(m_request.keep_alive())
{
}

/// A caller may send its next request where an answer says that the connection is kept.
void Exchange::beginAnswer()
{
    m_answered = true;
    m_keepAlive = m_keepAlive && !m_draining;
}

absl::Status Exchange::checkWrite(boost::system::error_code ec)
{
    if (!ec) {
        return absl::OkStatus();
    }
    m_keepAlive = false;
    return errorAt(absl::StatusCode::kUnavailable, Step::Send, "caller", ec.message());
}

Awaitable<absl::Status> Exchange::respond(Response response)
{
    beginAnswer();
    response.keep_alive(m_keepAlive);
    response.prepare_payload();
    m_stream.expires_after(m_writeTimeout);
    const auto [ec, n] = co_await beast::http::async_write(m_stream, response, kTuple);
    co_return checkWrite(ec);
}

Awaitable<void> Exchange::answer(Response response)
{
    static_cast<void>(co_await respond(std::move(response)));
}

Awaitable<absl::Status> Exchange::startStream(Response header)
{
    beginAnswer();
    beast::http::response<beast::http::empty_body> head(header.base());
    head.keep_alive(m_keepAlive);
    head.chunked(true);
    beast::http::response_serializer<beast::http::empty_body> serializer(head);
    m_stream.expires_after(m_writeTimeout);
    const auto [ec, n] = co_await beast::http::async_write_header(m_stream, serializer, kTuple);
    co_return checkWrite(ec);
}

Awaitable<absl::Status> Exchange::writeChunk(std::string_view data)
{
    m_stream.expires_after(m_writeTimeout);
    const auto buf = asio::const_buffer(data.data(), data.size());
    const auto [ec, n] = co_await asio::async_write(m_stream, beast::http::make_chunk(buf), kTuple);
    co_return checkWrite(ec);
}

Awaitable<absl::Status> Exchange::finishStream()
{
    m_stream.expires_after(m_writeTimeout);
    const auto [ec, n] = co_await asio::async_write(m_stream, beast::http::make_chunk_last(), kTuple);
    co_return checkWrite(ec);
}

Server::Server(asio::io_context &io, ServerOptions options, Handler handler)
    : m_io(io),
      m_options(options),
      m_handler(std::move(handler)),
      m_acceptor(io),
      m_silent(std::make_unique<IdleConnections>()),
      m_idle(std::make_unique<IdleConnections>())
{
}

Server::~Server() = default;

absl::StatusOr<std::shared_ptr<Server>> Server::listen(asio::io_context &io, const Address &address,
                                                       ServerOptions options, Handler handler)
{
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(address.host, ec);
    if (ec) {
        return listenError(address, ec);
    }
    std::shared_ptr<Server> server(new Server(io, options, std::move(handler)));
    ec = openAcceptor(server->m_acceptor, tcp::endpoint(ip, address.port), options);
    if (ec) {
        return listenError(address, ec);
    }
    return server;
}

void Server::start()
{
    asio::co_spawn(
        m_io, [self = shared_from_this()] { return self->acceptLoop(); }, asio::detached);
}

void Server::stopAccepting()
{
    asio::post(m_io, [self = shared_from_this()] {
        // Closing the listening socket resets connections that wait in its queue.
        boost::system::error_code ec;
        self->m_acceptor.non_blocking(true, ec);
        while (!ec) {
            auto socket = self->m_acceptor.accept(self->m_io, ec);
            if (!ec) {
                self->startServing(std::move(socket));
            }
        }
        self->m_acceptor.close(ec);
    });
}

void Server::drain()
{
    m_draining = true;
}

std::uint16_t Server::port() const
{
    boost::system::error_code ec;
    return m_acceptor.local_endpoint(ec).port();
}

Awaitable<void> Server::acceptLoop()
{
    while (m_acceptor.is_open()) {
        auto [ec, socket] = co_await m_acceptor.async_accept(kTuple);
        if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor) {
            co_return;
        }
        if (ec) {
            for (int i = 0; ec == asio::error::no_descriptors && i < kFreedForAccept; ++i) {
                giveUpOne();
            }
            asio::steady_timer timer(m_io, kAcceptPause);
            co_await timer.async_wait(kTuple);
            continue;
        }
        startServing(std::move(socket));
    }
}

bool Server::giveUpOne()
{
    const bool ended = m_silent->endLongest() || m_idle->endLongest() || m_memory->endLongestStalled();
    if (ended && m_counters.givenUp++ == 0) {
        logEvent(LogLevel::Warning, "connection-limit")
            .with("open", m_counters.open.load())
            .with("limit", m_options.maxConnections);
    }
    return ended;
}

void Server::startServing(tcp::socket socket)
{
    if (m_counters.open >= m_options.maxConnections && !giveUpOne()) {
        ++m_counters.refusedConnections;
        return;
    }
    ++m_counters.accepted;
    ++m_counters.open;
    asio::co_spawn(
        m_io,
        [self = shared_from_this(), s = std::move(socket),
         busy = std::make_unique<BusyMark>(m_counters.busy)]() mutable {
            return self->serve(std::move(s), std::move(busy));
        },
        [self = shared_from_this()](const std::exception_ptr &) { --self->m_counters.open; });
}

/// A new connection counts as busy until its first request is answered, a later
/// one from the first byte of a request to the end of its answer.
Awaitable<void> Server::serve(tcp::socket socket, std::unique_ptr<BusyMark> busy)
{
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    Connection connection(std::move(socket));
    const auto silent = std::make_shared<IdleWatch>(connection.stream.socket(), m_options.messageTimeout);
    const auto idle = std::make_shared<IdleWatch>(connection.stream.socket(), m_options.idleTimeout);
    bool came = co_await readFirstBytes(connection, *m_silent, *silent);
    while (came) {
        if (!co_await serveOne(connection)) {
            break;
        }
        busy.reset();
        came = co_await readFirstBytes(connection, *m_idle, *idle);
        if (came) {
            busy = std::make_unique<BusyMark>(m_counters.busy);
        }
    }
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
}

/// Waits among the connections \a waiting for the first bytes of a request; false if none come.
Awaitable<bool> Server::readFirstBytes(Connection &connection, IdleConnections &waiting, IdleWatch &watch)
{
    if (connection.buffer.size() > 0) {
        co_return true;
    }
    connection.stream.expires_never();
    const IdleConnections::Place place(waiting, watch);
    watch.start();
    bool came = co_await readSome(connection);
    watch.stop();
    // Its next request may have begun to arrive since the wait was ended.
    if (!came && watch.ended() && stateOf(connection.stream.socket()) == SocketState::Readable) {
        came = co_await readSome(connection);
    }
    co_return came;
}

Awaitable<bool> Server::readSome(Connection &connection)
{
    const auto [ec, n] = co_await connection.stream.async_read_some(connection.buffer.prepare(kFirstReadSize), kTuple);
    if (ec) {
        co_return false;
    }
    connection.buffer.commit(n);
    co_return true;
}

Awaitable<void> Server::runHandler(Exchange &exchange)
{
    std::optional<std::string> failure;
    // An exception must not leave waitForClose() alone with the connection.
    try {
        co_await m_handler(exchange);
    } catch (const std::exception &error) {
        exchange.closeAfterwards();
        if (isCancellation(error)) {
            co_return;
        }
        failure = error.what();
    }
    if (failure) {
        ++m_counters.failed;
        co_await answerFailed(exchange, *failure);
    }
}

/// Serves one request; the result says whether the connection goes on.
Awaitable<bool> Server::serveOne(Connection &connection)
{
    auto &stream = connection.stream;
    BodyReader::Parser parser;
    parser.header_limit(m_options.maxHeaderBytes);
    parser.body_limit(m_options.maxBodyBytes);
    // What is ended in favour of others is told so: the end of the read wakes its reader.
    MemoryHold hold(*m_memory, MemoryUse::Body, [&stream] { stream.cancel(); });
    if (!hold.grow(kRequestOverheadBytes + connection.windowBytes)) {
        boost::system::error_code ec;
        parser.put(connection.buffer.data(), ec); // For the request's id.
        co_await reject({connection, parser, hold}, memoryRefusal(MemoryRefusal::NoRoom));
        co_return false;
    }
    if (!co_await readRequest(connection, parser, hold)) {
        co_return false;
    }
    stream.expires_never();
    Exchange exchange(stream, parser.release(), m_options.messageTimeout, m_draining);
    co_await (runHandler(exchange) || waitForClose(stream));
    co_return exchange.answered() && exchange.keepAlive();
}

/// Reads a whole request, or answers one that can't be read and gives false.
Awaitable<bool> Server::readRequest(Connection &connection, BodyReader::Parser &parser, MemoryHold &hold)
{
    auto &stream = connection.stream;
    auto &buffer = connection.buffer;
    buffer.max_size(m_options.maxHeaderBytes + kMaxFramingBytes);
    stream.expires_after(m_options.headerTimeout);
    const auto [headerError, headerBytes] = co_await beast::http::async_read_header(stream, buffer, parser, kTuple);
    auto ec = headerError;
    std::optional<Refusal> refusal;
    if (hold.ended()) {
        refusal = memoryRefusal(hold.reason());
    } else if (!ec && hasUnknownEnd(parser.get())) {
        ec = beast::http::make_error_code(beast::http::error::bad_transfer_encoding);
    } else if (!ec) {
        const BodyReaderOptions options{{.total = m_options.bodyTimeout, .pause = m_options.bodyPause},
                                        m_options.admissionWait,
                                        connection.windowBytes > 0 ? 0 : m_options.bodyReceiveBufferBytes};
        BodyReader body(stream, buffer, parser, *m_memory, hold, m_clock, options);
        ec = co_await body.read();
        connection.windowBytes += body.windowBytes();
        refusal = body.refusal();
    }
    if (!ec && !refusal) {
        co_return true;
    }
    drop(parser, buffer, hold, kRequestOverheadBytes + connection.windowBytes);
    const Unfinished request{connection, parser, hold};
    if (refusal) {
        co_await reject(request, *refusal);
    } else {
        co_await rejectUnreadable(request, ec);
    }
    co_return false;
}

/// Answers a request that could not be read, if the caller may still be there.
Awaitable<void> Server::rejectUnreadable(const Unfinished &request, boost::system::error_code ec)
{
    if (ec == beast::http::error::end_of_stream || ec == asio::error::operation_aborted
        || ec == asio::error::connection_reset) {
        co_return;
    }
    ++m_counters.malformed;
    co_await reject(request, makeRefusal(unreadableReason(ec), ec.message(), Step::Parse));
}

/// Answers a request of which not all was read, and ends its connection.
Awaitable<void> Server::reject(const Unfinished &request, Refusal refusal)
{
    const auto idField = toBeast(m_options.requestIdField);
    const std::string id(idField.empty() ? std::string_view() : fromBeast(request.parser.get()[idField]));
    auto response = makeResponse(httpStatus(refusal), kJsonType, refusalBody(refusal, id));
    if (!id.empty()) {
        response.set(idField, id);
    }
    response.set(toBeast(kOutcomeHeader), toBeast(outcomeName(refusal.outcome)));
    if (refusal.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter).count();
        response.set(beast::http::field::retry_after, std::to_string(seconds));
    }
    response.keep_alive(false);
    response.prepare_payload();
    auto &stream = request.connection.stream;
    stream.expires_after(m_options.messageTimeout);
    const auto [error, n] = co_await beast::http::async_write(stream, response, kTuple);
    if (error) {
        co_return;
    }
    if (request.hold.bytes() > 0) {
        co_await linger(stream);
    } else {
        dropWaiting(stream);
    }
}

} // namespace mimosahub::http
