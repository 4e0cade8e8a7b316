#pragma once

#include "forward/gateway_configuration.h"

#include <map>
#include <optional>

namespace mimosahub
{

/// Decayed mean times from a send to the answer or its first event, by route.
class UsualTimes
{
public:
    /// The usual time; absent until one was recorded.
    [[nodiscard]] std::optional<Duration> of(const RouteId &route) const
    {
        const auto it = m_times.find(route);
        return it == m_times.end() ? std::nullopt : std::optional(it->second);
    }
    void record(const RouteId &route, Duration time)
    {
        constexpr int kMemory = 16; ///< A new time counts as one in so many.
        const auto [it, isNew] = m_times.emplace(route, time);
        if (!isNew) {
            it->second += (time - it->second) / kMemory;
        }
    }

private:
    std::map<RouteId, Duration> m_times;
};

} // namespace mimosahub
