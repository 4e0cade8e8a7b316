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

/// Maximum time from the lease check before a send until the order has either
/// reached the endpoint or never will. Endpoints that ignore fencing numbers are
/// safe only as long as this bound holds.
constexpr Duration kMaxDeliveryTime = std::chrono::seconds(2);

struct OrderExecutorOptions {
    std::chrono::milliseconds leaseTerm{2000};
    Duration renewAfter = std::chrono::milliseconds(600); ///< Time from the append of the last grant or renewal.
    Duration takeoverMargin = std::chrono::milliseconds(100); ///< Tolerated clock drift within a term.
    Duration maxDeliveryTime = kMaxDeliveryTime;
    /// Delays after failures; without jitter, since only the lease holder sends.
    BackoffOptions retry = {.first = std::chrono::milliseconds(100), .max = std::chrono::seconds(2)};
    int maxRefusals = 8; ///< Refusals of one order by the endpoint until the order fails.
};

/// The control state of one endpoint's orders.
struct OrderView {
    std::optional<Lease> lease; ///< The endpoint's lease.
    std::optional<RecordPosition> pending; ///< The first pending order.
    bool checksFencing = false; ///< The endpoint refuses stale fencing numbers.
    bool reachable = false; ///< The endpoint's address is known.
};

/// Append \a record, then call onLeaseResolved().
struct AppendLease {
    Record record;
};
/// Read the last order that took effect from the endpoint, then call onReadEnded().
struct ReadLastOrder {
};
/// Send the order if maySend() is still true immediately before, then call onSendEnded().
struct SendOrder {
    RecordPosition order;
    FencingNumber fencing;
};
/// Append \a record, then call onDoneResolved().
struct AppendOrderDone {
    EndpointOrderDone record;
};
using OrderAction = std::variant<AppendLease, ReadLastOrder, SendOrder, AppendOrderDone>;

/// The result of a send, as far as it is known.
enum class SendResult {
    NotSent, ///< Nothing was sent.
    Acknowledged, ///< The endpoint accepted the order.
    Refused, ///< The endpoint did not accept the order.
    Stale, ///< The endpoint has seen a higher fencing number.
    Unknown, ///< The order may still take effect within the maximum delivery time.
};

/// Executes the orders of one endpoint in sequence, under a lease in the log
/// whose fencing number is sent with each order. Does no I/O.
class OrderExecutor
{
public:
    OrderExecutor(const EndpointId &endpoint, InstanceId self, Incarnation incarnation,
                  const OrderExecutorOptions &options);

    /// The name of the lease on the orders of \a endpoint.
    [[nodiscard]] static LeaseName leaseName(const EndpointId &endpoint);

    /// Sets the control state as applied at \a now.
    void setView(const OrderView &view, TimePoint now);
    /// The actions to perform at \a now; the result of each is reported by the
    /// call named in the action's description. \a acquireDelay: how long to wait
    /// for other daemons to acquire a free lease first.
    [[nodiscard]] std::vector<OrderAction> tick(TimePoint now, Duration acquireDelay);
    /// Whether \a send may be sent at \a now. Call immediately before each send.
    [[nodiscard]] bool maySend(const SendOrder &send, TimePoint now) const;

    /// \a accepted: the offset of the record, if it was accepted. Must be called
    /// before setView() with a view that includes the record.
    void onLeaseResolved(std::optional<Offset> accepted, TimePoint now);
    /// \a read: whether the read succeeded. \a last: the last order in effect, absent if there is none.
    void onReadEnded(bool read, std::optional<RecordPosition> last, TimePoint now);
    void onSendEnded(SendResult result, TimePoint now);
    void onDoneResolved(TimePoint now);

    /// True if no order is pending, no lease is held and no action is in flight.
    [[nodiscard]] bool idle() const;

private:
    enum class OrderEffect {
        Unread, ///< Unknown; must be read from the endpoint.
        NotInEffect,
        InEffect,
        Failed, ///< Refused maxRefusals times.
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
    TimePoint m_otherTermEnds{}; ///< End, by this clock, of the last term held by another daemon.
    bool m_otherLeaseUnreleased = false; ///< The last lease held by another daemon was not released.

    bool m_leaseAppendInFlight = false; ///< A lease record is being appended.
    TimePoint m_leaseAppendStarted{}; ///< Taken before the append was sent.
    bool m_releasing = false;
    TimePoint m_leaseRetryAt{};
    std::optional<TimePoint> m_termStart; ///< Start of the append that granted the current term.

    bool m_callInFlight = false; ///< A read, a send or the append of a result is in flight.
    bool m_callCurrent = false; ///< Its order and fencing number are still current.
    std::optional<TimePoint> m_ownDeliveryEnds; ///< When an unanswered send has arrived or never will.
    OrderEffect m_orderEffect = OrderEffect::Unread;
    std::optional<FencingNumber> m_staleFencing;
    bool m_acknowledged = false; ///< The endpoint accepted the pending order.
    int m_refusals = 0;
    int m_failures = 0;
    TimePoint m_retryAt{};
};

} // namespace mimosahub
