// The list lags, so that it lacks a process that has just started, and an old
// list may still lack an instance whose new process has joined. A member counts
// as ended only if the list named its instance before, then lacked it in every
// reading for longer than the list lags, counted for each process by itself, and
// nothing came from the process meanwhile. Time during which the list can't be
// read, or names no daemon at all, proves nothing: counting begins anew after it.

#include "daemon/listed_daemons.h"

#include <utility>

namespace mimosahub
{

ListedDaemons::ListedDaemons(ListedDaemonsOptions options) : m_options(options)
{
}

std::vector<MemberKey> ListedDaemons::ended(const std::vector<DaemonInfo> &listed, const MembershipView &view,
                                            TimePoint now)
{
    std::set<InstanceId> named;
    for (const auto &daemon : listed) {
        named.insert(daemon.id);
    }
    if (named.empty()) {
        return {};
    }
    if (now - m_lastReading > m_options.readingGap) {
        m_missingSince.clear();
    }
    m_lastReading = now;
    m_everListed.insert(named.begin(), named.end());
    std::vector<MemberKey> result;
    std::map<MemberKey, TimePoint> missing;
    for (const auto &member : view.members) {
        if (named.contains(member.id) || !m_everListed.contains(member.id)) {
            continue;
        }
        const auto key = keyOf(member);
        const auto it = m_missingSince.find(key);
        const auto since = it == m_missingSince.end() ? now : it->second;
        missing.emplace(key, since);
        if (now - since >= m_options.settle) {
            result.push_back(key);
        }
    }
    m_missingSince = std::move(missing);
    return result;
}

void ListedDaemons::heard(const MemberKey &member)
{
    m_missingSince.erase(member);
}

} // namespace mimosahub
