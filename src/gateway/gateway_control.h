#pragma once

#include "base/metrics.h"
#include "follow/keyed_follower.h"
#include "forward/endpoint_directory.h"
#include "forward/newest_entries.h"
#include "gateway/document_reader.h"
#include "gateway/duty_loop.h"
#include "gateway/gateway_settings.h"
#include "gateway/gateway_view.h"
#include "gateway/quarantine_store_loop.h"
#include "gateway/relayed_store.h"
#include "gateway/rollout_status_loop.h"
#include "gateway/unreadable_documents.h"
#include "http/connection_pool.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <thread>

namespace mimosahub
{

/// The thread that owns a gateway's control state: it follows the store's tables
/// and publishes what the traffic thread reads.
class GatewayControl : private KeyedFollower::Listener
{
public:
    /// Makes the store's client, which may use the pool.
    using MakeStore = std::function<std::unique_ptr<KeyedStore>(http::ConnectionPool &pool, const Address &address)>;

    struct Callbacks {
        std::function<void()> viewChanged; ///< Called after each new view.
        std::function<void(std::vector<Quarantine>)> quarantinesStored; ///< As the store holds them.
    };

    /// All arguments must outlive this object.
    GatewayControl(const Clock &clock, const GatewaySettings &settings, const DocumentReader &documents,
                   const MakeStore &makeStore, TableQueryClient &asker, TableRelay &endpointTable,
                   const DutyShared &duties, MetricRegistry &metrics, GatewayViews &views, Callbacks callbacks,
                   std::uint64_t seed);
    ~GatewayControl() override;

    void start();
    /// Tells the others that this daemon stops soon, so that they hand it no more
    /// work. Any thread.
    void leave();
    /// Takes this daemon's entry back, waiting for the store, but not for long, and
    /// ends the thread. Any thread but this one.
    void stop();
    /// Has a rollout's status written. Any thread.
    void wantStatus(const WantedStatus &wanted);
    /// Measures how long the store takes to answer, and shows it in the view. Any thread.
    void measureStore();
    /// Has a quarantine written; see QuarantineStoreLoop::want(). Any thread.
    void wantQuarantine(const Quarantine &quarantine, bool own);
    /// Claims a trial; see QuarantineStoreLoop::claim(). \a onResult is called on the control
    /// thread. Any thread.
    void claimTrial(const Quarantine &quarantine, std::function<void(bool)> onResult);
    [[nodiscard]] boost::asio::io_context &io()
    {
        return m_io;
    }
    /// A configuration and the endpoints are known. Any thread.
    [[nodiscard]] bool caughtUp() const
    {
        return m_caughtUp;
    }

private:
    void tableChanged(StoreTable table, std::vector<KeyedChange> changes, bool complete) override;
    void storeReached(StoreTable table) override;
    void storeFailed(StoreTable table, const absl::Status &status) override;
    void eraEntered(StoreTable table, StoreEra era) override;

    void takeDocument(const KeyedChange &change);
    void takeRollout(const KeyedChange &change);
    void takeEndpoint(const KeyedChange &change);
    void takeDaemon(const KeyedChange &change);
    http::Awaitable<void> measure();
    http::Awaitable<void> announceLoop();
    http::Awaitable<void> withdraw();
    [[nodiscard]] std::vector<KeyedFollower *> followers();
    // All keys of a table were read in a new era.
    void recordReread(StoreTable table);
    void publish();
    void checkCaughtUp();
    void armExpiry();
    void compareDocuments();
    void takeChange(StoreTable table, const KeyedChange &change);

    const Clock &m_clock;
    const DocumentReader &m_documents;
    GatewayViews &m_views;
    Callbacks m_callbacks;
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    Random m_random;
    http::ConnectionPool m_pool;
    std::unique_ptr<RelayedStore> m_store;
    KeyedFollower m_operators;
    KeyedFollower m_endpoints;
    KeyedFollower m_daemons;
    RolloutStatusLoop m_rollouts;
    QuarantineStoreLoop m_quarantines;
    std::unique_ptr<DutyLoop> m_duties; ///< Null if there are no duties.
    EndpointDirectory m_directory;
    NewestEntries m_newest; ///< Of endpoints.
    std::shared_ptr<const GatewayConfiguration> m_configuration;
    std::map<std::string, ZoneId> m_closedZones; ///< By the key of the order.
    DaemonEntry m_self;
    std::map<InstanceId, DaemonEntry> m_listedDaemons;
    bool m_withdrawn = false;
    bool m_selfLost = false; ///< The store came back from a copy that lacks this daemon's entry.
    StoreEra m_era; ///< Of the store.
    std::set<StoreTable> m_rereading; ///< Tables whose keys have not all been read in this era.
    boost::asio::steady_timer m_announceTimer;
    bool m_endpointsRead = false;
    bool m_documentsReached = false; ///< The last read of operators' documents succeeded: others may rely on it.
    bool m_storeLost = false;
    boost::asio::steady_timer m_expiryTimer;
    boost::asio::steady_timer m_quarantineTimer;
    bool m_quarantineWaitBegun = false;
    bool m_quarantineWaitOver = false;
    std::atomic<bool> m_caughtUp{false};
    UnreadableDocuments m_unreadable;
    Counter &m_lateEntries;
    Counter &m_storeFailures;
    Gauge &m_version;
    Gauge &m_eraGauge;
    Counter &m_rereads;
    Counter &m_lostKeys;
    std::thread m_thread;
};

} // namespace mimosahub
