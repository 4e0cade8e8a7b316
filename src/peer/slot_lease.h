#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <vector>

/// Leases of slots: how a limit that holds over all daemons is divided among
/// them. A slot is the right to have one call running on a resource. Each
/// resource has one owner among the members; the others, the holders, ask the
/// owner and get leases that expire.
namespace mimosahub
{

/// A leased resource: the slots of an endpoint, by a hash of its name that is the
/// same on all daemons. Two names with the same hash share one limit, the lower:
/// wasteful, but never too much.
using ResourceKey = Ordinal<struct ResourceTag>;

/// The slots of \a endpoint.
[[nodiscard]] ResourceKey endpointSlots(const EndpointId &endpoint);

struct SlotLeaseOptions {
    Duration lease = std::chrono::seconds(3); ///< Life of a lease, counted by the holder from before it asked.
    /// A holder whose leases no heartbeat has renewed for so long calls the owner. Longer
    /// than the heartbeats' interval, or each would be followed by such a call.
    Duration renewAfter = std::chrono::milliseconds(1500);
    Duration freshnessLease = std::chrono::milliseconds(2500); ///< As in FreshnessOptions, on all daemons.
    Duration maxCallDuration = std::chrono::seconds(8); ///< A call ends within this time of its start.
    Duration margin = std::chrono::milliseconds(500); ///< The giver waits longer by this, for clocks that drift.

    /// Time after which nothing is left of a grant made at its start.
    [[nodiscard]] Duration grantLifetime() const
    {
        return lease + maxCallDuration + margin;
    }
    /// Time after the acceptance of an epoch when nothing is left of the grants
    /// of an owner who doesn't know that epoch.
    [[nodiscard]] Duration ownerChangeDelay() const
    {
        return freshnessLease + grantLifetime();
    }
};

/// The slots that each of \a members may use while the owner of a resource is
/// unknown: an equal part of \a limit, at least 1.
[[nodiscard]] std::uint32_t fixedSplit(std::uint32_t limit, std::size_t members);

/// A holder's use of one resource.
struct SlotAsk {
    ResourceKey resource = {};
    std::uint32_t wanted = 0; ///< Slots it could use now.
    std::uint32_t held = 0; ///< Slots of its lease that is still valid.
    std::uint32_t inUse = 0; ///< Calls running.
    bool cold = false; ///< The holder found the endpoint to be cold.

    friend bool operator==(const SlotAsk &, const SlotAsk &) = default;
};

/// All that a holder uses or wants of the resources that it takes the receiver
/// to own. What is not listed is not used.
struct SlotRequest {
    Offset epoch; ///< Of the holder's view.
    Sequence sequence; ///< Counts the holder's requests to this owner, from 1.
    std::vector<SlotAsk> asks;

    friend bool operator==(const SlotRequest &, const SlotRequest &) = default;
};

struct SlotGrant {
    ResourceKey resource;
    std::uint32_t slots = 0; ///< New size of the lease; 0 takes it back.

    friend bool operator==(const SlotGrant &, const SlotGrant &) = default;
};

/// An owner's answer. A resource that is not listed keeps its old lease.
struct SlotReply {
    Sequence request; ///< The request that it answers.
    Duration lease{}; ///< Counted from before the request was sent.
    std::vector<SlotGrant> grants;

    friend bool operator==(const SlotReply &, const SlotReply &) = default;
};

} // namespace mimosahub
