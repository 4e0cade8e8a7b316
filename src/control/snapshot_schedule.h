#pragma once

#include "base/random.h"
#include "control/snapshot_table.h"
#include "mimosahub/clock.h"

#include <cstdint>
#include <optional>

namespace mimosahub
{

using std::chrono_literals::operator""min;
using std::chrono_literals::operator""s;

struct SnapshotScheduleOptions {
    std::uint64_t maxAppends = 5000; ///< Appends after a snapshot that make the next one due.
    /// Appends that make the first snapshot due. Low, because the log's retention
    /// is unknown until it drops a record.
    std::uint64_t firstAppends = 50;
    Duration maxAge = 10min; ///< Must be well below the log's retention time.
    Duration spread = 5s; ///< A due snapshot is appended after a random delay up to this.
    Duration retryAfter = 30s; ///< Delay after an own snapshot that did not become complete.
};

/// The input of SnapshotSchedule.
struct SnapshotView {
    Offset applied;
    Offset first; ///< The oldest offset that the log retains.
    Offset head;
    std::optional<CompleteSnapshot> newest;
};

/// Decides when this daemon appends a snapshot. One becomes due for all daemons
/// at about the same time; each waits for a random time and gives up if another
/// daemon's snapshot is complete by then. A snapshot is due if:
/// - there is none and firstAppends have been applied,
/// - maxAppends have been applied since the last one,
/// - the log drops records and half of those it retains follow the last snapshot, or
/// - the last one is older than maxAge, since an idle log drops old snapshots too.
class SnapshotSchedule
{
public:
    SnapshotSchedule(const SnapshotScheduleOptions &options, std::uint64_t seed);

    /// True if a snapshot must be appended now.
    [[nodiscard]] bool tick(const SnapshotView &view, TimePoint now);

private:
    [[nodiscard]] bool due(const SnapshotView &view, TimePoint now) const;

    SnapshotScheduleOptions m_options;
    Random m_random;
    Offset m_newestThrough;
    std::optional<TimePoint> m_newestSeen;
    std::optional<TimePoint> m_appendAt;
};

} // namespace mimosahub
