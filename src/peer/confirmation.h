#pragma once

#include "peer/membership.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mimosahub
{

struct ConfirmationOptions {
    Duration freshnessLease = std::chrono::milliseconds(2500); ///< As in FreshnessOptions, on all daemons.
    Duration margin = std::chrono::milliseconds(500); ///< Waited beyond it, for clocks that drift.
};

/// How far one member is with a record.
enum class ConfirmationState {
    Confirmed, ///< It has applied the record.
    Expired, ///< It hasn't said so, but its freshness has run out: it sends no new work.
    Ended, ///< Its process has ended.
    Pending, ///< It may still act on what was before.
};

struct MemberConfirmation {
    MemberKey member;
    ConfirmationState state = ConfirmationState::Pending;
    Offset applied; ///< Highest that it is known to have applied.
};

/// Tells whether a record is accepted, and whether it is in force on all members. Pure.
class ConfirmationTracker
{
public:
    explicit ConfirmationTracker(MemberKey self, ConfirmationOptions options = {});

    /// Takes the view of each epoch, in order. A new daemon takes first the
    /// earlier views that its snapshot carries.
    void addView(MembershipView view, TimePoint now);
    /// Says that \a member, which may be this daemon itself, had applied at least
    /// \a applied. This daemon's views are reported first.
    void reported(const MemberKey &member, Offset applied, TimePoint now);
    /// Says that the process \a member has ended, because the platform's list no
    /// longer names the instance. A newer incarnation seen in a report or a view
    /// ends the older ones by itself.
    void ended(const MemberKey &member, TimePoint now);

    /// The highest offset that this daemon and a majority of every view that may
    /// still be in use have applied.
    [[nodiscard]] Offset accepted() const;
    /// Whether the record at \a offset can no longer be contradicted by any daemon.
    [[nodiscard]] bool inForce(Offset offset, TimePoint now) const;
    /// State of each member of each view in use, ordered by member.
    [[nodiscard]] std::vector<MemberConfirmation> confirmations(Offset offset, TimePoint now) const;

private:
    struct Acceptance {
        Offset offset;
        TimePoint at;
    };
    struct UsedView {
        MembershipView view;
        std::optional<TimePoint> outOfUse; ///< When a majority of it was known to have the next view.
    };

    [[nodiscard]] Offset appliedBy(const MemberKey &member) const;
    [[nodiscard]] Offset appliedByMajority(const MembershipView &view, Offset highest) const;
    [[nodiscard]] bool freshnessExpired(Offset offset, TimePoint now) const;
    [[nodiscard]] bool hasEnded(const MemberKey &member) const;
    [[nodiscard]] bool isListed(const MemberKey &member) const;
    void update(TimePoint now);

    MemberKey m_self;
    ConfirmationOptions m_options;
    Offset m_ownApplied;
    std::deque<UsedView> m_views; ///< The current one last.
    std::map<MemberKey, Offset> m_applied;
    std::set<MemberKey> m_ended;
    std::map<InstanceId, Incarnation> m_newest; ///< Of each instance in a view in use.
    std::deque<Acceptance> m_acceptances; ///< Oldest first.
};

} // namespace mimosahub
