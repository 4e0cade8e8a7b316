#pragma once

#include <optional>
#include <string>
#include <vector>

namespace mimosahub
{

/// Whole events of a stream, unchanged and in the order in which they were read.
struct WholeEvents {
    std::string bytes;
    /// Of each event, in order; absent: it has none of its own. Comments between events are no events.
    std::vector<std::optional<std::string>> ids;

    [[nodiscard]] bool empty() const
    {
        return bytes.empty();
    }
};

} // namespace mimosahub
