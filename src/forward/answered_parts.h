#pragma once

#include "forward/quarantine_news.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace mimosahub
{

/// Remembers which shared parts of prompts were in answered requests of this daemon, and how many
/// endpoints have crashed under them since. The memory is bounded; parts that are in use
/// stay, however many others come.
class AnsweredParts
{
public:
    /// \a capacity: parts that are remembered, at least; twice as many at most.
    explicit AnsweredParts(std::size_t capacity) : m_capacity(capacity)
    {
    }

    void recordAnswer(const ContentId &content, TimePoint now);
    /// Crashes since the last answer, this one included; absent if no answer is remembered.
    [[nodiscard]] std::optional<int> recordCrash(const ContentId &content);
    /// When a request with the part was answered last.
    [[nodiscard]] std::optional<TimePoint> answeredAt(const ContentId &content) const;

private:
    struct Entry {
        TimePoint answeredAt;
        int crashes = 0;
    };
    using Generation = std::unordered_map<std::uint64_t, Entry>; ///< By a hash of the part.

    [[nodiscard]] Entry *find(std::uint64_t key);

    std::size_t m_capacity;
    Generation m_recent;
    Generation m_older; ///< Entries that are used move to m_recent; the others go when that is full.
};

} // namespace mimosahub
