// Folds what the followers bring: the configuration, which never goes back within
// a process, the zones that are taken out, and the endpoints. Each change gives a
// new view.

#include "gateway/gateway_control.h"

#include "base/log.h"
#include "gateway/daemon_entry.h"
#include "http/event_loop.h"
#include "http/spawn.h"
#include "mimosahub/error.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

namespace mimosahub
{

namespace
{

constexpr Duration kAnnouncePause = std::chrono::seconds(2);
constexpr BackoffOptions kAnnounceBackoff = {std::chrono::milliseconds(200), 2.0, std::chrono::seconds(2), 0.5};
constexpr Duration kQuarantinePatience = std::chrono::seconds(1); ///< Of a start, once all else was read.
constexpr Duration kLeavePatience = std::chrono::milliseconds(500);

/// A read that waits on a connection that has gone silent keeps an old
/// configuration in force, so the silence is found soon.
http::PoolOptions storePoolOptions()
{
    http::PoolOptions options;
    options.silence = {std::chrono::seconds(1), std::chrono::seconds(1), 1, std::chrono::seconds(2)};
    return options;
}

KeyedFollowerOptions documentOptions(const StoreSettings &settings)
{
    KeyedFollowerOptions options;
    options.table = StoreTable::OperatorDocuments;
    options.wait = settings.documentWait();
    return options;
}

KeyedFollowerOptions daemonOptions()
{
    KeyedFollowerOptions options;
    options.table = StoreTable::Daemons;
    options.pause = std::chrono::milliseconds(300);
    return options;
}

DaemonEntry entryOf(const GatewaySettings &settings, const Clock &clock)
{
    const auto started = static_cast<std::uint64_t>(clock.wallTime().time_since_epoch().count());
    return {settings.instance.id, settings.instance.zone, settings.listen.peers, started, settings.capacity};
}

RelayedStoreOptions relayOptions(const StoreSettings &settings)
{
    RelayedStoreOptions options;
    options.longestAge = settings.leavingBound * 3 / 10;
    options.interval = settings.leavingBound / 4;
    // A document that the relay's read missed is in force after relayWait, two answers of the relay
    // and a read: within the bound on configurations, which is no less than that on leaving.
    options.documents.ownWait = settings.documentWait();
    options.documents.relayWait = settings.documentWait() / 3;
    options.documents.confirmedAge = settings.documentWait() / 2;
    return options;
}

KeyedFollowerOptions endpointOptions(const StoreSettings &settings)
{
    KeyedFollowerOptions options;
    options.table = StoreTable::Endpoints;
    options.pause = settings.endpointPoll();
    options.wait = Duration::zero(); // Read often without waiting, it soon shows whether the store answers.
    return options;
}

} // namespace

GatewayControl::GatewayControl(const Clock &clock, const GatewaySettings &settings, const DocumentReader &documents,
                               const MakeStore &makeStore, TableQueryClient &asker, TableRelay &endpointTable,
                               const DutyShared &duties, MetricRegistry &metrics, GatewayViews &views,
                               Callbacks callbacks, std::uint64_t seed)
    : m_clock(clock),
      m_documents(documents),
      m_views(views),
      m_callbacks(std::move(callbacks)),
      m_work(boost::asio::make_work_guard(m_io)),
      m_random(seed),
      m_pool(m_io, clock, storePoolOptions()),
      m_store(std::make_unique<RelayedStore>(m_io, clock, makeStore(m_pool, settings.store.address), documents, asker,
                                             endpointTable, relayOptions(settings.store))),
      m_operators(m_io, *m_store, *this, m_random, documentOptions(settings.store)),
      m_endpoints(m_io, *m_store, *this, m_random, endpointOptions(settings.store)),
      m_daemons(m_io, *m_store, *this, m_random, daemonOptions()),
      m_rollouts(m_io, clock, *m_store, documents, *this, m_random),
      m_quarantines(m_io, clock, *m_store, *this, m_random,
                    [this](std::vector<Quarantine> stored) { m_callbacks.quarantinesStored(std::move(stored)); }),
      m_duties(settings.duties && settings.duties->any()
                   ? std::make_unique<DutyLoop>(m_io, *m_store, m_pool, static_cast<KeyedFollower::Listener &>(*this),
                                                m_random, settings, duties, metrics)
                   : nullptr),
      m_directory(settings.store.lapseGrace),
      m_self(entryOf(settings, clock)),
      m_announceTimer(m_io),
      m_expiryTimer(m_io),
      m_quarantineTimer(m_io),
      m_unreadable(metrics),
      m_lateEntries(metrics.counter("mimosahub_endpoint_entries_late_total",
                                    "Endpoints' entries that were older than what was known.")),
      m_storeFailures(metrics.counter("mimosahub_store_calls_failed_total", "Calls of the store that failed.")),
      m_version(metrics.gauge("mimosahub_configuration_version", "The configuration in force.")),
      m_eraGauge(metrics.gauge("mimosahub_store_era", "How often the store has come back from a copy, as it states.")),
      m_rereads(metrics.counter("mimosahub_store_rereads_total", "Tables that were read again in a new era.")),
      m_lostKeys(metrics.counter("mimosahub_store_lost_keys_total",
                                 "Keys in force whose newest record the store has lost by coming back from a copy."))
{
}

GatewayControl::~GatewayControl()
{
    stop();
}

void GatewayControl::start()
{
    m_pool.startSweeping();
    m_operators.start();
    m_endpoints.start();
    m_daemons.start();
    m_quarantines.start();
    if (m_duties) {
        m_duties->start();
    }
    http::spawn(m_io, announceLoop());
    m_thread = std::thread([this] { http::runEventLoop(m_io, "control"); });
}

void GatewayControl::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    auto withdrawn = boost::asio::co_spawn(m_io, withdraw(), boost::asio::use_future);
    withdrawn.wait_for(kLeavePatience);
    boost::asio::post(m_io, [this] {
        m_operators.stop();
        m_endpoints.stop();
        m_daemons.stop();
        m_rollouts.stop();
        m_quarantines.stop();
        if (m_duties) {
            m_duties->stop();
        }
        m_io.stop();
    });
    m_thread.join();
}

