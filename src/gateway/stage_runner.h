#pragma once

#include "base/metrics.h"
#include "forward/recent_answers.h"
#include "gateway/call_protocol.h"
#include "gateway/gateway_view.h"
#include "gateway/notice_recorder.h"
#include "gateway/stage_work.h"
#include "http/connection_pool.h"
#include "peer/stage_service.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>

namespace mimosahub
{

/// Makes the calls that batch planners decide on, one planner for each service
/// with stages. Traffic thread only.
class StageRunner : public StageWork
{
public:
    /// All arguments must outlive the runner.
    StageRunner(boost::asio::io_context &io, const Clock &clock, const CallProtocol &protocol,
                http::ConnectionPool &pool, NoticeRecorder &notices, MetricRegistry &metrics);
    ~StageRunner() override;

    /// Plans nothing more; to be called before the io context ends.
    void stop();
    /// Takes the endpoints and the services' rules.
    void setView(const GatewayView &view);
    /// \a endpoint gets nothing until \a until, since it wants a rest.
    void recordRest(const EndpointStart &endpoint, TimePoint until);

    [[nodiscard]] std::unique_ptr<StageTicket> submit(const ServiceId &service, PieceOrder order, Done done) override;
    [[nodiscard]] BatchLoad load(const ServiceId &service) override;
    /// Results are no longer needed, whoever planned them.
    void release(const ServiceId &service, const std::vector<ResultHandle> &handles);
    /// Another daemon plans for \a service now: ends the orders that wait here.
    void handOff(const ServiceId &service);
    /// The load of each service.
    [[nodiscard]] std::vector<ServiceLoad> loads() const;

private:
    class Ticket;
    class FailedTicket;
    struct Desk {
        explicit Desk(boost::asio::io_context &io, const BatchRule &rule) : planner(rule, {}), timer(io)
        {
        }
        BatchPlanner planner;
        std::vector<ListedEndpoint> endpoints; ///< Those of the service, as the planner has them.
        std::map<PieceOrderId, Done> waiting;
        std::map<BatchCallId, http::ClientConnection *> connections; ///< Of the calls in flight.
        std::optional<boost::asio::steady_timer> timer; ///< Absent once stopped.
        bool pumpPosted = false;
        int refused = 0; ///< Orders not done since the last line on the load.
        TimePoint nextLoadLine;
    };

    /// An endpoint's answer to a batch.
    struct BatchAnswer {
        EndpointHead head;
        absl::StatusOr<std::vector<PieceResult>> results; ///< InvalidArgument if they can't be read.
    };

    Desk *deskOf(const ServiceId &service);
    void schedule(const ServiceId &service);
    void pump(const ServiceId &service);
    void giveUpCalls(const ServiceId &service, Desk &desk);
    void logLoad(const ServiceId &service, Desk &desk);
    void armTimer(const ServiceId &service, Desk &desk);
    http::Awaitable<void> run(ServiceId service, BatchCall call);
    /// Sends \a call and reads its answer, passing over copies of earlier ones. Errors: as of
    /// http::ClientConnection::call(); DataLoss if only copies come.
    http::Awaitable<absl::StatusOr<BatchAnswer>> send(const BatchCall &call, http::ClientConnection &connection);
    http::Awaitable<void> drop(ServiceId service, ResultRelease release);
    http::Awaitable<void> dropAtMaker(ServiceId service, Address maker, std::vector<ResultHandle> handles);
    http::Awaitable<void> ask(ServiceId service, MemoryQuery question);
    void release(const ServiceId &service, Desk &desk, const std::vector<ResultHandle> &handles);
    /// The endpoint of \a service at \a address, as listed; absent if there is none.
    [[nodiscard]] std::optional<ListedEndpoint> listedAt(const ServiceId &service, const Address &address);
    [[nodiscard]] bool rests(const ServiceId &service, const Address &address);
    /// Takes what the endpoint at \a address says of itself in \a answer to \a call.
    void takeNotices(const ServiceId &service, const Address &address, const http::Response &answer,
                     std::string_view call);
    void failed(const ServiceId &service, const BatchCall &call, BatchFailure failure, const absl::Status &status);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    const CallProtocol &m_protocol;
    http::ConnectionPool &m_pool;
    NoticeRecorder &m_notices;
    std::map<ServiceId, std::unique_ptr<Desk>> m_desks;
    RecentAnswers m_recentAnswers;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    Counter &m_calls;
    Counter &m_pieces;
    Counter &m_failedCalls;
    Counter &m_copies;
    Histogram &m_fillWaits;
    Histogram &m_timeOverEstimate;
};

} // namespace mimosahub
