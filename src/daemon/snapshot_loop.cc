// Parts go out as background records, after everything that somebody waits for.
// A part that is not taken leaves the snapshot incomplete; the schedule then
// asks for another.

#include "daemon/snapshot_loop.h"

#include "base/log.h"
#include "control/snapshot.h"

namespace mimosahub
{

namespace
{

constexpr Duration kPartPatience = std::chrono::seconds(30);

} // namespace

SnapshotLoop::SnapshotLoop(const Clock &clock, LogLoop &log, MetricRegistry &metrics,
                           const SnapshotScheduleOptions &options, std::uint64_t seed)
    : m_clock(clock),
      m_log(log),
      m_schedule(options, seed),
      m_snapshots(metrics.counter("mimosahub_snapshots_total", "Snapshots that this daemon appended."))
{
}

void SnapshotLoop::tick()
{
    if (m_partsUnderWay > 0 || !m_log.follower().ready()) {
        return;
    }
    SnapshotView view;
    view.applied = m_log.state().appliedOffset();
    view.first = m_log.follower().firstRetained();
    view.head = m_log.follower().head();
    view.newest = m_log.state().newestSnapshot();
    if (m_schedule.tick(view, m_clock.now())) {
        append();
    }
}

void SnapshotLoop::append()
{
    const auto parts = makeSnapshot(m_log.state());
    m_partsUnderWay = parts.size();
    m_snapshots.add();
    logEvent(LogLevel::Info, "snapshot").with("through", m_log.state().appliedOffset()).with("parts", parts.size());
    for (const auto &part : parts) {
        m_log.submit(part, m_clock.now() + kPartPatience, Urgency::Background,
                     [this](const absl::StatusOr<TicketOutcome> &) { --m_partsUnderWay; });
    }
}

} // namespace mimosahub
