#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <vector>

/// Slot leases, which divide a resource's limit among all daemons. A slot is the
/// right to have one call running on the resource. Each resource is owned by one of
/// the members; members that use it, the holders, request slots from the owner and
/// get leases that expire.
namespace mimosahub
{

/// A leased resource: the slots of an endpoint, identified by a hash of its name that
/// is the same on all daemons. Two names with the same hash share the lower limit,
/// which wastes capacity but never exceeds a limit.
using ResourceKey = Ordinal<struct ResourceTag>;

/// Key of the slots of \a endpoint.
[[nodiscard]] ResourceKey endpointSlots(const EndpointId &endpoint);

struct SlotLeaseOptions {
    Duration lease = std::chrono::seconds(3); ///< Lifetime of a lease, from when the holder sent its request.
    /// A holder sends the owner a request of its own when no heartbeat has renewed its leases for this time.
    /// Must be longer than the heartbeat interval, or such a request would follow each heartbeat.
    Duration renewAfter = std::chrono::milliseconds(1500);
    Duration freshnessLease = std::chrono::milliseconds(2500); ///< FreshnessOptions::lease of all daemons.
    Duration maxCallDuration = std::chrono::seconds(8); ///< Every call ends within this time of its start.
    Duration margin = std::chrono::milliseconds(500); ///< Added to the owner's waiting times to allow for clock drift.

    /// Time after a grant when no call can be running under it any more.
    [[nodiscard]] Duration grantLifetime() const
    {
        return lease + maxCallDuration + margin;
    }
    /// Time after the acceptance of an epoch (the record that changed the membership) when no call can be running under
    /// a grant of an owner that doesn't know that epoch.
    [[nodiscard]] Duration ownerChangeDelay() const
    {
        return freshnessLease + grantLifetime();
    }
};

/// The slots that each of \a members daemons may use without a lease: an equal part
/// of \a limit, at least 1.
[[nodiscard]] std::uint32_t fixedSplit(std::uint32_t limit, std::size_t members);

/// A holder's use of one resource, and its request for slots.
struct SlotAsk {
    ResourceKey resource = {};
    std::uint32_t wanted = 0; ///< Slots that the holder could use now.
    std::uint32_t held = 0; ///< Slots of the holder's valid lease.
    std::uint32_t inUse = 0; ///< Calls running.
    bool cold = false; ///< The holder has detected that the endpoint is cold.

    friend bool operator==(const SlotAsk &, const SlotAsk &) = default;
};

/// Everything that a holder uses or wants of the resources that the receiver owns by
/// the holder's view. A resource that is not listed is not used.
struct SlotRequest {
    Offset epoch; ///< Epoch of the holder's view.
    Sequence sequence; ///< Greater than in all earlier requests of the holder's process; starts at 1.
    std::vector<SlotAsk> asks;

    friend bool operator==(const SlotRequest &, const SlotRequest &) = default;
};

struct SlotGrant {
    ResourceKey resource;
    std::uint32_t slots = 0; ///< New size of the lease; 0 revokes it.

    friend bool operator==(const SlotGrant &, const SlotGrant &) = default;
};

/// An owner's reply. A resource that is not listed keeps its current lease.
struct SlotReply {
    Sequence request; ///< Sequence number of the request that this replies to.
    Duration lease{}; ///< Lifetime of the leases, from when the holder sent the request.
    std::vector<SlotGrant> grants;

    friend bool operator==(const SlotReply &, const SlotReply &) = default;
};

} // namespace mimosahub
