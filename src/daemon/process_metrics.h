#pragma once

#include "base/metrics.h"
#include "http/server.h"

#include <string>
#include <vector>

namespace mimosahub
{

/// Carries counts that other modules keep for themselves (connections, dropped
/// log lines) and what the process uses into the metrics. Used on the control
/// thread only, whose processor time it reads.
class ProcessMetrics
{
public:
    /// \a registry must outlive this.
    explicit ProcessMetrics(MetricRegistry &registry);

    /// Adds a server, which must outlive the last update(). Servers of one
    /// \a role, a literal, are summed.
    void addServer(const std::string &role, const http::ServerCounters &counters);
    /// Brings the metrics up to date; call before they are rendered.
    void update();

private:
    struct Role {
        std::string name;
        std::vector<const http::ServerCounters *> servers;
        Counter *accepted = nullptr;
        Counter *refused = nullptr;
        Counter *givenUp = nullptr;
        Counter *malformed = nullptr;
        Gauge *open = nullptr;
    };

    Role makeRole(const std::string &name);

    MetricRegistry &m_registry;
    std::vector<Role> m_roles;
    Counter &m_droppedLines;
    Gauge &m_residentMemory;
    Gauge &m_processorTime;
    Gauge &m_controlTime;
};

} // namespace mimosahub
