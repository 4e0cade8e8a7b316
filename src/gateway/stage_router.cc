// The planner of a service is found by hashing, so that daemons agree without a
// message. While another daemon has work of ours it is watched: silence makes us
// hand the work to the next one, at the price of some pieces made twice.

#include "gateway/stage_router.h"

#include "base/log.h"
#include "gateway/descriptor_shares.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr Duration kWatchInterval = std::chrono::milliseconds(100);
constexpr Duration kResultSlack = std::chrono::milliseconds(200); ///< After an order expires, until its call fails.
constexpr std::size_t kLeavingFanout = 5; ///< Daemons that are told of a leaving endpoint.
constexpr int kMaxStarts = 4; ///< Of one order, with one daemon after the other.

/// The daemon that it hashes to coordinates the rollouts of \a service.
std::string rolloutKey(const ServiceId &service)
{
    return "rollout of " + service.str();
}

RpcOptions rpcOptions(const GatewaySettings &settings)
{
    RpcOptions options;
    options.listen = settings.listen.peers;
    options.callTimeout = std::chrono::milliseconds(500);
    options.outstandingCalls = 10'000;
    options.maxConnections = DescriptorShares::of(settings.limits.descriptors).peers;
    options.memoryBytes = settings.limits.memoryShares().peers;
    return options;
}

} // namespace

/// One order, wherever it is made.
class StageRouter::Ticket : public StageTicket
{
public:
    Ticket(StageRouter &router, ServiceId service, PieceOrder order, Done done)
        : m_router(router), m_service(std::move(service)), m_order(std::move(order)), m_done(std::move(done))
    {
    }
    ~Ticket() override
    {
        leaveDaemon();
        if (m_address && !m_handles.empty()) {
            m_router.releaseRemote(m_daemon, *m_address, m_service, std::move(m_handles));
        }
    }
    Ticket(const Ticket &) = delete;
    Ticket &operator=(const Ticket &) = delete;

    void keepResults() override
    {
        m_handles.clear();
        if (m_local) {
            m_local->keepResults();
        }
    }

private:
    friend class StageRouter;

    /// Tells the result; the callback may destroy this.
    void tell(PieceOrderResult result)
    {
        const auto done = std::move(m_done);
        done(std::move(result));
    }
    /// Gives up the call to another daemon, if there is one.
    void leaveDaemon()
    {
        if (m_call) {
            m_call.reset();
            m_router.m_daemons.workEnded(m_daemon);
            m_router.m_open.erase(this);
        }
    }

    StageRouter &m_router;
    ServiceId m_service;
    PieceOrder m_order;
    Done m_done;
    int m_starts = 0;
    InstanceId m_daemon;
    std::optional<Address> m_address; ///< Of the other daemon that has, or had, the order.
    std::unique_ptr<StageService::Call> m_call;
    std::unique_ptr<StageTicket> m_local;
    std::vector<ResultHandle> m_handles; ///< Results that the other daemon keeps count of.
};

/// An order of another daemon.
class StageRouter::LocalOrder : public PeerOrder
{
public:
    std::unique_ptr<StageTicket> m_ticket;
};

absl::StatusOr<std::unique_ptr<StageRouter>> StageRouter::create(boost::asio::io_context &io, const Clock &clock,
                                                                 const GatewaySettings &settings, StageRunner &runner,
                                                                 TableRelay &endpointTable, MetricRegistry &metrics)
{
    std::unique_ptr<StageRouter> router(new StageRouter(io, clock, settings, runner, endpointTable, metrics));
    auto options = rpcOptions(settings);
    options.memoryObserver = &router->m_messageMemory;
    auto service = StageService::create(
        options, [&io](std::function<void()> work) { boost::asio::post(io, std::move(work)); }, clock, *router);
    if (!service.ok()) {
        return service.status();
    }
    router->m_service = std::move(*service);
    return router;
}

