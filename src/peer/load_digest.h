#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

/// What daemons tell each other of load and outcomes. All counters are
/// cumulative over one incarnation of one instance, so that a lost or doubled
/// message changes nothing: the receiver keeps the latest of each.
namespace mimosahub
{

/// Bounds of the latency buckets: up to 1 ms, 2 ms, 4 ms and so on; the last has no bound.
constexpr std::size_t kLatencyBuckets = 14;

/// Index of the bucket that counts \a latency.
[[nodiscard]] std::size_t latencyBucket(Duration latency);

/// What the outcomes of one version of a service on one route are counted by.
struct OutcomeKey {
    ServiceId service;
    VersionId version;
    std::string route; ///< A call's name, or a pipeline and stage.

    friend bool operator==(const OutcomeKey &, const OutcomeKey &) = default;
    friend std::strong_ordering operator<=>(const OutcomeKey &a, const OutcomeKey &b)
    {
        return std::tie(a.service, a.version, a.route) <=> std::tie(b.service, b.version, b.route);
    }
};

struct OutcomeCounts {
    std::uint64_t ok = 0;
    std::uint64_t failed = 0;
    std::uint64_t latencySumMs = 0; ///< Of the calls that were ok, in milliseconds.
    std::array<std::uint32_t, kLatencyBuckets> latency{}; ///< Of the calls that were ok.

    OutcomeCounts &operator+=(const OutcomeCounts &other);
    friend bool operator==(const OutcomeCounts &, const OutcomeCounts &) = default;
};

/// A workspace's calls in one service.
struct UsageKey {
    ServiceId service;
    WorkspaceId workspace;

    friend bool operator==(const UsageKey &, const UsageKey &) = default;
    friend std::strong_ordering operator<=>(const UsageKey &a, const UsageKey &b)
    {
        return std::tie(a.service, a.workspace) <=> std::tie(b.service, b.workspace);
    }
};

/// Gives a key a short number, once for each sender's incarnation.
struct DigestName {
    std::uint16_t index = 0;
    bool usage = false; ///< Names a UsageKey, else an OutcomeKey.
    std::vector<std::string> parts; ///< The key's fields in order.

    friend bool operator==(const DigestName &, const DigestName &) = default;
};

struct DigestOutcome {
    std::uint16_t index = 0;
    OutcomeCounts counts;

    friend bool operator==(const DigestOutcome &, const DigestOutcome &) = default;
};

struct DigestUsage {
    std::uint16_t index = 0;
    std::uint32_t inUse = 0;
    std::uint32_t version = 0; ///< Grows with each change, so that the latest wins.

    friend bool operator==(const DigestUsage &, const DigestUsage &) = default;
};

/// The entries that one message carries.
struct LoadDigest {
    std::vector<DigestName> names;
    std::vector<DigestOutcome> outcomes;
    std::vector<DigestUsage> usage;

    friend bool operator==(const LoadDigest &, const LoadDigest &) = default;
};

struct LoadDigestOptions {
    std::size_t entriesPerMessage = 4; ///< Bounds the bytes; outcomes go first, then the longest unsent.
};

/// This daemon's own counters, and what each peer is known to have of them. Pure.
class LoadDigestSender
{
public:
    explicit LoadDigestSender(LoadDigestOptions options = {});

    void addOutcome(const OutcomeKey &key, bool ok, Duration latency);
    void setInUse(const UsageKey &key, std::uint32_t inUse);
    /// Entries for message \a sequence to \a peer: only those that it isn't known to have.
    /// Of the outcomes of one service and route it carries all such versions or none, so
    /// that what \a peer has of them is of one moment.
    [[nodiscard]] LoadDigest digestFor(const InstanceId &peer, Incarnation incarnation, Sequence sequence);
    /// Says that \a peer got message \a sequence.
    void acknowledged(const InstanceId &peer, Incarnation incarnation, Sequence sequence);
    /// This daemon's own counts.
    [[nodiscard]] const std::map<OutcomeKey, OutcomeCounts> &outcomes() const
    {
        return m_outcomes;
    }

private:
    struct Entry {
        DigestName name;
        std::uint16_t group = 0; ///< Index of the first entry of those that travel together.
        std::uint32_t version = 0; ///< Grows with each change.
        std::uint32_t inUse = 0;
        OutcomeKey outcome;
    };
    struct SentEntry {
        std::uint16_t index = 0;
        std::uint32_t version = 0;
    };
    struct SentMessage {
        Sequence sequence;
        std::vector<SentEntry> entries;
    };
    struct PeerState {
        Incarnation incarnation;
        std::map<std::uint16_t, std::uint32_t> acknowledged; ///< Version of each entry that it has.
        std::map<std::uint16_t, Sequence> lastSent;
        std::deque<SentMessage> sent;
    };

    Entry &entryOf(bool usage, std::vector<std::string> parts);
    PeerState &peerState(const InstanceId &peer, Incarnation incarnation);
    [[nodiscard]] std::vector<const Entry *> pendingFor(const PeerState &peer) const;
    [[nodiscard]] std::vector<const Entry *> selectGroups(const std::vector<const Entry *> &entries) const;

    LoadDigestOptions m_options;
    std::vector<Entry> m_entries; ///< By index.
    std::map<std::vector<std::string>, std::uint16_t> m_indexes;
    std::map<std::pair<std::string, std::string>, std::uint16_t> m_routeGroups; ///< By service and route.
    std::map<OutcomeKey, OutcomeCounts> m_outcomes;
    std::map<InstanceId, PeerState> m_peers;
};

/// The counters of all peers. Pure.
class LoadDigestMerger
{
public:
    /// Takes a digest; one of an older incarnation than already seen is ignored.
    void merge(const InstanceId &sender, Incarnation incarnation, const LoadDigest &digest);
    /// Forgets the calls in use of an instance that has gone; its outcomes still count.
    void remove(const InstanceId &instance);

    /// Sums over all peers and their incarnations; without this daemon's own.
    [[nodiscard]] std::map<OutcomeKey, OutcomeCounts> outcomes() const;
    [[nodiscard]] std::map<UsageKey, std::uint32_t> usage() const;

private:
    struct Counters {
        std::map<std::uint16_t, OutcomeKey> outcomeNames;
        std::map<std::uint16_t, UsageKey> usageNames;
        std::map<std::uint16_t, OutcomeCounts> outcomes;
        std::map<std::uint16_t, DigestUsage> usage;
    };
    struct Sender {
        Incarnation incarnation;
        Counters counters;
    };

    void retire(const Sender &sender);

    std::map<InstanceId, Sender> m_senders;
    std::map<OutcomeKey, OutcomeCounts> m_endedOutcomes; ///< Of incarnations that have ended.
};

} // namespace mimosahub
