#pragma once

#include "forward/gateway_configuration.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace mimosahub
{

/// A service in one zone, as it is at the moment.
struct ScaleState {
    ServiceId service;
    ZoneId zone;
    ScaleRule rule;
    int slots = 1; ///< Requests that one endpoint runs at once; at least 1.
    int endpoints = 0; ///< That are listed and not leaving.
    std::uint64_t inFlight = 0; ///< Requests at these endpoints, over all daemons.
};

/// A number of endpoints that should be ordered.
struct ScaleOrder {
    ServiceId service;
    ZoneId zone;
    int desired = 0;

    friend bool operator==(const ScaleOrder &, const ScaleOrder &) = default;
};

struct ScalePlannerOptions {
    double targetUse = 0.7; ///< Of the slots, so that bursts find room.
    double fullUse = 0.95; ///< Above it, requests that were refused may hide further load.
    double fullGrowth = 1.3; ///< Factor on the load if the endpoints are full.
    Duration knownAfter = std::chrono::seconds(3); ///< Of observations, before anything is ordered.
    Duration hold = std::chrono::seconds(30); ///< The highest forecast within this time counts.
    Duration trend = std::chrono::seconds(4); ///< Over which a rise is measured.
    double furthestAhead = 0.3; ///< Of the load; a rise is extrapolated by no more.
    double leastFall = 0.05; ///< Smaller falls are not ordered.
    Duration repeatLost =
        std::chrono::seconds(5); ///< An order may be overwritten by an older one that is carried out late.
    Duration retry = std::chrono::milliseconds(500);
};

/// Plans the number of endpoints of each service and zone. A rise is followed at once and
/// extrapolated over the time that an endpoint needs to start, a fall only after a hold time.
class ScalePlanner
{
public:
    explicit ScalePlanner(const ScalePlannerOptions &options = {}) : m_options(options)
    {
    }

    void observe(const ScaleState &state, TimePoint now);
    /// Orders to be sent now.
    [[nodiscard]] std::vector<ScaleOrder> due(TimePoint now) const;
    /// \a order was sent. \a confirmed: the platform has taken it. \a lost: it may be carried out later.
    void sent(const ScaleOrder &order, bool confirmed, bool lost, TimePoint now);
    /// Forgets all loads and orders: another daemon orders from now on.
    void clear()
    {
        m_places.clear();
    }

private:
    struct Sample {
        TimePoint at;
        double load = 0.0;
        double forecast = 0.0; ///< For the time at which an endpoint that is ordered now would serve.
    };
    struct Place {
        ScaleState state;
        std::deque<Sample> samples; ///< Of the hold time, the oldest first.
        TimePoint since;
        std::optional<int> ordered; ///< Last number that was confirmed.
        std::optional<TimePoint> repeatAt; ///< The last number is sent again then.
        TimePoint nextAt;
    };

    [[nodiscard]] int wanted(const Place &place) const;
    [[nodiscard]] double rise(const Place &place) const;

    ScalePlannerOptions m_options;
    std::map<std::pair<ServiceId, ZoneId>, Place> m_places;
};

} // namespace mimosahub
