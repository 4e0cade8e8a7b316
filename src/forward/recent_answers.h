#pragma once

#include "forward/piece.h"

#include <cstddef>
#include <deque>
#include <set>
#include <vector>

/// Recognition of answers that endpoints of stages send more than once.
namespace mimosahub
{

/// The answers of endpoints that came last. An answer names no call, but each result in it
/// has a handle that its maker gives to no other one. Not thread-safe.
class RecentAnswers
{
public:
    /// \a capacity: answers that are known, at least 1.
    explicit RecentAnswers(std::size_t capacity) : m_capacity(capacity)
    {
    }

    /// Whether an answer can be recognized should it come again: it has a result.
    [[nodiscard]] static bool isRecognizable(const std::vector<PieceResult> &results);
    /// Whether the answer with \a results has come before.
    [[nodiscard]] bool contains(const std::vector<PieceResult> &results) const;
    void record(const std::vector<PieceResult> &results);

private:
    std::size_t m_capacity;
    std::set<ResultHandle> m_handles; ///< Of each answer the first one.
    std::deque<ResultHandle> m_order; ///< The same, oldest first.
};

} // namespace mimosahub
