#pragma once

#include "peer/membership.h"
#include "peer/slot_lease.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mimosahub
{

/// The owner of \a resource under \a view: the member with the highest
/// rendezvous weight. Nullptr if the view is empty.
[[nodiscard]] const GroupMember *ownerOf(ResourceKey resource, const MembershipView &view);

/// Maximum number of slots of a resource in use on all daemons together.
struct SlotLimit {
    std::uint32_t slots = 0; ///< Limit while the resource is warm.
    std::uint32_t coldSlots = 0; ///< Limit while the owner or any holder detects that it is cold.
    bool cold = false; ///< The owner itself detects that it is cold.
};

/// Divides the slots of the resources that this daemon owns. Does no I/O and reads no
/// clock.
class SlotOwner
{
public:
    explicit SlotOwner(MemberKey self, SlotLeaseOptions options = {});

    /// Sets the view of each epoch, in order and without gaps. After a gap, such as a
    /// loaded snapshot, create a new SlotOwner, which waits until the grants that it
    /// can't know of have expired.
    void setView(MembershipView view);
    /// Records that a majority has applied all records through \a accepted.
    void setAccepted(Offset accepted, TimePoint now);
    /// Sets the limit of \a resource; nothing is granted without a limit.
    void setLimit(ResourceKey resource, SlotLimit limit);

    /// Answers \a request of \a holder. Nothing is granted unless this daemon is
    /// fresh at \a now (\a freshUntil is later), owns the resource, and no grant of an
    /// earlier owner can still be in use. There is no reply to a request that is late,
    /// duplicated, from a non-member, or from a newer view than this daemon's.
    std::optional<SlotReply> handle(const MemberKey &holder, const SlotRequest &request, TimePoint now,
                                    TimePoint freshUntil);

    /// Records that \a member uses and grants no slots from now on. Returns false if that
    /// was already recorded.
    bool recordLeave(const MemberKey &member);

    /// Whether this daemon may grant slots of \a resource at \a now, if fresh.
    [[nodiscard]] bool mayGrant(ResourceKey resource, TimePoint now) const;
    /// Slots of \a resource that may be in use on all daemons, as far as known.
    [[nodiscard]] std::uint32_t reserved(ResourceKey resource, TimePoint now) const;

private:
    struct Reservation {
        std::uint32_t slots = 0; ///< Maximum number of slots that the holder may use.
        std::uint32_t wanted = 0;
        bool cold = false;
        TimePoint requestedAt;
        TimePoint until; ///< When no call can be running under it any more.
    };
    struct Epoch {
        MembershipView view;
        std::optional<TimePoint> accepted;
    };
    struct HolderState {
        Offset epoch; ///< Epoch of the last request.
        Sequence sequence; ///< Sequence number of the last request.
    };
    using Reservations = std::map<MemberKey, Reservation>;

    [[nodiscard]] bool owns(ResourceKey resource, const MembershipView &view) const;
    [[nodiscard]] bool allHoldersSynced(Offset since) const;
    [[nodiscard]] bool transitionEnded(const Epoch &epoch, TimePoint now) const;
    [[nodiscard]] std::uint32_t limitOf(ResourceKey resource, TimePoint now) const;
    [[nodiscard]] std::uint32_t fairShare(ResourceKey resource, const MemberKey &holder, std::uint32_t limit,
                                          TimePoint now) const;
    void recordUse(const MemberKey &holder, const SlotRequest &request, TimePoint now);
    SlotGrant grant(const MemberKey &holder, const SlotAsk &ask, TimePoint now);
    void expire(TimePoint now);

    MemberKey m_self;
    SlotLeaseOptions m_options;
    std::deque<Epoch> m_epochs; ///< The current one last; earlier ones while their grants may be in use.
    bool m_earlierGrantsExpired = false; ///< No grant from before the first epoch kept is in use.
    std::map<ResourceKey, SlotLimit> m_limits;
    std::map<ResourceKey, Reservations> m_reservations;
    std::map<MemberKey, HolderState> m_holders;
    std::set<MemberKey> m_leftMembers;
};

} // namespace mimosahub
