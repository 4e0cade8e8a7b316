// Engines publish cache events late and with gaps. Each endpoint numbers its events;
// a lost event may have been an eviction, so all hints of the endpoint are dropped
// after a gap. A wrong hint costs the computation of one prompt, never a wrong answer.

#include "route/cache_hints.h"

namespace mimosahub
{

void CacheHints::apply(const CacheEvent &event, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    auto &sequence = m_sequences[event.endpoint];
    if (event.sequence <= sequence && event.sequence != 1) { // 1: the endpoint numbers its events anew.
        return; // A duplicate, or older than an event already applied.
    }
    if (event.sequence != sequence + 1 || event.kind == CacheEvent::Kind::Cleared) {
        forgetLocked(event.endpoint);
    }
    sequence = event.sequence;
    if (event.kind == CacheEvent::Kind::Cleared) {
        return;
    }
    const auto it = m_byPrefix.find(event.prefixHash);
    if (event.kind == CacheEvent::Kind::Evicted) {
        if (it != m_byPrefix.end() && it->second->endpoint == event.endpoint) {
            m_hints.erase(it->second);
            m_byPrefix.erase(it);
        }
        return;
    }
    if (it != m_byPrefix.end()) {
        m_hints.erase(it->second);
    }
    m_hints.push_front({event.prefixHash, event.endpoint, now});
    m_byPrefix[event.prefixHash] = m_hints.begin();
    if (m_hints.size() > m_options.maxPrefixes) {
        m_byPrefix.erase(m_hints.back().prefixHash);
        m_hints.pop_back();
    }
}

void CacheHints::forget(const EndpointId &endpoint)
{
    const std::lock_guard lock(m_mutex);
    forgetLocked(endpoint);
    m_sequences.erase(endpoint);
}

std::optional<EndpointId> CacheHints::holder(std::uint64_t prefixHash, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_byPrefix.find(prefixHash);
    if (it == m_byPrefix.end() || now - it->second->storedAt > m_options.lifetime) {
        return std::nullopt;
    }
    return it->second->endpoint;
}

void CacheHints::forgetLocked(const EndpointId &endpoint)
{
    for (auto it = m_hints.begin(); it != m_hints.end();) {
        if (it->endpoint == endpoint) {
            m_byPrefix.erase(it->prefixHash);
            it = m_hints.erase(it);
        } else {
            ++it;
        }
    }
}

} // namespace mimosahub
