#pragma once

#include "base/metrics.h"
#include "follow/keyed_follower.h"
#include "forward/duty_lease.h"
#include "forward/scale_planner.h"
#include "forward/true_time.h"
#include "gateway/boot_clock.h"
#include "gateway/duty_board.h"
#include "gateway/duty_calls.h"
#include "gateway/duty_documents.h"
#include "gateway/gateway_settings.h"
#include "gateway/gateway_view.h"
#include "http/connection_pool.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>

namespace mimosahub
{

/// What the duties need of the rest of the daemon. Outlives the loop.
struct DutyShared {
    const DutyCalls &calls;
    DutyBoard &board;
};

/// Holds the lease of the deployment's duties in turn with the other daemons, and carries the
/// duties out while it does. Control thread only.
class DutyLoop
{
public:
    /// All arguments must outlive this object. \a listener gets the table's changes and
    /// hands them to takeChanges().
    DutyLoop(boost::asio::io_context &io, KeyedStore &store, http::ConnectionPool &pool,
             KeyedFollower::Listener &listener, Random &random, const GatewaySettings &settings,
             const DutyShared &shared, MetricRegistry &metrics);

    void start();
    void stop();
    /// Takes changes of the table of duties. \a complete: all of them were read.
    void takeChanges(const std::vector<KeyedChange> &changes, bool complete);
    void setView(const GatewayView &view);
    /// The store answers again after it was lost.
    void storeRegained();

private:
    struct Counters {
        explicit Counters(MetricRegistry &metrics);

        Gauge &holds;
        Gauge &token;
        Counter &reports;
        Counter &orders;
        Counter &failures;
        Counter &takeOvers;
    };

    http::Awaitable<void> leaseLoop();
    http::Awaitable<void> watchLoop();
    http::Awaitable<void> callLoop();
    http::Awaitable<void> writeLease(DutyLeaseRecord record);
    http::Awaitable<void> reportUsage();
    /// Writes the counts of \a window to the store; false if they can't be relied on yet.
    http::Awaitable<bool> agree(UsageWindowNumber window);
    http::Awaitable<void> orderScale();
    /// Sends \a request if the lease holds right before; absent: nothing was sent.
    http::Awaitable<std::optional<DutyOutcome>> call(http::Request request, std::string_view matter);
    /// Waits until the follower has read the record that was appended at \a offset.
    http::Awaitable<void> awaitRecord(StoreOffset offset);
    void startFollower(std::string_view why);
    void observeLoads();
    /// A call of the platform failed without a response.
    void noteUnreached(std::string_view matter);
    void noteHolder();
    void publishStatus();
    [[nodiscard]] DutyCaller caller() const;
    [[nodiscard]] std::uint64_t tokenFloor() const;
    http::Awaitable<void> sleep(boost::asio::steady_timer &timer, Duration duration);

    boost::asio::io_context &m_io;
    KeyedStore &m_store;
    http::ConnectionPool &m_pool;
    const GatewaySettings &m_settings;
    const DutySettings &m_duties;
    const DutyCalls &m_calls;
    DutyBoard &m_board;
    BootClock m_clock;
    TrueTime m_time;
    KeyedFollower m_follower;
    DutyLease m_lease;
    ScalePlanner m_planner;
    Counters m_counters;
    std::shared_ptr<const GatewayConfiguration> m_configuration;
    std::map<std::pair<ServiceId, ZoneId>, int> m_endpoints; ///< Listed ones that stay.
    std::optional<int> m_rank; ///< Among the candidates for the lease.
    std::map<UsageWindowNumber, UsageCounts> m_agreed; ///< The first counts that were read for a window.
    std::set<UsageWindowNumber> m_settled; ///< Windows that the platform has taken or that can't be reported.
    std::optional<DutyLeaseRecord> m_shown; ///< The holder that was logged last.
    TimePoint m_shownAt;
    TimePoint m_observeAt;
    std::optional<TimePoint> m_unreachedSince; ///< No call has got a response since.
    bool m_alone = true; ///< No other daemon may hold the lease.
    bool m_held = false;
    bool m_following = false;
    bool m_complete = false;
    bool m_stopped = false;
    boost::asio::steady_timer m_leaseTimer;
    boost::asio::steady_timer m_watchTimer;
    boost::asio::steady_timer m_callTimer;
};

} // namespace mimosahub
