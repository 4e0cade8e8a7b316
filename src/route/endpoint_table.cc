// The control thread builds a new table whenever an endpoint's condition, a slot
// grant or a zone changes; a traffic thread keeps the old table for the call that it
// is processing. All tables share the counters, so that a call is counted whichever
// table it was chosen from.

#include "route/endpoint_table.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace mimosahub
{

bool EndpointRow::acceptsCalls() const
{
    const bool leaves = state == EndpointState::Leaving || state == EndpointState::Gone || info.leaving;
    return !drained && !leaves && zoneFactor > 0.0;
}

int EndpointRow::callLimit() const
{
    if (!acceptsCalls()) {
        return 0;
    }
    if (state == EndpointState::Failing) {
        return probe ? std::clamp(allowed, 0, 1) : 0;
    }
    return std::max(0, std::min(limit, allowed));
}

std::optional<InFlightSlot> EndpointRow::tryAcquireSlot() const
{
    if (!inFlight->tryAcquire(callLimit())) {
        return std::nullopt;
    }
    if (!gate) {
        return InFlightSlot(inFlight);
    }
    if (!leasedOnly) {
        gate->enter();
    } else if (!gate->tryEnter()) {
        inFlight->release();
        return std::nullopt;
    }
    return InFlightSlot(inFlight, gate);
}

EndpointTable::EndpointTable(std::vector<EndpointRow> rows)
{
    std::sort(rows.begin(), rows.end(), [](const EndpointRow &a, const EndpointRow &b) {
        return std::tie(a.info.service, a.info.version, a.info.zone, a.info.id)
            < std::tie(b.info.service, b.info.version, b.info.zone, b.info.id);
    });
    for (auto &row : rows) {
        row.hash = hashBytes(row.info.id.str());
        auto &groups = m_services[row.info.service];
        if (groups.empty() || groups.back().version != row.info.version || groups.back().zone != row.info.zone) {
            groups.push_back({row.info.service, row.info.version, row.info.zone, row.zoneFactor, {}});
        }
        groups.back().rows.push_back(std::move(row));
    }
}

std::span<const EndpointGroup> EndpointTable::groups(const ServiceId &service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? std::span<const EndpointGroup>() : std::span<const EndpointGroup>(it->second);
}

int EndpointTable::capacity(const ServiceId &service) const
{
    double capacity = 0.0;
    for (const auto &group : groups(service)) {
        for (const auto &row : group.rows) {
            if (row.acceptsCalls() && row.state != EndpointState::Failing) {
                capacity += row.zoneFactor * row.limit;
            }
        }
    }
    return static_cast<int>(std::floor(capacity));
}

} // namespace mimosahub
