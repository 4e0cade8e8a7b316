#pragma once

#include "base/metrics.h"
#include "forward/endpoint_notices.h"
#include "gateway/call_protocol.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace mimosahub
{

/// Takes what endpoints say of themselves in their answers and hands it to all that choose
/// endpoints. Traffic thread only.
class NoticeRecorder
{
public:
    struct Callbacks {
        std::function<void()> onLeaving; ///< The notices hold an endpoint that they didn't.
        std::function<void(const EndpointStart &endpoint, TimePoint until)> onRest; ///< It gets nothing until then.
        std::function<void(const EndpointStart &endpoint)> spreadLeaving; ///< Tells other daemons.
    };

    /// All arguments must outlive this object.
    NoticeRecorder(const Clock &clock, Random &random, MetricRegistry &metrics);

    /// To be called before any other function.
    void connect(Callbacks callbacks)
    {
        m_callbacks = std::move(callbacks);
    }
    /// Takes the notices in an answer of \a endpoint to \a call, a request's id or a path.
    void record(const ListedEndpoint &endpoint, const EndpointHead &head, std::string_view call);
    /// Takes endpoints that are leaving, as another daemon tells.
    void takeLeaving(const std::vector<EndpointStart> &endpoints);
    [[nodiscard]] EndpointNotices &notices()
    {
        return m_notices;
    }

private:
    void recordLeaving(const EndpointStart &endpoint, std::string_view source);
    void recordLoad(const EndpointId &endpoint, const EndpointLoad &load);

    const Clock &m_clock;
    Random &m_random;
    EndpointNotices m_notices;
    Callbacks m_callbacks;
    Counter &m_leaving;
    Counter &m_rests;
    Counter &m_unreadableLoads;
    std::set<std::pair<EndpointId, std::string>> m_loggedLoads; ///< Endpoints and figures that have had their line.
};

} // namespace mimosahub
