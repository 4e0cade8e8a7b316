// Failure detection by exchanges of heartbeats. The log decides who is a member;
// this module only gathers evidence of which members are alive and which offset
// each has applied.
//
// Ages without synchronized clocks: each message echoes the last message that its
// sender got from the receiver. Its contents were therefore true at some moment
// after the receiver sent the echoed message, and the receiver knows that time on
// its own clock. A reply echoes the caller's request. The callee gets no third
// message, so it dates the next request by its own last reply, one interval
// earlier. So one call per interval serves both ends of a pair.
//
// In groups up to allToAllLimit every pair makes one exchange per interval. In
// larger groups, at step s a daemon calls the member 2^(s mod log2 n) positions
// further on in the ordered list, so evidence of every member reaches every other
// within one cycle of ceil(log2 n) steps, as in a dissemination barrier. Messages
// relay evidence as 4 bits of age for each member, n/2 bytes in total, and the
// lowest and highest offsets applied among them. In a large group only replies
// relay evidence: a request's contents could be dated only to a cycle ago.

#include "peer/membership.h"

#include "base/hash.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace mimosahub
{

namespace
{

constexpr std::size_t kMaxSentMessages = 8;

std::uint8_t ageOf(Duration age)
{
    const auto units = (age + kAgeUnit - Duration(1)) / kAgeUnit;
    return units >= kAgeUnknown ? kAgeUnknown : static_cast<std::uint8_t>(std::max<Duration::rep>(units, 0));
}

std::uint8_t ageAt(const std::vector<std::uint8_t> &ages, std::size_t index)
{
    const auto both = ages.at(index / 2);
    return index % 2 == 0 ? both & 0x0F : both >> 4;
}

void setAgeAt(std::vector<std::uint8_t> &ages, std::size_t index, std::uint8_t age)
{
    ages.at(index / 2) |= index % 2 == 0 ? age : static_cast<std::uint8_t>(age << 4);
}

} // namespace

const GroupMember *findMember(const MembershipView &view, const InstanceId &id)
{
    const auto it = std::lower_bound(view.members.begin(), view.members.end(), id,
                                     [](const GroupMember &member, const InstanceId &key) { return member.id < key; });
    return it != view.members.end() && it->id == id ? &*it : nullptr;
}

bool isMember(const MembershipView &view, const MemberKey &key)
{
    const auto *member = findMember(view, key.id);
    return member != nullptr && member->incarnation == key.incarnation;
}

std::size_t majorityOf(const MembershipView &view)
{
    return view.members.size() / 2 + 1;
}

Membership::Membership(GroupMember self, MembershipOptions options) : m_self(std::move(self)), m_options(options)
{
}

void Membership::setView(MembershipView view, TimePoint now)
{
    if (view.epoch < m_view.epoch) {
        return;
    }
    std::erase_if(m_peers, [&](const auto &peer) { return findMember(view, peer.first) == nullptr; });
    for (const auto &member : view.members) {
        auto [it, added] = m_peers.try_emplace(member.id);
        if (added || it->second.incarnation < member.incarnation) {
            it->second = PeerState{};
            it->second.incarnation = member.incarnation;
            it->second.watchedSince = now;
        }
    }
    m_peers.erase(m_self.id);
    m_view = std::move(view);
}

bool Membership::joined() const
{
    return isMember(m_view, keyOf(m_self));
}

bool Membership::smallGroup() const
{
    return m_view.members.size() <= m_options.allToAllLimit;
}

std::vector<GroupMember> Membership::dueCalls(TimePoint now)
{
    return smallGroup() ? dueInSmallGroup(now) : dueInLargeGroup(now);
}

std::vector<GroupMember> Membership::dueInSmallGroup(TimePoint now)
{
    // The callee's evidence is up to two intervals old when the next request
    // arrives. If it is older, the request is late or lost, and the callee makes the
    // call.
    const auto calleeGracePeriod = 2 * m_options.exchangeInterval + m_options.exchangeInterval / 5;
    std::vector<GroupMember> due;
    for (const auto &member : m_view.members) {
        if (member.id == m_self.id) {
            continue;
        }
        auto &peer = m_peers[member.id];
        if (peer.lastCall && now - *peer.lastCall < m_options.exchangeInterval) {
            continue;
        }
        const auto last = std::max(peer.evidence.value_or(peer.watchedSince), peer.watchedSince);
        if (m_self.id < member.id || !joined() || now - last >= calleeGracePeriod) {
            peer.lastCall = now;
            due.push_back(member);
        }
    }
    return due;
}

std::vector<GroupMember> Membership::dueInLargeGroup(TimePoint now)
{
    if (m_lastStep && now - *m_lastStep < m_options.stepInterval) {
        return {};
    }
    m_lastStep = now;
    const auto n = m_view.members.size();
    const auto steps = static_cast<std::size_t>(std::bit_width(n - 1));
    const auto position =
        std::lower_bound(m_view.members.begin(), m_view.members.end(), m_self.id,
                         [](const GroupMember &member, const InstanceId &key) { return member.id < key; })
        - m_view.members.begin();
    const auto index = (static_cast<std::size_t>(position) + (std::size_t(1) << (m_step % steps))) % n;
    ++m_step;
    const auto &member = m_view.members.at(index);
    if (member.id == m_self.id) {
        return {};
    }
    m_peers[member.id].lastCall = now;
    return {member};
}

Heartbeat Membership::heartbeatTo(const InstanceId &peerId, HeartbeatKind kind, Offset applied, TimePoint now)
{
    auto &peer = m_peers[peerId];
    // One sequence for all peers: this process never uses a number twice, even if a
    // peer is removed and added again.
    m_lastSequence = m_lastSequence.next();
    peer.sent.push_back({m_lastSequence, now});
    if (peer.sent.size() > kMaxSentMessages) {
        peer.sent.pop_front();
    }
    Heartbeat heartbeat;
    heartbeat.sender = m_self.id;
    heartbeat.incarnation = m_self.incarnation;
    heartbeat.sequence = m_lastSequence;
    heartbeat.echo = peer.lastReceived;
    heartbeat.echoIncarnation = peer.lastReceived.value() > 0 ? peer.incarnation : Incarnation();
    heartbeat.epoch = m_view.epoch;
    heartbeat.applied = applied;
    if (smallGroup() || kind == HeartbeatKind::Reply) {
        appendAges(heartbeat, now);
    }
    return heartbeat;
}

void Membership::appendAges(Heartbeat &heartbeat, TimePoint now) const
{
    heartbeat.agesAppliedLeast = heartbeat.applied;
    heartbeat.agesAppliedMost = heartbeat.applied;
    heartbeat.ages.assign((m_view.members.size() + 1) / 2, 0);
    for (std::size_t i = 0; i < m_view.members.size(); ++i) {
        const auto &member = m_view.members[i];
        if (member.id == m_self.id) {
            continue;
        }
        const auto it = m_peers.find(member.id);
        const bool known = it != m_peers.end() && it->second.evidence && it->second.incarnation == member.incarnation;
        const auto age = known ? ageOf(now - *it->second.evidence) : kAgeUnknown;
        setAgeAt(heartbeat.ages, i, age);
        if (age != kAgeUnknown) {
            heartbeat.agesAppliedLeast = std::min(heartbeat.agesAppliedLeast, it->second.appliedAtLeast);
            heartbeat.agesAppliedMost = std::max(heartbeat.agesAppliedMost, it->second.applied);
        }
    }
}

std::vector<MemberEvidence> Membership::received(const Heartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.sender == m_self.id) {
        return {};
    }
    auto &peer = m_peers[heartbeat.sender];
    if (heartbeat.incarnation < peer.incarnation) {
        return {};
    }
    if (heartbeat.incarnation > peer.incarnation) {
        auto sent = std::move(peer.sent);
        peer = PeerState{};
        peer.incarnation = heartbeat.incarnation;
        peer.sent = std::move(sent);
        peer.watchedSince = now;
    }
    peer.lastReceived = std::max(peer.lastReceived, heartbeat.sequence);
    if (heartbeat.echoIncarnation != m_self.incarnation) {
        return {};
    }
    const auto sent = std::find_if(peer.sent.begin(), peer.sent.end(),
                                   [&](const SentMessage &message) { return message.sequence == heartbeat.echo; });
    if (sent == peer.sent.end()) {
        return {};
    }
    const auto startedAt = sent->at;
    std::vector<MemberEvidence> evidence = relayedEvidence(heartbeat, startedAt);
    evidence.push_back({{heartbeat.sender, heartbeat.incarnation}, startedAt, heartbeat.applied, heartbeat.applied});
    for (const auto &item : evidence) {
        recordEvidence(item);
    }
    return evidence;
}

