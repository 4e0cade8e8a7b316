#pragma once

#include "base/metrics.h"
#include "config/settings.h"
#include "daemon/call_feedback.h"
#include "daemon/daemon_life.h"
#include "daemon/endpoint_monitor.h"
#include "daemon/log_loop.h"
#include "daemon/order_loop.h"
#include "daemon/peer_loop.h"
#include "daemon/request_runner.h"
#include "daemon/rollout_loop.h"
#include "daemon/snapshot_loop.h"
#include "daemon/traffic_view.h"
#include "http/connection_pool.h"
#include "logservice/http_log_service.h"

#include <atomic>
#include <memory>
#include <thread>

namespace mimosahub
{

/// The one thread that owns all control state: the fold of the log, the list of
/// endpoints, and what is published to traffic threads. Members are used on
/// this thread only, unless said otherwise.
class ControlThread : public ClaimGate
{
public:
    /// Opens the port for other daemons. All arguments must outlive the thread.
    static absl::StatusOr<std::unique_ptr<ControlThread>> create(const Clock &clock, const Settings &settings,
                                                                 MetricRegistry &metrics, TrafficViews &views);
    ~ControlThread() override;

    /// Starts the loops. Any thread.
    void start();
    /// Runs \a work on the control thread. Any thread.
    void post(std::function<void()> work);
    /// Ends the loops and the thread. Any thread but this one.
    void stop();

    [[nodiscard]] boost::asio::io_context &io()
    {
        return m_io;
    }
    [[nodiscard]] LogLoop &log()
    {
        return m_log;
    }
    [[nodiscard]] PeerLoop &peers()
    {
        return *m_peers;
    }
    [[nodiscard]] EndpointMonitor &endpoints()
    {
        return *m_endpoints;
    }
    [[nodiscard]] const RolloutLoop &rollouts() const
    {
        return *m_rollouts;
    }
    /// Where traffic threads leave what calls showed. Any thread.
    [[nodiscard]] FeedbackQueue &feedback()
    {
        return m_feedback;
    }
    /// Calls of each workspace at this daemon. Any thread.
    [[nodiscard]] const std::shared_ptr<WorkspaceCounters> &workspaces() const
    {
        return m_workspaces;
    }
    [[nodiscard]] const InstanceListing &listing() const
    {
        return m_listing;
    }
    /// The daemon's phase. Any thread.
    [[nodiscard]] DaemonPhase phase() const
    {
        return m_phase;
    }
    /// Sets what is called, on this thread, when another process of this instance
    /// has written to the log since. To be called before start().
    void setOnSuperseded(std::function<void()> onSuperseded)
    {
        m_onSuperseded = std::move(onSuperseded);
    }
    /// Whether that has happened. Any thread.
    [[nodiscard]] bool superseded() const
    {
        return m_superseded;
    }
    /// Takes an event of the daemon's life and logs the new phase.
    template<typename Event>
    void takeLifeEvent(const Event &event)
    {
        if (m_life.take(event)) {
            phaseChanged();
        }
    }

    /// Any thread.
    void claim(const ClaimRequest &request, boost::asio::io_context &io, ClaimService::Deliver deliver) override;
    /// Any thread.
    void record(ClaimOutcome outcome) override;
    /// Leaves the members and hands leases back; waits up to \a patience. Any
    /// thread but this one.
    void leave(Duration patience);

private:
    ControlThread(const Clock &clock, const Settings &settings, MetricRegistry &metrics, TrafficViews &views,
                  Incarnation incarnation);
    http::Awaitable<void> listLoop();
    http::Awaitable<void> tickLoop();
    [[nodiscard]] RowContext rowContext();
    void stateChanged(const FollowerStep &step);
    void phaseChanged();
    void noticeSuccessor();
    void refreshEndpoints();
    void publishView(const RowContext &context);
    void shareWorkspaces(TrafficView &view);

    const Clock &m_clock;
    const Settings &m_settings;
    TrafficViews &m_views;
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    http::ConnectionPool m_pool;
    HttpSharedLog m_platformLog;
    HttpInstanceList m_instanceList;
    LogLoop m_log;
    std::unique_ptr<PeerLoop> m_peers;
    std::unique_ptr<OrderLoop> m_orders;
    std::unique_ptr<EndpointMonitor> m_endpoints;
    std::unique_ptr<RolloutLoop> m_rollouts;
    ClaimService m_claims;
    SnapshotLoop m_snapshots;
    FeedbackQueue m_feedback;
    std::shared_ptr<WorkspaceCounters> m_workspaces = std::make_shared<WorkspaceCounters>();
    WakeTimer m_tickTimer;
    WakeTimer m_listTimer;
    InstanceListing m_listing;
    DaemonLife m_life;
    std::atomic<DaemonPhase> m_phase{DaemonPhase::CatchingUp};
    std::function<void()> m_onSuperseded = [] {};
    std::atomic<bool> m_superseded{false};
    Gauge &m_appliedGauge;
    Counter &m_listFailures;
    Counter &m_snapshotsLoaded;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace mimosahub
