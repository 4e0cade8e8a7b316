// A zone's fraction of traffic drops to 0 with the order that takes it out; the calls
// in flight only determine when the zone is empty. When the zone is brought back, the
// fraction grows linearly, since its endpoints may be cold and their caches stale. The
// limits of the single endpoints apply in addition.

#include "route/zone_traffic.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

enum class Event : std::size_t {
    OrderedOut,
    OrderedIn,
    CallsChanged, ///< The number of this daemon's calls in flight to the zone was updated.
    RampOver,
};

enum class Guard : std::size_t {
    NoCalls, ///< This daemon has no calls in flight to the zone.
};

} // namespace

const ChartVocabulary &zoneVocabulary()
{
    // Names of states, events and guards in the order of ZoneState, Event and Guard.
    static const ChartVocabulary vocabulary = {
        {"in", "draining", "out", "ramping"},
        {"ordered-out", "ordered-in", "calls-changed", "ramp-over"},
        {"no-calls"},
        {}, // The chart has no actions.
    };
    return vocabulary;
}

std::string_view zoneStateName(ZoneState state)
{
    return zoneVocabulary().states[static_cast<std::size_t>(state)];
}

ZoneTraffic::ZoneTraffic(const Chart &chart, double initialFactor) : m_chart(&chart), m_initialFactor(initialFactor)
{
}

void ZoneTraffic::applyOrder(const ZoneId &zone, bool out, TimePoint now)
{
    const auto [it, isNew] = m_zones.try_emplace(zone, *m_chart);
    auto &entry = it->second;
    if (isNew) {
        entry.since = now;
    }
    fire(entry, static_cast<std::size_t>(out ? Event::OrderedOut : Event::OrderedIn), now);
}

void ZoneTraffic::inFlight(const ZoneId &zone, int calls, TimePoint now)
{
    const auto it = m_zones.find(zone);
    if (it != m_zones.end()) {
        it->second.inFlight = calls;
        fire(it->second, static_cast<std::size_t>(Event::CallsChanged), now);
    }
}

void ZoneTraffic::removeZone(const ZoneId &zone)
{
    m_zones.erase(zone);
}

void ZoneTraffic::tick(Duration ramp, TimePoint now)
{
    for (auto &[zone, entry] : m_zones) {
        if (now - entry.since >= ramp) {
            fire(entry, static_cast<std::size_t>(Event::RampOver), now);
        }
    }
}

ZoneState ZoneTraffic::state(const ZoneId &zone) const
{
    const auto it = m_zones.find(zone);
    return it == m_zones.end() ? ZoneState::In : static_cast<ZoneState>(it->second.chart.state());
}

double ZoneTraffic::factor(const ZoneId &zone, Duration ramp, TimePoint now) const
{
    switch (state(zone)) {
    case ZoneState::In:
        return 1.0;
    case ZoneState::Draining:
    case ZoneState::Out:
        return 0.0;
    case ZoneState::Ramping:
        break;
    }
    if (ramp <= Duration::zero()) {
        return 1.0;
    }
    const auto elapsed = now - m_zones.at(zone).since;
    const double passed = static_cast<double>(elapsed.count()) / static_cast<double>(ramp.count());
    return std::clamp(passed, m_initialFactor, 1.0);
}

ZoneFactors ZoneTraffic::factors(Duration ramp, TimePoint now) const
{
    ZoneFactors result;
    for (const auto &[zone, entry] : m_zones) {
        result[zone] = factor(zone, ramp, now);
    }
    return result;
}

bool ZoneTraffic::holds(std::size_t guard) const
{
    return static_cast<Guard>(guard) == Guard::NoCalls && m_current->inFlight == 0;
}

void ZoneTraffic::fire(Entry &entry, std::size_t event, TimePoint now)
{
    m_current = &entry;
    if (entry.chart.fire(event, *this) != nullptr) {
        entry.since = now;
    }
    m_current = nullptr;
}

} // namespace mimosahub
