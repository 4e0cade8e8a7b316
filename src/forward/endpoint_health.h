#pragma once

#include "mimosahub/ids.h"

#include <string_view>
#include <utility>
#include <vector>

/// What a daemon has come to believe of an endpoint, for the log.
namespace mimosahub
{

enum class EndpointHealth {
    Healthy,
    Paused, ///< It failed and gets nothing for a while.
    Slow, ///< It takes much longer than usual and is used last.
};

/// "sound", "paused" or "slow".
[[nodiscard]] constexpr std::string_view endpointHealthName(EndpointHealth health)
{
    switch (health) {
    case EndpointHealth::Healthy:
        return "sound";
    case EndpointHealth::Paused:
        return "paused";
    case EndpointHealth::Slow:
        return "slow";
    }
    return "";
}

/// A health that changed, and what it rests on.
struct EndpointHealthChange {
    EndpointId endpoint;
    EndpointHealth health = EndpointHealth::Healthy;
    int failures = 0; ///< In a row.
    double latencyRatio = 1.0; ///< Decayed time of its answers over the usual time.
};

/// Keeps news until they are logged.
class EndpointHealthLog
{
public:
    /// Notes the news if \a believed, which it sets, was something else.
    void record(EndpointHealth &current, EndpointHealthChange change)
    {
        if (std::exchange(current, change.health) != change.health) {
            m_changes.push_back(std::move(change));
        }
    }
    [[nodiscard]] std::vector<EndpointHealthChange> take()
    {
        return std::exchange(m_changes, {});
    }

private:
    std::vector<EndpointHealthChange> m_changes;
};

} // namespace mimosahub
