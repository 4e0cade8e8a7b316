// Whatever ends a request destroys its sends, so that no count at an endpoint is
// left behind.

#include "gateway/endpoint_send.h"

#include "gateway/endpoint_log.h"
#include "gateway/forwarded_request.h"

namespace mimosahub
{

EndpointSend::EndpointSend(ForwardContext &context, ListedEndpoint endpoint, EndpointQuery query, TimePoint chosenAt)
    : m_context(context), m_endpoint(std::move(endpoint)), m_query(std::move(query)), m_chosenAt(chosenAt)
{
}

EndpointSend::~EndpointSend()
{
    if (m_ended) {
        return;
    }
    if (m_begun) {
        end(SendEnd::Dropped, std::nullopt);
    } else {
        m_context.selector.cancel(m_endpoint.info.id, m_query, m_chosenAt);
    }
}

http::Awaitable<absl::Status> EndpointSend::connect(bool proven)
{
    if (m_connection) {
        co_return absl::OkStatus();
    }
    auto connection = co_await m_context.pool.acquire(m_endpoint.info.address, proven);
    if (!connection.ok()) {
        end(SendEnd::Unreachable, std::nullopt);
        co_return connection.status();
    }
    m_connection = std::move(*connection);
    co_return absl::OkStatus();
}

void EndpointSend::releaseConnection()
{
    m_context.pool.release(std::move(m_connection));
}

void EndpointSend::recordLoad(const EndpointLoad &load)
{
    const auto now = m_context.clock.now();
    if (load.running && load.queued) {
        m_context.selector.recordLoad(m_endpoint.info.id, *load.running, *load.queued, now);
    }
    if (load.workTime) {
        m_context.selector.recordWorkTime(m_endpoint.info.id, *load.workTime, now);
    }
}

void EndpointSend::end(SendEnd how, std::optional<double> latencyRatio)
{
    m_ended = true;
    m_context.selector.end(m_endpoint.info.id, m_query, how, latencyRatio, m_context.clock.now());
    logEndpointHealthChanges(m_context.selector.takeHealthChanges());
}

void EndpointSend::recordSilence()
{
    if (!m_silent) {
        m_silent = true;
        m_context.selector.recordSilence(m_endpoint.info.id, m_context.clock.now());
        logEndpointHealthChanges(m_context.selector.takeHealthChanges());
    }
}

} // namespace mimosahub
