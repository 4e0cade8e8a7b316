// A load digest reports counters to other daemons. Each entry (the outcomes of a
// service's software version on a route, or the calls of a workspace in a service) has
// a key, which gets a short index; the key is sent with the index until the peer
// acknowledges it. Every entry has a change number (Entry::version), incremented with
// each change. The sender remembers which change numbers each message contained; once
// the peer echoes the message, it is known to have them. Entries that the peer isn't
// known to have are sent again, a few in each message: outcomes first, because rollbacks
// depend on them, then the entries not sent for the longest time. A peer that restarts
// is another process and gets everything anew. A rollback compares the counts of the old
// and the new software version of a service on one route over the same time, so those
// that the peer lacks go into the same message.

#include "peer/load_digest.h"

#include <algorithm>
#include <utility>

namespace mimosahub
{

namespace
{

constexpr std::size_t kMaxSentMessages = 8; ///< Messages remembered for each peer until it echoes them.

} // namespace

std::size_t latencyBucket(Duration latency)
{
    std::size_t bucket = 0;
    Duration bound = std::chrono::milliseconds(1);
    while (bucket + 1 < kLatencyBuckets && latency > bound) {
        bound *= 2;
        ++bucket;
    }
    return bucket;
}

OutcomeCounts &OutcomeCounts::operator+=(const OutcomeCounts &other)
{
    ok += other.ok;
    failed += other.failed;
    latencySumMs += other.latencySumMs;
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
        latency.at(i) += other.latency.at(i);
    }
    return *this;
}

LoadDigestSender::LoadDigestSender(LoadDigestOptions options) : m_options(options)
{
}

LoadDigestSender::Entry &LoadDigestSender::entryOf(bool usage, std::vector<std::string> parts)
{
    auto indexed = parts;
    indexed.emplace_back(usage ? "usage" : "outcome");
    const auto [it, added] = m_indexes.try_emplace(indexed, static_cast<std::uint16_t>(m_entries.size()));
    if (added) {
        const auto index = it->second;
        const auto group = usage ? index : m_routeGroups.try_emplace({parts.at(0), parts.at(2)}, index).first->second;
        m_entries.push_back(Entry{{index, usage, std::move(parts)}, group, 0, 0, {}});
    }
    return m_entries.at(it->second);
}

void LoadDigestSender::addOutcome(const OutcomeKey &key, bool ok, Duration latency)
{
    auto &entry = entryOf(false, {key.service.str(), key.version.str(), key.route});
    ++entry.version;
    entry.outcome = key;
    auto &counts = m_outcomes[key];
    if (!ok) {
        ++counts.failed;
        return;
    }
    ++counts.ok;
    counts.latencySumMs += static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(latency).count());
    ++counts.latency.at(latencyBucket(latency));
}

void LoadDigestSender::setInUse(const UsageKey &key, std::uint32_t inUse)
{
    auto &entry = entryOf(true, {key.service.str(), key.workspace.str()});
    if (entry.version == 0 || entry.inUse != inUse) {
        ++entry.version;
        entry.inUse = inUse;
    }
}

LoadDigestSender::PeerState &LoadDigestSender::peerState(const InstanceId &peer, Incarnation incarnation)
{
    auto &state = m_peers[peer];
    if (state.incarnation != incarnation) {
        state = PeerState{};
        state.incarnation = incarnation;
    }
    return state;
}

std::vector<const LoadDigestSender::Entry *> LoadDigestSender::pendingFor(const PeerState &peer) const
{
    std::vector<const Entry *> pending;
    for (const auto &entry : m_entries) {
        const auto it = peer.acknowledged.find(entry.name.index);
        if (it == peer.acknowledged.end() || it->second < entry.version) {
            pending.push_back(&entry);
        }
    }
    const auto lastSent = [&](const Entry *entry) {
        const auto it = peer.lastSent.find(entry->name.index);
        return it == peer.lastSent.end() ? Sequence() : it->second;
    };
    std::map<std::uint16_t, Sequence> groupSent;
    for (const auto *entry : pending) {
        const auto [it, added] = groupSent.try_emplace(entry->group, lastSent(entry));
        it->second = std::min(it->second, lastSent(entry));
    }
    const auto rank = [&](const Entry *entry) {
        return std::tuple(entry->name.usage, groupSent.at(entry->group), entry->group, lastSent(entry),
                          entry->name.index);
    };
    std::sort(pending.begin(), pending.end(), [&](const Entry *a, const Entry *b) { return rank(a) < rank(b); });
    return selectGroups(pending);
}

