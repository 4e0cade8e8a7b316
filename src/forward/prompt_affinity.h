#pragma once

#include "mimosahub/ids.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

namespace mimosahub
{

/// A part of a prompt that other requests may share.
struct PromptPart {
    std::string id;
    std::uint64_t tokens = 0;

    friend bool operator==(const PromptPart &, const PromptPart &) = default;
};

/// Determines the part of a prompt by which requests of one route are grouped: the last
/// part that other requests share. Whether the very last part is shared is learned
/// from how often last parts repeat; until then it counts as the request's own.
class PromptAffinity
{
public:
    /// Records \a prompt and returns the id of the part by which it is grouped; empty if
    /// it has no parts.
    [[nodiscard]] std::string take(const std::vector<PromptPart> &prompt);

private:
    void remember(const std::string &id);

    std::deque<std::string> m_recentParts; ///< Recent last parts, oldest first.
    std::unordered_set<std::string> m_recentIds;
    double m_repeatShare = 0.0; ///< Moving average of the share of last parts that were seen before.
};

} // namespace mimosahub
