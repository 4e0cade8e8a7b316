#pragma once

#include "base/backoff.h"
#include "base/random.h"
#include "control/control_state.h"
#include "control/snapshot.h"
#include "mimosahub/clock.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace mimosahub
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// An append as read from the log.
struct LogEntry {
    Offset offset;
    std::string data;

    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

/// A read to send to the log.
struct ReadRequest {
    Offset from;
    std::size_t limit = 0; ///< Maximum number of entries.
};

/// The log's response to a read.
struct ReadResult {
    Offset first; ///< The oldest offset retained; head + 1 if none is.
    Offset head; ///< The last offset appended; 0 = the log is empty.
    std::vector<LogEntry> entries; ///< In order, from the requested offset or from first, whichever is higher.
};

struct LogFollowerOptions {
    std::size_t readLimit = 512; ///< Maximum number of entries in one read.
    Duration pollInterval = 100ms; ///< Time between two reads while the state is at the head.
    BackoffOptions retry = {.first = 100ms, .max = 5s, .jitter = 0.3}; ///< Delays after failed reads.
    std::size_t firstScanWindow = 1024; ///< Number of appends before the head that a snapshot scan reads first.
};

/// The state changes caused by one event.
struct FollowerStep {
    std::vector<AppliedBatch> applied; ///< In order; already applied to the state.
    bool restored = false; ///< The state was replaced by a later one before these were applied.
    /// The membership after each append that changed it, in order. For a
    /// restored state only its latest membership is known.
    std::vector<MembershipTable> memberships;
    /// Set if everything that the log had accepted before this time is now applied: the
    /// time at which the read that found the head was sent, by this daemon or a peer.
    std::optional<TimePoint> headReadStarted;
};

/// Decides what to read from the log and applies it to a state that the caller
/// owns. Does no I/O: the caller sends the reads that tick() returns, one at a
/// time, and reports the result of each. Records are never skipped: if some were
/// dropped from the log before they were read, the follower scans backwards from
/// the head for the newest usable snapshot, and until one is found the state
/// stays unchanged and becomes stale.
class LogFollower
{
public:
    /// \a state must outlive the follower and must not be changed by anyone else.
    LogFollower(const LogFollowerOptions &options, ControlState &state, std::uint64_t seed);

    /// The read to send now, if any. Call at nextTick() and after each event.
    [[nodiscard]] std::optional<ReadRequest> tick(TimePoint now);
    /// When to call tick() if nothing else happens; none while a read is in flight.
    [[nodiscard]] std::optional<TimePoint> nextTick() const;

    /// The read returned \a result.
    FollowerStep onRead(const ReadResult &result, TimePoint now);
    /// The read failed or timed out; \a retryAfter is the delay that the log asked for, if any.
    void onReadFailed(TimePoint now, std::optional<Duration> retryAfter = std::nullopt);
    /// Appends received from a peer. \a peerApplied is the offset that the peer
    /// had applied; it covers everything that the log had accepted before
    /// \a freshAsOf, a time of this daemon's clock.
    FollowerStep onPeerEntries(const std::vector<LogEntry> &entries, Offset peerApplied,
                               std::optional<TimePoint> freshAsOf);
    /// A complete state received from a peer; used only if it is later than the own one.
    FollowerStep onPeerState(ControlState state);
    /// Requests a read soon because the head has probably moved. While reads
    /// fail, the delay after a failure still applies.
    void wake();
    /// While the log is down: all live peers were polled, and \a highest is the
    /// highest offset that any of them had applied.
    void onPeersPolled(Offset highest);

    /// True once the state has reached the log's head, or all peers' highest offset.
    [[nodiscard]] bool ready() const
    {
        return m_ready;
    }
    /// Everything that the log had accepted before this time is applied. The time
    /// is taken before the read is sent. A freshness lease, during which this daemon
    /// may send new work, starts at it.
    [[nodiscard]] std::optional<TimePoint> freshAsOf() const
    {
        return m_freshAsOf;
    }
    /// True while the last read failed.
    [[nodiscard]] bool logFailing() const
    {
        return m_failures > 0;
    }
    /// True while records are missing and no usable snapshot has been found.
    [[nodiscard]] bool searchingSnapshot() const
    {
        return m_scan.has_value();
    }
    /// The log's oldest retained offset as of the last read; for SnapshotSchedule.
    [[nodiscard]] Offset firstRetained() const
    {
        return m_first;
    }
    /// The log's head as of the last read; for SnapshotSchedule.
    [[nodiscard]] Offset head() const
    {
        return m_head;
    }

private:
    /// A scan for a snapshot, backwards from the head in windows that double in size.
    struct Scan {
        Offset start; ///< First offset of the window.
        Offset cursor; ///< Next offset to read.
        Offset end; ///< Last offset of the window.
        std::size_t window = 0;
        SnapshotCollector collector;
    };

    void apply(const std::vector<LogEntry> &entries, FollowerStep &step);
    void startScan();
    void onScanned(const ReadResult &result, FollowerStep &step, TimePoint now);
    void endScanWindow(FollowerStep &step, TimePoint now);
    void onFollowed(const ReadResult &result, FollowerStep &step, TimePoint now);
    bool replaceState(ControlState state, FollowerStep &step);
    void fail(TimePoint now, std::optional<Duration> retryAfter);
    void recordFreshness(TimePoint asOf, FollowerStep &step);
    void updateReady();

    LogFollowerOptions m_options;
    ControlState &m_state;
    Random m_random;
    std::optional<TimePoint> m_readStarted; ///< Set while a read is in flight.
    Offset m_appliedAtRead; ///< The applied offset when the read was sent.
    TimePoint m_nextRead{};
    bool m_wakePending = false;
    int m_failures = 0;
    Offset m_first;
    Offset m_head;
    std::optional<Scan> m_scan;
    std::optional<TimePoint> m_freshAsOf;
    std::optional<Offset> m_peersHighest;
    bool m_ready = false;
};

} // namespace mimosahub