/// Selects as many whole groups of \a entries, which are ordered by group, as fit in
/// one message. A group that is too large for any message is truncated.
std::vector<const LoadDigestSender::Entry *>
LoadDigestSender::selectGroups(const std::vector<const Entry *> &entries) const
{
    std::vector<const Entry *> result;
    for (auto it = entries.begin(); it != entries.end();) {
        const auto end =
            std::find_if(it, entries.end(), [&](const Entry *entry) { return entry->group != (*it)->group; });
        const auto size = static_cast<std::size_t>(end - it);
        const auto freeEntries = m_options.entriesPerMessage - result.size();
        if (size <= freeEntries) {
            result.insert(result.end(), it, end);
        } else if (result.empty()) {
            result.assign(it, it + static_cast<std::ptrdiff_t>(freeEntries));
        }
        it = end;
    }
    return result;
}

LoadDigest LoadDigestSender::digestFor(const InstanceId &peerId, Incarnation incarnation, Sequence sequence)
{
    auto &peer = peerState(peerId, incarnation);
    LoadDigest digest;
    SentMessage message{sequence, {}};
    for (const auto *entry : pendingFor(peer)) {
        const auto index = entry->name.index;
        if (!peer.acknowledged.contains(index)) {
            digest.names.push_back(entry->name);
        }
        if (entry->name.usage) {
            digest.usage.push_back({index, entry->inUse, entry->version});
        } else {
            digest.outcomes.push_back({index, m_outcomes.at(entry->outcome)});
        }
        peer.lastSent[index] = sequence;
        message.entries.push_back({index, entry->version});
    }
    peer.sent.push_back(std::move(message));
    if (peer.sent.size() > kMaxSentMessages) {
        peer.sent.pop_front();
    }
    return digest;
}

void LoadDigestSender::acknowledged(const InstanceId &peerId, Incarnation incarnation, Sequence sequence)
{
    auto &peer = peerState(peerId, incarnation);
    const auto it = std::find_if(peer.sent.begin(), peer.sent.end(),
                                 [&](const SentMessage &message) { return message.sequence == sequence; });
    if (it == peer.sent.end()) {
        return;
    }
    for (const auto &sent : it->entries) {
        auto &version = peer.acknowledged[sent.index];
        version = std::max(version, sent.version);
    }
}

void LoadDigestMerger::merge(const InstanceId &senderId, Incarnation incarnation, const LoadDigest &digest)
{
    auto &sender = m_senders[senderId];
    if (incarnation < sender.incarnation) {
        return;
    }
    if (incarnation > sender.incarnation) {
        retire(sender);
        sender = Sender{incarnation, {}};
    }
    auto &counters = sender.counters;
    for (const auto &name : digest.names) {
        if (name.usage && name.parts.size() == 2) {
            counters.usageNames[name.index] = {ServiceId(name.parts[0]), WorkspaceId(name.parts[1])};
        } else if (!name.usage && name.parts.size() == 3) {
            counters.outcomeNames[name.index] = {ServiceId(name.parts[0]), VersionId(name.parts[1]), name.parts[2]};
        }
    }
    for (const auto &outcome : digest.outcomes) {
        auto &known = counters.outcomes[outcome.index];
        // Counters only grow, so the later of two states has the greater sum.
        if (known.ok + known.failed < outcome.counts.ok + outcome.counts.failed) {
            known = outcome.counts;
        }
    }
    for (const auto &usage : digest.usage) {
        auto &known = counters.usage[usage.index];
        if (known.version < usage.version) {
            known = usage;
        }
    }
}

void LoadDigestMerger::retire(const Sender &sender)
{
    for (const auto &[index, counts] : sender.counters.outcomes) {
        if (const auto name = sender.counters.outcomeNames.find(index); name != sender.counters.outcomeNames.end()) {
            m_endedOutcomes[name->second] += counts;
        }
    }
}

void LoadDigestMerger::remove(const InstanceId &instance)
{
    if (const auto it = m_senders.find(instance); it != m_senders.end()) {
        it->second.counters.usage.clear();
    }
}

std::map<OutcomeKey, OutcomeCounts> LoadDigestMerger::outcomes() const
{
    auto sums = m_endedOutcomes;
    for (const auto &[id, sender] : m_senders) {
        for (const auto &[index, counts] : sender.counters.outcomes) {
            const auto name = sender.counters.outcomeNames.find(index);
            if (name != sender.counters.outcomeNames.end()) {
                sums[name->second] += counts;
            }
        }
    }
    return sums;
}

std::map<UsageKey, std::uint32_t> LoadDigestMerger::usage() const
{
    std::map<UsageKey, std::uint32_t> sums;
    for (const auto &[id, sender] : m_senders) {
        for (const auto &[index, usage] : sender.counters.usage) {
            const auto name = sender.counters.usageNames.find(index);
            if (name != sender.counters.usageNames.end()) {
                sums[name->second] += usage.inUse;
            }
        }
    }
    return sums;
}

} // namespace mimosahub
