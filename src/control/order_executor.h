#pragma once

#include "base/backoff.h"
#include "control/lease_table.h"
#include "mimosahub/clock.h"
#include "mimosahub/record.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mimosahub
{

/// Longest time from the lease check before a send until the order has reached
/// the endpoint or never will. Endpoints that ignore fencing numbers are safe
/// only as long as this bound holds.
constexpr Duration kMaxDeliveryTime = std::chrono::seconds(2);

struct OrderExecutorOptions {
    std::chrono::milliseconds leaseTerm{2000};
    Duration renewAfter = std::chrono::milliseconds(600); ///< From the append of the last grant or renewal.
    Duration takeoverMargin = std::chrono::milliseconds(100); ///< By how much clocks may drift within a term.
    Duration maxDeliveryTime = kMaxDeliveryTime;
    /// Delays after failures; not spread, since only the holder of the lease sends.
    BackoffOptions retry = {.first = std::chrono::milliseconds(100), .max = std::chrono::seconds(2)};
    int maxRefusals = 8; ///< Refusals of one order by the endpoint until it ends as failed.
};

/// What the control state says of one endpoint's orders.
struct OrderView {
    std::optional<Lease> lease; ///< The endpoint's lease.
    std::optional<RecordPosition> pending; ///< The first order that is not done.
    bool checksFencing = false; ///< The endpoint refuses old fencing numbers.
    bool reachable = false; ///< The endpoint's address is known.
};

/// Append \a record, then call leaseSettled().
struct AppendLease {
    Record record;
};
/// Read back the last order that took effect, then call readEnded().
struct ReadLastOrder {
};
/// Send the order if maySend() still holds right before, then call sendEnded().
struct SendOrder {
    RecordPosition order;
    FencingNumber fencing;
};
/// Append \a record, then call doneSettled().
struct AppendOrderDone {
    EndpointOrderDone record;
};
using OrderAction = std::variant<AppendLease, ReadLastOrder, SendOrder, AppendOrderDone>;

/// What is known of a send.
enum class SendResult {
    NotSent, ///< Nothing left this daemon.
    Acknowledged, ///< The endpoint says that it took the order.
    Refused, ///< The endpoint says that it did not.
    Stale, ///< The endpoint has seen a higher fencing number.
    Unknown, ///< It may take effect within the longest delivery.
};

/// Carries out the orders of one endpoint, in their order, under a lease in the
/// log whose fencing number goes with each send. Knows no sockets and no log.
class OrderExecutor
{
public:
    OrderExecutor(const EndpointId &endpoint, InstanceId self, Incarnation incarnation,
                  const OrderExecutorOptions &options);

    /// The name of the lease on the orders of \a endpoint.
    [[nodiscard]] static LeaseName leaseName(const EndpointId &endpoint);

    /// Takes the state as folded at \a now.
    void setView(const OrderView &view, TimePoint now);
    /// What to do at \a now; each action is answered by the call named with it.
    /// \a headStart: how long others may be first to take a free lease.
    [[nodiscard]] std::vector<OrderAction> tick(TimePoint now, Duration acquireDelay);
    /// Whether \a send may leave at \a now. Ask right before each send.
    [[nodiscard]] bool maySend(const SendOrder &send, TimePoint now) const;

    /// \a accepted: the offset of the record, if the fold accepted it. Comes
    /// before the view that shows it.
    void onLeaseResolved(std::optional<Offset> accepted, TimePoint now);
    /// \a last: the last order in effect, absent if none; an error if unread.
    void onReadEnded(bool read, std::optional<RecordPosition> last, TimePoint now);
    void onSendEnded(SendResult result, TimePoint now);
    void onDoneResolved(TimePoint now);

    /// True once nothing is pending, held or under way.
    [[nodiscard]] bool idle() const;

private:
    enum class OrderEffect {
        Unread, ///< Whether the pending order is in effect must be read.
        NotInEffect,
        InEffect,
        Failed, ///< Refused too often.
    };

    [[nodiscard]] bool ownsLease() const;
    [[nodiscard]] bool leaseValid(TimePoint now) const;
    [[nodiscard]] bool needsLease() const;
    void orderChanged(TimePoint now);
    void leaseChanged(TimePoint now);
    [[nodiscard]] std::optional<Record> nextLeaseRecord(TimePoint now, Duration acquireDelay) const;
    [[nodiscard]] std::optional<Record> acquireRecord(TimePoint now, Duration acquireDelay) const;
    [[nodiscard]] std::optional<OrderAction> nextOrderAction(TimePoint now) const;
    [[nodiscard]] TimePoint deliveriesEnd() const;
    void begin(const OrderAction &action, TimePoint now);
    void backOff(TimePoint now);

    LeaseName m_name;
    InstanceId m_self;
    Incarnation m_incarnation;
    OrderExecutorOptions m_options;

    OrderView m_view;
    TimePoint m_pendingSince{};
    TimePoint m_otherTermEnds{}; ///< By this clock, of the last lease that another held.
    bool m_otherLeaseUnreleased = false; ///< Another's lease was not handed back.

    bool m_leaseAppendInFlight = false; ///< An append about the lease is under way.
    TimePoint m_leaseAppendStarted{}; ///< From before it was sent.
    bool m_releasing = false;
    TimePoint m_leaseRetryAt{};
    std::optional<TimePoint> m_termStart; ///< The append that earned the present term.

    bool m_callInFlight = false; ///< A read, a send or the append of a result is under way.
    bool m_callCurrent = false; ///< Its order and fencing number are still the present ones.
    std::optional<TimePoint> m_ownDeliveryEnds; ///< When an unanswered send has landed or never will.
    OrderEffect m_orderEffect = OrderEffect::Unread;
    std::optional<FencingNumber> m_staleFencing;
    bool m_acknowledged = false; ///< The endpoint said that it took the pending order.
    int m_refusals = 0;
    int m_failures = 0;
    TimePoint m_retryAt{};
};

} // namespace mimosahub
