// Of two marks the one with the later end counts, and of two with the same end the
// younger one: a daemon that is behind says nothing new.

#include "follow/mark_board.h"

#include <algorithm>

namespace mimosahub
{

void MarkBoard::put(StoreTable table, StoreOffset end, TimePoint provenAt)
{
    const std::lock_guard lock(m_mutex);
    m_own[table] = {end, provenAt};
}

std::vector<TableMark> MarkBoard::take(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<TableMark> marks;
    marks.reserve(m_own.size());
    for (const auto &[table, own] : m_own) {
        marks.push_back({table, own.end, std::max(Duration::zero(), Duration(now - own.provenAt))});
    }
    return marks;
}

void MarkBoard::hear(const std::vector<TableMark> &marks, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &mark : marks) {
        const auto provenAt = now - mark.age;
        const auto [it, isNew] = m_heard.try_emplace(mark.table, Heard{mark.end, provenAt, now});
        auto &heard = it->second;
        if (isNew || mark.end > heard.end) {
            heard = {mark.end, provenAt, now};
        } else if (mark.end == heard.end) {
            heard.provenAt = std::max(heard.provenAt, provenAt);
            heard.heardAt = now;
        }
    }
}

std::optional<MarkBoard::Heard> MarkBoard::heard(StoreTable table) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_heard.find(table);
    return it == m_heard.end() ? std::nullopt : std::optional(it->second);
}

} // namespace mimosahub
