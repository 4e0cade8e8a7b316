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

/// How many slots of a resource may be in use over all daemons.
struct SlotLimit {
    std::uint32_t slots = 0; ///< While the resource is in good condition.
    std::uint32_t coldSlots = 0; ///< While the owner or any holder finds it cold.
    bool cold = false; ///< The owner's own finding.
};

/// Divides the slots of the resources that this daemon owns. Pure.
class SlotOwner
{
public:
    explicit SlotOwner(MemberKey self, SlotLeaseOptions options = {});

    /// Takes the view of each epoch, in order and without a gap. After a gap, as
    /// when a snapshot was loaded, make a new SlotOwner, which waits out the
    /// grants that it can't know of.
    void setView(MembershipView view);
    /// Says that all records through \a accepted are held by a majority.
    void setAccepted(Offset accepted, TimePoint now);
    /// Sets the limit of \a resource; without one nothing is granted.
    void setLimit(ResourceKey resource, SlotLimit limit);

    /// Answers \a request of \a holder. Nothing is granted unless this daemon is
    /// fresh at \a now (\a freshUntil is later), owns the resource, and nothing
    /// can be left of an earlier owner's grants. No answer for a request that is
    /// late, doubled, from no member, or from a view ahead of this one.
    std::optional<SlotReply> handle(const MemberKey &holder, const SlotRequest &request, TimePoint now,
                                    TimePoint freshUntil);

    /// Takes it that \a member uses no slot, grants none and never will again.
    /// True if that is news.
    bool left(const MemberKey &member);

    /// Whether this daemon may grant slots of \a resource at \a now, if fresh.
    [[nodiscard]] bool mayGrant(ResourceKey resource, TimePoint now) const;
    /// Slots of \a resource that may be in use over all daemons, as far as known.
    [[nodiscard]] std::uint32_t reserved(ResourceKey resource, TimePoint now) const;

private:
    struct Reservation {
        std::uint32_t slots = 0; ///< Most that the holder may use.
        std::uint32_t wanted = 0;
        bool cold = false;
        TimePoint requestedAt;
        TimePoint until; ///< When nothing is left of it.
    };
    struct Epoch {
        MembershipView view;
        std::optional<TimePoint> accepted;
    };
    struct HolderState {
        Offset epoch; ///< Of the last request.
        Sequence sequence;
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
    std::deque<Epoch> m_epochs; ///< The current one last; earlier ones while their grants may last.
    bool m_earlierGrantsExpired = false; ///< Nothing is left of grants before the first epoch kept.
    std::map<ResourceKey, SlotLimit> m_limits;
    std::map<ResourceKey, Reservations> m_reservations;
    std::map<MemberKey, HolderState> m_holders;
    std::set<MemberKey> m_leftMembers;
};

} // namespace mimosahub
