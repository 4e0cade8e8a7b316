#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/endpoint.h"
#include "mimosahub/ids.h"
#include "peer/heartbeat.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

/// Which daemons belong to the group, and which of them this daemon has
/// evidence of. Who belongs is agreed in the platform's log; this module only
/// watches the others and proposes changes. Pure: no sockets, no clock.
namespace mimosahub
{

/// One daemon that belongs to the group.
struct GroupMember {
    InstanceId id;
    Incarnation incarnation;
    ZoneId zone;
    Address address; ///< Where its peers reach it.

    friend bool operator==(const GroupMember &, const GroupMember &) = default;
};

/// One process of an instance: a restarted daemon is another process.
struct MemberKey {
    InstanceId id;
    Incarnation incarnation;

    friend bool operator==(const MemberKey &, const MemberKey &) = default;
    friend std::strong_ordering operator<=>(const MemberKey &a, const MemberKey &b)
    {
        return std::tie(a.id, a.incarnation) <=> std::tie(b.id, b.incarnation);
    }
};

[[nodiscard]] inline MemberKey keyOf(const GroupMember &member)
{
    return {member.id, member.incarnation};
}

/// The members as agreed by the log through one record.
struct MembershipView {
    Offset epoch; ///< Offset of the record that made this view.
    std::vector<GroupMember> members; ///< Ordered by id, one for each id.

    friend bool operator==(const MembershipView &, const MembershipView &) = default;
};

/// The member of \a view with \a id, or nullptr.
[[nodiscard]] const GroupMember *findMember(const MembershipView &view, const InstanceId &id);
/// Whether the process \a key is a member of \a view.
[[nodiscard]] bool isMember(const MembershipView &view, const MemberKey &key);
/// Smallest number of members that is more than half of \a view.
[[nodiscard]] std::size_t majorityOf(const MembershipView &view);

struct MembershipOptions {
    Duration exchangeInterval = std::chrono::seconds(1); ///< Between two exchanges of one pair in a small group.
    Duration suspicionTimeout = std::chrono::seconds(3); ///< A member without evidence for so long is suspected.
    Duration suspicionTimeoutInLargeGroup =
        std::chrono::seconds(12); ///< The same above allToAllLimit; two cycles or more.
    Duration proposalSpacing = std::chrono::milliseconds(300); ///< Between the turns of successive proposers.
    Duration proposalRetry = std::chrono::seconds(5); ///< Before the same proposal is made again.
    std::size_t allToAllLimit = 8; ///< Larger groups exchange with neighbours by powers of two.
    Duration stepInterval = std::chrono::milliseconds(600); ///< Between two exchanges in a large group.
};

/// A change of membership that this daemon asks the log for.
struct MembershipProposal {
    enum class Kind {
        Join, ///< This daemon, which the group doesn't list.
        Evict, ///< A member that nobody has evidence of.
        Leave, ///< This daemon, which stops by plan.
    };
    Kind kind = Kind::Join;
    GroupMember member;
};

/// That a member had applied no more than \a appliedAtMost at some moment not
/// before \a asOf of the receiver's clock, and at least \a appliedAtLeast.
struct MemberEvidence {
    MemberKey member;
    TimePoint asOf;
    Offset appliedAtLeast;
    Offset appliedAtMost;
};

/// Failure detector and heartbeat state of one daemon.
class Membership
{
public:
    Membership(GroupMember self, MembershipOptions options = {});

    /// Takes the view of a newly applied epoch; lower epochs are ignored.
    void setView(MembershipView view, TimePoint now);
    [[nodiscard]] const MembershipView &view() const
    {
        return m_view;
    }
    [[nodiscard]] const GroupMember &self() const
    {
        return m_self;
    }
    /// Whether this very process is a member.
    [[nodiscard]] bool joined() const;

    /// Members to call now. In a small group a pair shares one call a round, made
    /// by the lower id; the higher calls too once its own evidence gets old.
    [[nodiscard]] std::vector<GroupMember> dueCalls(TimePoint now);

    /// The membership part of the next message to \a peer; remembers when it was
    /// made. \a now and \a applied must be read after the last call of received().
    [[nodiscard]] Heartbeat heartbeatTo(const InstanceId &peer, HeartbeatKind kind, Offset applied, TimePoint now);

    /// Takes a message from a peer, request or reply alike, and gives what it
    /// proves. Empty if the sender's incarnation is older than one already seen,
    /// or if it echoes no message of ours.
    std::vector<MemberEvidence> received(const Heartbeat &heartbeat, TimePoint now);

    /// Members without direct or passed-on evidence for suspectAfter.
    [[nodiscard]] std::vector<GroupMember> suspects(TimePoint now) const;
    /// Whether this daemon has recent evidence of a majority, itself included.
    [[nodiscard]] bool inContactWithMajority(TimePoint now) const;
    /// Changes to append to the log now. \a stopping asks to leave.
    [[nodiscard]] std::vector<MembershipProposal> proposals(TimePoint now, bool stopping);
    /// Instances seen alive under a newer incarnation than the view's: the
    /// listed process has ended.
    [[nodiscard]] std::vector<MemberKey> ended() const;

private:
    struct SentMessage {
        Sequence sequence;
        TimePoint at;
    };
    struct PeerState {
        Incarnation incarnation; ///< Newest seen.
        Sequence lastReceived;
        std::deque<SentMessage> sent; ///< Oldest first, for echoes.
        std::optional<TimePoint> lastCall;
        std::optional<TimePoint> evidence; ///< Last moment at which it was surely alive.
        Offset applied; ///< Reported with that evidence, as an upper bound.
        Offset appliedAtLeast; ///< Lower bound that still holds.
        TimePoint watchedSince;
        std::optional<TimePoint> proposed;
    };

    [[nodiscard]] bool smallGroup() const;
    [[nodiscard]] std::vector<GroupMember> dueInSmallGroup(TimePoint now);
    [[nodiscard]] std::vector<GroupMember> dueInLargeGroup(TimePoint now);
    [[nodiscard]] TimePoint lastSeen(const GroupMember &member) const;
    [[nodiscard]] Duration suspicionTimeout() const;
    bool mayProposeSelf(TimePoint now);
    [[nodiscard]] Duration proposalDelay(const GroupMember &suspect) const;
    void appendAges(Heartbeat &heartbeat, TimePoint now) const;
    [[nodiscard]] std::vector<MemberEvidence> relayedEvidence(const Heartbeat &heartbeat, TimePoint startedAt) const;
    void recordEvidence(const MemberEvidence &evidence);

    GroupMember m_self;
    MembershipOptions m_options;
    MembershipView m_view;
    std::map<InstanceId, PeerState> m_peers;
    Sequence m_lastSequence;
    std::optional<TimePoint> m_lastStep;
    std::size_t m_step = 0;
    std::optional<TimePoint> m_selfProposed;
};

} // namespace mimosahub
