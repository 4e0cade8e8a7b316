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

/// Members of the group, and the evidence that this daemon has that each of them is
/// alive. The log decides who is a member; this module only monitors the other
/// members and proposes changes. It has no sockets and reads no clock.
namespace mimosahub
{

/// One daemon that belongs to the group.
struct GroupMember {
    InstanceId id;
    Incarnation incarnation;
    ZoneId zone;
    Address address; ///< Address at which peers reach the daemon.

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

/// The members by the log, as of one record.
struct MembershipView {
    Offset epoch; ///< Offset of the record that made this view.
    std::vector<GroupMember> members; ///< Ordered by id; ids are unique.

    friend bool operator==(const MembershipView &, const MembershipView &) = default;
};

/// The member of \a view with \a id, or nullptr.
[[nodiscard]] const GroupMember *findMember(const MembershipView &view, const InstanceId &id);
/// Whether the process \a key is a member of \a view.
[[nodiscard]] bool isMember(const MembershipView &view, const MemberKey &key);
/// Smallest number of members that is more than half of \a view.
[[nodiscard]] std::size_t majorityOf(const MembershipView &view);

struct MembershipOptions {
    Duration exchangeInterval = std::chrono::seconds(1); ///< Time between two exchanges of a pair in a small group.
    Duration suspicionTimeout = std::chrono::seconds(3); ///< A member is suspected after this time without evidence.
    /// suspicionTimeout for groups above allToAllLimit; at least two cycles of steps.
    Duration suspicionTimeoutInLargeGroup = std::chrono::seconds(12);
    Duration proposalSpacing = std::chrono::milliseconds(300); ///< Delay from one proposer's turn to the next.
    Duration proposalRetry = std::chrono::seconds(5); ///< Time before the same proposal is repeated.
    std::size_t allToAllLimit = 8; ///< In larger groups a daemon calls members at distances of powers of two.
    Duration stepInterval = std::chrono::milliseconds(600); ///< Time between two exchanges in a large group.
};

/// A change of membership that this daemon proposes to append to the log.
struct MembershipProposal {
    enum class Kind {
        Join, ///< Adds this daemon, which is not a member.
        Evict, ///< Removes a member that no daemon has evidence of.
        Leave, ///< Removes this daemon, which is shutting down as planned.
    };
    Kind kind = Kind::Join;
    GroupMember member;
};

/// Proof that a member had applied at most \a appliedAtMost at some moment not before
/// \a asOf on the receiver's clock, and has applied at least \a appliedAtLeast.
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

    /// Sets the view of a newly applied epoch; lower epochs are ignored.
    void setView(MembershipView view, TimePoint now);
    [[nodiscard]] const MembershipView &view() const
    {
        return m_view;
    }
    [[nodiscard]] const GroupMember &self() const
    {
        return m_self;
    }
    /// Whether this process is a member.
    [[nodiscard]] bool joined() const;

    /// Members to call now. In a small group one call per interval serves both members
    /// of a pair. The member with the lower id makes it; the other calls too once its
    /// own evidence gets too old.
    [[nodiscard]] std::vector<GroupMember> dueCalls(TimePoint now);

    /// Creates the membership part of the next message to \a peer and records when it
    /// was created. \a now and \a applied must be read after the last call of received().
    [[nodiscard]] Heartbeat heartbeatTo(const InstanceId &peer, HeartbeatKind kind, Offset applied, TimePoint now);

    /// Handles a request or reply from a peer and returns the evidence in it. Empty if
    /// the sender's incarnation is older than one already seen, or if the message
    /// echoes none of this daemon's messages.
    std::vector<MemberEvidence> received(const Heartbeat &heartbeat, TimePoint now);

    /// Members without direct or relayed evidence for the suspicion timeout.
    [[nodiscard]] std::vector<GroupMember> suspects(TimePoint now) const;
    /// Whether this daemon has recent evidence of a majority, itself included.
    [[nodiscard]] bool inContactWithMajority(TimePoint now) const;
    /// Changes to append to the log now. If \a stopping is set, they include leaving.
    [[nodiscard]] std::vector<MembershipProposal> proposals(TimePoint now, bool stopping);
    /// Members whose process has ended, because their instance was seen alive under a
    /// newer incarnation than the view's.
    [[nodiscard]] std::vector<MemberKey> ended() const;

private:
    struct SentMessage {
        Sequence sequence;
        TimePoint at;
    };
    struct PeerState {
        Incarnation incarnation; ///< Newest incarnation seen.
        Sequence lastReceived;
        std::deque<SentMessage> sent; ///< Messages that the peer may echo, oldest first.
        std::optional<TimePoint> lastCall;
        std::optional<TimePoint> evidence; ///< Last moment at which the peer was known to be alive.
        Offset applied; ///< Upper bound of the offset applied as of that evidence.
        Offset appliedAtLeast; ///< Highest known lower bound of the offset applied.
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