StageRouter::StageRouter(boost::asio::io_context &io, const Clock &clock, const GatewaySettings &settings,
                         StageRunner &runner, TableRelay &endpointTable, MetricRegistry &metrics)
    : m_clock(clock),
      m_self(settings.instance.id),
      m_dutyKey("duties of " + settings.instance.zone.str()),
      m_relayKey("tables of " + settings.instance.zone.str()),
      m_runner(runner),
      m_endpointTable(endpointTable),
      m_daemons(settings.instance.id, {}),
      m_watchTimer(io),
      m_remote(metrics.counter("mimosahub_stage_orders_remote_total", "Orders handed to other daemons.")),
      m_moved(metrics.counter("mimosahub_stage_orders_moved_total", "Orders handed to one more daemon.")),
      m_messageMemory(clock, metrics, "peers", settings.limits.memoryShares().peers)
{
}

StageRouter::~StageRouter()
{
    m_service->stop();
}

void StageRouter::setDaemons(const std::vector<DaemonEntry> &daemons)
{
    m_daemons.setDaemons(daemons);
    handOff();
}

// Two planners that work on one queue each take the other's endpoints for free.
// The one that no longer plans for a service gives back what it hasn't begun.
void StageRouter::handOff()
{
    std::set<ServiceId> planned;
    for (const auto &load : m_runner.loads()) {
        if (m_daemons.ownerOf(load.service.str()) == m_self) {
            planned.insert(load.service);
        } else if (m_planned.contains(load.service)) {
            logEvent(LogLevel::Info, "planner-moved")
                .with("service", load.service)
                .with("to", m_daemons.ownerOf(load.service.str()))
                .with("queued", load.load.queued);
            m_runner.handOff(load.service);
        }
    }
    m_planned = std::move(planned);
}

std::unique_ptr<StageTicket> StageRouter::submit(const ServiceId &service, PieceOrder order, Done done)
{
    auto ticket = std::make_unique<Ticket>(*this, service, std::move(order), std::move(done));
    start(*ticket);
    return ticket;
}

void StageRouter::start(Ticket &ticket)
{
    ++ticket.m_starts;
    const auto owner = m_daemons.ownerOf(ticket.m_service.str());
    const auto address = m_daemons.addressOf(owner);
    if (owner != m_self && address && ticket.m_starts < kMaxStarts) {
        startRemote(ticket, owner, *address);
        return;
    }
    ticket.m_address.reset();
    ticket.m_local = m_runner.submit(ticket.m_service, ticket.m_order, [this, &ticket](PieceOrderResult result) {
        if (result.outcome == PieceOutcome::Moved) {
            startAgain(ticket, "planner-moved");
        } else {
            ticket.tell(std::move(result));
        }
    });
}

void StageRouter::startRemote(Ticket &ticket, const InstanceId &daemon, const Address &address)
{
    const auto now = m_clock.now();
    ticket.m_daemon = daemon;
    ticket.m_address = address;
    m_daemons.workStarted(daemon, now);
    m_open.insert(&ticket);
    m_remote.add();
    ticket.m_call = m_service->run(
        address, ticket.m_service, ticket.m_order,
        std::max(Duration::zero(), Duration(ticket.m_order.expiresAt - now)) + kResultSlack,
        [this, &ticket](absl::StatusOr<RemoteResult> result) { remoteEnded(ticket, std::move(result)); });
    armWatch();
}

void StageRouter::remoteEnded(Ticket &ticket, absl::StatusOr<RemoteResult> result)
{
    const auto daemon = ticket.m_daemon;
    ticket.leaveDaemon();
    if (!result.ok()) {
        m_daemons.recordFailure(daemon, m_clock.now());
        logEvent(LogLevel::Warning, "planner-failed").with("daemon", daemon).with(result.status());
        startAgain(ticket, "call-failed");
        return;
    }
    m_daemons.recordResponse(daemon, m_clock.now());
    if (result->result.outcome == PieceOutcome::Moved) {
        m_daemons.recordLeaving(daemon);
        startAgain(ticket, "planner-moved");
        return;
    }
    m_loads[ticket.m_service] = result->load;
    ticket.m_handles = result->result.handles;
    ticket.tell(std::move(result->result));
}

