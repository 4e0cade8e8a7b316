#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/configuration.h"
#include "route/chart.h"

#include <map>

/// Traffic of availability zones that operators take out of service and bring back.
namespace mimosahub
{

/// States of the state machine in charts/zone.json.
enum class ZoneState {
    In, ///< Gets its full share of traffic.
    Draining, ///< Taken out by an order: no new calls; calls in flight are finishing.
    Out, ///< Taken out, without calls in flight.
    Ramping, ///< Brought back by an order: its share grows.
};

/// Name of \a state in the chart: "in", "draining" and so on.
[[nodiscard]] std::string_view zoneStateName(ZoneState state);

/// The names that charts/zone.json may use.
[[nodiscard]] const ChartVocabulary &zoneVocabulary();

/// Fraction of its full share of traffic that each zone gets, from 0 to 1.
using ZoneFactors = std::map<ZoneId, double>;

/// Runs the state machine of charts/zone.json for each zone and computes the zone's
/// fraction of traffic. The ramp runs on this daemon's monotonic clock from the time
/// at which this daemon received the order, so that no clocks need to be synchronized.
class ZoneTraffic : private ChartGuards
{
public:
    /// \a chart outlives this object.
    explicit ZoneTraffic(const Chart &chart, double initialFactor = 0.05);

    /// Applies the newest order: \a out is true if operators have taken \a zone out.
    /// Idempotent. A new zone is in or out immediately, without a ramp.
    void applyOrder(const ZoneId &zone, bool out, TimePoint now);
    /// Updates the number of this daemon's calls in flight to \a zone.
    void inFlight(const ZoneId &zone, int calls, TimePoint now);
    /// Ends the ramps that have taken \a ramp.
    void tick(Duration ramp, TimePoint now);
    /// Removes a zone that is no longer configured.
    void removeZone(const ZoneId &zone);

    [[nodiscard]] ZoneState state(const ZoneId &zone) const;
    /// Fraction of its full share that \a zone gets, from 0 to 1: 0 as soon as it is
    /// taken out, growing linearly over \a ramp once it is back.
    [[nodiscard]] double factor(const ZoneId &zone, Duration ramp, TimePoint now) const;
    /// factor() of all known zones.
    [[nodiscard]] ZoneFactors factors(Duration ramp, TimePoint now) const;

private:
    struct Entry {
        explicit Entry(const Chart &chart) : chart(chart)
        {
        }
        ChartInstance chart;
        TimePoint since; ///< When the current state was entered.
        int inFlight = 0;
    };

    [[nodiscard]] bool holds(std::size_t guard) const override;
    void fire(Entry &entry, std::size_t event, TimePoint now);

    const Chart *m_chart;
    double m_initialFactor;
    std::map<ZoneId, Entry> m_zones;
    const Entry *m_current = nullptr; ///< The zone whose guards are being evaluated.
};

} // namespace mimosahub
