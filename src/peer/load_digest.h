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

/// Load and outcome counters that daemons exchange. All counters are cumulative
/// over one incarnation of one instance, so lost or duplicated messages do no harm:
/// the receiver keeps the latest value of each counter.
namespace mimosahub
{

/// Number of latency buckets. Their upper bounds are 1 ms, 2 ms, 4 ms and so on; the
/// last bucket has no bound.
constexpr std::size_t kLatencyBuckets = 14;

/// Index of the bucket that counts \a latency.
[[nodiscard]] std::size_t latencyBucket(Duration latency);

/// Key of the outcome counters of one version of a service on one route.
struct OutcomeKey {
    ServiceId service;
    VersionId version;
    std::string route; ///< Name of a call, or a pipeline and stage.

    friend bool operator==(const OutcomeKey &, const OutcomeKey &) = default;
    friend std::strong_ordering operator<=>(const OutcomeKey &a, const OutcomeKey &b)
    {
        return std::tie(a.service, a.version, a.route) <=> std::tie(b.service, b.version, b.route);
    }
};

struct OutcomeCounts {
    std::uint64_t ok = 0;
    std::uint64_t failed = 0;
    std::uint64_t latencySumMs = 0; ///< Total latency of the successful calls, in milliseconds.
    std::array<std::uint32_t, kLatencyBuckets> latency{}; ///< Successful calls in each latency bucket.

    OutcomeCounts &operator+=(const OutcomeCounts &other);
    friend bool operator==(const OutcomeCounts &, const OutcomeCounts &) = default;
};

/// Key of the calls of one workspace in one service.
struct UsageKey {
    ServiceId service;
    WorkspaceId workspace;

    friend bool operator==(const UsageKey &, const UsageKey &) = default;
    friend std::strong_ordering operator<=>(const UsageKey &a, const UsageKey &b)
    {
        return std::tie(a.service, a.workspace) <=> std::tie(b.service, b.workspace);
    }
};

/// Assigns a short index to a key, for one incarnation of the sender.
struct DigestName {
    std::uint16_t index = 0;
    bool usage = false; ///< The key is a UsageKey; otherwise an OutcomeKey.
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
    std::uint32_t inUse = 0; ///< Calls in flight.
    std::uint32_t version = 0; ///< Incremented with each change; the highest value wins.

    friend bool operator==(const DigestUsage &, const DigestUsage &) = default;
};

/// The counter entries of one message.
struct LoadDigest {
    std::vector<DigestName> names;
    std::vector<DigestOutcome> outcomes;
    std::vector<DigestUsage> usage;

    friend bool operator==(const LoadDigest &, const LoadDigest &) = default;
};

struct LoadDigestOptions {
    /// Limits the size of a message. Outcomes have priority, then the entries that were
    /// not sent for the longest time.
    std::size_t entriesPerMessage = 4;
};

/// This daemon's own counters, and the change numbers of them that each peer is known
/// to have. Does no I/O and reads no clock.
class LoadDigestSender
{
public:
    explicit LoadDigestSender(LoadDigestOptions options = {});

    void addOutcome(const OutcomeKey &key, bool ok, Duration latency);
    void setInUse(const UsageKey &key, std::uint32_t inUse);
    /// Entries for message \a sequence to \a peer: only those that it isn't known to
    /// have. The outcomes of all versions of one service and route are sent together or
    /// not at all, so that the counts that \a peer has of them are from the same moment.
    [[nodiscard]] LoadDigest digestFor(const InstanceId &peer, Incarnation incarnation, Sequence sequence);
    /// Records that \a peer has received message \a sequence.
    void acknowledged(const InstanceId &peer, Incarnation incarnation, Sequence sequence);
    /// This daemon's own counts.
    [[nodiscard]] const std::map<OutcomeKey, OutcomeCounts> &outcomes() const
    {
        return m_outcomes;
    }

private:
    struct Entry {
        DigestName name;
        std::uint16_t group = 0; ///< Index of the first of the entries that are sent together.
        std::uint32_t version = 0; ///< Incremented with each change.
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
        std::map<std::uint16_t, std::uint32_t> acknowledged; ///< Change number of each entry that the peer has.
        std::map<std::uint16_t, Sequence> lastSent;
        std::deque<SentMessage> sent;
    };

    Entry &entryOf(bool usage, std::vector<std::string> parts);
    PeerState &peerState(const InstanceId &peer, Incarnation incarnation);
    [[nodiscard]] std::vector<const Entry *> pendingFor(const PeerState &peer) const;
    [[nodiscard]] std::vector<const Entry *> selectGroups(const std::vector<const Entry *> &entries) const;

    LoadDigestOptions m_options;
    std::vector<Entry> m_entries; ///< An entry's position is its index.
    std::map<std::vector<std::string>, std::uint16_t> m_indexes;
    std::map<std::pair<std::string, std::string>, std::uint16_t> m_routeGroups; ///< Group of each service and route.
    std::map<OutcomeKey, OutcomeCounts> m_outcomes;
    std::map<InstanceId, PeerState> m_peers;
};

/// The counters of all peers. Does no I/O and reads no clock.
class LoadDigestMerger
{
public:
    /// Merges \a digest; a digest from an older incarnation than one already seen is
    /// ignored.
    void merge(const InstanceId &sender, Incarnation incarnation, const LoadDigest &digest);
    /// Drops the calls in flight of an instance that no longer exists; its outcomes are
    /// kept, as those of earlier incarnations are.
    void remove(const InstanceId &instance);

    /// Sums over all peers and their incarnations, without this daemon's own counters.
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
    /// Outcomes counted by incarnations that a later one replaced.
    std::map<OutcomeKey, OutcomeCounts> m_endedOutcomes;
};

} // namespace mimosahub