void StageRouter::startAgain(Ticket &ticket, std::string_view why)
{
    m_moved.add();
    logEvent(LogLevel::Info, "stage-moved")
        .with("request", ticket.m_order.request)
        .with("service", ticket.m_service)
        .with("from", ticket.m_daemon)
        .with("why", why);
    start(ticket);
}

void StageRouter::armWatch()
{
    if (m_watchArmed || !m_daemons.needsMonitoring()) {
        return;
    }
    m_watchArmed = true;
    m_watchTimer.expires_after(kWatchInterval);
    m_watchTimer.async_wait([this](const boost::system::error_code &ec) {
        m_watchArmed = false;
        if (!ec) {
            watch();
        }
    });
}

void StageRouter::watch()
{
    const auto now = m_clock.now();
    for (const auto &daemon : m_daemons.takeUnresponsive(now)) {
        logEvent(LogLevel::Warning, "planner-silent").with("daemon", daemon);
        std::vector<Ticket *> moved;
        for (auto *ticket : m_open) {
            if (ticket->m_daemon == daemon) {
                moved.push_back(ticket);
            }
        }
        for (auto *ticket : moved) {
            ticket->leaveDaemon();
            startAgain(*ticket, "silent");
        }
    }
    for (const auto &daemon : m_daemons.takePings(now)) {
        if (const auto address = m_daemons.addressOf(daemon)) {
            m_service->ping(*address, [this, daemon](const auto &loads) { pong(daemon, loads); });
        }
    }
    armWatch();
}

void StageRouter::pong(const InstanceId &daemon, const absl::StatusOr<std::vector<ServiceLoad>> &loads)
{
    if (!loads.ok()) {
        m_daemons.recordFailure(daemon, m_clock.now());
        return;
    }
    m_daemons.recordResponse(daemon, m_clock.now());
    for (const auto &load : *loads) {
        if (m_daemons.ownerOf(load.service.str()) == daemon) {
            m_loads[load.service] = load.load;
        }
    }
}

BatchLoad StageRouter::load(const ServiceId &service)
{
    if (m_daemons.ownerOf(service.str()) == m_self) {
        return m_runner.load(service);
    }
    const auto it = m_loads.find(service);
    return it == m_loads.end() ? m_runner.load(service) : it->second;
}

std::unique_ptr<PeerOrder> StageRouter::begin(const ServiceId &service, const PieceOrder &order, OrderDone done)
{
    auto local = std::make_unique<LocalOrder>();
    local->m_ticket = m_runner.submit(
        service, order, [this, service, kept = local.get(), done = std::move(done)](const PieceOrderResult &result) {
            if (kept->m_ticket) {
                kept->m_ticket->keepResults(); // They are the peer's to release.
            }
            done({result, m_runner.load(service)});
        });
    return local;
}

// A planner that is gone or silent releases nothing: its results would fill their
// makers' memory until they expire.
void StageRouter::releaseRemote(const InstanceId &daemon, const Address &address, const ServiceId &service,
                                std::vector<ResultHandle> handles)
{
    if (m_daemons.isResponsive(daemon)) {
        m_service->release(address, service, std::move(handles));
    } else {
        m_runner.release(service, handles);
    }
}

void StageRouter::askTable(StoreTable table, StoreOffset from, const TableQueryClient::AnswerCallback &onAnswer)
{
    const auto relay = m_daemons.ownerOf(m_relayKey);
    const auto address = m_daemons.addressOf(relay);
    if (relay == m_self || !address) {
        onAnswer(std::nullopt);
        return;
    }
    m_service->readTable(*address, table, from, [this, relay, onAnswer](const auto &answer) {
        if (!answer.ok()) {
            m_daemons.recordFailure(relay, m_clock.now());
            logEvent(LogLevel::Warning, "relay-failed").with("daemon", relay).with(answer.status());
        }
        onAnswer(answer.ok() ? *answer : std::nullopt);
    });
}

