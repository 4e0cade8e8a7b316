#pragma once

#include "mimosahub/ids.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

namespace mimosahub
{

/// One part of a prompt that other requests may share.
struct PromptPart {
    std::string id;
    std::uint64_t tokens = 0;

    friend bool operator==(const PromptPart &, const PromptPart &) = default;
};

/// Tells by which part of their prompts the requests of one route belong together:
/// the last one that others share. Whether the last part of all is shared shows
/// in how often it comes again; until then it is taken to be the request's own.
class PromptAffinity
{
public:
    /// The id of the part to which \a prompt belongs; empty if there is none. Learns
    /// from the prompt.
    [[nodiscard]] std::string take(const std::vector<PromptPart> &prompt);

private:
    void remember(const std::string &id);

    std::deque<std::string> m_recentParts; ///< Last parts seen lately, oldest first.
    std::unordered_set<std::string> m_recentIds;
    double m_repeatShare = 0.0; ///< Decayed share of last parts that had been seen.
};

} // namespace mimosahub