std::vector<MemberEvidence> Membership::relayedEvidence(const Heartbeat &heartbeat, TimePoint startedAt) const
{
    // The ages are in the order of the members in the sender's view.
    if (heartbeat.epoch != m_view.epoch || heartbeat.ages.size() != (m_view.members.size() + 1) / 2) {
        return {};
    }
    std::vector<MemberEvidence> evidence;
    for (std::size_t i = 0; i < m_view.members.size(); ++i) {
        const auto &member = m_view.members[i];
        const auto age = ageAt(heartbeat.ages, i);
        if (age != kAgeUnknown && member.id != m_self.id && member.id != heartbeat.sender) {
            evidence.push_back(
                {keyOf(member), startedAt - age * kAgeUnit, heartbeat.agesAppliedLeast, heartbeat.agesAppliedMost});
        }
    }
    return evidence;
}

void Membership::recordEvidence(const MemberEvidence &evidence)
{
    auto &peer = m_peers[evidence.member.id];
    if (peer.incarnation != evidence.member.incarnation) {
        return;
    }
    peer.appliedAtLeast = std::max(peer.appliedAtLeast, evidence.appliedAtLeast);
    if (!peer.evidence || *peer.evidence < evidence.asOf) {
        peer.evidence = evidence.asOf;
        peer.applied = evidence.appliedAtMost;
    }
}

