// One thread: an instance has a fraction of a core, so that a second one would
// only take turns with the first.

#include "gateway/gateway_traffic.h"

#include "gateway/descriptor_shares.h"
#include "http/event_loop.h"
#include "http/socket_buffers.h"

#include <boost/asio/post.hpp>

#include <set>

namespace mimosahub
{

namespace
{

/// Sums over all daemons stay within the deployment's bound, whatever their number
/// is believed to be at the moment.
constexpr double kSafeShare = 0.6;

/// The part of the budget of bodies whose size those may have in the kernel that wait for room.
constexpr std::uint64_t kWaitingShare = 8;
constexpr std::size_t kLeastWaiting = 16;
constexpr std::size_t kMostWaiting = 256;

RetryBudgetOptions secondSendOptions(const SecondSendSettings &settings, std::size_t daemons)
{
    const auto window = std::chrono::duration<double>(settings.window).count();
    const auto each = settings.extra / static_cast<double>(std::max<std::size_t>(1, daemons));
    RetryBudgetOptions options;
    options.fraction = settings.ratio * kSafeShare;
    options.burst = std::max(1.0, each * kSafeShare / 2.0);
    options.perSecond = window > 0.0 ? each * kSafeShare / 2.0 / window : 0.0;
    return options;
}

std::optional<ExposureLimit> exposureLimit(const GatewaySettings &settings)
{
    if (!settings.rollouts) {
        return std::nullopt;
    }
    return ExposureLimit{settings.rollouts->exposureShare, settings.rollouts->exposureSlack};
}

Duration longestTimeout(const GatewayConfiguration &configuration)
{
    Duration longest{};
    for (const auto &route : configuration.parts().routes) {
        longest = std::max(longest, route.timeout);
    }
    return longest;
}

http::MemoryOptions memoryOptions(const InstanceLimits &limits)
{
    http::MemoryOptions options;
    options.budget = limits.memoryShares().requests;
    options.roomWait = limits.roomWait;
    // Each body that waits leaves up to twice its buffer in the kernel.
    const auto waiting = options.budget / kWaitingShare / (std::uint64_t(2) * http::kCallerReceiveBytes);
    options.maxWaiting = std::clamp<std::size_t>(waiting, kLeastWaiting, kMostWaiting);
    return options;
}

http::PoolOptions poolOptions(const DescriptorShares &shares)
{
    http::PoolOptions options;
    options.maxIdleTotal = shares.idleToEndpoints;
    return options;
}

} // namespace

absl::StatusOr<std::unique_ptr<GatewayTraffic>> GatewayTraffic::create(const GatewayShared &shared, std::uint64_t seed)
{
    std::unique_ptr<GatewayTraffic> traffic(new GatewayTraffic(shared, seed));
    auto *self = traffic.get();
    auto router = StageRouter::create(*self->m_io, shared.clock, shared.settings, self->m_stages, shared.endpointTable,
                                      shared.metrics);
    if (!router.ok()) {
        return router.status();
    }
    self->m_router = std::move(*router);
    self->m_router->setNotices(self->m_notices);
    if (shared.settings.duties && shared.settings.duties->any()) {
        self->m_dutyReporter =
            std::make_unique<DutyReporter>(*self->m_io, shared.settings, shared.duties, *self->m_router,
                                           [self] { return self->m_selector.inFlightByZone(); });
        self->m_router->setDuties(*self->m_dutyReporter);
    }
    self->makeContext();
    auto server =
        http::Server::listen(*self->m_io, shared.settings.listen.callers, self->serverOptions({}, Duration::zero()),
                             [self](http::Exchange &exchange) { return self->handle(exchange); });
    if (!server.ok()) {
        return server.status();
    }
    (*server)->setMemory(self->m_memory);
    traffic->m_server = *server;
    return traffic;
}

GatewayTraffic::GatewayTraffic(const GatewayShared &shared, std::uint64_t seed)
    : m_shared(shared),
      m_memoryMetrics(shared.clock, shared.metrics, "requests", shared.settings.limits.memoryShares().requests),
      m_memory(shared.clock, memoryOptions(shared.settings.limits)),
      m_io(std::make_unique<boost::asio::io_context>(1)),
      m_work(boost::asio::make_work_guard(*m_io)),
      m_random(seed),
      m_pool(*m_io, shared.clock, poolOptions(DescriptorShares::of(shared.settings.limits.descriptors))),
      m_notices(shared.clock, m_random, shared.metrics),
      m_stages(*m_io, shared.clock, shared.protocol, m_pool, m_notices, shared.metrics),
      m_crashes(*m_io, shared.clock, m_pool, shared.metrics),
      m_quarantine(*m_io, shared.clock, shared.metrics, m_random),
      m_secondSendSettings(shared.settings.secondSends),
      m_metrics(shared.metrics),
      m_rollouts(*m_io, shared.clock, shared.settings.instance.id, seed, exposureLimit(shared.settings), shared.metrics,
                 m_random)
{
    m_memory.setObserver(&m_memoryMetrics);
    connectNotices();
}

void GatewayTraffic::connectNotices()
{
    // Applied in a turn of its own: the answer that brought the notice is still being read.
    m_notices.connect({[this] { boost::asio::post(*m_io, [this] { takeView(); }); },
                       [this](const EndpointStart &endpoint, TimePoint until) { applyRest(endpoint, until); },
                       [this](const EndpointStart &endpoint) { m_router->spreadLeaving(endpoint, m_random); }});
}

void GatewayTraffic::makeContext()
{
    m_context = std::make_unique<ForwardContext>(ForwardContext{*m_io,
                                                                m_shared.clock,
                                                                m_shared.protocol,
                                                                m_shared.views,
                                                                m_pool,
                                                                *m_router,
                                                                m_selector,
                                                                m_notices,
                                                                m_crashes,
                                                                m_quarantine,
                                                                m_secondSends,
                                                                secondSendOptions(m_secondSendSettings, 1),
                                                                m_usual,
                                                                m_metrics,
                                                                m_affinities,
                                                                m_rollouts,
                                                                m_random,
                                                                m_stop,
                                                                m_memory,
                                                                m_shared.settings.instance.zone,
                                                                m_dutyReporter.get()});
}

GatewayTraffic::~GatewayTraffic()
{
    stop();
    // Requests still open are coroutines held by m_io and use the other members.
    m_server.reset();
    m_rollouts.stop();
    m_quarantine.stop();
    m_stages.stop();
    m_router.reset();
    m_dutyReporter.reset(); // Its timer is one of m_io.
    m_pool.stop();
    m_io.reset();
}

void GatewayTraffic::start()
{
    m_server->start();
    m_pool.startSweeping();
    if (m_dutyReporter) {
        m_dutyReporter->start();
    }
    m_thread = std::thread([this] { http::runEventLoop(*m_io, "traffic"); });
}

void GatewayTraffic::stop()
{
    m_work.reset();
    m_io->stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void GatewayTraffic::queryTable(StoreTable table, StoreOffset from, AnswerCallback onAnswer)
{
    boost::asio::post(
        *m_io, [this, table, from, onAnswer = std::move(onAnswer)] { m_router->askTable(table, from, onAnswer); });
}

void GatewayTraffic::viewChanged()
{
    boost::asio::post(*m_io, [this] { takeView(); });
}

void GatewayTraffic::setSecondSends(const SecondSendSettings &settings)
{
    boost::asio::post(*m_io, [this, settings] {
        m_secondSendSettings = settings;
        takeView();
    });
}

void GatewayTraffic::drain()
{
    m_server->drain();
}

void GatewayTraffic::refuseNew()
{
    boost::asio::post(*m_io, [this] { m_stop.refusing = true; });
}

void GatewayTraffic::cutShort()
{
    boost::asio::post(*m_io, [this] {
        for (auto *request : m_stop.open) {
            request->cutShort();
        }
    });
}

GatewayView GatewayTraffic::noticedView()
{
    auto view = *m_shared.views.load();
    m_notices.notices().markLeaving(view.endpoints);
    return view;
}

void GatewayTraffic::takeView()
{
    const auto view = noticedView();
    if (!view.configuration) {
        return;
    }
    const auto daemons = std::max<std::size_t>(1, view.daemons.size());
    std::size_t rank = 0;
    for (std::size_t i = 0; i < view.daemons.size(); ++i) {
        if (view.daemons[i].id == m_shared.settings.instance.id) {
            rank = i;
        }
    }
    m_selector.setDaemons(static_cast<int>(daemons), static_cast<int>(rank));
    m_selector.setListing(view.endpoints, *view.configuration, view.closedZones, m_shared.clock.now());
    m_crashes.takeListing(view.endpoints);
    boundSecondSends(daemons);
    m_router->setDaemons(view.daemons);
    if (m_dutyReporter) {
        m_dutyReporter->setDaemons(view.daemons);
    }
    m_rollouts.setView(view);
    setStages(view);
    applyRests();
    closeUnlisted(view);
    const auto &configuration = *view.configuration;
    m_server->setLimits(serverOptions(configuration.parts().limits, longestTimeout(configuration)));
}

/// \a longestRequest: the longest time-out of a route. A body that comes within it is in time.
http::ServerOptions GatewayTraffic::serverOptions(const CallerLimits &limits, Duration longestRequest) const
{
    http::ServerOptions options;
    options.maxConnections = DescriptorShares::of(m_shared.settings.limits.descriptors).callers;
    options.maxHeaderBytes = limits.headerBytes;
    options.maxBodyBytes = limits.bodyBytes;
    options.headerTimeout = limits.headerTimeout;
    options.idleTimeout = limits.idleTimeout;
    options.bodyTimeout = std::max(options.bodyTimeout, longestRequest);
    options.receiveBufferBytes = http::kCallerReceiveBytes;
    options.bodyReceiveBufferBytes = http::kBodyReceiveBytes;
    options.sendBufferBytes = http::kCallerSendBytes;
    options.requestIdField = m_shared.protocol.requestIdField();
    return options;
}

// An endpoint that has ended or leaves is called no more.
void GatewayTraffic::closeUnlisted(const GatewayView &view)
{
    std::set<Address> called;
    for (const auto &endpoint : view.endpoints) {
        if (!endpoint.info.leaving) {
            called.insert(endpoint.info.address);
        }
    }
    m_pool.retain(called);
}

// An endpoint whose entry was missing for a while is new to those that choose.
void GatewayTraffic::applyRests()
{
    for (const auto &[endpoint, until] : m_notices.notices().rests(m_shared.clock.now())) {
        applyRest(endpoint, until);
    }
}

void GatewayTraffic::applyRest(const EndpointStart &endpoint, TimePoint until)
{
    m_selector.recordRest(endpoint, until);
    m_stages.recordRest(endpoint, until);
}

void GatewayTraffic::boundSecondSends(std::size_t daemons)
{
    m_context->secondSendOptions = secondSendOptions(m_secondSendSettings, daemons);
    for (auto &[service, budget] : m_secondSends) {
        budget.setOptions(m_context->secondSendOptions, m_shared.clock.now());
    }
}

// Calls for stages keep to the versions that their service's rollout admits.
void GatewayTraffic::setStages(const GatewayView &view)
{
    if (view.rollouts.empty()) {
        m_stages.setView(view);
        return;
    }
    auto stages = view;
    std::erase_if(stages.endpoints, [this](const ListedEndpoint &endpoint) {
        const auto filter = m_rollouts.stageVersion(endpoint.info.service);
        return filter && !filter->admits(endpoint.info.version);
    });
    m_stages.setView(stages);
}

void GatewayTraffic::connectRollouts(RolloutStore store)
{
    m_router->setRollouts(m_rollouts);
    m_rollouts.connect(*m_router, {std::move(store.wantStatus), std::move(store.measure), [this] {
                                       setStages(noticedView());
                                       applyRests();
                                   }});
}

void GatewayTraffic::connectQuarantine(QuarantineStore store)
{
    m_router->setQuarantine(m_quarantine);
    m_quarantine.connect(*m_router, {std::move(store.want), std::move(store.claimTrial), [this] {
                                         for (auto *request : m_stop.open) {
                                             request->wake();
                                         }
                                     }});
    m_crashes.onCrash(
        [this](const ListedEndpoint &endpoint, const auto &sends) { m_quarantine.recordCrash(endpoint, sends); });
}

void GatewayTraffic::takeStoredQuarantines(std::vector<Quarantine> quarantines)
{
    boost::asio::post(*m_io, [this, quarantines = std::move(quarantines)] { m_quarantine.takeStored(quarantines); });
}

void GatewayTraffic::endQuarantine(const ServiceId &service, const std::string &id)
{
    boost::asio::post(*m_io, [this, service, id] { m_quarantine.end(service, id); });
}

http::Awaitable<void> GatewayTraffic::handle(http::Exchange &exchange)
{
    ForwardedRequest request(*m_context, exchange);
    std::optional<std::string> failure;
    try {
        co_await request.run();
    } catch (const std::exception &error) {
        if (http::isCancellation(error)) {
            throw;
        }
        failure = error.what();
    }
    if (failure) {
        co_await request.fail(std::move(*failure));
    }
}

} // namespace mimosahub
