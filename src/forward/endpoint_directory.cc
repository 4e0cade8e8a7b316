// An endpoint that reported that it is leaving gets no grace period: its lapse was announced.

#include "forward/endpoint_directory.h"

#include <algorithm>

namespace mimosahub
{

void EndpointDirectory::put(ListedEndpoint endpoint)
{
    const auto id = endpoint.info.id;
    m_entries[id] = {std::move(endpoint), std::nullopt};
}

void EndpointDirectory::remove(const EndpointId &id, TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        return;
    }
    const bool graced = m_returnedAt && now < *m_returnedAt + m_lapseGrace && !it->second.endpoint.info.leaving;
    if (graced) {
        it->second.dropAt = *m_returnedAt + m_lapseGrace;
    } else {
        m_entries.erase(it);
    }
}

bool EndpointDirectory::expire(TimePoint now)
{
    return std::erase_if(m_entries,
                         [&](const auto &entry) { return entry.second.dropAt && *entry.second.dropAt <= now; })
        > 0;
}

std::optional<TimePoint> EndpointDirectory::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, entry] : m_entries) {
        if (entry.dropAt) {
            next = std::min(next.value_or(*entry.dropAt), *entry.dropAt);
        }
    }
    return next;
}

std::vector<ListedEndpoint> EndpointDirectory::list() const
{
    std::vector<ListedEndpoint> endpoints;
    endpoints.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        endpoints.push_back(entry.endpoint);
    }
    const auto hasNoStart = [](const ListedEndpoint &endpoint) { return endpoint.startedAtMs == 0; };
    const auto startless = std::count_if(endpoints.begin(), endpoints.end(), hasNoStart);
    if (2 * static_cast<std::size_t>(startless) < endpoints.size()) {
        std::erase_if(endpoints, hasNoStart);
    }
    return endpoints;
}

const ListedEndpoint *EndpointDirectory::find(const EndpointId &id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.endpoint;
}

} // namespace mimosahub
