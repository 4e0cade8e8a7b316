// One connection is opened to an endpoint that lost sends, and kept for later sends if
// it is accepted.

#include "gateway/crash_detector.h"

#include "base/log.h"
#include "http/spawn.h"

#include <absl/strings/str_join.h>

namespace mimosahub
{

CrashDetector::CrashDetector(boost::asio::io_context &io, const Clock &clock, http::ConnectionPool &pool,
                             MetricRegistry &metrics)
    : m_io(io), m_clock(clock), m_pool(pool)
{
    for (int i = 0; i < kFindings; ++i) {
        const auto finding = findingName(static_cast<Finding>(i));
        m_lostSends.at(static_cast<std::size_t>(i)) =
            &metrics.counter("mimosahub_sends_lost_total",
                             "Sends whose connection broke before the end of the answer, by the endpoint's state.",
                             {{"endpoint", std::string(finding)}});
    }
}

std::string_view CrashDetector::findingName(Finding finding)
{
    switch (finding) {
    case Finding::Crashed:
        return "crashed";
    case Finding::Alive:
        return "alive";
    case Finding::Unknown:
        return "unknown";
    }
    return "";
}

void CrashDetector::record(const ListedEndpoint &endpoint, LostSend send)
{
    const auto [it, isNew] = m_examined.try_emplace(endpoint.info.id);
    it->second.push_back(std::move(send));
    if (isNew) {
        http::spawn(m_io, examine(endpoint));
    }
}

http::Awaitable<void> CrashDetector::examine(ListedEndpoint endpoint)
{
    const auto status = co_await m_pool.open(endpoint.info.address);
    conclude(endpoint, status.ok() ? Finding::Alive : absl::IsNotFound(status) ? Finding::Crashed : Finding::Unknown);
}

void CrashDetector::conclude(const ListedEndpoint &endpoint, Finding finding)
{
    const auto sends = std::move(m_examined.extract(endpoint.info.id).mapped());
    for (const auto &send : sends) {
        m_lostSends.at(static_cast<std::size_t>(finding))->add();
        logEvent(LogLevel::Info, "send-lost")
            .with("request", send.request)
            .with("endpoint", endpoint.info.id)
            .with("service", endpoint.info.service)
            .with("endpoint_state", findingName(finding))
            .with("parts", absl::StrJoin(send.sharedParts, ","))
            .with("events", send.events)
            .with("after", Duration(send.lostAt - send.sentAt))
            .with("examined", Duration(m_clock.now() - send.lostAt));
    }
    if (finding == Finding::Crashed && m_onCrash) {
        m_onCrash(endpoint, sends);
    }
}

} // namespace mimosahub
