#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/endpoint.h"

#include <cstdint>
#include <tuple>

namespace mimosahub
{

/// An endpoint's latest entry in the platform's store.
struct ListedEndpoint {
    EndpointInfo info;
    int slots = 1; ///< Requests that it runs at once.
    Duration coldLeft{}; ///< Remaining time for which it is cold, as of the entry.
    /// Start time in Unix milliseconds, which distinguishes restarts under one id; 0 if unknown.
    std::int64_t startedAtMs = 0;
    std::uint64_t sequence = 0; ///< Increases with each entry since one start.

    friend bool operator==(const ListedEndpoint &, const ListedEndpoint &) = default;
};

/// One start of an endpoint's process.
struct EndpointStart {
    EndpointId endpoint;
    std::int64_t startedAtMs = 0; ///< As in the endpoint's entry.

    friend bool operator==(const EndpointStart &, const EndpointStart &) = default;
    friend bool operator<(const EndpointStart &a, const EndpointStart &b)
    {
        return std::tie(a.endpoint, a.startedAtMs) < std::tie(b.endpoint, b.startedAtMs);
    }
};

[[nodiscard]] inline EndpointStart startOf(const ListedEndpoint &endpoint)
{
    return {endpoint.info.id, endpoint.startedAtMs};
}

} // namespace mimosahub
