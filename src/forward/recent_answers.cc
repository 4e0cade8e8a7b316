#include "forward/recent_answers.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

/// The handle of the first piece of \a results that is done, or null.
const ResultHandle *firstHandle(const std::vector<PieceResult> &results)
{
    const auto it = std::find_if(results.begin(), results.end(),
                                 [](const PieceResult &result) { return result.outcome == PieceOutcome::Done; });
    return it == results.end() ? nullptr : &it->handle;
}

} // namespace

bool RecentAnswers::isRecognizable(const std::vector<PieceResult> &results)
{
    return firstHandle(results) != nullptr;
}

bool RecentAnswers::contains(const std::vector<PieceResult> &results) const
{
    const auto *handle = firstHandle(results);
    return handle != nullptr && m_handles.contains(*handle);
}

void RecentAnswers::record(const std::vector<PieceResult> &results)
{
    const auto *handle = firstHandle(results);
    if (handle == nullptr || !m_handles.insert(*handle).second) {
        return;
    }
    m_order.push_back(*handle);
    if (m_order.size() > m_capacity) {
        m_handles.erase(m_order.front());
        m_order.pop_front();
    }
}

} // namespace mimosahub
