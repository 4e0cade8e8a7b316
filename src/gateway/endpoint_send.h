#pragma once

#include "forward/endpoint_selector.h"
#include "http/client.h"

#include <memory>
#include <optional>

namespace mimosahub
{

struct ForwardContext;

/// One send of a request to an endpoint: counted there as in flight until it ends,
/// with the connection that carries it.
class EndpointSend
{
public:
    /// The selector has chosen \a endpoint for \a query.
    EndpointSend(ForwardContext &context, ListedEndpoint endpoint, EndpointQuery query);
    /// Drops a send that has not ended.
    ~EndpointSend();
    EndpointSend(const EndpointSend &) = delete;
    EndpointSend &operator=(const EndpointSend &) = delete;

    /// Makes sure that there is a connection; see http::ConnectionPool::acquire(). A
    /// failure ends the send.
    http::Awaitable<absl::Status> connect(bool proven);
    /// Requires that connect() succeeded.
    [[nodiscard]] http::ClientConnection &connection()
    {
        return *m_connection;
    }
    /// Gives the connection back for other sends, if it can go on.
    void releaseConnection();
    /// Records how the send ended.
    void end(SendEnd how, std::optional<double> latencyRatio);
    /// The endpoint was silent for longer than usual, and the send goes on. Counts
    /// against the endpoint once.
    void recordSilence();
    [[nodiscard]] const ListedEndpoint &endpoint() const
    {
        return m_endpoint;
    }

private:
    ForwardContext &m_context;
    ListedEndpoint m_endpoint;
    EndpointQuery m_query;
    std::unique_ptr<http::ClientConnection> m_connection;
    bool m_silent = false;
    bool m_ended = false;
};

} // namespace mimosahub