void GatewayControl::tableChanged(StoreTable table, std::vector<KeyedChange> changes, bool complete)
{
    for (const auto &change : changes) {
        if (!change.value) {
            m_unreadable.remove(table, change.key);
        }
        try {
            takeChange(table, change);
        } catch (const std::exception &e) { // One document must not hide those after it.
            m_unreadable.add(table, change.key, absl::InternalError(e.what()));
        }
    }
    if (table == StoreTable::Status) {
        m_rollouts.takeChanges(changes, complete);
    }
    if (table == StoreTable::Quarantines) {
        m_quarantines.takeChanges(changes, complete);
    }
    if (complete && m_rereading.erase(table) > 0) {
        recordReread(table);
    }
    if (table == StoreTable::Duties) {
        m_duties->takeChanges(changes, complete);
        return;
    }
    m_endpointsRead = m_endpointsRead || (table == StoreTable::Endpoints && complete);
    publish();
}

void GatewayControl::takeChange(StoreTable table, const KeyedChange &change)
{
    switch (table) {
    case StoreTable::OperatorDocuments:
        takeDocument(change);
        break;
    case StoreTable::Endpoints:
        if (!change.lost || change.lapsed) { // With an earlier entry in the copy, the known one stays.
            takeEndpoint(change);
        }
        break;
    case StoreTable::Daemons:
        takeDaemon(change);
        break;
    case StoreTable::Status:
    case StoreTable::Quarantines:
    case StoreTable::Duties:
        break; // Taken as a whole.
    }
}

