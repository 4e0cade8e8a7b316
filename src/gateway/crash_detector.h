#pragma once

#include "base/metrics.h"
#include "forward/content_id.h"
#include "forward/listed_endpoint.h"
#include "http/connection_pool.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mimosahub
{

/// A send whose connection broke before its answer was complete.
struct LostSend {
    RequestId request;
    std::vector<ContentId> contents; ///< As contentIdsOf() gives them.
    int events = 0; ///< Of its stream that had come.
    TimePoint sentAt;
    TimePoint lostAt;
};

/// Determines whether an endpoint that broke a connection has crashed: it then refuses new
/// connections for a while, or has started anew soon after, which a reset connection, a cut
/// link or an invalid answer don't explain. Traffic thread only.
class CrashDetector
{
public:
    /// All arguments must outlive the detector, and \a io its coroutines.
    CrashDetector(boost::asio::io_context &io, const Clock &clock, http::ConnectionPool &pool, MetricRegistry &metrics);

    /// Called once for each endpoint that crashed, with the sends that it lost.
    void onCrash(std::function<void(const ListedEndpoint &endpoint, const std::vector<LostSend> &sends)> callback)
    {
        m_onCrash = std::move(callback);
    }
    /// Looks whether \a endpoint has crashed, once for all sends that it lost meanwhile.
    void record(const ListedEndpoint &endpoint, LostSend send);
    /// Takes the endpoints' entries, which show new starts.
    void takeListing(const std::vector<ListedEndpoint> &endpoints);

private:
    enum class Finding {
        Crashed, ///< It refuses connections.
        Alive,
        Unknown, ///< It didn't respond in time.
    };
    static constexpr int kFindings = 3;

    /// An endpoint that lost sends and took connections right after.
    struct Survivor {
        ListedEndpoint endpoint;
        std::vector<LostSend> sends;
        TimePoint lostAt; ///< The last of them.
    };

    http::Awaitable<void> examine(ListedEndpoint endpoint);
    void watch(const ListedEndpoint &endpoint, const std::vector<LostSend> &sends);
    void conclude(const ListedEndpoint &endpoint, Finding finding);
    [[nodiscard]] static std::string_view findingName(Finding finding);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    http::ConnectionPool &m_pool;
    std::map<EndpointId, std::vector<LostSend>> m_examined; ///< Sends of the endpoints that are looked at now.
    std::map<EndpointId, Survivor> m_survivors;
    std::array<Counter *, kFindings> m_lostSends{};
    std::function<void(const ListedEndpoint &, const std::vector<LostSend> &)> m_onCrash;
};

} // namespace mimosahub
