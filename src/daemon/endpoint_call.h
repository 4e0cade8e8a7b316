#pragma once

#include "daemon/answer_sink.h"
#include "daemon/dispatcher.h"
#include "http/connection_pool.h"
#include "request/request_event.h"
#include "request/sse.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mimosahub
{

/// One token event of an engine, as it is passed on.
struct TokenEvent {
    std::uint64_t offset = 0;
    std::string data;
};

/// The I/O of one attempt: its slot, its connection, and what it has read.
class EndpointCall
{
public:
    /// Takes what happened to the attempt.
    using Report = std::function<void(RequestEvent)>;

    /// \a memory holds what is sent and received; it must outlive the call.
    EndpointCall(CallIdentity identity, std::size_t stage, http::MemoryAccount &memory, Report report);

    /// Waits for an endpoint. Reports EndpointChosen or NoEndpoint.
    http::Awaitable<void> choose(Dispatcher &dispatcher, DispatchRequest request);
    /// Opens a connection. Reports Connected or AttemptFailed.
    http::Awaitable<void> connect(http::ConnectionPool &pool, bool fresh);
    /// Sends \a request and reads the answer. With \a relay, tokens are reported
    /// as they come; the reading waits while the sink is full.
    http::Awaitable<void> run(http::ConnectionPool &pool, http::Request request, Duration timeout, bool isEngine,
                              AnswerSink *relay);
    /// The memory of the answer, for whoever passes on its body.
    [[nodiscard]] std::shared_ptr<http::MemoryHold> memory() const
    {
        return m_memory;
    }
    /// Ends all I/O at once; the connection is closed and never pooled.
    void abandon();
    /// Gives the slot back.
    void releaseSlot()
    {
        m_slot.reset();
    }

    [[nodiscard]] const CallIdentity &identity() const
    {
        return m_identity;
    }
    [[nodiscard]] std::size_t stage() const
    {
        return m_stage;
    }
    [[nodiscard]] const std::optional<Dispatched> &slot() const
    {
        return m_slot;
    }
    /// HTTP status and content type of the answer.
    [[nodiscard]] int status() const
    {
        return m_status;
    }
    [[nodiscard]] const std::string &contentType() const
    {
        return m_contentType;
    }
    /// The body of a whole answer, or all text of an engine that is not relayed.
    [[nodiscard]] const std::string &body() const
    {
        return m_body;
    }
    /// The tokens of the last StreamData.
    [[nodiscard]] const std::vector<TokenEvent> &tokens() const
    {
        return m_tokens;
    }
    [[nodiscard]] bool abandoned() const
    {
        return m_abandoned;
    }
    /// When the call was sent; absent before.
    [[nodiscard]] std::optional<TimePoint> sentAt() const
    {
        return m_sentAt;
    }
    /// The call is sent at \a now, asking for tokens from \a fromOffset on.
    void noteSent(TimePoint now, std::uint64_t fromOffset)
    {
        m_sentAt = now;
        m_nextOffset = fromOffset;
    }
    /// A new signal for the next coroutine of this call, which keeps it until its
    /// end; abandon() emits the newest. One signal serves one coroutine: a second
    /// on the same slot would destroy what the first still uses, since the first
    /// takes a last step after it has reported.
    [[nodiscard]] std::shared_ptr<boost::asio::cancellation_signal> nextCancel()
    {
        m_cancel = std::make_shared<boost::asio::cancellation_signal>();
        return m_cancel;
    }

private:
    http::Awaitable<void> readPlain(http::ConnectionPool &pool, const CallIdentity &echo, Duration timeout);
    http::Awaitable<void> readStream(http::ConnectionPool &pool, const CallIdentity &echo, Duration timeout,
                                     AnswerSink *relay);
    bool takeEvents(const std::vector<SseEvent> &events, bool relayed);
    void reportTokens(bool end);
    void fail(AttemptFailure failure);
    void report(RequestEvent event);

    CallIdentity m_identity;
    std::size_t m_stage;
    Report m_report;
    std::optional<Dispatched> m_slot;
    std::shared_ptr<http::MemoryHold> m_memory;
    std::unique_ptr<http::ClientConnection> m_connection;
    std::shared_ptr<boost::asio::cancellation_signal> m_cancel; ///< Null before the first coroutine.
    std::optional<TimePoint> m_sentAt;
    int m_status = 0;
    std::string m_contentType;
    std::string m_body;
    std::vector<TokenEvent> m_tokens;
    std::uint64_t m_nextOffset = 0; ///< Of the token after the last one reported.
    bool m_abandoned = false;
};

/// Runs \a coroutine to its end and drops its exception. A cancellation in the
/// coroutine's last step has no effect on what follows: an exception from there
/// would not be caught and would end the daemon.
[[nodiscard]] http::Awaitable<void> endQuietly(http::Awaitable<void> coroutine);

/// Runs \a coroutine until it ends or \a call is abandoned; \a keep lives as long.
template<typename Keep>
void spawnFor(boost::asio::io_context &io, const std::shared_ptr<EndpointCall> &call, Keep keep,
              http::Awaitable<void> coroutine)
{
    const auto cancel = call->nextCancel();
    boost::asio::co_spawn(io, endQuietly(std::move(coroutine)),
                          boost::asio::bind_cancellation_slot(
                              cancel->slot(), [cancel, call, keep = std::move(keep)](const std::exception_ptr &) {}));
}

} // namespace mimosahub