void GatewayControl::takeDocument(const KeyedChange &change)
{
    if (change.lost) {
        return; // It stays in force until the operators' documents say otherwise.
    }
    const auto name = m_documents.documentName(change.key);
    if (name.kind == DocumentName::Kind::Evacuation) {
        if (change.value) {
            m_closedZones[change.key] = ZoneId(name.name);
        } else {
            m_closedZones.erase(change.key);
        }
        logEvent(LogLevel::Info, change.value ? "zone-closed" : "zone-open").with("zone", name.name);
        return;
    }
    if (name.kind == DocumentName::Kind::Rollout) {
        takeRollout(change);
        return;
    }
    if (name.kind != DocumentName::Kind::Configuration || !change.value) {
        return;
    }
    auto configuration = m_documents.configuration(*change.value);
    if (!configuration.ok()) {
        m_unreadable.add(StoreTable::OperatorDocuments, change.key, configuration.status());
        return;
    }
    m_unreadable.remove(StoreTable::OperatorDocuments, change.key);
    if (m_configuration && (*configuration)->version() <= m_configuration->version()) {
        return;
    }
    m_configuration = *std::move(configuration);
    m_version.set(static_cast<double>(m_configuration->version().value()));
    logEvent(LogLevel::Info, "configuration")
        .with("version", m_configuration->version())
        .with("routes", m_configuration->parts().routes.size());
}

// An order that is dropped stays in force: whether its target is sound is still open.
void GatewayControl::takeRollout(const KeyedChange &change)
{
    if (!change.value) {
        return;
    }
    const auto order = m_documents.rollout(*change.value);
    if (!order.ok()) {
        m_unreadable.add(StoreTable::OperatorDocuments, change.key, order.status());
        return;
    }
    m_rollouts.takeOrder(*order, RolloutRecord(change.offset.value()), change.rewritten);
}

void GatewayControl::takeEndpoint(const KeyedChange &change)
{
    const EndpointId id(change.key);
    const auto *known = m_directory.find(id);
    if (!change.value) {
        if (known != nullptr) {
            logEvent(LogLevel::Info, "endpoint-gone").with("endpoint", id).with("service", known->info.service);
        }
        m_directory.remove(id, m_clock.now());
        m_newest.remove(id, m_clock.now());
        return;
    }
    auto endpoint = m_documents.endpoint(change.key, *change.value);
    const auto verdict = endpoint.ok() ? m_newest.take(*endpoint, m_clock.now()) : NewestEntries::Verdict::Newer;
    if (verdict == NewestEntries::Verdict::Older) {
        m_lateEntries.add();
        return;
    }
    if (verdict == NewestEntries::Verdict::Startless) {
        endpoint = errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "store",
                           "an endpoint's entry lacks the time of its start, which earlier ones told");
    }
    if (!endpoint.ok()) {
        m_unreadable.add(StoreTable::Endpoints, change.key, endpoint.status());
        m_directory.remove(id, m_clock.now());
        return;
    }
    m_unreadable.remove(StoreTable::Endpoints, change.key);
    const bool news = known == nullptr || known->info != endpoint->info || known->startedAtMs != endpoint->startedAtMs;
    if (news) {
        logEvent(LogLevel::Info, "endpoint")
            .with("endpoint", id)
            .with("service", endpoint->info.service)
            .with("version", endpoint->info.version)
            .with("zone", endpoint->info.zone)
            .with("address", endpoint->info.address.str())
            .with("leaving", endpoint->info.leaving)
            .with("cold_left", endpoint->coldLeft);
    }
    m_directory.put(*std::move(endpoint));
}

void GatewayControl::takeDaemon(const KeyedChange &change)
{
    const InstanceId id(change.key);
    if (change.lost) { // Each daemon writes its own again; until then the known ones stay.
        if (id == m_self.id) {
            m_selfLost = true;
            m_announceTimer.cancel();
        }
        return;
    }
    const auto entry = change.value ? readDaemonEntry(change.key, *change.value) : absl::NotFoundError("");
    if (change.value && !entry.ok()) {
        m_unreadable.add(StoreTable::Daemons, change.key, entry.status());
    }
    if (entry.ok()) {
        m_unreadable.remove(StoreTable::Daemons, change.key);
        m_listedDaemons[id] = *entry;
    } else {
        m_listedDaemons.erase(id);
    }
    logEvent(LogLevel::Info, entry.ok() ? "daemon" : "daemon-gone").with("daemon", id);
    if (id == m_self.id) {
        m_announceTimer.cancel(); // The loop looks whether the entry is still this process's.
    }
}

