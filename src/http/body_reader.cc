// A body whose length is announced gets all of its room before its first read, so that bodies that
// are being read never wait for each other. One in chunks gets its room as it grows.

#include "http/body_reader.h"

#include "base/hash.h"
#include "http/room_wait.h"
#include "http/socket_buffers.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>

namespace mimosahub::http
{

namespace
{

/// Bytes read at once, and kept of a chunk's header or of the trailer.
constexpr std::size_t kReadAhead = std::size_t(32) << 10U;
/// Bodies up to this size are read with the buffer that the connection has anyway.
constexpr std::size_t kKeptBuffer = std::size_t(8) << 10U;
constexpr Duration kRetryAfter = std::chrono::seconds(1);

/// A hash of the address from which \a stream's caller has connected.
std::uint64_t clientOf(beast::tcp_stream &stream)
{
    boost::system::error_code ec;
    const auto address = stream.socket().remote_endpoint(ec).address();
    if (address.is_v4()) {
        return address.to_v4().to_uint();
    }
    const auto bytes = address.to_v6().to_bytes();
    return hashBytes({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

} // namespace

Refusal memoryRefusal(MemoryRefusal reason)
{
    if (reason == MemoryRefusal::TooSlow || reason == MemoryRefusal::Stalled) {
        return makeRefusal(Reason::RequestTimeout, "the request came too slowly", Step::Parse, kRetryAfter);
    }
    return makeRefusal(Reason::Overloaded, "this daemon has no memory for the request now", Step::Parse, kRetryAfter);
}

/// Cancels the read of a body that has missed the end of its pace. Unlike a time-out of the stream,
/// which closes it, this leaves a connection on which the refusal can be written.
class BodyReader::PaceWatch : public std::enable_shared_from_this<PaceWatch>
{
public:
    explicit PaceWatch(BodyReader &reader) : m_reader(&reader), m_timer(reader.m_stream.get_executor())
    {
    }

    void start()
    {
        m_timer.expires_after(m_reader->m_pace.end() - m_reader->m_clock.now());
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
            if (!ec && self->m_reader != nullptr) {
                self->check();
            }
        });
    }
    void stop()
    {
        m_reader = nullptr;
        m_timer.cancel();
    }
    [[nodiscard]] bool expired() const
    {
        return m_expired;
    }

private:
    void check()
    {
        if (m_reader->m_clock.now() < m_reader->m_pace.end()) {
            start();
            return;
        }
        m_expired = true;
        m_reader->m_stream.cancel();
    }

    BodyReader *m_reader; ///< Null once the read is over.
    asio::steady_timer m_timer;
    bool m_expired = false;
};

/// Ends a watch also if the coroutine that reads is destroyed.
struct BodyReader::StopAtEnd {
    PaceWatch &watch;
    ~StopAtEnd()
    {
        watch.stop();
    }
};

BodyReader::BodyReader(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser, MemoryAccount &account,
                       MemoryHold &hold, const Clock &clock, const BodyReaderOptions &options)
    : m_stream(stream),
      m_buffer(buffer),
      m_parser(parser),
      m_account(account),
      m_hold(hold),
      m_clock(clock),
      m_options(options),
      m_pace(options.pace, false, clock.now()),
      m_overhead(hold.bytes())
{
}

Awaitable<boost::system::error_code> BodyReader::read()
{
    // Otherwise each chunk's header and each chunk ends a read.
    m_parser.eager(true);
    const auto length = m_parser.content_length();
    const auto announced = length ? *length : bodyBytes();
    const bool readsAhead = !m_parser.is_done() && (!length || announced > kKeptBuffer);
    const auto first = announced + (readsAhead ? kReadAhead : 0);
    if (first > 0 && !co_await admit(first)) {
        co_return boost::system::error_code();
    }
    boost::system::error_code ec;
    if (length && *length <= m_buffer.size() && !m_parser.is_done()) {
        m_buffer.consume(m_parser.put(m_buffer.data(), ec)); // All of it came with the header.
    }
    if (readsAhead) {
        m_buffer.reserve(std::min(kReadAhead, m_buffer.max_size()));
    }
    if (!ec && !m_parser.is_done()) {
        const auto watch = std::make_shared<PaceWatch>(*this);
        const StopAtEnd stop{*watch};
        watch->start();
        ec = co_await readRest(*watch);
    }
    if (!ec && !m_refusal) {
        if (readsAhead) {
            m_buffer.shrink_to_fit();
        }
        m_hold.shrinkTo(m_overhead + m_window + bodyBytes());
        m_hold.setReceived();
    }
    co_return ec;
}

Awaitable<bool> BodyReader::admit(std::uint64_t bytes)
{
    const bool large = bytes > m_account.options().smallBytes;
    const auto window = large ? static_cast<std::uint64_t>(m_options.windowBytes) : 0;
    if (large) {
        m_hold.setClient(clientOf(m_stream));
    }
    const auto admission = m_account.admit(m_hold, bytes + window);
    if (admission == MemoryAccount::Admission::Wait) {
        RoomWait room(m_stream.get_executor());
        if (!co_await room.take(m_hold, bytes + window, m_options.admissionWait)) {
            m_refusal = memoryRefusal(MemoryRefusal::WaitedTooLong);
            co_return false;
        }
    } else if (admission == MemoryAccount::Admission::Refused) {
        m_refusal = memoryRefusal(MemoryRefusal::NoRoom);
        co_return false;
    }
    widen(window);
    m_pace = BodyPace(m_options.pace, bytes > m_options.pace.smallBytes, m_clock.now());
    co_return true;
}

Awaitable<boost::system::error_code> BodyReader::readRest(const PaceWatch &watch)
{
    m_stream.expires_never();
    while (!m_parser.is_done()) {
        const auto before = bodyBytes();
        const auto [ec, n] = co_await beast::http::async_read_some(m_stream, m_buffer, m_parser, kTuple);
        if (m_hold.ended()) {
            m_refusal = memoryRefusal(m_hold.reason());
            co_return boost::system::error_code();
        }
        if (watch.expired() && !m_parser.is_done()) {
            m_account.recordRefusal(MemoryRefusal::TooSlow, m_hold.bytes());
            m_refusal = memoryRefusal(MemoryRefusal::TooSlow);
            co_return boost::system::error_code();
        }
        if (ec) {
            co_return ec;
        }
        m_pace.record(n, m_clock.now());
        if (!holdWhatCame(before)) {
            co_return boost::system::error_code();
        }
    }
    co_return boost::system::error_code();
}

/// Lets the sender send \a window bytes ahead, for which room was taken; 0: no more than before.
void BodyReader::widen(std::uint64_t window)
{
    if (window > 0) {
        m_window = window;
        widenReceiveWindow(m_stream.socket(), m_options.windowBytes);
    }
}

bool BodyReader::holdWhatCame(std::size_t before)
{
    const auto now = bodyBytes();
    if (m_parser.content_length()) {
        m_hold.recordProgress();
        return true;
    }
    std::uint64_t window = 0;
    if (now > m_options.pace.smallBytes) {
        m_pace.setLarge();
        window = m_window == 0 ? static_cast<std::uint64_t>(m_options.windowBytes) : 0;
    }
    if (m_hold.grow(now - before + window)) {
        widen(window);
        return true;
    }
    m_refusal = memoryRefusal(m_hold.ended() ? m_hold.reason() : MemoryRefusal::NoRoom);
    return false;
}

} // namespace mimosahub::http
