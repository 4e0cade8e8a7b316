#include "gateway/exchange_sink.h"

namespace mimosahub
{

http::Awaitable<bool> ExchangeSink::start()
{
    auto answer = m_protocol.callerHead(m_head);
    answer.erase(http::beast::http::field::content_length);
    co_return (co_await m_exchange.startStream(std::move(answer))).ok();
}

http::Awaitable<bool> ExchangeSink::write(std::string_view events)
{
    co_return (co_await m_exchange.writeChunk(events)).ok();
}

http::Awaitable<void> ExchangeSink::finish()
{
    static_cast<void>(co_await m_exchange.finishStream());
}

} // namespace mimosahub
