// An order stays pending until its result is recorded, however many daemons hold
// the lease in the meantime; the table itself never marks an order as failed.

#include "control/endpoint_order_table.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace mimosahub
{

Decision EndpointOrderTable::apply(const EndpointOrder &order, const RecordContext &context, bool serviceKnown)
{
    if (!serviceKnown) {
        return reject(Rejection::UnknownService, absl::StrCat("there is no service ", order.service.str(), "."));
    }
    if (order.endpoint.empty()) {
        return reject(Rejection::UnknownEndpoint, "the order names no endpoint.");
    }
    if (m_pending >= kMaxPending) {
        return reject(Rejection::TooMany, absl::StrCat(kMaxPending, " orders are pending."));
    }
    m_orders.emplace(context.position, EndpointOrderState{order, std::nullopt});
    ++m_pending;
    return accept();
}

Decision EndpointOrderTable::apply(const EndpointOrderDone &done, const RecordContext &context)
{
    const auto it = m_orders.find(done.order);
    if (it == m_orders.end() || it->second.done) {
        return reject(Rejection::UnknownOrder, absl::StrCat("no order at ", done.order.str(), " is pending."));
    }
    it->second.done = EndpointOrderResult{context.position, done.succeeded, done.result};
    --m_pending;
    if (m_orders.size() - m_pending > kMaxDone) {
        evictOldestDone();
    }
    return accept();
}

void EndpointOrderTable::countPending()
{
    m_pending = static_cast<std::size_t>(
        std::count_if(m_orders.begin(), m_orders.end(), [](const auto &it) { return !it.second.done; }));
}

void EndpointOrderTable::evictOldestDone()
{
    auto oldest = m_orders.end();
    for (auto it = m_orders.begin(); it != m_orders.end(); ++it) {
        const auto &done = it->second.done;
        if (done && (oldest == m_orders.end() || done->position < oldest->second.done->position)) {
            oldest = it;
        }
    }
    m_orders.erase(oldest);
}

} // namespace mimosahub
