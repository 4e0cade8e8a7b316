#pragma once

#include "mimosahub/ids.h"

#include <map>
#include <mutex>
#include <tuple>

namespace mimosahub
{

/// Names the calls of one workspace in one service.
struct WorkspaceUseKey {
    ServiceId service;
    WorkspaceId workspace;

    friend bool operator==(const WorkspaceUseKey &, const WorkspaceUseKey &) = default;
    friend auto operator<=>(const WorkspaceUseKey &a, const WorkspaceUseKey &b)
    {
        return std::tie(a.service, a.workspace) <=> std::tie(b.service, b.workspace);
    }
};

/// What one workspace does in one service at this daemon.
struct WorkspaceLoad {
    int running = 0;
    int waiting = 0;
};

/// Counts running and waiting calls by service and workspace over all traffic
/// threads of this daemon. Thread-safe.
class WorkspaceCounters
{
public:
    void addRunning(const WorkspaceUseKey &key, int difference)
    {
        const std::lock_guard lock(m_mutex);
        m_loads[key].running += difference;
    }
    void addWaiting(const WorkspaceUseKey &key, int difference)
    {
        const std::lock_guard lock(m_mutex);
        m_loads[key].waiting += difference;
    }
    [[nodiscard]] int running(const WorkspaceUseKey &key) const
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_loads.find(key);
        return it == m_loads.end() ? 0 : it->second.running;
    }
    /// All counts.
    [[nodiscard]] std::map<WorkspaceUseKey, WorkspaceLoad> loads() const
    {
        const std::lock_guard lock(m_mutex);
        return m_loads;
    }

private:
    mutable std::mutex m_mutex;
    std::map<WorkspaceUseKey, WorkspaceLoad> m_loads;
};

} // namespace mimosahub
