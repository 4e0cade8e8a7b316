#include "forward/endpoint_notices.h"

#include <algorithm>

namespace mimosahub
{

bool EndpointNotices::recordLeaving(const EndpointStart &endpoint, TimePoint now)
{
    const bool isNew = m_leaving.emplace(endpoint, now).second;
    if (m_leaving.size() > m_options.maxLeaving) {
        m_leaving.erase(std::min_element(m_leaving.begin(), m_leaving.end(),
                                         [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
    return isNew;
}

TimePoint EndpointNotices::recordRest(const EndpointStart &endpoint, Duration rest, TimePoint now, Random &random)
{
    const auto spread = std::min(m_options.maxSpread, std::chrono::duration_cast<Duration>(rest * m_options.spread));
    const TimePoint until = now + rest + std::chrono::duration_cast<Duration>(spread * random.uniform());
    auto &known = m_rests[endpoint];
    known = std::max(known, until);
    return known;
}

void EndpointNotices::markLeaving(std::vector<ListedEndpoint> &endpoints) const
{
    if (m_leaving.empty()) {
        return;
    }
    for (auto &endpoint : endpoints) {
        endpoint.info.leaving = endpoint.info.leaving || isLeaving(startOf(endpoint));
    }
}

const std::map<EndpointStart, TimePoint> &EndpointNotices::rests(TimePoint now)
{
    std::erase_if(m_rests, [now](const auto &rest) { return rest.second <= now; });
    return m_rests;
}

} // namespace mimosahub
