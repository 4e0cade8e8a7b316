// Reports each step's end as an event and decides nothing. A connection carries
// one call; only one whose answer was read whole goes back to the pool.

#include "daemon/endpoint_call.h"

#include "http/room_wait.h"
#include "mimosahub/error.h"
#include "request/sse.h"

#include <absl/strings/numbers.h>
#include <boost/json/parse.hpp>

namespace mimosahub
{

namespace
{

namespace json = boost::json;

constexpr std::uint64_t kMaxAnswerBytes = 8U << 20U;
constexpr std::string_view kDone = "[DONE]";
constexpr std::string_view kOffsetKey = "\"offset\":";

CallIdentity echoOf(const http::Response &head)
{
    return {RequestId(http::header(head, http::kRequestHeader)), StageId(http::header(head, http::kStageHeader)),
            AttemptId(http::header(head, http::kAttemptHeader))};
}

/// The offset that a token event states. The key is looked for before the event
/// is parsed, since this runs once for each token.
std::optional<std::uint64_t> offsetOf(std::string_view data)
{
    const auto at = data.find(kOffsetKey);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = data.substr(at + kOffsetKey.size());
    const auto end = digits.find_first_not_of("0123456789");
    std::uint64_t offset = 0;
    const auto number = digits.substr(0, end);
    if (!absl::SimpleAtoi(absl::string_view(number.data(), number.size()), &offset)) {
        return std::nullopt;
    }
    return offset;
}

/// The text that a token event adds.
std::string textOf(const std::string &data)
{
    json::error_code ec;
    const auto value = json::parse(data, ec);
    if (ec) {
        return {};
    }
    const auto *content = value.find_pointer("/choices/0/delta/content", ec);
    return content != nullptr && content->is_string() ? json::value_to<std::string>(*content) : std::string();
}

AttemptFailure failureOf(const absl::Status &status, bool bodyBegun)
{
    if (absl::IsDeadlineExceeded(status)) {
        return AttemptFailure::Timeout;
    }
    return bodyBegun ? AttemptFailure::ShortAnswer : AttemptFailure::Reset;
}

} // namespace

http::Awaitable<void> endQuietly(http::Awaitable<void> coroutine)
{
    try {
        co_await std::move(coroutine);
    } catch (const std::exception &) { // Whoever cancelled it wants no more of it.
    }
    // Asio posts once more for a coroutine that never waited, and throws there if it was cancelled.
    co_await boost::asio::this_coro::throw_if_cancelled(false);
}

EndpointCall::EndpointCall(CallIdentity identity, std::size_t stage, http::MemoryAccount &memory, Report report)
    : m_identity(std::move(identity)),
      m_stage(stage),
      m_report(std::move(report)),
      m_memory(std::make_shared<http::MemoryHold>(memory, http::MemoryUse::Answer, [this] {
          if (m_connection) {
              m_connection->close();
          }
      }))
{
}

void EndpointCall::report(RequestEvent event)
{
    if (!m_abandoned) {
        m_report(std::move(event));
    }
}

void EndpointCall::fail(AttemptFailure failure)
{
    m_connection.reset();
    report(AttemptFailed{m_identity.attempt, failure});
}

void EndpointCall::abandon()
{
    m_abandoned = true;
    if (m_cancel) {
        m_cancel->emit(boost::asio::cancellation_type::terminal);
    }
    if (m_connection) {
        m_connection->close();
    }
}

http::Awaitable<void> EndpointCall::choose(Dispatcher &dispatcher, DispatchRequest request)
{
    auto result = co_await dispatcher.dispatch(std::move(request));
    if (auto *dispatched = std::get_if<Dispatched>(&result)) {
        m_slot = std::move(*dispatched);
        report(EndpointChosen{m_identity.attempt, m_slot->chosen.endpoint.id});
        co_return;
    }
    const auto &none = std::get<NotDispatched>(result);
    report(NoEndpoint{m_identity.attempt, none.reason, none.retryAfter});
}

http::Awaitable<void> EndpointCall::connect(http::ConnectionPool &pool, bool fresh)
{
    auto connection = co_await pool.acquire(m_slot->chosen.endpoint.address, fresh);
    if (!connection.ok()) {
        fail(AttemptFailure::ConnectFailed);
        co_return;
    }
    m_connection = std::move(*connection);
    report(Connected{m_identity.attempt});
}

http::Awaitable<void> EndpointCall::run(http::ConnectionPool &pool, http::Request request, Duration timeout,
                                        bool isEngine, AnswerSink *relay)
{
    // A stream's events wait in the sink; room for them is taken before anything is sent.
    const auto base = relay != nullptr ? http::kStreamOverheadBytes : 0;
    if (!m_memory->grow(base + request.body().size())) {
        fail(AttemptFailure::ConnectFailed);
        co_return;
    }
    request.set(http::beast::http::field::host, m_connection->peer().str());
    const auto sent = co_await m_connection->send(request, timeout);
    std::string().swap(request.body());
    m_memory->shrinkTo(base);
    if (!sent.ok()) {
        fail(failureOf(sent, false));
        co_return;
    }
    const auto head = co_await m_connection->readHeader(timeout);
    if (!head.ok()) {
        fail(failureOf(head.status(), false));
        co_return;
    }
    const auto echo = echoOf(*head);
    m_status = static_cast<int>(head->result_int());
    m_contentType = std::string(http::header(*head, "Content-Type"));
    if (!http::header(*head, http::kNotRunHeader).empty()) {
        m_connection.reset();
        report(AttemptRefused{m_identity.attempt, echo, http::retryAfterOf(*head)});
        co_return;
    }
    if (isEngine && m_status == 200) {
        co_await readStream(pool, echo, timeout, relay);
    } else {
        co_await readPlain(pool, echo, timeout);
    }
}

http::Awaitable<void> EndpointCall::readPlain(http::ConnectionPool &pool, const CallIdentity &echo, Duration timeout)
{
    auto body = co_await m_connection->readRest(timeout, kMaxAnswerBytes, m_memory.get());
    if (!body.ok()) {
        fail(failureOf(body.status(), true));
        co_return;
    }
    m_body = std::move(*body);
    m_memory->setReceived();
    if (echo == m_identity) {
        pool.release(std::move(m_connection));
    }
    m_connection.reset();
    report(AttemptAnswered{m_identity.attempt, echo, m_status, true});
}

http::Awaitable<void> EndpointCall::readStream(http::ConnectionPool &pool, const CallIdentity &echo, Duration timeout,
                                               AnswerSink *relay)
{
    if (relay != nullptr) {
        report(StreamOpened{m_identity.attempt, echo, m_status});
    }
    SseParser parser;
    std::vector<SseEvent> events;
    http::RoomWait room(co_await boost::asio::this_coro::executor);
    const auto base = relay != nullptr ? http::kStreamOverheadBytes : 0;
    bool done = false;
    while (!done && !m_abandoned) {
        if (!co_await room.takeForRead(*m_memory, m_body.size() + parser.bufferedBytes(), timeout)) {
            fail(AttemptFailure::ShortAnswer);
            co_return;
        }
        const auto data = co_await m_connection->readSome(timeout);
        events.clear();
        if (!data.ok() || data->empty() || !parser.read(*data, events).ok()) {
            fail(data.ok() ? AttemptFailure::ShortAnswer : failureOf(data.status(), true));
            co_return;
        }
        done = takeEvents(events, relay != nullptr);
        m_memory->holdReceived(base + m_body.size() + parser.bufferedBytes());
        if (m_body.size() > kMaxAnswerBytes) {
            fail(AttemptFailure::ShortAnswer);
            co_return;
        }
        if (relay != nullptr) {
            co_await relay->waitForRoom();
        }
    }
    if (m_abandoned) {
        co_return;
    }
    // The chunked body's end follows the end mark; only then is the connection whole.
    if ((co_await m_connection->readRest(timeout, kMaxAnswerBytes)).ok()) {
        pool.release(std::move(m_connection));
    }
    m_connection.reset();
    if (relay == nullptr) {
        report(AttemptAnswered{m_identity.attempt, echo, m_status, true});
    }
}

/// Takes the events of one read; true once the end mark was among them.
bool EndpointCall::takeEvents(const std::vector<SseEvent> &events, bool relayed)
{
    for (const auto &event : events) {
        if (event.data == kDone) {
            if (relayed) {
                reportTokens(true);
            }
            return true;
        }
        if (!relayed) {
            m_body += textOf(event.data);
            continue;
        }
        const auto offset = offsetOf(event.data);
        if (!offset) {
            continue;
        }
        if (!m_tokens.empty() && *offset != m_tokens.back().offset + 1) {
            reportTokens(false);
        }
        m_tokens.push_back({*offset, event.data});
    }
    if (relayed && !m_tokens.empty()) {
        reportTokens(false);
    }
    return false;
}

void EndpointCall::reportTokens(bool end)
{
    StreamData data;
    data.attempt = m_identity.attempt;
    data.offset = m_tokens.empty() ? m_nextOffset : m_tokens.front().offset;
    data.count = m_tokens.size();
    data.end = end;
    m_nextOffset = data.offset + data.count;
    report(data);
    m_tokens.clear();
}

} // namespace mimosahub
