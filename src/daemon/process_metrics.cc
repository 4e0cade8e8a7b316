// The sources are cumulative counts, so that a counter is raised by what it
// lacks; a late or repeated update changes nothing.

#include "daemon/process_metrics.h"

#include "base/log.h"

#include <algorithm>
#include <fstream>

#include <ctime>
#include <unistd.h>

namespace mimosahub
{

namespace
{

void raiseTo(Counter &counter, std::uint64_t total)
{
    counter.add(total - std::min(total, counter.value()));
}

/// Resident memory of this process in bytes; 0 if the system doesn't tell.
double residentMemory()
{
    std::ifstream in("/proc/self/statm");
    std::uint64_t all = 0;
    std::uint64_t resident = 0;
    in >> all >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

/// Processor time that \a clock has counted, in seconds; 0 if the system doesn't tell.
double processorTime(clockid_t clock)
{
    constexpr double kNanoseconds = 1e9;
    std::timespec time{};
    if (::clock_gettime(clock, &time) != 0) {
        return 0;
    }
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / kNanoseconds;
}

} // namespace

ProcessMetrics::ProcessMetrics(MetricRegistry &registry)
    : m_registry(registry),
      m_droppedLines(
          registry.counter("mimosahub_log_lines_dropped_total", "Log lines that their reader was too slow for.")),
      m_residentMemory(registry.gauge("process_resident_memory_bytes", "Resident memory of the process.")),
      m_processorTime(registry.gauge("process_cpu_seconds_total", "Processor time of the process.")),
      m_controlTime(registry.gauge("mimosahub_control_cpu_seconds_total",
                                   "Processor time of the thread that owns control state."))
{
}

ProcessMetrics::Role ProcessMetrics::makeRole(const std::string &name)
{
    const Labels labels{{"listen", name}};
    Role role;
    role.name = name;
    role.accepted =
        &m_registry.counter("mimosahub_connections_accepted_total", "Connections that were accepted.", labels);
    role.refused = &m_registry.counter("mimosahub_connections_refused_total",
                                       "Connections that were closed at once because too many were open.", labels);
    role.givenUp = &m_registry.counter("mimosahub_connections_given_up_total",
                                       "Connections without a whole request that were closed for a new one.", labels);
    role.malformed =
        &m_registry.counter("mimosahub_requests_malformed_total", "Requests that could not be read.", labels);
    role.open = &m_registry.gauge("mimosahub_connections_open", "Connections that are open now.", labels);
    return role;
}

void ProcessMetrics::addServer(const std::string &role, const http::ServerCounters &counters)
{
    auto it = std::find_if(m_roles.begin(), m_roles.end(), [&](const Role &known) { return known.name == role; });
    if (it == m_roles.end()) {
        it = m_roles.insert(m_roles.end(), makeRole(role));
    }
    it->servers.push_back(&counters);
}

void ProcessMetrics::update()
{
    raiseTo(m_droppedLines, LogOutput::dropped());
    m_residentMemory.set(residentMemory());
    m_processorTime.set(processorTime(CLOCK_PROCESS_CPUTIME_ID));
    m_controlTime.set(processorTime(CLOCK_THREAD_CPUTIME_ID));
    for (const auto &role : m_roles) {
        std::uint64_t accepted = 0;
        std::uint64_t refused = 0;
        std::uint64_t givenUp = 0;
        std::uint64_t malformed = 0;
        std::uint64_t open = 0;
        for (const auto *server : role.servers) {
            accepted += server->accepted;
            refused += server->refusedConnections;
            givenUp += server->givenUp;
            malformed += server->malformed;
            open += server->open;
        }
        raiseTo(*role.accepted, accepted);
        raiseTo(*role.refused, refused);
        raiseTo(*role.givenUp, givenUp);
        raiseTo(*role.malformed, malformed);
        role.open->set(static_cast<double>(open));
    }
}

} // namespace mimosahub
