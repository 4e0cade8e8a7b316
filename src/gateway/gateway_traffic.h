#pragma once

#include "base/metrics.h"
#include "gateway/forwarded_request.h"
#include "gateway/gateway_settings.h"
#include "gateway/stage_router.h"
#include "http/memory_metrics.h"

#include <absl/status/statusor.h>

#include <memory>
#include <thread>

namespace mimosahub
{

/// What the traffic thread shares with the rest of the gateway. Outlives it.
struct GatewayShared {
    const Clock &clock;
    const GatewaySettings &settings;
    const GatewayViews &views;
    const CallProtocol &protocol;
    DutyBoard &duties;
    TableRelay &endpointTable; ///< For daemons that ask this one.
    MetricRegistry &metrics;
};

/// The thread that owns callers' connections, their requests and the calls of
/// stages.
class GatewayTraffic : public TableQueryClient
{
public:
    /// Opens the callers' listening socket.
    static absl::StatusOr<std::unique_ptr<GatewayTraffic>> create(const GatewayShared &shared, std::uint64_t seed);
    ~GatewayTraffic() override;

    void start();
    void queryTable(StoreTable table, StoreOffset from, AnswerCallback onAnswer) override;
    /// The view has changed. Any thread.
    void viewChanged();
    /// How rollouts reach the store. Called on the traffic thread.
    struct RolloutStore {
        std::function<void(const WantedStatus &)> wantStatus;
        std::function<void()> measure;
    };
    /// To be called before start().
    void connectRollouts(RolloutStore store);
    /// How quarantines reach the store. Called on the traffic thread.
    struct QuarantineStore {
        std::function<void(const Quarantine &quarantine, bool own)> want;
        std::function<void(const Quarantine &quarantine, std::function<void(bool)> onResult)> claimTrial;
    };
    /// To be called before start().
    void connectQuarantine(QuarantineStore store);
    /// Takes the quarantines that the store holds. Any thread.
    void takeStoredQuarantines(std::vector<Quarantine> quarantines);
    /// Ends the quarantines of what has \a id at \a service, as an operator wants. Any thread.
    void endQuarantine(const ServiceId &service, const std::string &id);
    /// Any thread.
    [[nodiscard]] const QuarantineList &quarantines() const
    {
        return m_quarantine.list();
    }
    /// The shared budget of second sends has changed. Any thread.
    void setSecondSends(const SecondSendSettings &settings);
    /// Ends each caller's connection with its next answer. Any thread.
    void drain();
    /// Refuses new requests. Any thread.
    void refuseNew();
    /// Gives up the requests that are still open. Any thread.
    void cutShort();
    /// Counters of callers' connections. Any thread.
    [[nodiscard]] const http::ServerCounters &serverCounters() const
    {
        return m_server->counters();
    }
    /// Requests that are not answered yet. Any thread.
    [[nodiscard]] std::uint64_t openRequests() const
    {
        return m_server->counters().busy;
    }
    /// Ends the thread; requests still open are dropped. Any thread but this one.
    void stop();

private:
    GatewayTraffic(const GatewayShared &shared, std::uint64_t seed);
    http::Awaitable<void> handle(http::Exchange &exchange);
    void makeContext();
    void takeView();
    void closeUnlisted(const GatewayView &view);
    void connectNotices();
    /// The view with what its endpoints have said of themselves since.
    [[nodiscard]] GatewayView noticedView();
    void applyRests();
    /// Tells all that choose endpoints that \a endpoint gets nothing until \a until.
    void applyRest(const EndpointStart &endpoint, TimePoint until);
    void boundSecondSends(std::size_t daemons);
    void setStages(const GatewayView &view);
    [[nodiscard]] http::ServerOptions serverOptions(const CallerLimits &limits, Duration longestRequest) const;

    const GatewayShared m_shared;
    http::MemoryMetrics m_memoryMetrics;
    http::MemoryAccount m_memory;
    std::unique_ptr<boost::asio::io_context> m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    Random m_random;
    http::ConnectionPool m_pool;
    NoticeRecorder m_notices;
    StageRunner m_stages;
    std::unique_ptr<StageRouter> m_router;
    EndpointSelector m_selector;
    CrashDetector m_crashes;
    QuarantineDirector m_quarantine;
    SecondSendSettings m_secondSendSettings;
    std::map<ServiceId, RetryBudget> m_secondSends;
    UsualTimes m_usual;
    ForwardMetrics m_metrics;
    std::map<RouteId, PromptAffinity> m_affinities;
    RolloutDirector m_rollouts;
    std::unique_ptr<DutyReporter> m_dutyReporter; ///< Null if there are no duties.
    StopState m_stop;
    std::unique_ptr<ForwardContext> m_context;
    std::shared_ptr<http::Server> m_server;
    std::thread m_thread;
};

} // namespace mimosahub
