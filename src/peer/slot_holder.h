#pragma once

#include "peer/membership.h"
#include "peer/slot_gauge.h"
#include "peer/slot_lease.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace mimosahub
{

/// What a holder may use of a resource for which it has no valid lease.
enum class SlotFallback {
    None, ///< Nothing: for endpoints that must never bear more than their limit.
    FixedSplit, ///< max(1, limit / members): for warm endpoints and shares, where serving goes first.
};

/// A daemon's demand on one resource.
struct SlotDemand {
    std::uint32_t wanted = 0; ///< Slots it could use now; 0 gives the lease up.
    bool cold = false; ///< The daemon finds the endpoint cold.
    SlotFallback fallback = SlotFallback::None;
    std::uint32_t limit = 0; ///< Of the resource as this daemon knows it; for the fixed split.
    bool urgent = true; ///< Calls wait for slots: more are asked for at once, not with the next heartbeat.
};

/// Asks the owners for slots and keeps the leases that it got. Pure, but for
/// the gauges, which traffic threads share.
class SlotHolder
{
public:
    explicit SlotHolder(MemberKey self, SlotLeaseOptions options = {});

    void setView(MembershipView view);
    void setDemand(ResourceKey resource, SlotDemand demand);
    /// The gauge that calls on \a resource are counted with; made on first use.
    [[nodiscard]] std::shared_ptr<SlotGauge> gauge(ResourceKey resource);

    /// The request to put into the message to \a owner that is sent now; empty if
    /// there is nothing to ask and the owner knows so. Earlier requests to this
    /// owner are void from here on: their late answers are ignored.
    [[nodiscard]] std::optional<SlotRequest> requestTo(const InstanceId &owner, TimePoint now);
    /// Takes the answer of \a owner.
    void received(const MemberKey &owner, const SlotReply &reply, TimePoint now);
    /// Moves resources without a lease to their fallback, and forgets unused ones.
    void refresh(TimePoint now);
    /// Gives all leases up, for good: what is asked or granted from here on counts as nothing.
    void giveUp();
    /// Calls that run on any resource.
    [[nodiscard]] std::uint32_t inUse() const;
    /// Owners to call at once instead of with the next heartbeat: a demand exceeds
    /// what was asked for, or no heartbeat has renewed the leases for renewAfter.
    [[nodiscard]] std::vector<InstanceId> urgentOwners(TimePoint now) const;

private:
    struct Resource {
        SlotDemand demand;
        std::shared_ptr<SlotGauge> gauge = std::make_shared<SlotGauge>();
        TimePoint leasedUntil; ///< End of the owner's lease.
        bool onFallback = false; ///< The gauge runs on the fixed split instead.
        std::uint32_t lastWanted = 0; ///< As in the last request.
    };
    struct PendingRequest {
        Sequence sequence;
        TimePoint sentAt;
        bool empty = false;
    };
    struct OwnerState {
        std::optional<PendingRequest> pending; ///< The last request, while its answer counts.
        std::optional<TimePoint> lastRequestAt;
        std::optional<Offset> emptyRequestEpoch; ///< The epoch under which it answered an empty request.
    };

    [[nodiscard]] bool needsCall(const Resource &resource, const OwnerState *owner, TimePoint now) const;

    MemberKey m_self;
    SlotLeaseOptions m_options;
    MembershipView m_view;
    bool m_leasesReleased = false;
    Sequence m_lastSequence; ///< One count for all owners: never used twice by this process.
    std::map<ResourceKey, Resource> m_resources;
    std::map<MemberKey, OwnerState> m_owners;
};

} // namespace mimosahub
