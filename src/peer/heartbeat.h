#pragma once

#include "mimosahub/ids.h"
#include "peer/load_digest.h"
#include "peer/slot_lease.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mimosahub
{

/// Direction of a message in an exchange.
enum class HeartbeatKind {
    Request,
    Reply,
};

/// One message of an exchange between two daemons; a request and its reply have the
/// same fields. Every message echoes the last message that its sender got from the
/// receiver. Its contents were true at some moment after the receiver sent that
/// message, which bounds their age on the receiver's own clock.
struct Heartbeat {
    InstanceId sender;
    Incarnation incarnation; ///< The sender's incarnation.
    Sequence sequence; ///< Greater than in all earlier messages of the sender's process; starts at 1.
    Sequence echo; ///< Last sequence number received from the receiver's process; 0 if none.
    Incarnation echoIncarnation; ///< Incarnation of the receiver that sent the echoed message.
    Offset epoch; ///< Epoch of the sender's membership view.
    Offset applied; ///< Highest offset that the sender has applied.
    bool leaving = false; ///< The sender is shutting down as planned; from now on it uses and grants no slots.

    /// Age of the sender's evidence of each member, in the order of the view of
    /// \a epoch: 4 bits each, in units of kAgeUnit, or kAgeUnknown. Empty in the
    /// requests of a large group.
    std::vector<std::uint8_t> ages;
    Offset agesAppliedLeast; ///< Lowest offset applied by the members whose age is known.
    Offset agesAppliedMost; ///< Highest offset that a member whose age is known may have applied.

    std::optional<SlotRequest> slotRequest; ///< Request to the receiver as an owner of resources.
    std::optional<SlotReply> slotReply; ///< Reply to the receiver's last slot request.
    LoadDigest load; ///< The sender's changed counters.

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// Unit of the ages in a heartbeat.
constexpr Duration kAgeUnit = std::chrono::milliseconds(500);
/// Age value for "no evidence, or evidence too old for 4 bits".
constexpr std::uint8_t kAgeUnknown = 15;

} // namespace mimosahub
