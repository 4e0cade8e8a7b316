#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

/// Counts of finished calls per version and route.
namespace mimosahub
{

/// Part of the traffic in which a version may be faulty independently of the rest.
struct RouteKey {
    std::string caller; ///< Pipeline and stage, or the call of a service without a pipeline.
    ZoneId zone; ///< Zone of the endpoint.

    /// "CALLER in zone ZONE".
    [[nodiscard]] std::string str() const;
    friend bool operator==(const RouteKey &, const RouteKey &) = default;
    friend std::strong_ordering operator<=>(const RouteKey &a, const RouteKey &b)
    {
        return std::tie(a.caller, a.zone) <=> std::tie(b.caller, b.zone);
    }
};

/// Finished calls of one version on one route, summed over all daemons since
/// the rollout began. The sums never decrease unless a daemon's counts are lost;
/// the difference is then not used.
struct VersionOutcomes {
    std::int64_t finished = 0;
    std::int64_t failed = 0; ///< Calls among them that failed at the endpoint.
    std::int64_t slow = 0; ///< Answers among them that exceeded the route's slow threshold.

    VersionOutcomes &operator+=(const VersionOutcomes &other);
    friend bool operator==(const VersionOutcomes &, const VersionOutcomes &) = default;
};

/// Counts of both versions on one route. Both have the same slow threshold: the old
/// version's 0.9 quantile of latency on this route when the rollout began, or twice
/// the service's typical latency if that isn't known.
struct RouteOutcomes {
    VersionOutcomes from; ///< Counts of the old version.
    VersionOutcomes to; ///< Counts of the new version.

    RouteOutcomes &operator+=(const RouteOutcomes &other);
    [[nodiscard]] std::int64_t finished() const
    {
        return from.finished + to.finished;
    }
};

using RolloutCounts = std::map<RouteKey, RouteOutcomes>;

/// Counts added between \a before and \a now; all 0 if counts were lost.
[[nodiscard]] VersionOutcomes difference(const VersionOutcomes &now, const VersionOutcomes &before);
[[nodiscard]] RouteOutcomes difference(const RouteOutcomes &now, const RouteOutcomes &before);

/// Pointer to the count that a test examines: a version's failed or slow calls.
using HitCounter = std::int64_t VersionOutcomes::*;

} // namespace mimosahub
