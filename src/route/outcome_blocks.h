#pragma once

#include "route/rollout_counts.h"

#include <cstddef>
#include <span>
#include <vector>

/// Outcomes over time.
namespace mimosahub
{

/// The sum of all outcomes, and the newest of them by blocks of time. Objects that
/// are added to at the same times have the same blocks.
class OutcomeBlocks
{
public:
    /// Outcomes that were counted from \a begin on, for one block's length.
    struct Block {
        WallTime begin;
        RouteOutcomes counts;
        double share = 0.0; ///< Highest share of traffic that the new version had.
    };

    /// Blocks take \a length each and are forgotten once they ended before the
    /// newest \a window.
    OutcomeBlocks(Duration length, Duration window) : m_length(length), m_window(window)
    {
    }

    /// Adds what was counted by \a now, with the new version's present \a share.
    /// Times never decrease.
    void add(const RouteOutcomes &fresh, double share, WallTime now);
    [[nodiscard]] const RouteOutcomes &sum() const
    {
        return m_sum;
    }
    [[nodiscard]] const std::vector<Block> &blocks() const
    {
        return m_blocks;
    }
    /// Sum of the blocks that aren't forgotten.
    [[nodiscard]] RouteOutcomes recentSum() const;
    /// The blocks within \a reach of number \a index.
    [[nodiscard]] std::span<const Block> neighbours(std::size_t index, std::size_t reach) const;

private:
    Duration m_length;
    Duration m_window;
    RouteOutcomes m_sum;
    std::vector<Block> m_blocks;
};

} // namespace mimosahub
