// Counts arrive with every message of another daemon; blocks collect enough of them
// to estimate rates.

#include "route/outcome_blocks.h"

#include <algorithm>

namespace mimosahub
{

void OutcomeBlocks::add(const RouteOutcomes &fresh, double share, WallTime now)
{
    if (m_blocks.empty() || now - m_blocks.back().begin >= m_length) {
        m_blocks.push_back({now, {}});
    }
    auto &block = m_blocks.back();
    block.counts += fresh;
    block.share = std::max(block.share, share);
    m_sum += fresh;
    // There are few, small blocks, so moving them in a vector costs less than a list.
    while (m_blocks.size() > 1 && m_blocks.front().begin + m_length <= now - m_window) {
        m_blocks.erase(m_blocks.begin());
    }
}

RouteOutcomes OutcomeBlocks::recentSum() const
{
    RouteOutcomes result;
    for (const auto &block : m_blocks) {
        result += block.counts;
    }
    return result;
}

std::span<const OutcomeBlocks::Block> OutcomeBlocks::neighbours(std::size_t index, std::size_t reach) const
{
    const auto begin = index - std::min(index, reach);
    const auto end = std::min(m_blocks.size(), index + reach + 1);
    return std::span(m_blocks).subspan(begin, end - begin);
}

} // namespace mimosahub
