#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

/// Counts of finished calls by version and route.
namespace mimosahub
{

/// A part of the traffic in which a version may be faulty by itself.
struct RouteKey {
    std::string caller; ///< Pipeline and stage, or call of a plain service.
    ZoneId zone; ///< Of the endpoint.

    /// "CALLER in zone ZONE".
    [[nodiscard]] std::string str() const;
    friend bool operator==(const RouteKey &, const RouteKey &) = default;
    friend std::strong_ordering operator<=>(const RouteKey &a, const RouteKey &b)
    {
        return std::tie(a.caller, a.zone) <=> std::tie(b.caller, b.zone);
    }
};

/// Finished calls of one version on one route, summed over all daemons since
/// the rollout began. Sums never decrease; a decrease means that a daemon's
/// counts were lost, and the difference is not used.
struct VersionOutcomes {
    std::int64_t finished = 0;
    std::int64_t failed = 0; ///< Endpoint failures among them.
    std::int64_t slow = 0; ///< Answers slower than the route's slow threshold among them.

    VersionOutcomes &operator+=(const VersionOutcomes &other);
    friend bool operator==(const VersionOutcomes &, const VersionOutcomes &) = default;
};

/// Counts of both versions on one route. "Slow" means the same latency for
/// both: the old version's 0.9 quantile on this route when the rollout began,
/// or twice the service's typical time if that isn't known.
struct RouteOutcomes {
    VersionOutcomes from; ///< The old version's.
    VersionOutcomes to; ///< The new version's.

    RouteOutcomes &operator+=(const RouteOutcomes &other);
    [[nodiscard]] std::int64_t finished() const
    {
        return from.finished + to.finished;
    }
};

using RolloutCounts = std::map<RouteKey, RouteOutcomes>;

/// What was counted between \a before and \a now; nothing if counts were lost.
[[nodiscard]] VersionOutcomes difference(const VersionOutcomes &now, const VersionOutcomes &before);
[[nodiscard]] RouteOutcomes difference(const RouteOutcomes &now, const RouteOutcomes &before);

/// The one of two counts of a version that a test is about.
using HitCounter = std::int64_t VersionOutcomes::*;

} // namespace mimosahub
