// A connection serves one call at a time, so an answer can only belong to the
// call that was sent on it; a late or crossed answer dies with its connection.
// Between two ends something may forget a connection without telling either:
// hence the idle limit, keepalive, and TCP's user timeout for unacknowledged data.
//
// A faulty server may send bytes without end in each part of an answer, at any
// pace. Each part has a limit, and all reads of a call share its deadline.

#include "http/client.h"

#include "http/room_wait.h"
#include "http/socket_buffers.h"
#include "http/socket_state.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace mimosahub::http
{

namespace
{

using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

constexpr std::uint32_t kMaxHeadBytes = std::uint32_t(8) * 1024;
constexpr std::size_t kMaxFramingBytes = std::size_t(16) * 1024; ///< Of a chunk's header, or of the trailer.
constexpr int kMaxInterimAnswers = 8; ///< Answers with status 1xx before the final one.
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599; ///< RFC 9110, 15: others are invalid.
constexpr unsigned kSwitchingProtocols = 101; ///< Answers a wish for it, which no call has.
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
    if (ec == asio::error::connection_refused) {
        return absl::StatusCode::kNotFound;
    }
    if (ec == asio::error::no_descriptors) {
        return absl::StatusCode::kResourceExhausted;
    }
    using Error = beast::http::error;
    if (ec == Error::header_limit || ec == Error::body_limit) {
        return absl::StatusCode::kResourceExhausted;
    }
    return absl::StatusCode::kUnavailable;
}

bool isValid(unsigned status)
{
    return status >= kFirstStatus && status <= kLastStatus && status != kSwitchingProtocols;
}

} // namespace

ClientConnection::ClientConnection(asio::io_context &io, Address peer, const SilenceOptions &silence)
    : m_peer(std::move(peer)), m_silence(silence), m_stream(io), m_deadline(io, IoTime::max())
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
    // Before the connection is opened: its window goes by them.
    m_stream.socket().open(ip.is_v4() ? tcp::v4() : tcp::v6(), ec);
    if (ec) {
        co_return failed(Step::Connect, ec);
    }
    m_stream.socket().set_option(asio::socket_base::receive_buffer_size(kEndpointReceiveBytes), ec);
    m_stream.socket().set_option(asio::socket_base::send_buffer_size(kEndpointSendBytes), ec);
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
    ++m_calls;
    m_bytesLeft = true;
    request.version(11);
    request.keep_alive(true);
    request.prepare_payload();
    m_deadline.expires_after(timeout);
    m_stream.expires_at(m_deadline.expiry());
    const auto [ec, n] = co_await beast::http::async_write(m_stream, request, kTuple);
    if (ec) {
        co_return failed(Step::Send, ec);
    }
    co_return absl::OkStatus();
}

/// The end of a read that may take \a timeout, or less if the call's deadline is sooner.
ClientConnection::IoTime ClientConnection::readUntil(Duration timeout)
{
    const asio::steady_timer timer(m_stream.get_executor(), timeout);
    return std::min(timer.expiry(), m_deadline.expiry());
}

/// The time until \a end.
Duration ClientConnection::timeLeft(IoTime end)
{
    return std::max(Duration::zero(),
                    std::chrono::duration_cast<Duration>(end - asio::steady_timer::clock_type::now()));
}

Awaitable<absl::StatusOr<Response>> ClientConnection::readHeader(Duration timeout)
{
    m_stream.expires_at(readUntil(timeout));
    for (int interim = 0; interim <= kMaxInterimAnswers; ++interim) {
        m_parser.emplace();
        m_parser->header_limit(kMaxHeadBytes);
        m_parser->body_limit(boost::none);
        const auto [ec, n] = co_await beast::http::async_read_header(m_stream, m_buffer, *m_parser, kTuple);
        if (ec) {
            co_return failed(Step::Receive, ec);
        }
        const auto status = m_parser->get().result_int();
        if (!isValid(status)) {
            co_return failed(Step::Receive, beast::http::error::bad_status);
        }
        if (status >= kFirstFinalStatus) {
            co_return Response(m_parser->get().base());
        }
    }
    co_return failed(Step::Receive, beast::http::error::header_limit);
}

