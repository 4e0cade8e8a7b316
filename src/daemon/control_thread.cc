// Whatever changes (a record of the log, the instance list) ends in
// publishView(), which makes one new immutable view for the traffic threads.

#include "daemon/control_thread.h"

#include "base/hash.h"
#include "base/log.h"
#include "route/workspace_shares.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <future>

namespace mimosahub
{

namespace
{

constexpr Duration kLeavePoll = std::chrono::milliseconds(20);
constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr Duration kListInterval = std::chrono::milliseconds(500);

/// Weight of a workspace whose share is 0, so that it is served when nobody else waits.
constexpr double kLeastWeight = 0.001;

/// An incarnation must grow with each start of an instance, which keeps nothing:
/// the start's wall time does, as long as the clock is not set back further
/// than the instance was down. One that is set back is refused by the fold.
Incarnation newIncarnation(const Clock &clock)
{
    return Incarnation(static_cast<std::uint64_t>(clock.wallTime().time_since_epoch().count()));
}

LogLoopOptions logOptions(const Settings &settings, Incarnation incarnation)
{
    LogLoopOptions options;
    options.writer.writer = settings.instance.id;
    options.writer.incarnation = incarnation;
    options.follower.pollInterval = settings.timeouts.logPollInterval;
    options.seed = hashBytes(settings.instance.id.str(), options.writer.incarnation.value());
    return options;
}

} // namespace

absl::StatusOr<std::unique_ptr<ControlThread>> ControlThread::create(const Clock &clock, const Settings &settings,
                                                                     MetricRegistry &metrics, TrafficViews &views)
{
    const auto incarnation = newIncarnation(clock);
    std::unique_ptr<ControlThread> control(new ControlThread(clock, settings, metrics, views, incarnation));
    auto peers = PeerLoop::create(control->m_io, clock, settings, control->m_log, metrics, incarnation);
    if (!peers.ok()) {
        return peers.status();
    }
    control->m_peers = std::move(*peers);
    control->m_orders =
        std::make_unique<OrderLoop>(control->m_io, clock, control->m_log, control->m_pool, control->m_peers->self());
    auto endpoints = EndpointMonitor::create(control->m_io, clock, control->m_pool, settings.charts, metrics);
    if (!endpoints.ok()) {
        return endpoints.status();
    }
    control->m_endpoints = std::move(*endpoints);
    auto rollouts = RolloutLoop::create(clock, control->m_log, settings.charts);
    if (!rollouts.ok()) {
        return rollouts.status();
    }
    control->m_rollouts = std::move(*rollouts);
    return control;
}

ControlThread::ControlThread(const Clock &clock, const Settings &settings, MetricRegistry &metrics, TrafficViews &views,
                             Incarnation incarnation)
    : m_clock(clock),
      m_settings(settings),
      m_views(views),
      m_work(boost::asio::make_work_guard(m_io)),
      m_pool(m_io, clock, {}),
      m_platformLog(m_pool, settings.platform.log, settings.timeouts.platformCall),
      m_instanceList(m_pool, settings.platform.instances, settings.timeouts.platformCall),
      m_log(m_io, clock, m_platformLog, logOptions(settings, incarnation)),
      m_claims(clock, m_log),
      m_snapshots(clock, m_log, metrics, {}, hashBytes(settings.instance.id.str(), incarnation.value())),
      m_tickTimer(m_io),
      m_listTimer(m_io),
      m_appliedGauge(metrics.gauge("mimosahub_log_applied_offset", "Last offset of the log that is applied.")),
      m_listFailures(metrics.counter("mimosahub_instance_list_failures_total", "Failed reads of the instance list.")),
      m_snapshotsLoaded(
          metrics.counter("mimosahub_snapshots_loaded_total", "Snapshots that replaced this daemon's control state."))
{
}

ControlThread::~ControlThread()
{
    stop();
}

void ControlThread::start()
{
    m_log.addListener([this](const FollowerStep &step) { stateChanged(step); });
    m_pool.startSweeping();
    m_log.start();
    m_peers->start();
    m_orders->start();
    m_endpoints->start();
    boost::asio::co_spawn(m_io, tickLoop(), boost::asio::detached);
    boost::asio::co_spawn(m_io, listLoop(), boost::asio::detached);
    m_thread = std::thread([this] { m_io.run(); });
}

void ControlThread::post(std::function<void()> work)
{
    boost::asio::post(m_io, std::move(work));
}

void ControlThread::claim(const ClaimRequest &request, boost::asio::io_context &io, ClaimService::Deliver deliver)
{
    post([this, request, &io, deliver = std::move(deliver)] {
        m_claims.claim(request, [&io, deliver](ClaimNews news) {
            boost::asio::post(io, [deliver, news = std::move(news)] { deliver(news); });
        });
    });
}

void ControlThread::record(ClaimOutcome outcome)
{
    post([this, outcome = std::move(outcome)]() mutable { m_claims.record(std::move(outcome)); });
}

void ControlThread::leave(Duration patience)
{
    post([this] { m_peers->leave(); });
    const auto until = m_clock.now() + patience;
    while (m_clock.now() < until) {
        std::promise<bool> left;
        // Outcomes of keyed calls go first: repeats ask for them.
        post([&] { left.set_value(m_peers->left() && m_claims.unrecorded() == 0); });
        if (left.get_future().get()) {
            return;
        }
        std::this_thread::sleep_for(kLeavePoll);
    }
}

void ControlThread::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    post([this] {
        m_stopped = true;
        m_log.stop();
        m_peers->stop();
        m_orders->stop();
        m_endpoints->stop();
        m_work.reset();
        m_io.stop();
    });
    m_thread.join();
}