TimePoint Membership::lastSeen(const GroupMember &member) const
{
    const auto it = m_peers.find(member.id);
    if (it == m_peers.end()) {
        return {};
    }
    return std::max(it->second.evidence.value_or(it->second.watchedSince), it->second.watchedSince);
}

Duration Membership::suspicionTimeout() const
{
    return smallGroup() ? m_options.suspicionTimeout : m_options.suspicionTimeoutInLargeGroup;
}

std::vector<GroupMember> Membership::suspects(TimePoint now) const
{
    std::vector<GroupMember> suspects;
    for (const auto &member : m_view.members) {
        if (member.id != m_self.id && now - lastSeen(member) >= suspicionTimeout()) {
            suspects.push_back(member);
        }
    }
    return suspects;
}

bool Membership::inContactWithMajority(TimePoint now) const
{
    std::size_t reached = joined() ? 1 : 0;
    for (const auto &member : m_view.members) {
        const auto it = m_peers.find(member.id);
        if (it == m_peers.end() || it->second.incarnation != member.incarnation) {
            continue;
        }
        // Only evidence counts here, not the grace period of a new member.
        if (it->second.evidence && now - *it->second.evidence < suspicionTimeout()) {
            ++reached;
        }
    }
    return reached >= majorityOf(m_view);
}

Duration Membership::proposalDelay(const GroupMember &suspect) const
{
    // The members take turns in an order that differs for each suspect, so that
    // usually only one of them appends the record. Duplicate records are harmless.
    const auto weight = rendezvousWeight(suspect.id.str(), m_self.id.str());
    const auto before = std::count_if(m_view.members.begin(), m_view.members.end(), [&](const GroupMember &member) {
        return member.id != suspect.id && rendezvousWeight(suspect.id.str(), member.id.str()) > weight;
    });
    return before * m_options.proposalSpacing;
}

bool Membership::mayProposeSelf(TimePoint now)
{
    if (m_selfProposed && now - *m_selfProposed < m_options.proposalRetry) {
        return false;
    }
    m_selfProposed = now;
    return true;
}

std::vector<MembershipProposal> Membership::proposals(TimePoint now, bool stopping)
{
    std::vector<MembershipProposal> proposals;
    if (stopping == joined() && mayProposeSelf(now)) {
        const auto kind = stopping ? MembershipProposal::Kind::Leave : MembershipProposal::Kind::Join;
        proposals.push_back({kind, m_self});
    }
    if (!joined() || !inContactWithMajority(now)) {
        return proposals;
    }
    for (const auto &member : suspects(now)) {
        auto &peer = m_peers[member.id];
        const bool turn = now - lastSeen(member) >= suspicionTimeout() + proposalDelay(member);
        if (turn && (!peer.proposed || now - *peer.proposed >= m_options.proposalRetry)) {
            peer.proposed = now;
            proposals.push_back({MembershipProposal::Kind::Evict, member});
        }
    }
    return proposals;
}

std::vector<MemberKey> Membership::ended() const
{
    std::vector<MemberKey> ended;
    for (const auto &member : m_view.members) {
        const auto it = m_peers.find(member.id);
        if (it != m_peers.end() && it->second.incarnation > member.incarnation) {
            ended.push_back(keyOf(member));
        }
    }
    return ended;
}

} // namespace mimosahub