/// Keeps this daemon's entry in the store.
http::Awaitable<void> GatewayControl::announceLoop()
{
    int failures = 0;
    while (!m_withdrawn) {
        const auto it = m_listedDaemons.find(m_self.id);
        if (it != m_listedDaemons.end() && it->second == m_self && !m_selfLost) {
            m_announceTimer.expires_after(std::chrono::hours(1));
            co_await m_announceTimer.async_wait(http::kTuple);
            continue;
        }
        const auto result =
            co_await m_store->append(StoreTable::Daemons, m_self.id.str(), writeDaemonEntry(m_self), std::nullopt);
        failures = result == AppendResult::Appended ? 0 : failures + 1;
        if (m_selfLost) {
            logEvent(LogLevel::Info, "daemon-entry-restored").with("result", appendResultName(result));
            m_selfLost = result != AppendResult::Appended;
        }
        // What was appended is met again by the follower.
        const auto pause = failures == 0 ? kAnnouncePause : backoffDelay(kAnnounceBackoff, failures, m_random);
        m_announceTimer.expires_after(pause);
        co_await m_announceTimer.async_wait(http::kTuple);
    }
}

http::Awaitable<void> GatewayControl::withdraw()
{
    m_withdrawn = true;
    static_cast<void>(co_await m_store->append(StoreTable::Daemons, m_self.id.str(), std::nullopt, std::nullopt));
}

void GatewayControl::wantStatus(const WantedStatus &wanted)
{
    boost::asio::post(m_io, [this, wanted] { m_rollouts.want(wanted); });
}

void GatewayControl::measureStore()
{
    http::spawn(m_io, measure());
}

http::Awaitable<void> GatewayControl::measure()
{
    co_await m_rollouts.measureStore();
    if (!m_withdrawn) {
        publish();
    }
}

void GatewayControl::wantQuarantine(const Quarantine &quarantine, bool own)
{
    boost::asio::post(m_io, [this, quarantine, own] { m_quarantines.want(quarantine, own); });
}

void GatewayControl::claimTrial(const Quarantine &quarantine, std::function<void(bool)> onResult)
{
    boost::asio::post(m_io, [this, quarantine, onResult = std::move(onResult)]() mutable {
        m_quarantines.claim(quarantine, std::move(onResult));
    });
}

void GatewayControl::leave()
{
    boost::asio::post(m_io, [this] {
        m_self.leaving = true;
        m_announceTimer.cancel();
    });
}

void GatewayControl::publish()
{
    auto view = std::make_shared<GatewayView>();
    view->configuration = m_configuration;
    view->endpoints = m_directory.list();
    for (const auto &[key, zone] : m_closedZones) {
        view->closedZones.insert(zone);
    }
    for (const auto &[id, entry] : m_listedDaemons) {
        if (id == m_self.id) {
            m_rollouts.setRank(static_cast<int>(view->daemons.size()));
            m_quarantines.setRank(static_cast<int>(view->daemons.size()));
        }
        view->daemons.push_back(entry);
    }
    view->rollouts = m_rollouts.list();
    view->storeTime = m_rollouts.storeTime();
    if (m_duties) {
        m_duties->setView(*view);
    }
    m_views.store(std::move(view));
    checkCaughtUp();
    m_callbacks.viewChanged();
    armExpiry();
}

