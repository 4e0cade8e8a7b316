// A daemon sees only a fraction of a session's requests, so even a small share of
// repeats shows that last parts are shared: parts of single requests never repeat.

#include "forward/prompt_affinity.h"

namespace mimosahub
{

namespace
{

constexpr std::size_t kMaxRememberedParts = 512; ///< Number of last parts to remember.
constexpr double kRepeatShareWeight = 0.02; ///< Weight of one request in the moving average.
constexpr double kSharedThreshold = 0.03; ///< Share of repeats above which last parts count as shared.

} // namespace

std::string PromptAffinity::take(const std::vector<PromptPart> &prompt)
{
    if (prompt.empty()) {
        return {};
    }
    const auto &last = prompt.back().id;
    const bool seen = m_recentIds.contains(last);
    m_repeatShare += kRepeatShareWeight * ((seen ? 1.0 : 0.0) - m_repeatShare);
    if (!seen) {
        remember(last);
    }
    if (m_repeatShare > kSharedThreshold || prompt.size() == 1) {
        return last;
    }
    return prompt[prompt.size() - 2].id;
}

void PromptAffinity::remember(const std::string &id)
{
    m_recentParts.push_back(id);
    m_recentIds.insert(id);
    if (m_recentParts.size() > kMaxRememberedParts) {
        m_recentIds.erase(m_recentParts.front());
        m_recentParts.pop_front();
    }
}

} // namespace mimosahub
