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
    /// Appends that make the first one due: before the log drops a record, nobody
    /// knows how many it keeps.
    std::uint64_t firstAppends = 50;
    Duration maxAge = 10min; ///< Must be well below the time that the log keeps records.
    Duration spread = 5s; ///< A due snapshot is appended at a random time within this.
    Duration retryAfter = 30s; ///< Wait after an own snapshot that did not become whole.
};

/// What the schedule looks at.
struct SnapshotView {
    Offset applied;
    Offset first; ///< The oldest offset that the log keeps.
    Offset head;
    std::optional<CompleteSnapshot> newest;
};

/// Decides when this daemon appends a snapshot. All daemons find one due at
/// about the same time; each waits a random time and drops out if another's has
/// become whole. Due is: no snapshot at all after some appends, many appends since the last one, half of the kept span
/// used up once the log has begun to drop records, or the last one's age (a
/// quiet log drops the snapshot itself).
class SnapshotSchedule
{
public:
    SnapshotSchedule(const SnapshotScheduleOptions &options, std::uint64_t seed);

    /// True if a snapshot is to be appended now.
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