// Without the quarantines a daemon would send what all others refuse. The other daemons
// tell them, too, so that it doesn't wait for long if only that table can't be read.
void GatewayControl::checkCaughtUp()
{
    if (m_caughtUp || !m_configuration || !m_endpointsRead) {
        return;
    }
    if (m_quarantines.complete() || m_quarantineWaitOver) {
        m_caughtUp = true;
    } else if (!std::exchange(m_quarantineWaitBegun, true)) {
        m_quarantineTimer.expires_after(kQuarantinePatience);
        m_quarantineTimer.async_wait([this](const boost::system::error_code &ec) {
            if (!ec) {
                m_quarantineWaitOver = true;
                checkCaughtUp();
            }
        });
    }
}

void GatewayControl::armExpiry()
{
    const auto next = m_directory.nextExpiry();
    if (!next) {
        return;
    }
    m_expiryTimer.expires_after(*next - m_clock.now());
    m_expiryTimer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec && m_directory.expire(m_clock.now())) {
            publish();
        }
    });
}

// A daemon that reads endpoints' entries from another one doesn't see that the store
// has lost its read of documents; that the other one knows more of them shows it.
void GatewayControl::compareDocuments()
{
    m_store->setDocumentOffset(m_documentsReached ? m_operators.next() : StoreOffset(0));
    if (m_store->documentsMissing(m_operators.next())) {
        logEvent(LogLevel::Warning, "documents-missing")
            .with("next", m_operators.next().value())
            .with("era", m_operators.next().era());
        m_operators.restartRead();
    }
}

void GatewayControl::storeReached(StoreTable table)
{
    m_documentsReached = m_documentsReached || table == StoreTable::OperatorDocuments;
    compareDocuments();
    if (m_storeLost) {
        m_storeLost = false;
        m_directory.storeReturned(m_clock.now());
        for (auto *follower : followers()) {
            if (follower->table() != table && follower->table() != StoreTable::Status) {
                follower->restartRead();
            }
        }
        if (m_duties && table != StoreTable::Duties) {
            m_duties->storeRegained();
        }
        if (table != StoreTable::Status) {
            m_rollouts.storeRegained();
        }
        logEvent(LogLevel::Info, "store-regained").with("table", storeTableName(table));
    }
}

std::vector<KeyedFollower *> GatewayControl::followers()
{
    return {&m_operators, &m_endpoints, &m_daemons, &m_quarantines.follower(), &m_rollouts.follower()};
}

// Entries that lapsed because the copy lacks them get the same grace period as after an outage.
void GatewayControl::eraEntered(StoreTable table, StoreEra era)
{
    m_rereading.insert(table);
    if (era <= m_era) {
        return;
    }
    logEvent(LogLevel::Warning, "store-era")
        .with("era", era)
        .with("before", m_era)
        .with("table", storeTableName(table));
    m_era = era;
    m_eraGauge.set(static_cast<double>(era.value()));
    m_directory.storeReturned(m_clock.now());
    for (auto *follower : followers()) {
        follower->learnEra(era);
    }
}

void GatewayControl::recordReread(StoreTable table)
{
    const auto all = followers();
    const auto it = std::find_if(all.begin(), all.end(), [&](const auto *it) { return it->table() == table; });
    const auto &summary = (*it)->eraSummary();
    m_rereads.add();
    m_lostKeys.add(summary.lost);
    logEvent(LogLevel::Info, "store-table-reread")
        .with("table", storeTableName(table))
        .with("era", m_era)
        .with("confirmed", summary.confirmed)
        .with("outdated", summary.outdated)
        .with("lost", summary.lost);
}

void GatewayControl::storeFailed(StoreTable table, const absl::Status &status)
{
    m_storeFailures.add();
    if (table == StoreTable::OperatorDocuments) {
        m_documentsReached = false;
        compareDocuments();
    }
    if (!m_storeLost) {
        m_storeLost = true;
        m_pool.clear(); // What is idle may be as dead as the connection that failed.
        logEvent(LogLevel::Warning, "store-lost").with("table", storeTableName(table)).with(status);
    }
}

} // namespace mimosahub
