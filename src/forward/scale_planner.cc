#include "forward/scale_planner.h"

#include <algorithm>
#include <cmath>

namespace mimosahub
{

namespace
{

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void ScalePlanner::observe(const ScaleState &state, TimePoint now)
{
    const auto [it, isNew] = m_places.try_emplace({state.service, state.zone});
    auto &place = it->second;
    if (isNew) {
        place.since = now;
    }
    place.state = state;
    const auto load = static_cast<double>(state.inFlight);
    place.samples.push_back({now, load, load});
    const bool full = load >= m_options.fullUse * state.endpoints * state.slots;
    const double grown = full ? load * m_options.fullGrowth : load;
    const double growth = rise(place) * secondsOf(state.rule.bootTime);
    place.samples.back().forecast = std::max(grown, load + std::min(growth, load * m_options.furthestAhead));
    while (now - place.samples.front().at > m_options.hold) {
        place.samples.pop_front();
    }
}

/// Growth of the load per second, by the means of the two halves of the trend's time.
double ScalePlanner::rise(const Place &place) const
{
    const auto now = place.samples.back().at;
    double sums[2] = {0.0, 0.0};
    int counts[2] = {0, 0};
    for (const auto &sample : place.samples) {
        const auto age = now - sample.at;
        if (age < m_options.trend) {
            const int half = age < m_options.trend / 2 ? 1 : 0;
            sums[half] += sample.load;
            ++counts[half];
        }
    }
    if (counts[0] == 0 || counts[1] == 0) {
        return 0.0;
    }
    const double growth = sums[1] / counts[1] - sums[0] / counts[0];
    return std::max(0.0, growth / secondsOf(m_options.trend / 2));
}

int ScalePlanner::wanted(const Place &place) const
{
    const auto &state = place.state;
    double highest = 0.0;
    for (const auto &sample : place.samples) {
        highest = std::max(highest, sample.forecast);
    }
    const auto needed = std::ceil(highest / (state.slots * m_options.targetUse));
    const auto used = std::ceil(static_cast<double>(state.inFlight) / state.slots);
    const auto number = std::max(needed, used);
    return static_cast<int>(
        std::clamp(number, static_cast<double>(state.rule.min), static_cast<double>(state.rule.max)));
}

std::vector<ScaleOrder> ScalePlanner::due(TimePoint now) const
{
    std::vector<ScaleOrder> orders;
    for (const auto &[key, place] : m_places) {
        if (now - place.since < m_options.knownAfter || now < place.nextAt) {
            continue;
        }
        const int number = wanted(place);
        const int before = place.ordered.value_or(place.state.endpoints);
        const bool fallen =
            number < before && now - place.since >= m_options.hold && before - number >= m_options.leastFall * before;
        if (number > before || fallen) {
            orders.push_back({key.first, key.second, number});
        } else if (place.repeatAt && now >= *place.repeatAt) {
            orders.push_back({key.first, key.second, before});
        }
    }
    return orders;
}

void ScalePlanner::sent(const ScaleOrder &order, bool confirmed, bool lost, TimePoint now)
{
    const auto it = m_places.find({order.service, order.zone});
    if (it == m_places.end()) {
        return;
    }
    auto &place = it->second;
    place.nextAt = now + m_options.retry;
    if (confirmed) {
        if (place.repeatAt && now >= *place.repeatAt) {
            place.repeatAt.reset();
        }
        place.ordered = order.desired;
    }
    if (lost) {
        place.ordered = order.desired; // It may have been taken; the repetition makes sure of it.
        place.repeatAt = now + m_options.repeatLost;
    }
}

} // namespace mimosahub
