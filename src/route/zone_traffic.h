#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/configuration.h"
#include "route/chart.h"

#include <map>

/// Availability zones taken out and brought back by order.
namespace mimosahub
{

/// States of charts/zone.json.
enum class ZoneState {
    In, ///< Gets its full share.
    Draining, ///< Out by order: no new work, calls in flight end.
    Out, ///< No work at all.
    Ramping, ///< Back by order: its share grows.
};

/// "in", "draining" and so on, as in the chart.
[[nodiscard]] std::string_view zoneStateName(ZoneState state);

/// The names that charts/zone.json may use.
[[nodiscard]] const ChartVocabulary &zoneVocabulary();

/// Part of its full share of traffic that each zone gets, from 0 to 1.
using ZoneFactors = std::map<ZoneId, double>;

/// Runs charts/zone.json for each zone and gives each its part of traffic. The
/// ramp runs on this daemon's monotonic clock from when it saw the order, so
/// that no two clocks need to agree.
class ZoneTraffic : private ChartGuards
{
public:
    /// \a chart outlives this object.
    explicit ZoneTraffic(const Chart &chart, double initialFactor = 0.05);

    /// \a out tells whether operators have taken \a zone out. Telling it again
    /// changes nothing. A zone seen for the first time is in or out at once,
    /// without a ramp.
    void ordered(const ZoneId &zone, bool out, TimePoint now);
    /// This daemon has \a calls in flight to \a zone.
    void inFlight(const ZoneId &zone, int calls, TimePoint now);
    /// Ends ramps that have lasted for \a ramp.
    void tick(Duration ramp, TimePoint now);
    /// The zone is no longer configured.
    void removeZone(const ZoneId &zone);

    [[nodiscard]] ZoneState state(const ZoneId &zone) const;
    /// Part of its full share that \a zone gets, from 0 to 1: 0 as soon as it is
    /// ordered out, growing evenly over \a ramp once it is back.
    [[nodiscard]] double factor(const ZoneId &zone, Duration ramp, TimePoint now) const;
    /// factor() of all known zones.
    [[nodiscard]] ZoneFactors factors(Duration ramp, TimePoint now) const;

private:
    struct Entry {
        explicit Entry(const Chart &chart) : chart(chart)
        {
        }
        ChartInstance chart;
        TimePoint since;
        int inFlight = 0;
    };

    [[nodiscard]] bool holds(std::size_t guard) const override;
    void fire(Entry &entry, std::size_t event, TimePoint now);

    const Chart *m_chart;
    double m_initialFactor;
    std::map<ZoneId, Entry> m_zones;
    const Entry *m_current = nullptr; ///< The zone whose guards are evaluated.
};

} // namespace mimosahub
