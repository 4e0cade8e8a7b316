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
    Duration freshnessLease = std::chrono::milliseconds(2500); ///< FreshnessOptions::lease of all daemons.
    Duration margin = std::chrono::milliseconds(500); ///< Added to the lease to allow for clock drift.
};

/// Whether one member has taken a record into account.
enum class ConfirmationState {
    Confirmed, ///< The member has applied the record.
    Expired, ///< Not reported as applied, but the member's freshness has expired: it sends no new work.
    Ended, ///< The process has ended.
    Pending, ///< The member may still act on the state before the record.
};

struct MemberConfirmation {
    MemberKey member;
    ConfirmationState state = ConfirmationState::Pending;
    Offset applied; ///< Highest offset that the member is known to have applied.
};

/// Tracks whether a record is accepted, and whether it is in force on all members.
/// Does no I/O and reads no clock.
class ConfirmationTracker
{
public:
    explicit ConfirmationTracker(MemberKey self, ConfirmationOptions options = {});

    /// Adds the view of each epoch, in order. A new daemon first adds the earlier
    /// views that its snapshot contains.
    void addView(MembershipView view, TimePoint now);
    /// Records that \a member, which may be this daemon itself, had applied at least
    /// \a applied. Views must be added before this daemon's own offset is reported.
    void reported(const MemberKey &member, Offset applied, TimePoint now);
    /// Records that the process \a member has ended, because the platform's list no
    /// longer contains the instance. A newer incarnation in a report or a view also
    /// marks the older ones as ended.
    void ended(const MemberKey &member, TimePoint now);

    /// The highest offset that this daemon and a majority of every view that may
    /// still be in use have applied.
    [[nodiscard]] Offset accepted() const;
    /// Whether no daemon can act against the record at \a offset any more.
    [[nodiscard]] bool inForce(Offset offset, TimePoint now) const;
    /// Confirmation state of each member of each view in use, ordered by member.
    [[nodiscard]] std::vector<MemberConfirmation> confirmations(Offset offset, TimePoint now) const;

private:
    struct Acceptance {
        Offset offset;
        TimePoint at;
    };
    struct UsedView {
        MembershipView view;
        /// When a majority of its members was known to have applied the next view.
        std::optional<TimePoint> outOfUse;
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
    std::deque<UsedView> m_views; ///< Views that may be in use; the current one last.
    std::map<MemberKey, Offset> m_applied;
    std::set<MemberKey> m_ended;
    std::map<InstanceId, Incarnation> m_newest; ///< Newest incarnation of each instance in a view in use.
    std::deque<Acceptance> m_acceptances; ///< Oldest first.
};

} // namespace mimosahub