http::Awaitable<void> ControlThread::listLoop()
{
    while (!m_stopped) {
        auto listing = co_await m_instanceList.fetch();
        if (listing.ok()) {
            m_peers->setListing(*listing);
        } else {
            m_listFailures.add();
        }
        if (listing.ok() && (listing->endpoints != m_listing.endpoints || listing->daemons != m_listing.daemons)) {
            m_listing = std::move(*listing);
            logEvent(LogLevel::Info, "instance-list-changed")
                .with("endpoints", m_listing.endpoints.size())
                .with("daemons", m_listing.daemons.size());
            m_endpoints->setListing(m_listing, *m_log.state().configuration());
            m_peers->setListed(m_listing.daemons);
            m_orders->stateChanged(m_listing);
            m_tickTimer.wake();
        }
        co_await m_listTimer.sleep(m_clock.now(), std::nullopt, kListInterval);
    }
}

void ControlThread::stateChanged(const FollowerStep &step)
{
    noticeSuccessor();
    m_peers->stateChanged(step);
    m_claims.stateChanged();
    // Without the log no join can be recorded, and serving goes before membership.
    const bool belongs = m_peers->joined() || m_log.follower().logFailing();
    if (m_log.follower().ready() && belongs) {
        takeLifeEvent(life::CaughtUp());
    }
    if (step.applied.empty() && !step.restored) {
        return;
    }
    if (step.restored) {
        m_snapshotsLoaded.add();
        logEvent(LogLevel::Info, "snapshot-loaded").with("applied", m_log.state().appliedOffset());
    }
    m_appliedGauge.set(static_cast<double>(m_log.state().appliedOffset().value()));
    m_endpoints->setListing(m_listing, *m_log.state().configuration());
    m_orders->stateChanged(m_listing);
    refreshEndpoints();
}

/// This process can't write any more and is no member; another took its place.
/// It ends by a planned stop rather than refuse requests for ever.
void ControlThread::noticeSuccessor()
{
    if (m_superseded || !m_log.writer().superseded()) {
        return;
    }
    m_superseded = true;
    logEvent(LogLevel::Error, "superseded").with("instance", m_settings.instance.id);
    m_onSuperseded();
}

void ControlThread::phaseChanged()
{
    m_phase = m_life.phase();
    logEvent(LogLevel::Info, "phase-changed").with("phase", phaseName(m_phase));
}

RowContext ControlThread::rowContext()
{
    RowContext context{
        m_log.state(), m_peers->slotHolder(), m_peers->slotOwner(), m_peers->view().members.size(), m_clock.now(), {}};
    for (const auto &[key, load] : m_workspaces->loads()) {
        context.waitingCalls[key.service] += load.waiting;
    }
    return context;
}

/// Leases, conditions and ramps change by themselves, so that a new view is
/// published with each tick.
http::Awaitable<void> ControlThread::tickLoop()
{
    while (!m_stopped) {
        const auto feedback = m_feedback.takeAll();
        m_endpoints->take(feedback);
        m_rollouts->take(feedback, m_peers->counters());
        m_rollouts->tick(m_peers->counters(), m_peers->peerCounters());
        m_claims.tick();
        m_snapshots.tick();
        refreshEndpoints();
        co_await m_tickTimer.sleep(m_clock.now(), std::nullopt, kTickInterval);
    }
}

/// Lets the endpoints' conditions move on and publishes what came of it.
void ControlThread::refreshEndpoints()
{
    const auto context = rowContext();
    m_endpoints->tick(context);
    publishView(context);
}

void ControlThread::publishView(const RowContext &context)
{
    auto view = std::make_shared<TrafficView>();
    view->configuration = m_log.state().configuration();
    view->applied = m_log.state().appliedOffset();
    view->endpoints = EndpointTable(m_endpoints->rows(context));
    view->versions = m_rollouts->weights();
    shareWorkspaces(*view);
    m_views.store(std::move(view));
}

/// Caps each workspace's calls in each service: its share of the pool over all
/// daemons plus what others leave unused, less what it runs elsewhere.
void ControlThread::shareWorkspaces(TrafficView &view)
{
    const auto elsewhere = m_peers->peerCounters().usage();
    const auto loads = m_workspaces->loads();
    std::vector<InstanceId> members;
    for (const auto &member : m_peers->view().members) {
        members.push_back(member.id);
    }
    for (const auto &[key, load] : loads) {
        m_peers->counters().setInUse({key.service, key.workspace}, static_cast<std::uint32_t>(load.running));
    }
    for (const auto &[id, service] : view.configuration->services) {
        const auto &profile = view.configuration->profiles.at(service.profile);
        const int capacity = view.endpoints.capacity(id);
        std::vector<WorkspaceDemand> demands;
        std::vector<int> others;
        for (const auto &[workspace, unused] : view.configuration->workspaces) {
            const auto own = loads.find({id, workspace});
            const auto other = elsewhere.find({id, workspace});
            WorkspaceDemand demand;
            demand.workspace = workspace;
            demand.share = profile.shareOf(workspace);
            others.push_back(other == elsewhere.end() ? 0 : static_cast<int>(other->second));
            demand.running = others.back() + (own == loads.end() ? 0 : own->second.running);
            demand.waiting = own == loads.end() ? 0 : own->second.waiting;
            demands.push_back(demand);
        }
        const auto allocations = allocatePool(capacity, demands);
        for (std::size_t i = 0; i < allocations.size(); ++i) {
            const auto &workspace = allocations[i].workspace;
            FlowShare share;
            share.weight = std::max(kLeastWeight, demands[i].share);
            share.cap = std::max(equalSplit(allocations[i].total(), workspace.str(), m_settings.instance.id, members),
                                 allocations[i].total() - others[i]);
            share.cap = std::max(1, share.cap);
            view.shares[{id, workspace}] = share;
        }
    }
}

} // namespace mimosahub
