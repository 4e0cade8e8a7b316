// Endpoints are not part of the log, so the state machine can't detect an
// unknown one: the daemon that receives an order looks the endpoint up in its
// instance list and records the service, which the state machine can check.

#include "control/exclusion_table.h"

#include <absl/strings/str_cat.h>

namespace mimosahub
{

Decision ExclusionTable::apply(const ZoneOrder &order, const RecordContext &context, bool zoneKnown)
{
    if (!zoneKnown && !m_zonesOut.contains(order.zone)) {
        return reject(Rejection::UnknownZone, absl::StrCat("there is no availability zone ", order.zone.str(), "."));
    }
    if (order.out) {
        m_zonesOut.try_emplace(order.zone, Exclusion{context.position, order.operatorName});
    } else {
        m_zonesOut.erase(order.zone);
    }
    return accept();
}

Decision ExclusionTable::apply(const DrainOrder &order, const RecordContext &context, bool serviceKnown)
{
    if (!order.on) {
        if (m_drainedEndpoints.erase(order.endpoint) == 0) {
            return reject(Rejection::UnknownEndpoint,
                          absl::StrCat("endpoint ", order.endpoint.str(), " is not being drained."));
        }
        return accept();
    }
    if (!serviceKnown) {
        return reject(Rejection::UnknownService, absl::StrCat("there is no service ", order.service.str(), "."));
    }
    if (order.endpoint.empty()) {
        return reject(Rejection::UnknownEndpoint, "the order names no endpoint.");
    }
    if (m_drainedEndpoints.size() >= kMaxDrained) {
        return reject(Rejection::TooMany, absl::StrCat(kMaxDrained, " endpoints are being drained."));
    }
    m_drainedEndpoints.try_emplace(order.endpoint, Exclusion{context.position, order.operatorName});
    return accept();
}

} // namespace mimosahub
