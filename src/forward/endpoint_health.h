#pragma once

#include "mimosahub/ids.h"

#include <string_view>
#include <utility>
#include <vector>

/// Health of endpoints as a daemon observes it from its own calls, for the log.
namespace mimosahub
{

enum class EndpointHealth {
    Healthy,
    Paused, ///< Its last calls failed; it gets none until the pause is over.
    Slow, ///< It takes much longer than typical and is used only as a last choice.
};

/// The name of \a health in the log: "paused", "slow" or, for Healthy, "sound", the
/// word that existing logs use.
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

/// A change of an endpoint's health and the measurements behind it.
struct EndpointHealthChange {
    EndpointId endpoint;
    EndpointHealth health = EndpointHealth::Healthy;
    int failures = 0; ///< Consecutive failed calls.
    /// Moving average of the time of a batch call over its expected time or, for single
    /// requests, of the time to the first byte over the typical time on the same route.
    double latencyRatio = 1.0;
};

/// Collects health changes until they are logged.
class EndpointHealthLog
{
public:
    /// Sets \a current and records \a change if the health differs from before.
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
