#pragma once

#include "control/decision.h"

#include <cstddef>
#include <map>
#include <string>

namespace mimosahub
{

/// The operator that ordered an exclusion and the order's position in the log.
struct Exclusion {
    RecordPosition position;
    std::string operatorName;

    friend bool operator==(const Exclusion &, const Exclusion &) = default;
};

/// What operators have excluded from new work: availability zones that are
/// taken out and endpoints that drain. A repeated order is accepted and changes
/// nothing. An exclusion stays when its zone or service is removed from the
/// configuration, so that publishing the object again doesn't resume work there
/// unexpectedly.
class ExclusionTable
{
public:
    static constexpr std::size_t kMaxDrained = 16384;

    /// \a zoneKnown: whether the configuration contains the zone.
    Decision apply(const ZoneOrder &order, const RecordContext &context, bool zoneKnown);
    /// \a serviceKnown: whether the configuration contains the order's service.
    Decision apply(const DrainOrder &order, const RecordContext &context, bool serviceKnown);

    [[nodiscard]] const std::map<ZoneId, Exclusion> &zonesOut() const
    {
        return m_zonesOut;
    }
    [[nodiscard]] const std::map<EndpointId, Exclusion> &drainedEndpoints() const
    {
        return m_drainedEndpoints;
    }

    template<class Archive>
    friend void describe(Archive &archive, ExclusionTable &it)
    {
        archive.field("zones", it.m_zonesOut);
        archive.field("endpoints", it.m_drainedEndpoints);
    }
    friend bool operator==(const ExclusionTable &, const ExclusionTable &) = default;

private:
    std::map<ZoneId, Exclusion> m_zonesOut;
    std::map<EndpointId, Exclusion> m_drainedEndpoints;
};

template<class Archive>
void describe(Archive &archive, Exclusion &it)
{
    archive.field("position", it.position);
    archive.field("operator", it.operatorName);
}

} // namespace mimosahub
