#pragma once

#include "base/metrics.h"
#include "control/snapshot_schedule.h"
#include "daemon/log_loop.h"

namespace mimosahub
{

/// Appends snapshots of the control state when the schedule says so. Used on
/// the control thread only.
class SnapshotLoop
{
public:
    /// All arguments must outlive the loop.
    SnapshotLoop(const Clock &clock, LogLoop &log, MetricRegistry &metrics, const SnapshotScheduleOptions &options,
                 std::uint64_t seed);

    /// Appends a snapshot if one is due. Only for a daemon that has caught up.
    void tick();

private:
    void append();

    const Clock &m_clock;
    LogLoop &m_log;
    SnapshotSchedule m_schedule;
    std::size_t m_partsUnderWay = 0;
    Counter &m_snapshots;
};

} // namespace mimosahub
