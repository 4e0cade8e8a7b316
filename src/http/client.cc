// A connection serves one call at a time, so an answer can only belong to the
// call that was sent on it; a late or crossed answer dies with its connection.
// Between two ends something may forget a connection without telling either:
// hence the idle limit, keepalive, and TCP's user timeout for unacknowledged data.

#include "http/client.h"

#include "http/socket_state.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace mimosahub::http
{

namespace
{

using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

constexpr std::size_t kReadSize = std::size_t(16) * 1024;
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

template<typename Unit>
int countOf(Duration duration)
{
    return static_cast<int>(std::chrono::ceil<Unit>(duration).count());
}

void setOptions(tcp::socket &socket, const SilenceOptions &silence)
{
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    socket.set_option(KeepIdle(countOf<std::chrono::seconds>(silence.idle)), ec);
    socket.set_option(KeepInterval(countOf<std::chrono::seconds>(silence.interval)), ec);
    socket.set_option(KeepCount(silence.probes), ec);
    socket.set_option(UserTimeout(countOf<std::chrono::milliseconds>(silence.unacknowledged)), ec);
}

absl::StatusCode codeOf(boost::system::error_code ec)
{
    if (ec == beast::error::timeout) {
        return absl::StatusCode::kDeadlineExceeded;
    }
    if (ec == asio::error::operation_aborted) {
        return absl::StatusCode::kCancelled;
    }
    return absl::StatusCode::kUnavailable;
}

} // namespace

ClientConnection::ClientConnection(asio::io_context &io, Address peer, const SilenceOptions &silence)
    : m_peer(std::move(peer)), m_silence(silence), m_stream(io)
{
}

absl::Status ClientConnection::failed(Step step, boost::system::error_code ec)
{
    m_broken = true;
    close();
    return errorAt(codeOf(ec), step, m_peer.str(), ec.message());
}

void ClientConnection::close()
{
    m_broken = true;
    m_stream.close();
}

Awaitable<absl::Status> ClientConnection::connect(Duration timeout)
{
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(m_peer.host, ec);
    if (ec) {
        co_return failed(Step::Connect, ec);
    }
    m_stream.expires_after(timeout);
    const auto [connectError] = co_await m_stream.async_connect(tcp::endpoint(ip, m_peer.port), kTuple);
    if (connectError) {
        co_return failed(Step::Connect, connectError);
    }
    setOptions(m_stream.socket(), m_silence);
    co_return absl::OkStatus();
}

Awaitable<absl::Status> ClientConnection::send(Request &request, Duration timeout)
{
    m_parser.reset();
    m_bytesLeft = true;
    request.version(11);
    request.keep_alive(true);
    request.prepare_payload();
    m_stream.expires_after(timeout);
    const auto [ec, n] = co_await beast::http::async_write(m_stream, request, kTuple);
    if (ec) {
        co_return failed(Step::Send, ec);
    }
    co_return absl::OkStatus();
}

Awaitable<absl::StatusOr<Response>> ClientConnection::readHeader(Duration timeout)
{
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    m_stream.expires_after(timeout);
    const auto [ec, n] = co_await beast::http::async_read_header(m_stream, m_buffer, *m_parser, kTuple);
    if (ec) {
        co_return failed(Step::Receive, ec);
    }
    co_return Response(m_parser->get().base());
}

Awaitable<absl::StatusOr<std::string>> ClientConnection::readSome(Duration timeout)
{
    std::string data;
    auto ec = takeBuffered(data);
    if (!ec && data.empty() && !m_parser->is_done()) {
        m_stream.expires_after(timeout);
    }
    while (!ec && data.empty() && !m_parser->is_done()) {
        ec = co_await readOnce(data);
    }
    // What came before malformed bytes is given first; they are met again by the next call.
    if (ec && data.empty()) {
        co_return failed(Step::Receive, ec);
    }
    co_return data;
}

/// Sets \a data to the part of the body that the buffer holds. A token of a
/// stream comes as a chunk of its own: all that came together are taken together,
/// where Beast's read functions end after each chunk's header and each chunk.
boost::system::error_code ClientConnection::takeBuffered(std::string &data)
{
    boost::system::error_code ec;
    if (m_parser->is_done() || m_buffer.size() == 0) {
        return ec;
    }
    // The body is never longer than the bytes that it came in.
    data.resize(m_buffer.size());
    auto &body = m_parser->get().body();
    body.data = data.data();
    body.size = data.size();
    body.more = true;
    m_parser->eager(true);
    m_buffer.consume(m_parser->put(m_buffer.data(), ec));
    data.resize(data.size() - body.size);
    return ec == beast::http::error::need_more ? boost::system::error_code() : ec;
}

Awaitable<absl::StatusOr<std::string>> ClientConnection::readRest(Duration timeout, std::uint64_t maxBytes)
{
    std::string whole;
    while (!m_parser->is_done()) {
        auto data = co_await readSome(timeout);
        if (!data.ok()) {
            co_return data.status();
        }
        whole += *data;
        if (whole.size() > maxBytes) {
            co_return failed(Step::Receive, beast::http::error::body_limit);
        }
    }
    co_return whole;
}

/// Reads once and sets \a data to what it brought of the body, which may be nothing.
Awaitable<boost::system::error_code> ClientConnection::readOnce(std::string &data)
{
    auto [ec, n] = co_await m_stream.async_read_some(m_buffer.prepare(kReadSize), kTuple);
    m_buffer.commit(n);
    if (ec == asio::error::eof) {
        ec = {};
        m_parser->put_eof(ec);
    } else if (!ec) {
        ec = takeBuffered(data);
    }
    co_return ec;
}

Awaitable<bool> ClientConnection::waitReadable(Duration timeout)
{
    if (m_buffer.size() > 0) {
        co_return true;
    }
    co_return co_await waitForBytes(timeout);
}

/// As waitReadable(), whatever the buffer holds already.
Awaitable<bool> ClientConnection::waitForBytes(Duration timeout)
{
    asio::steady_timer timer(m_stream.get_executor());
    timer.expires_after(timeout);
    const auto first =
        co_await (m_stream.socket().async_wait(tcp::socket::wait_read, kTuple) || timer.async_wait(kTuple));
    co_return first.index() == 0;
}

Awaitable<absl::StatusOr<std::optional<std::string>>> ClientConnection::readSomeWithin(Duration patience)
{
    std::string data;
    auto ec = takeBuffered(data);
    while (!ec && data.empty() && !m_parser->is_done()) {
        if (!co_await waitForBytes(patience)) {
            co_return std::nullopt;
        }
        m_stream.expires_never();
        ec = co_await readOnce(data);
    }
    // What came before malformed bytes is given first, as in readSome().
    if (ec && data.empty()) {
        co_return failed(Step::Receive, ec);
    }
    co_return data;
}

Awaitable<absl::StatusOr<Response>> ClientConnection::call(Request request, Duration timeout, std::uint64_t maxBytes)
{
    request.set(beast::http::field::host, m_peer.str());
    const auto sent = co_await send(request, timeout);
    if (!sent.ok()) {
        co_return sent;
    }
    auto response = co_await readHeader(timeout);
    if (!response.ok()) {
        co_return response.status();
    }
    auto body = co_await readRest(timeout, maxBytes);
    if (!body.ok()) {
        co_return body.status();
    }
    response->body() = std::move(*body);
    co_return response;
}

bool ClientConnection::reusable() const
{
    const bool answered = m_parser && m_parser->is_done() && m_parser->keep_alive();
    return !m_broken && (answered || !m_bytesLeft) && m_buffer.size() == 0;
}

bool ClientConnection::idleAndOpen()
{
    return stateOf(m_stream.socket()) == SocketState::Silent;
}

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
    auto connection = std::make_unique<ClientConnection>(m_io, std::move(peer), m_options.silence);
    const auto status = co_await connection->connect(m_options.connectTimeout);
    if (!status.ok()) {
        co_return status;
    }
    co_return connection;
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

Awaitable<absl::StatusOr<Response>> ConnectionPool::call(Address peer, Request request, Duration timeout)
{
    auto connection = co_await acquire(peer, false);
    if (!connection.ok()) {
        co_return connection.status();
    }
    auto response = co_await (*connection)->call(std::move(request), timeout, m_options.maxAnswerBytes);
    if (response.ok()) {
        release(std::move(*connection));
    }
    co_return response;
}

} // namespace mimosahub::http
