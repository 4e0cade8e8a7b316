// Decisions run ahead of the caller's connection by at most kBufferBytes; above
// that, the endpoint's stream is not read on, and TCP slows the engine.

#include "daemon/answer_sink.h"

#include "request/sse.h"

#include <utility>

namespace mimosahub
{

namespace
{

constexpr std::size_t kBufferBytes = 64 * std::size_t(1024);
constexpr std::string_view kEndMark = "data: [DONE]\n\n";

http::Response streamHead(const RequestId &id)
{
    auto head = http::makeResponse(200, http::kEventStreamType, "");
    head.set(http::toBeast(http::kOutcomeHeader), http::toBeast(outcomeName(Outcome::Ok)));
    head.set(http::toBeast(http::kRequestHeader), id.str());
    return head;
}

/// Memory of an answer while it is written: it may be ended if its caller takes nothing. The memory may
/// outlive the exchange.
class WrittenMemory
{
public:
    WrittenMemory(std::shared_ptr<http::MemoryHold> memory, http::Exchange &exchange) : m_memory(std::move(memory))
    {
        if (m_memory) {
            m_memory->setOnEnd([&exchange] { exchange.cut(); });
            m_memory->setBlocked(true);
        }
    }
    ~WrittenMemory()
    {
        if (m_memory) {
            m_memory->setBlocked(false);
            m_memory->setOnEnd(nullptr);
        }
    }
    WrittenMemory(const WrittenMemory &) = delete;
    WrittenMemory &operator=(const WrittenMemory &) = delete;

private:
    std::shared_ptr<http::MemoryHold> m_memory;
};

} // namespace

http::Response refusalResponse(const Refusal &refusal, const RequestId &id)
{
    auto response = http::makeResponse(httpStatus(refusal), http::kJsonType, refusalBody(refusal, id.str()));
    response.set(http::toBeast(http::kOutcomeHeader), http::toBeast(outcomeName(refusal.outcome)));
    response.set(http::toBeast(http::kRequestHeader), id.str());
    if (refusal.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter).count();
        response.set(http::beast::http::field::retry_after, std::to_string(seconds));
    }
    return response;
}

AnswerSink::AnswerSink(boost::asio::io_context &io) : m_wake(io), m_room(io)
{
}

void AnswerSink::pushEvents(std::string_view events)
{
    m_events += events;
    m_wake.cancel();
}

void AnswerSink::finishStream()
{
    m_events += kEndMark;
    m_end = End::Stream;
    m_wake.cancel();
}

void AnswerSink::failStream(const Refusal &refusal, const RequestId &id)
{
    writeSse({"error", "", refusalBody(refusal, id.str())}, m_events);
    m_end = End::Stream;
    m_wake.cancel();
}

void AnswerSink::finishWhole(http::Response response, std::shared_ptr<http::MemoryHold> memory)
{
    m_memory = std::move(memory);
    if (m_memory) {
        m_memory->setOnEnd(nullptr); // Nothing is read any more.
    }
    m_whole = std::move(response);
    m_end = End::Whole;
    m_wake.cancel();
}

bool AnswerSink::full() const
{
    return !m_closed && m_events.size() > kBufferBytes;
}

http::Awaitable<void> AnswerSink::waitForRoom()
{
    while (full()) {
        co_await http::sleepOn(m_room);
    }
}

void AnswerSink::close()
{
    m_closed = true;
    m_events.clear();
    m_room.cancel();
    m_wake.cancel();
}

http::Awaitable<bool> AnswerSink::writeTo(http::Exchange &exchange, const RequestId &id)
{
    while (m_events.empty() && m_end == End::None) {
        co_await http::sleepOn(m_wake);
    }
    if (m_end == End::Whole) {
        const WrittenMemory written(m_memory, exchange);
        co_return (co_await exchange.respond(std::move(*m_whole))).ok();
    }
    if (!(co_await exchange.startStream(streamHead(id))).ok()) {
        co_return false;
    }
    while (true) {
        const auto events = std::exchange(m_events, {});
        m_room.cancel();
        if (!events.empty()) {
            if (!(co_await exchange.writeChunk(events)).ok()) {
                co_return false;
            }
        }
        if (m_events.empty() && m_end == End::Stream) {
            co_return (co_await exchange.finishStream()).ok();
        }
        while (m_events.empty() && m_end == End::None) {
            co_await http::sleepOn(m_wake);
        }
    }
}

} // namespace mimosahub
