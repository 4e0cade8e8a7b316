#pragma once

#include "http/memory_account.h"
#include "http/message.h"
#include "mimosahub/endpoint.h"
#include "mimosahub/error.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

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

/// Most bytes that one read of an answer takes from the network.
constexpr std::size_t kLongestReadBytes = std::size_t(16) * 1024;

/// One connection to a server. It carries one call at a time; after any error
/// or timeout it is closed and never used again. An answer that exceeds a limit
/// of its size ends with ResourceExhausted, a late one with DeadlineExceeded.
class ClientConnection
{
public:
    ClientConnection(asio::io_context &io, Address peer, const SilenceOptions &silence = {});

    /// Connects within \a timeout. Errors: NotFound if the peer refuses connections,
    /// ResourceExhausted if the process has no descriptor left.
    Awaitable<absl::Status> connect(Duration timeout);
    /// Writes \a request and begins a call, which ends within \a timeout: no read
    /// of its answer goes on after that, whatever that read may take by itself.
    /// Once it has begun, bytes may have reached the peer.
    Awaitable<absl::Status> send(Request &request, Duration timeout);
    /// Reads the final answer's header; interim ones are passed over. A status that no
    /// answer to a call can have ends the connection.
    Awaitable<absl::StatusOr<Response>> readHeader(Duration timeout);
    /// Reads more of the body: all bytes that have come, at least one, or empty at
    /// the end of the answer.
    Awaitable<absl::StatusOr<std::string>> readSome(Duration timeout);
    /// Waits until something can be read or \a timeout is over, and leaves the
    /// connection as it is; false if nothing came.
    Awaitable<bool> waitReadable(Duration timeout);
    /// As readSome(), but absent, with a connection that can still be read, if nothing
    /// of the body comes for \a patience.
    Awaitable<absl::StatusOr<std::optional<std::string>>> readSomeWithin(Duration patience);
    /// Reads the rest of the body, of at most \a maxBytes, within \a timeout. \a hold, if any, keeps account of
    /// it: room is taken, or waited for, before more than one read is made. Without any the read ends with
    /// Aborted, and with ResourceExhausted if \a hold is ended.
    Awaitable<absl::StatusOr<std::string>> readRest(Duration timeout, std::uint64_t maxBytes,
                                                    MemoryHold *hold = nullptr);
    /// Reads a whole answer, of at most \a maxBytes of body, within \a timeout.
    Awaitable<absl::StatusOr<Response>> readAnswer(Duration timeout, std::uint64_t maxBytes);
    /// Sends \a request and reads its whole answer, as readAnswer().
    Awaitable<absl::StatusOr<Response>> call(Request request, Duration timeout, std::uint64_t maxBytes);
    /// Closes at once.
    void close();

    /// Calls that have begun on it.
    [[nodiscard]] int calls() const
    {
        return m_calls;
    }
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
    /// A point in time of the sockets' clock.
    using IoTime = asio::steady_timer::time_point;

    absl::Status failed(Step step, boost::system::error_code ec);
    absl::Status noMemory(const MemoryHold &hold);
    IoTime readUntil(Duration timeout);
    static Duration timeLeft(IoTime end);
    Awaitable<absl::StatusOr<std::string>> readSomeUntil(IoTime end);
    Awaitable<bool> waitForBytes(IoTime end);
    Awaitable<boost::system::error_code> readOnce(std::string &data);
    boost::system::error_code takeBuffered(std::string &data);

    Address m_peer;
    SilenceOptions m_silence;
    beast::tcp_stream m_stream;
    asio::steady_timer m_deadline; ///< Of the call, if there was one; its expiry is read and never waited for.
    beast::flat_buffer m_buffer;
    std::optional<beast::http::response_parser<beast::http::buffer_body>> m_parser;
    int m_calls = 0;
    bool m_bytesLeft = false;
    bool m_broken = false;
};

} // namespace mimosahub::http
