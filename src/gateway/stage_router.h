#pragma once

#include "base/metrics.h"
#include "follow/table_relay.h"
#include "forward/daemon_directory.h"
#include "gateway/duty_reporter.h"
#include "gateway/gateway_settings.h"
#include "gateway/notice_recorder.h"
#include "gateway/quarantine_director.h"
#include "gateway/rollout_director.h"
#include "gateway/stage_runner.h"
#include "http/memory_metrics.h"
#include "peer/stage_service.h"

#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <set>

namespace mimosahub
{

/// Has pieces made by the daemon that plans the calls of their service, so that
/// pieces of all daemons gather in the same calls. An order whose daemon fails or
/// falls silent goes to the next one. Traffic thread only.
class StageRouter : public StageWork,
                    public RolloutPeers,
                    public QuarantinePeers,
                    public DutyPeers,
                    private StageHandler
{
public:
    /// Opens the port for other daemons. All arguments must outlive the router.
    static absl::StatusOr<std::unique_ptr<StageRouter>> create(boost::asio::io_context &io, const Clock &clock,
                                                               const GatewaySettings &settings, StageRunner &runner,
                                                               TableRelay &endpointTable, MetricRegistry &metrics);
    ~StageRouter() override;

    void setDaemons(const std::vector<DaemonEntry> &daemons);

    [[nodiscard]] std::unique_ptr<StageTicket> submit(const ServiceId &service, PieceOrder order, Done done) override;
    [[nodiscard]] BatchLoad load(const ServiceId &service) override;
    /// Hands other daemons' reports on rollouts to \a director, which must outlive the router.
    void setRollouts(RolloutDirector &director)
    {
        m_rollouts = &director;
    }
    /// Hands what other daemons tell of leaving endpoints to \a notices, which must outlive the router.
    void setNotices(NoticeRecorder &notices)
    {
        m_notices = &notices;
    }
    /// Tells a few other daemons that \a endpoint has said that it is leaving.
    void spreadLeaving(const EndpointStart &endpoint, Random &random);
    /// Hands other daemons' messages on quarantines to \a director, which must outlive the router.
    void setQuarantine(QuarantineDirector &director)
    {
        m_quarantine = &director;
    }
    /// Hands other daemons' reports for duties to \a reporter, which must outlive the router.
    void setDuties(DutyReporter &reporter)
    {
        m_duties = &reporter;
    }
    [[nodiscard]] InstanceId dutyRelay() const override;
    void reportDuties(const InstanceId &peer, const DutyReport &report, DutyPeers::AnswerCallback onAnswer) override;
    [[nodiscard]] std::vector<InstanceId> peers() const override
    {
        return m_daemons.others();
    }
    void exchangeQuarantines(const InstanceId &peer, const QuarantineMessage &message,
                             QuarantinePeers::AnswerCallback onAnswer) override;
    [[nodiscard]] bool coordinates(const ServiceId &service) const override;
    void report(const SplitReport &report, RolloutPeers::AnswerCallback onAnswer) override;
    /// As TableQueryClient::queryTable(); on the traffic thread.
    void askTable(StoreTable table, StoreOffset from, const TableQueryClient::AnswerCallback &onAnswer);

private:
    class Ticket;
    class LocalOrder;

    StageRouter(boost::asio::io_context &io, const Clock &clock, const GatewaySettings &settings, StageRunner &runner,
                TableRelay &endpointTable, MetricRegistry &metrics);

    std::unique_ptr<PeerOrder> begin(const ServiceId &service, const PieceOrder &order, OrderDone done) override;
    void release(const ServiceId &service, const std::vector<ResultHandle> &handles) override;
    std::vector<ServiceLoad> loads() override;
    std::optional<TableAnswer> readTable(StoreTable table, StoreOffset from) override;
    std::optional<SplitDecision> takeSplitReport(const SplitReport &report) override;
    QuarantineMessage takeQuarantines(const QuarantineMessage &message) override;
    void takeLeaving(const std::vector<EndpointStart> &endpoints) override;
    DutyReportAnswer takeDutyReport(const DutyReport &report) override;
    void releaseRemote(const InstanceId &daemon, const Address &address, const ServiceId &service,
                       std::vector<ResultHandle> handles);

    void handOff();
    void start(Ticket &ticket);
    void startRemote(Ticket &ticket, const InstanceId &daemon, const Address &address);
    void remoteEnded(Ticket &ticket, absl::StatusOr<RemoteResult> result);
    void startAgain(Ticket &ticket, std::string_view why);
    void watch();
    void armWatch();
    void pong(const InstanceId &daemon, const absl::StatusOr<std::vector<ServiceLoad>> &loads);

    const Clock &m_clock;
    InstanceId m_self;
    std::string m_dutyKey; ///< The daemon that it hashes to sums the reports of this one's zone.
    std::string m_relayKey; ///< The daemon that it hashes to reads the store's tables for this one.
    StageRunner &m_runner;
    TableRelay &m_endpointTable;
    RolloutDirector *m_rollouts = nullptr;
    QuarantineDirector *m_quarantine = nullptr;
    NoticeRecorder *m_notices = nullptr;
    DutyReporter *m_duties = nullptr;
    DaemonDirectory m_daemons;
    std::map<ServiceId, BatchLoad> m_loads; ///< As other daemons said.
    std::set<ServiceId> m_planned; ///< Services for which this daemon plans.
    std::set<Ticket *> m_open; ///< Orders that other daemons have.
    boost::asio::steady_timer m_watchTimer;
    bool m_watchArmed = false;
    Counter &m_remote;
    Counter &m_moved;
    http::MemoryMetrics m_messageMemory; ///< Of messages of other daemons.
    std::unique_ptr<StageService> m_service; // Last: its callbacks use the others.
};

} // namespace mimosahub
