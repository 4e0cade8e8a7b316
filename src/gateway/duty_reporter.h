#pragma once

#include "forward/daemon_directory.h"
#include "forward/duty_ledger.h"
#include "forward/true_time.h"
#include "gateway/boot_clock.h"
#include "gateway/duty_board.h"
#include "gateway/gateway_settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <tuple>

namespace mimosahub
{

/// How reports for duties reach other daemons.
class DutyPeers
{
public:
    using AnswerCallback = std::function<void(const std::optional<DutyReportAnswer> &)>;

    virtual ~DutyPeers() = default;
    /// The daemon that sums the reports of this daemon's zone; may be this one.
    [[nodiscard]] virtual InstanceId dutyRelay() const = 0;
    /// Reports to another daemon. \a onAnswer gets its answer; absent if there is none.
    virtual void reportDuties(const InstanceId &peer, const DutyReport &report, AnswerCallback onAnswer) = 0;
};

/// Counts requests by workspace and window of true time, and sends the totals, with the load, to the
/// candidates for the lease of duties, through one daemon of each zone. Traffic thread only.
class DutyReporter
{
public:
    /// Candidates that are told of all zones' sums: one that takes over knows them.
    static constexpr std::size_t kCandidates = 3;

    /// All arguments must outlive this object. \a loads gives this daemon's requests in flight.
    DutyReporter(boost::asio::io_context &io, const GatewaySettings &settings, DutyBoard &board, DutyPeers &peers,
                 std::function<ZoneLoads()> loads);
    ~DutyReporter();
    DutyReporter(const DutyReporter &) = delete;
    DutyReporter &operator=(const DutyReporter &) = delete;

    void start();
    void stop();
    void setDaemons(const std::vector<DaemonEntry> &daemons);
    /// A request of \a workspace began to run \a age ago.
    void recordBegin(const WorkspaceId &workspace, Duration age);
    /// Takes a report of another daemon.
    DutyReportAnswer takeReport(const DutyReport &report);

private:
    struct Receiver {
        ReportMark mark;
        bool inFlight = false;
    };
    using ReceiverKey = std::tuple<InstanceId, ZoneId, bool>; ///< With the report's zone, and whether it is a sum.

    void tick();
    void sendTo(const InstanceId &peer, const DutyReport &full);
    [[nodiscard]] UsageWindowNumber windowAt(WallTime time) const;
    [[nodiscard]] WallTime trueNow();

    const GatewaySettings &m_settings;
    const DutySettings &m_duties;
    DutyBoard &m_board;
    DutyPeers &m_peers;
    std::function<ZoneLoads()> m_loads;
    BootClock m_clock;
    TrueTime m_time;
    DutyReport m_own;
    std::vector<InstanceId> m_candidates;
    std::map<ReceiverKey, Receiver> m_receivers;
    std::shared_ptr<bool> m_running = std::make_shared<bool>(true);
    boost::asio::steady_timer m_timer;
};

} // namespace mimosahub
