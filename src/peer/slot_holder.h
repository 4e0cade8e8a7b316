#pragma once

#include "peer/membership.h"
#include "peer/slot_counter.h"
#include "peer/slot_lease.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace mimosahub
{

/// What a holder may use of a resource for which it has no valid lease.
enum class SlotFallback {
    None, ///< No slots: for endpoints that must never get more calls than their limit.
    FixedSplit, ///< max(1, limit / members): for warm endpoints and shares, where serving has priority.
};

/// A daemon's demand for slots of one resource.
struct SlotDemand {
    std::uint32_t wanted = 0; ///< Slots that the daemon could use now; 0 releases the lease.
    bool cold = false; ///< The daemon has detected that the endpoint is cold.
    SlotFallback fallback = SlotFallback::None;
    std::uint32_t limit = 0; ///< The resource's limit as known to this daemon; for the fixed split.
    bool urgent = true; ///< Calls wait for slots: request more at once, not with the next heartbeat.
};

/// Requests slots from the owners and keeps the granted leases. Does no I/O and reads
/// no clock. Only the slot counters are shared with traffic threads.
class SlotHolder
{
public:
    explicit SlotHolder(MemberKey self, SlotLeaseOptions options = {});

    void setView(MembershipView view);
    void setDemand(ResourceKey resource, SlotDemand demand);
    /// The counter of calls on \a resource; created on first use.
    [[nodiscard]] std::shared_ptr<SlotCounter> slotCounter(ResourceKey resource);

    /// The request to put into the message to \a owner that is sent now; empty if
    /// there is nothing to request and the owner knows that. Replies to earlier requests
    /// to this owner are ignored from now on.
    [[nodiscard]] std::optional<SlotRequest> requestTo(const InstanceId &owner, TimePoint now);
    /// Applies the reply of \a owner.
    void received(const MemberKey &owner, const SlotReply &reply, TimePoint now);
    /// Switches resources without a lease to their fallback, and removes unused ones.
    void refresh(TimePoint now);
    /// Releases all leases permanently: later demands and grants are ignored.
    void releaseAll();
    /// Number of calls running on all resources.
    [[nodiscard]] std::uint32_t inUse() const;
    /// Owners to call at once instead of with the next heartbeat, because a demand
    /// exceeds what was requested, or no heartbeat has renewed the leases for renewAfter.
    [[nodiscard]] std::vector<InstanceId> urgentOwners(TimePoint now) const;

private:
    struct Resource {
        SlotDemand demand;
        std::shared_ptr<SlotCounter> slotCounter = std::make_shared<SlotCounter>();
        TimePoint leasedUntil; ///< End of the owner's lease.
        bool onFallback = false; ///< The counter has the fixed split instead of a lease.
        std::uint32_t lastWanted = 0; ///< SlotAsk::wanted in the last request.
    };
    struct PendingRequest {
        Sequence sequence;
        TimePoint sentAt;
        bool empty = false;
    };
    struct OwnerState {
        std::optional<PendingRequest> pending; ///< The last request, while its reply is accepted.
        std::optional<TimePoint> lastRequestAt;
        std::optional<Offset> emptyRequestEpoch; ///< Epoch under which the owner answered an empty request.
    };

    [[nodiscard]] bool needsCall(const Resource &resource, const OwnerState *owner, TimePoint now) const;

    MemberKey m_self;
    SlotLeaseOptions m_options;
    MembershipView m_view;
    bool m_leasesReleased = false;
    Sequence m_lastSequence; ///< One sequence for all owners: this process never uses a number twice.
    std::map<ResourceKey, Resource> m_resources;
    std::map<MemberKey, OwnerState> m_owners;
};

} // namespace mimosahub