Awaitable<absl::StatusOr<std::string>> ClientConnection::readSome(Duration timeout)
{
    co_return co_await readSomeUntil(readUntil(timeout));
}

Awaitable<absl::StatusOr<std::string>> ClientConnection::readSomeUntil(IoTime end)
{
    std::string data;
    auto ec = takeBuffered(data);
    if (!ec && data.empty() && !m_parser->is_done()) {
        m_stream.expires_at(end);
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
    if (ec != beast::http::error::need_more) {
        return ec;
    }
    // What is left is the beginning of a chunk's header or of the trailer.
    ec = {};
    if (m_buffer.size() > kMaxFramingBytes) {
        ec = beast::http::error::header_limit;
    }
    return ec;
}

Awaitable<absl::StatusOr<std::string>> ClientConnection::readRest(Duration timeout, std::uint64_t maxBytes,
                                                                  MemoryHold *hold)
{
    if (!m_parser->is_done() && m_parser->content_length_remaining().value_or(0) > maxBytes) {
        co_return failed(Step::Receive, beast::http::error::body_limit);
    }
    const auto end = readUntil(timeout);
    const auto before = hold != nullptr ? hold->bytes() : 0;
    std::string whole;
    RoomWait room(m_stream.get_executor());
    while (!m_parser->is_done()) {
        if (hold != nullptr && !co_await room.takeForRead(*hold, whole.size(), timeLeft(end))) {
            co_return noMemory(*hold);
        }
        auto data = co_await readSomeUntil(end);
        if (hold != nullptr && hold->ended()) {
            co_return noMemory(*hold);
        }
        if (!data.ok()) {
            co_return data.status();
        }
        whole += *data;
        if (hold != nullptr) {
            hold->holdReceived(before + whole.size());
        }
        if (whole.size() > maxBytes) {
            co_return failed(Step::Receive, beast::http::error::body_limit);
        }
    }
    co_return whole;
}

/// Ends a read for which \a hold has no room.
absl::Status ClientConnection::noMemory(const MemoryHold &hold)
{
    static_cast<void>(failed(Step::Receive, beast::http::error::body_limit));
    const auto code = hold.ended() ? absl::StatusCode::kResourceExhausted : absl::StatusCode::kAborted;
    return errorAt(code, Step::Receive, m_peer.str(), "there is no memory for the answer");
}

/// Reads once and sets \a data to what it brought of the body, which may be nothing.
Awaitable<boost::system::error_code> ClientConnection::readOnce(std::string &data)
{
    auto [ec, n] = co_await m_stream.async_read_some(m_buffer.prepare(kLongestReadBytes), kTuple);
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
    co_return co_await waitForBytes(readUntil(timeout));
}

/// Waits until \a end for more than the buffer holds already.
Awaitable<bool> ClientConnection::waitForBytes(IoTime end)
{
    asio::steady_timer timer(m_stream.get_executor(), end);
    const auto first =
        co_await (m_stream.socket().async_wait(tcp::socket::wait_read, kTuple) || timer.async_wait(kTuple));
    co_return first.index() == 0;
}

Awaitable<absl::StatusOr<std::optional<std::string>>> ClientConnection::readSomeWithin(Duration patience)
{
    const auto end = readUntil(patience);
    std::string data;
    auto ec = takeBuffered(data);
    while (!ec && data.empty() && !m_parser->is_done()) {
        if (!co_await waitForBytes(end)) {
            co_return std::nullopt;
        }
        m_stream.expires_at(m_deadline.expiry());
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
    co_return co_await readAnswer(timeout, maxBytes);
}

Awaitable<absl::StatusOr<Response>> ClientConnection::readAnswer(Duration timeout, std::uint64_t maxBytes)
{
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

} // namespace mimosahub::http
