// One connection is opened to an endpoint that lost sends, and kept for later sends if
// it is accepted.

#include "gateway/crash_detector.h"

#include "base/log.h"
#include "http/spawn.h"

#include <absl/strings/str_join.h>

namespace mimosahub
{

namespace
{

/// An endpoint that lost a send and is listed with a new start within this time crashed then.
constexpr Duration kRestartTime = std::chrono::seconds(5);

/// The ids of the parts of a prompt, in order; the last one is the request's own.
std::string joinParts(const std::vector<ContentId> &contents)
{
    std::vector<std::string_view> parts;
    for (const auto &content : contents) {
        if (content.kind != ContentKind::Request) {
            parts.emplace_back(content.id);
        }
    }
    return absl::StrJoin(parts, ",", [](std::string *out, std::string_view part) { out->append(part); });
}

} // namespace

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
            .with("parts", joinParts(send.contents))
            .with("content", send.contents.empty() ? std::string_view() : std::string_view(send.contents.back().id))
            .with("events", send.events)
            .with("after", Duration(send.lostAt - send.sentAt))
            .with("examined", Duration(m_clock.now() - send.lostAt));
    }
    if (finding == Finding::Crashed && m_onCrash) {
        m_onCrash(endpoint, sends);
    } else if (finding == Finding::Alive) {
        watch(endpoint, sends);
    }
}

void CrashDetector::watch(const ListedEndpoint &endpoint, const std::vector<LostSend> &sends)
{
    const auto now = m_clock.now();
    std::erase_if(m_survivors, [now](const auto &entry) { return now - entry.second.lostAt > kRestartTime; });
    auto &survivor = m_survivors[endpoint.info.id];
    if (survivor.endpoint.startedAtMs != endpoint.startedAtMs) {
        survivor.sends.clear();
    }
    survivor.endpoint = endpoint;
    survivor.lostAt = now;
    survivor.sends.insert(survivor.sends.end(), sends.begin(), sends.end());
}

void CrashDetector::takeListing(const std::vector<ListedEndpoint> &endpoints)
{
    if (m_survivors.empty()) {
        return;
    }
    const auto now = m_clock.now();
    for (const auto &listed : endpoints) {
        const auto it = m_survivors.find(listed.info.id);
        if (it == m_survivors.end() || listed.startedAtMs <= it->second.endpoint.startedAtMs) {
            continue;
        }
        const auto survivor = std::move(m_survivors.extract(it).mapped());
        if (now - survivor.lostAt <= kRestartTime && m_onCrash) {
            logEvent(LogLevel::Info, "endpoint-restarted")
                .with("endpoint", listed.info.id)
                .with("sends_lost", survivor.sends.size());
            m_onCrash(survivor.endpoint, survivor.sends);
        }
    }
}

} // namespace mimosahub
