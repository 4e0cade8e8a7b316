// An entry that arrives late follows the newest one within seconds. If what came last stays
// the newest for longer than that, its time or number was wrong, and the endpoint must not be
// locked out by it.

#include "forward/newest_entries.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr Duration kLateTime =
    std::chrono::seconds(10); ///< Entries don't arrive later than that; heartbeats 1.2 s apart.

} // namespace

NewestEntries::Verdict NewestEntries::take(ListedEndpoint &entry, TimePoint now)
{
    const auto [it, isNew] = m_newest.try_emplace(entry.info.id);
    auto &newest = it->second;
    if (!isNew && entry.startedAtMs == 0 && newest.startedAtMs != 0) {
        return Verdict::Startless;
    }
    const bool sameStart = !isNew && entry.startedAtMs != 0 && entry.startedAtMs == newest.startedAtMs;
    const bool earlier = !isNew && entry.startedAtMs < newest.startedAtMs;
    const bool older = earlier || (sameStart && entry.sequence < newest.sequence);
    if (older && now - newest.readAt <= kLateTime) {
        return Verdict::Older;
    }
    if (sameStart && entry.sequence <= newest.sequence) {
        entry.info.leaving = entry.info.leaving || newest.leaving;
    }
    newest = {entry.startedAtMs, entry.sequence, entry.info.leaving, now, std::nullopt};
    return Verdict::Newer;
}

void NewestEntries::remove(const EndpointId &endpoint, TimePoint now)
{
    const auto it = m_newest.find(endpoint);
    if (it != m_newest.end() && !it->second.removedAt) {
        it->second.removedAt = now;
    }
    std::erase_if(m_newest, [now](const auto &item) {
        return item.second.removedAt && now - *item.second.removedAt > kLateTime;
    });
}

} // namespace mimosahub