bool StageRouter::coordinates(const ServiceId &service) const
{
    return m_daemons.ownerOf(rolloutKey(service)) == m_self;
}

void StageRouter::report(const SplitReport &report, RolloutPeers::AnswerCallback onAnswer)
{
    const auto coordinator = m_daemons.ownerOf(rolloutKey(report.rollout.service));
    const auto address = m_daemons.addressOf(coordinator);
    if (!address) {
        onAnswer(std::nullopt);
        return;
    }
    m_service->reportSplit(*address, report, [this, coordinator, onAnswer = std::move(onAnswer)](const auto &answer) {
        if (answer.ok()) {
            m_daemons.recordResponse(coordinator, m_clock.now());
        } else {
            m_daemons.recordFailure(coordinator, m_clock.now());
            armWatch();
            logEvent(LogLevel::Warning, "coordinator-failed").with("daemon", coordinator).with(answer.status());
        }
        onAnswer(answer.ok() ? *answer : std::nullopt);
    });
}

std::optional<SplitDecision> StageRouter::takeSplitReport(const SplitReport &report)
{
    return m_rollouts == nullptr ? std::nullopt : m_rollouts->takeReport(report);
}

void StageRouter::exchangeQuarantines(const InstanceId &peer, const QuarantineMessage &message,
                                      QuarantinePeers::AnswerCallback onAnswer)
{
    const auto address = m_daemons.addressOf(peer);
    if (!address) {
        onAnswer(std::nullopt);
        return;
    }
    m_service->exchangeQuarantines(*address, message, [onAnswer = std::move(onAnswer)](const auto &answer) {
        onAnswer(answer.ok() ? std::optional(*answer) : std::nullopt);
    });
}

QuarantineMessage StageRouter::takeQuarantines(const QuarantineMessage &message)
{
    return m_quarantine == nullptr ? QuarantineMessage() : m_quarantine->takeMessage(message);
}

void StageRouter::spreadLeaving(const EndpointStart &endpoint, Random &random)
{
    auto peers = m_daemons.others();
    std::shuffle(peers.begin(), peers.end(), random.engine());
    peers.resize(std::min(peers.size(), kLeavingFanout));
    for (const auto &peer : peers) {
        if (const auto address = m_daemons.addressOf(peer)) {
            m_service->tellLeaving(*address, {endpoint});
        }
    }
}

void StageRouter::takeLeaving(const std::vector<EndpointStart> &endpoints)
{
    if (m_notices != nullptr) {
        m_notices->takeLeaving(endpoints);
    }
}

InstanceId StageRouter::dutyRelay() const
{
    return m_daemons.ownerOf(m_dutyKey);
}

void StageRouter::reportDuties(const InstanceId &peer, const DutyReport &report, DutyPeers::AnswerCallback onAnswer)
{
    const auto address = m_daemons.addressOf(peer);
    if (!address) {
        onAnswer(std::nullopt);
        return;
    }
    m_service->reportDuties(*address, report, [this, peer, onAnswer = std::move(onAnswer)](const auto &answer) {
        if (answer.ok()) {
            m_daemons.recordResponse(peer, m_clock.now());
        } else {
            m_daemons.recordFailure(peer, m_clock.now());
            armWatch();
        }
        onAnswer(answer.ok() ? std::optional(*answer) : std::nullopt);
    });
}

DutyReportAnswer StageRouter::takeDutyReport(const DutyReport &report)
{
    return m_duties == nullptr ? DutyReportAnswer() : m_duties->takeReport(report);
}

std::optional<TableAnswer> StageRouter::readTable(StoreTable table, StoreOffset from)
{
    return table == StoreTable::Endpoints ? m_endpointTable.answer(from, m_clock.now()) : std::nullopt;
}

void StageRouter::release(const ServiceId &service, const std::vector<ResultHandle> &handles)
{
    m_runner.release(service, handles);
}

std::vector<ServiceLoad> StageRouter::loads()
{
    return m_runner.loads();
}

} // namespace mimosahub
