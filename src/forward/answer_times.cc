// The limit is a multiple of a high quantile of the newest answers, so that few answers
// of a version that is no slower exceed it, whatever the shape of the distribution, and
// most of those of a version that is several times slower do. The time between events
// depends neither on the prompt nor on the length of the answer.

#include "forward/answer_times.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr std::size_t kLeastAnswers = 8; ///< Fewer give no limit.
constexpr double kQuantile = 0.8;
constexpr int kFactor = 2; ///< Above so many times the quantile an answer is slow.

} // namespace

void SlowLimits::Window::add(Duration value)
{
    m_values[m_count % kSize] = value;
    ++m_count;
}

std::optional<Duration> SlowLimits::Window::limit() const
{
    if (m_count < kLeastAnswers) {
        return std::nullopt;
    }
    auto values = m_values;
    const auto n = std::min(m_count, kSize);
    const auto nth = static_cast<std::size_t>(kQuantile * static_cast<double>(n));
    auto *const at = values.begin() + nth;
    std::nth_element(values.begin(), at, values.begin() + n);
    return *at * kFactor;
}

void SlowLimits::record(const RouteId &route, const AnswerTimes &times)
{
    auto &known = m_routes[route];
    known.first.add(times.first);
    if (times.gap) {
        known.gap.add(*times.gap);
    }
}

std::optional<Duration> SlowLimits::firstLimit(const RouteId &route) const
{
    const auto it = m_routes.find(route);
    return it == m_routes.end() ? std::nullopt : it->second.first.limit();
}

std::optional<bool> SlowLimits::isSlow(const RouteId &route, const AnswerTimes &times) const
{
    const auto it = m_routes.find(route);
    const auto first = firstLimit(route);
    if (!first) {
        return std::nullopt;
    }
    if (times.first > *first) {
        return true;
    }
    const auto gap = it->second.gap.limit();
    return times.gap && gap && *times.gap > *gap;
}

} // namespace mimosahub
