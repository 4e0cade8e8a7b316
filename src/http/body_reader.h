#pragma once

#include "http/body_pace.h"
#include "http/memory_account.h"
#include "http/message.h"
#include "mimosahub/outcome.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <optional>

namespace mimosahub::http
{

/// What a server's bodies have to keep to.
struct BodyReaderOptions {
    BodyPaceOptions pace;
    Duration admissionWait = std::chrono::seconds(2); ///< Longest time for which a body waits for room.
    int windowBytes = 0; ///< That the sender of a large body may send ahead; 0: as many as before.
};

/// What a caller is told whose request is refused or ended for \a reason, before it has run.
[[nodiscard]] Refusal memoryRefusal(MemoryRefusal reason);

/// Reads the body of one request, of whose memory the hold keeps account. While it waits for room it
/// reads nothing, so that the sender is held up.
class BodyReader
{
public:
    using Parser = beast::http::request_parser<beast::http::string_body>;

    /// All arguments must outlive the reader; \a parser has read the header.
    BodyReader(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser, MemoryAccount &account,
               MemoryHold &hold, const Clock &clock, const BodyReaderOptions &options);

    /// Reads to the end of the body. Afterwards refusal() tells whether the request is refused;
    /// otherwise an error is one of the connection or of the request's form.
    Awaitable<boost::system::error_code> read();
    [[nodiscard]] const std::optional<Refusal> &refusal() const
    {
        return m_refusal;
    }
    /// Bytes that the connection's sender may send ahead of what is read, more than before; held from now
    /// on by each of the connection's requests.
    [[nodiscard]] std::uint64_t windowBytes() const
    {
        return m_window;
    }

private:
    class PaceWatch;
    struct StopAtEnd;

    Awaitable<bool> admit(std::uint64_t bytes);
    Awaitable<boost::system::error_code> readRest(const PaceWatch &watch);
    bool holdWhatCame(std::size_t before);
    void widen(std::uint64_t window);
    [[nodiscard]] std::uint64_t bodyBytes() const
    {
        return m_parser.get().body().size();
    }

    beast::tcp_stream &m_stream;
    beast::flat_buffer &m_buffer;
    Parser &m_parser;
    MemoryAccount &m_account;
    MemoryHold &m_hold;
    const Clock &m_clock;
    const BodyReaderOptions &m_options;
    BodyPace m_pace;
    std::uint64_t m_overhead; ///< Held before the body.
    std::uint64_t m_window = 0;
    std::optional<Refusal> m_refusal;
};

} // namespace mimosahub::http
