#include "gateway/notice_recorder.h"

#include "base/log.h"

namespace mimosahub
{

namespace
{

constexpr std::size_t kMaxLoggedLoads = 4096; ///< Endpoints come under new ids; the counter goes on beyond.

} // namespace

NoticeRecorder::NoticeRecorder(const Clock &clock, Random &random, MetricRegistry &metrics)
    : m_clock(clock),
      m_random(random),
      m_leaving(metrics.counter("mimosahub_endpoint_notices_total", "What endpoints said of themselves in answers.",
                                {{"notice", "leaving"}})),
      m_rests(metrics.counter("mimosahub_endpoint_notices_total", "What endpoints said of themselves in answers.",
                              {{"notice", "rest"}})),
      m_unreadableLoads(metrics.counter("mimosahub_endpoint_loads_unreadable_total",
                                        "Figures of endpoints' reported load that could not be read."))
{
}

void NoticeRecorder::record(const ListedEndpoint &endpoint, const EndpointHead &head, std::string_view call)
{
    if (head.otherEndpoint) {
        return; // It speaks of another one.
    }
    if (head.load) {
        recordLoad(endpoint.info.id, *head.load);
    }
    const auto now = m_clock.now();
    const auto start = startOf(endpoint);
    if (head.leaving) {
        recordLeaving(start, call);
    }
    if (head.rest) {
        const auto until = m_notices.recordRest(start, *head.rest, now, m_random);
        m_rests.add();
        logEvent(LogLevel::Info, "endpoint-notice")
            .with("endpoint", endpoint.info.id)
            .with("service", endpoint.info.service)
            .with("notice", "rest")
            .with("asked", *head.rest)
            .with("for", Duration(until - now))
            .with("call", call);
        m_callbacks.onRest(start, until);
    }
}

// One line for each endpoint and figure: an endpoint may repeat the fault in each answer.
void NoticeRecorder::recordLoad(const EndpointId &endpoint, const EndpointLoad &load)
{
    for (const auto &figure : load.unreadable) {
        m_unreadableLoads.add();
        if (m_loggedLoads.size() < kMaxLoggedLoads && m_loggedLoads.emplace(endpoint, figure).second) {
            logEvent(LogLevel::Warning, "endpoint-load-unreadable").with("endpoint", endpoint).with("figure", figure);
        }
    }
}

void NoticeRecorder::takeLeaving(const std::vector<EndpointStart> &endpoints)
{
    for (const auto &endpoint : endpoints) {
        recordLeaving(endpoint, "peer");
    }
}

// Each daemon passes on what is news to it, so that all know after a few hops.
void NoticeRecorder::recordLeaving(const EndpointStart &endpoint, std::string_view source)
{
    if (!m_notices.recordLeaving(endpoint, m_clock.now())) {
        return;
    }
    m_leaving.add();
    logEvent(LogLevel::Info, "endpoint-notice")
        .with("endpoint", endpoint.endpoint)
        .with("notice", "leaving")
        .with("started_ms", endpoint.startedAtMs)
        .with("call", source);
    m_callbacks.onLeaving();
    m_callbacks.spreadLeaving(endpoint);
}

} // namespace mimosahub
