#pragma once

#include "gateway/call_protocol.h"
#include "gateway/forwarded_stream.h"
#include "http/server.h"

namespace mimosahub
{

/// The connection of a stream's caller.
class ExchangeSink : public StreamSink
{
public:
    /// \a head is of the endpoint's answer. All must outlive this object.
    ExchangeSink(const CallProtocol &protocol, http::Exchange &exchange, const http::Response &head)
        : m_protocol(protocol), m_exchange(exchange), m_head(head)
    {
    }

    http::Awaitable<bool> start() override;
    http::Awaitable<bool> write(std::string_view events) override;
    http::Awaitable<void> finish() override;

private:
    const CallProtocol &m_protocol;
    http::Exchange &m_exchange;
    const http::Response &m_head;
};

} // namespace mimosahub
