// Runs two loops: one keeps the lease while orders are pending; the other reads
// the endpoint's last order, sends the first pending order, reads it back and
// records the result. Before a send, the endpoint is read at a time when no
// earlier send, by this or another holder, can still arrive; an order that is
// already in effect is never sent again.
//
// At an endpoint that ignores fencing numbers, no delivery of an old holder
// arrives after the first of a new one, because the old holder sends only within
// its term, counted from before it requested the term. The new holder counts the
// same term from when it applied the grant, which is later, and adds the maximum
// delivery time. A lease is released only when no delivery can be in flight, so
// a free lease needs no wait. At an endpoint that checks fencing numbers there
// is no wait: the old send either arrives first or is refused.

#include "control/order_executor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace mimosahub
{

OrderExecutor::OrderExecutor(const EndpointId &endpoint, InstanceId self, Incarnation incarnation,
                             const OrderExecutorOptions &options)
    : m_name(leaseName(endpoint)), m_self(std::move(self)), m_incarnation(incarnation), m_options(options)
{
}

LeaseName OrderExecutor::leaseName(const EndpointId &endpoint)
{
    return LeaseName(absl::StrCat("orders/", endpoint.str()));
}

void OrderExecutor::setView(const OrderView &view, TimePoint now)
{
    const auto old = std::exchange(m_view, view);
    if (view.pending != old.pending) {
        orderChanged(now);
    }
    if (view.lease != old.lease) {
        m_callCurrent = m_callCurrent && view.lease && old.lease && view.lease->fencing == old.lease->fencing;
        leaseChanged(now);
    }
}

void OrderExecutor::orderChanged(TimePoint now)
{
    m_pendingSince = now;
    m_orderEffect = OrderEffect::Unread;
    m_callCurrent = false;
    m_acknowledged = false;
    m_refusals = 0;
    m_failures = 0;
    m_retryAt = now;
}

void OrderExecutor::leaseChanged(TimePoint now)
{
    if (ownsLease()) {
        return;
    }
    m_termStart.reset();
    m_orderEffect = OrderEffect::Unread;
    m_otherLeaseUnreleased = m_view.lease.has_value();
    if (m_view.lease) {
        m_otherTermEnds = now + m_view.lease->duration + m_options.takeoverMargin;
    }
}

bool OrderExecutor::ownsLease() const
{
    return m_view.lease && m_view.lease->holder == m_self && m_view.lease->incarnation == m_incarnation;
}

bool OrderExecutor::leaseValid(TimePoint now) const
{
    return ownsLease() && m_termStart && now < *m_termStart + m_view.lease->duration;
}

/// Whether an order can be executed under the lease. A lease whose fencing number
/// the endpoint refuses is useless.
bool OrderExecutor::needsLease() const
{
    return m_view.pending && m_view.reachable && !(ownsLease() && m_staleFencing == m_view.lease->fencing);
}

/// The time from which no earlier send can still arrive and take effect.
TimePoint OrderExecutor::deliveriesEnd() const
{
    auto result = m_ownDeliveryEnds.value_or(TimePoint());
    if (m_otherLeaseUnreleased && !m_view.checksFencing) {
        result = std::max(result, m_otherTermEnds + m_options.maxDeliveryTime);
    }
    return result;
}

std::vector<OrderAction> OrderExecutor::tick(TimePoint now, Duration acquireDelay)
{
    std::vector<OrderAction> actions;
    if (!m_leaseAppendInFlight && now >= m_leaseRetryAt) {
        if (auto record = nextLeaseRecord(now, acquireDelay)) {
            actions.emplace_back(AppendLease{std::move(*record)});
            begin(actions.back(), now);
        }
    }
    if (!m_callInFlight && now >= m_retryAt && leaseValid(now)) {
        if (auto action = nextOrderAction(now)) {
            actions.push_back(std::move(*action));
            begin(actions.back(), now);
        }
    }
    return actions;
}

std::optional<Record> OrderExecutor::nextLeaseRecord(TimePoint now, Duration acquireDelay) const
{
    if (!ownsLease()) {
        return needsLease() ? acquireRecord(now, acquireDelay) : std::nullopt;
    }
    if (!needsLease()) {
        const bool allDelivered = !m_callInFlight && now >= deliveriesEnd();
        return allDelivered ? std::optional<Record>(LeaseRelease{m_name, m_view.lease->fencing}) : std::nullopt;
    }
    if (m_termStart && now < *m_termStart + m_options.renewAfter) {
        return std::nullopt;
    }
    return LeaseRenew{m_name, m_view.lease->fencing};
}

std::optional<Record> OrderExecutor::acquireRecord(TimePoint now, Duration acquireDelay) const
{
    const auto from = m_view.lease ? m_otherTermEnds : m_pendingSince;
    if (now < from + acquireDelay) {
        return std::nullopt;
    }
    LeaseAcquire acquire;
    acquire.name = m_name;
    if (m_view.lease) {
        acquire.previous = m_view.lease->fencing;
        acquire.lastRenewal = m_view.lease->lastRenewal;
    }
    acquire.duration = m_options.leaseTerm;
    return acquire;
}

std::optional<OrderAction> OrderExecutor::nextOrderAction(TimePoint now) const
{
    if (!m_view.pending) {
        return std::nullopt;
    }
    switch (m_orderEffect) {
    case OrderEffect::InEffect:
        return AppendOrderDone{{*m_view.pending, true, "in effect, as read back"}};
    case OrderEffect::Failed:
        return AppendOrderDone{{*m_view.pending, false, "refused by the endpoint"}};
    case OrderEffect::Unread:
        if (m_view.reachable && now >= deliveriesEnd()) {
            return ReadLastOrder();
        }
        return std::nullopt;
    case OrderEffect::NotInEffect:
        break;
    }
    const SendOrder send{*m_view.pending, m_view.lease->fencing};
    return maySend(send, now) ? std::optional<OrderAction>(send) : std::nullopt;
}

bool OrderExecutor::maySend(const SendOrder &send, TimePoint now) const
{
    return leaseValid(now) && !m_releasing && m_view.lease->fencing == send.fencing && m_staleFencing != send.fencing
        && m_view.pending == send.order && now >= deliveriesEnd();
}

void OrderExecutor::begin(const OrderAction &action, TimePoint now)
{
    if (const auto *lease = std::get_if<AppendLease>(&action)) {
        m_leaseAppendInFlight = true;
        m_leaseAppendStarted = now;
        m_releasing = std::holds_alternative<LeaseRelease>(lease->record);
        return;
    }
    m_callInFlight = true;
    m_callCurrent = true;
    if (std::holds_alternative<SendOrder>(action)) {
        m_orderEffect = OrderEffect::Unread;
    }
}

void OrderExecutor::onLeaseResolved(std::optional<Offset> accepted, TimePoint now)
{
    m_leaseAppendInFlight = false;
    if (accepted && !m_releasing) {
        m_termStart = m_leaseAppendStarted;
    } else if (!accepted) {
        m_leaseRetryAt = now + m_options.retry.first;
    }
    m_releasing = false;
}

void OrderExecutor::onReadEnded(bool read, std::optional<RecordPosition> last, TimePoint now)
{
    m_callInFlight = false;
    if (!read) {
        backOff(now);
        return;
    }
    if (!m_callCurrent) {
        return;
    }
    m_orderEffect = last && *last >= *m_view.pending ? OrderEffect::InEffect : OrderEffect::NotInEffect;
    if (m_acknowledged && m_orderEffect == OrderEffect::NotInEffect) {
        backOff(now);
    }
}

void OrderExecutor::onSendEnded(SendResult result, TimePoint now)
{
    m_callInFlight = false;
    if (result == SendResult::Unknown) {
        m_ownDeliveryEnds = now + m_options.maxDeliveryTime;
    }
    if (!m_callCurrent) {
        return;
    }
    switch (result) {
    case SendResult::Acknowledged:
        m_acknowledged = true;
        return;
    case SendResult::Refused:
        if (++m_refusals >= m_options.maxRefusals) {
            m_orderEffect = OrderEffect::Failed;
        }
        break;
    case SendResult::Stale:
        m_staleFencing = m_view.lease->fencing;
        break;
    case SendResult::Unknown:
    case SendResult::NotSent:
        break;
    }
    backOff(now);
}

void OrderExecutor::onDoneResolved(TimePoint now)
{
    m_callInFlight = false;
    backOff(now);
}

void OrderExecutor::backOff(TimePoint now)
{
    m_retryAt = now + backoffMean(m_options.retry, ++m_failures);
}

bool OrderExecutor::idle() const
{
    return !m_view.pending && !ownsLease() && !m_leaseAppendInFlight && !m_callInFlight;
}

} // namespace mimosahub
