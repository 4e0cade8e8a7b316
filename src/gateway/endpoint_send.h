#pragma once

#include "forward/endpoint_selector.h"
#include "gateway/call_protocol.h"
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
    /// The selector has chosen \a endpoint for \a query at \a chosenAt.
    EndpointSend(ForwardContext &context, ListedEndpoint endpoint, EndpointQuery query, TimePoint chosenAt);
    /// Drops a send that has not ended, and takes back one that has not begun.
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
    /// Records that bytes of the request may leave from now on.
    void begin()
    {
        m_begun = true;
    }
    /// Records the load that the endpoint reported in its response.
    void recordLoad(const EndpointLoad &load);
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
    TimePoint m_chosenAt;
    std::unique_ptr<http::ClientConnection> m_connection;
    bool m_silent = false;
    bool m_begun = false;
    bool m_ended = false;
};

} // namespace mimosahub
