// The random delay replaces an election: two snapshots at once cost a few
// appends and are harmless, and no failure of an elected daemon must be detected.

#include "control/snapshot_schedule.h"

namespace mimosahub
{

SnapshotSchedule::SnapshotSchedule(const SnapshotScheduleOptions &options, std::uint64_t seed)
    : m_options(options), m_random(seed)
{
}

bool SnapshotSchedule::tick(const SnapshotView &view, TimePoint now)
{
    const auto through = view.newest ? view.newest->id.through : Offset();
    if (!m_newestSeen) {
        // A daemon that has just started doesn't know the age of the snapshot and
        // assumes half the maximum, the expected value.
        m_newestSeen = now - m_options.maxAge / 2;
        m_newestThrough = through;
    } else if (through > m_newestThrough) {
        m_newestSeen = now;
        m_newestThrough = through;
    }
    if (!due(view, now)) {
        m_appendAt.reset();
        return false;
    }
    if (!m_appendAt) {
        m_appendAt = now + m_random.jitter(m_options.spread / 2, 1.0);
    }
    if (now < *m_appendAt) {
        return false;
    }
    m_appendAt = now + m_random.jitter(m_options.retryAfter, 0.5);
    return true;
}

bool SnapshotSchedule::due(const SnapshotView &view, TimePoint now) const
{
    if (view.applied.value() == 0) {
        return false;
    }
    if (now - *m_newestSeen >= m_options.maxAge) {
        return true;
    }
    if (!view.newest && view.applied.value() >= m_options.firstAppends) {
        return true;
    }
    const auto through = m_newestThrough.value();
    const bool truncated = view.first.value() > 1;
    // The snapshot's own parts follow it in the log and don't count towards the next one.
    const std::uint64_t own = view.newest ? view.newest->id.parts : 0;
    const std::uint64_t since = view.applied.value() - through;
    const std::uint64_t appends = since > own ? since - own : 0;
    const std::uint64_t kept = view.head.value() + 1 - view.first.value();
    return appends >= m_options.maxAppends || (truncated && appends > kept / 2);
}

} // namespace mimosahub
