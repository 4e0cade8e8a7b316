#pragma once

#include "base/metrics.h"
#include "daemon/call_feedback.h"
#include "http/connection_pool.h"
#include "http/wake_timer.h"
#include "logservice/log_service.h"
#include "mimosahub/configuration.h"
#include "peer/slot_holder.h"
#include "peer/slot_owner.h"
#include "route/chart.h"
#include "route/endpoint_condition.h"
#include "route/endpoint_table.h"
#include "route/zone_traffic.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace mimosahub
{

/// What the rows of a view depend on besides the monitor itself.
struct RowContext {
    const ControlState &state;
    SlotHolder &holder;
    SlotOwner &owner;
    std::size_t members = 1; ///< Daemons that share each endpoint.
    TimePoint now;
    std::map<ServiceId, int> waitingCalls; ///< Calls that wait at this daemon.

    [[nodiscard]] int waiting(const ServiceId &service) const
    {
        const auto it = waitingCalls.find(service);
        return it == waitingCalls.end() ? 0 : it->second;
    }
};

/// One endpoint for the operators.
struct EndpointSummary {
    EndpointInfo info;
    EndpointState state = EndpointState::Cold;
    int limit = 0;
    int allowed = 0;
    int inFlight = 0;
    std::uint64_t failures = 0;
};

/// Follows the condition of all listed endpoints by their load reports and by
/// what calls showed, and asks for slots on them. Everything happens on the
/// control thread.
class EndpointMonitor
{
public:
    /// Loads the charts from \a chartFolder. \a pool must outlive the monitor.
    static absl::StatusOr<std::unique_ptr<EndpointMonitor>> create(boost::asio::io_context &io, const Clock &clock,
                                                                   http::ConnectionPool &pool,
                                                                   const std::string &chartFolder,
                                                                   MetricRegistry &metrics);

    void start();
    void stop();
    /// Takes a new instance list; endpoints of services that \a configuration
    /// doesn't know are left out.
    void setListing(const InstanceListing &listing, const Configuration &configuration);
    /// Takes what calls showed.
    void take(const std::vector<CallFeedback> &feedback);
    /// Lets time pass: conditions and zone ramps move on, demands are told.
    void tick(const RowContext &context);
    /// The table for traffic threads, as of the last tick().
    [[nodiscard]] std::vector<EndpointRow> rows(const RowContext &context) const;
    [[nodiscard]] std::vector<EndpointSummary> summaries(TimePoint now) const;
    [[nodiscard]] const ZoneTraffic &zones() const
    {
        return m_zones;
    }

private:
    struct Entry {
        EndpointInfo info;
        Service service;
        std::unique_ptr<EndpointCondition> condition;
        std::shared_ptr<InFlightCounter> inFlight = std::make_shared<InFlightCounter>();
        std::shared_ptr<SlotGate> gate; ///< Made with the first demand.
        std::optional<QueueReport> report;
        std::uint64_t failures = 0;
        int allowed = 0; ///< Calls that this daemon may have running; as of the last tick().
        bool polling = false;
    };

    EndpointMonitor(boost::asio::io_context &io, const Clock &clock, http::ConnectionPool &pool, Chart endpointChart,
                    Chart zoneChart, MetricRegistry &metrics);
    http::Awaitable<void> pollLoop();
    http::Awaitable<void> poll(EndpointId id);
    void takeReport(Entry &entry, std::string_view body);
    void tellDemand(Entry &entry, const RowContext &context);
    [[nodiscard]] int allowedCalls(const Entry &entry, const EndpointLimit &limit, const RowContext &context) const;

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    http::ConnectionPool &m_pool;
    Chart m_endpointChart;
    Chart m_zoneChart;
    ZoneTraffic m_zones;
    std::map<EndpointId, Entry> m_entries;
    std::map<EndpointId, EndpointState> m_lastStates;
    WakeTimer m_timer;
    Counter &m_failedReports;
    bool m_stopped = false;
};

} // namespace mimosahub
