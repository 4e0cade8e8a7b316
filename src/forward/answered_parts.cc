#include "forward/answered_parts.h"

#include "base/hash.h"

#include <utility>

namespace mimosahub
{

namespace
{

std::uint64_t keyOf(const ContentId &content)
{
    return hashBytes(content.id, hashBytes(content.service.str()));
}

} // namespace

AnsweredParts::Entry *AnsweredParts::find(std::uint64_t key)
{
    if (const auto it = m_recent.find(key); it != m_recent.end()) {
        return &it->second;
    }
    const auto node = m_older.extract(key);
    if (node.empty()) {
        return nullptr;
    }
    return &m_recent.emplace(key, node.mapped()).first->second;
}

void AnsweredParts::recordAnswer(const ContentId &content, TimePoint now)
{
    const auto key = keyOf(content);
    if (auto *entry = find(key)) {
        *entry = {now, 0};
        return;
    }
    if (m_recent.size() >= m_capacity) {
        m_older = std::exchange(m_recent, {});
    }
    m_recent[key] = {now, 0};
}

std::optional<int> AnsweredParts::recordCrash(const ContentId &content)
{
    auto *entry = find(keyOf(content));
    return entry == nullptr ? std::nullopt : std::optional(++entry->crashes);
}

std::optional<TimePoint> AnsweredParts::answeredAt(const ContentId &content) const
{
    const auto key = keyOf(content);
    for (const auto *generation : {&m_recent, &m_older}) {
        if (const auto it = generation->find(key); it != generation->end()) {
            return it->second.answeredAt;
        }
    }
    return std::nullopt;
}

} // namespace mimosahub
