#pragma once

#include "route/rollout_counts.h"

#include <cstddef>
#include <span>
#include <vector>

/// Outcomes of a rollout in time blocks.
namespace mimosahub
{

/// The sum of all outcomes, and the newest outcomes in blocks of time. Objects with
/// calls of add() at the same times have the same blocks.
class OutcomeBlocks
{
public:
    /// Outcomes counted from \a begin on, during the length of one block.
    struct Block {
        WallTime begin;
        RouteOutcomes counts;
        double share = 0.0; ///< Highest share of traffic of the new version in the block.
    };

    /// Each block lasts for \a length; blocks that ended more than \a window ago are
    /// dropped.
    OutcomeBlocks(Duration length, Duration window) : m_length(length), m_window(window)
    {
    }

    /// Adds the outcomes \a fresh, counted by \a now at the new version's current \a share.
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
    /// Sum of the blocks that haven't been dropped.
    [[nodiscard]] RouteOutcomes recentSum() const;
    /// The block number \a index, and up to \a reach blocks before and after it.
    [[nodiscard]] std::span<const Block> neighbours(std::size_t index, std::size_t reach) const;

private:
    Duration m_length;
    Duration m_window;
    RouteOutcomes m_sum;
    std::vector<Block> m_blocks;
};

} // namespace mimosahub
