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

/// One append as read from the log.
struct LogEntry {
    Offset offset;
    std::string data;

    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

/// A read to send to the log.
struct ReadRequest {
    Offset from;
    std::size_t limit = 0; ///< Entries at most.
};

/// The log's answer to a read.
struct ReadResult {
    Offset first; ///< The oldest offset still kept; one above head if none is.
    Offset head; ///< The last offset appended; 0 = the log is empty.
    std::vector<LogEntry> entries; ///< In order, from the offset asked for or from first.
};

struct LogFollowerOptions {
    std::size_t readLimit = 512; ///< Entries in one read.
    Duration pollInterval = 100ms; ///< From one read of the head to the next.
    BackoffOptions retry = {.first = 100ms, .max = 5s, .jitter = 0.3}; ///< Delays after failed reads.
    std::size_t firstScanWindow = 1024; ///< Appends before the head that are searched for a snapshot at first.
};

/// What an event has changed.
struct FollowerStep {
    std::vector<AppliedBatch> applied; ///< In order; the state holds them already.
    bool restored = false; ///< The state was replaced by a later one before that.
    /// The members after each append that changed them, in order. A restored
    /// state gives its last ones only.
    std::vector<MembershipTable> memberships;
    std::optional<TimePoint> headReadStarted; ///< Set if all up to the head as of this time is applied.
};

/// Decides what to read from the log and folds what arrives into a state that
/// the caller owns. Knows no sockets: the caller sends the reads that tick()
/// asks for, one at a time, and reports each one's end. Records are never
/// skipped: if some were dropped from the log before they were read, the newest
/// usable snapshot is searched backwards from the head, and until one is found
/// the state stays as it is and grows stale.
class LogFollower
{
public:
    /// \a state must outlive the follower and be changed by nobody else.
    LogFollower(const LogFollowerOptions &options, ControlState &state, std::uint64_t seed);

    /// The read to send now, if any. Call at nextTick() and after each event.
    [[nodiscard]] std::optional<ReadRequest> tick(TimePoint now);
    /// When to call tick() if nothing else happens; none while a read is out.
    [[nodiscard]] std::optional<TimePoint> nextTick() const;

    /// The read's answer.
    FollowerStep onRead(const ReadResult &result, TimePoint now);
    /// The read failed or timed out; \a retryAfter is the log's wish, if it gave one.
    void onReadFailed(TimePoint now, std::optional<Duration> retryAfter = std::nullopt);
    /// Appends that a peer passed on. \a peerApplied is the offset that the peer
    /// had applied, and \a freshAsOf a time by this clock before which all that
    /// the log had accepted is within it.
    FollowerStep onPeerEntries(const std::vector<LogEntry> &entries, Offset peerApplied,
                               std::optional<TimePoint> freshAsOf);
    /// A whole state that a peer passed on; taken only if it is later.
    FollowerStep onPeerState(ControlState state);
    /// There is reason to believe that the head has moved: read soon, unless
    /// the log is failing.
    void wake();
    /// While the log is down: all live peers were asked and \a highest is the
    /// highest offset that any had applied.
    void onPeersPolled(Offset highest);

    /// True once the state has reached the log's head, or all peers' highest offset.
    [[nodiscard]] bool ready() const
    {
        return m_ready;
    }
    /// All that the log had accepted before this time is applied. Counted from
    /// before the read was sent; a freshness lease starts here.
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
    /// The oldest offset and the head by the last read; for SnapshotSchedule.
    [[nodiscard]] Offset firstRetained() const
    {
        return m_first;
    }
    [[nodiscard]] Offset head() const
    {
        return m_head;
    }

private:
    /// A search for a snapshot: windows of doubling size, from the head back.
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
    std::optional<TimePoint> m_readStarted; ///< Set while a read is out.
    Offset m_appliedAtRead; ///< What was applied when it was sent.
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
