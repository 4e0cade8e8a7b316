#pragma once

#include "base/random.h"
#include "forward/endpoint_selector.h"
#include "forward/retry_obstacle.h"
#include "forward/send_policy.h"
#include "gateway/answer_memory.h"
#include "gateway/call_protocol.h"
#include "gateway/counted_send.h"
#include "gateway/crash_detector.h"
#include "gateway/duty_reporter.h"
#include "gateway/endpoint_send.h"
#include "gateway/forward_metrics.h"
#include "gateway/forwarded_stream.h"
#include "gateway/gateway_view.h"
#include "gateway/notice_recorder.h"
#include "gateway/quarantine_director.h"
#include "gateway/request_sends.h"
#include "gateway/request_stages.h"
#include "gateway/usual_times.h"
#include "http/connection_pool.h"
#include "http/server.h"
#include "request/retry_budget.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace mimosahub
{

class ForwardedRequest;

/// How far the daemon's stop is.
struct StopState {
    bool refusing = false; ///< New requests are refused: the balancer sends none any more.
    std::set<ForwardedRequest *> open; ///< Requests that are not answered.
};

/// What the forwarded requests of one traffic thread share. Outlives them.
struct ForwardContext {
    boost::asio::io_context &io;
    const Clock &clock;
    const CallProtocol &protocol;
    const GatewayViews &views;
    http::ConnectionPool &pool;
    StageWork &stages;
    EndpointSelector &selector;
    NoticeRecorder &notices;
    CrashDetector &crashes;
    QuarantineDirector &quarantine;
    std::map<ServiceId, RetryBudget> &secondSends;
    RetryBudgetOptions secondSendOptions;
    UsualTimes &usual;
    ForwardMetrics &metrics;
    std::map<RouteId, PromptAffinity> &affinities;
    RolloutDirector &rollouts;
    Random &random;
    StopState &stop;
    http::MemoryAccount &memory;
    ZoneId zone; ///< This daemon's.
    DutyReporter *usage; ///< Counts requests that run; null if usage is not reported.
};

/// The life of one request that is forwarded as it is: route, stages, sends, and
/// the answer. Lives within the coroutine of its caller's connection; when the
/// caller leaves, it is destroyed, which gives up all that is under way.
class ForwardedRequest : private StreamObserver
{
public:
    ForwardedRequest(ForwardContext &context, http::Exchange &exchange);
    ~ForwardedRequest() override;
    ForwardedRequest(const ForwardedRequest &) = delete;
    ForwardedRequest &operator=(const ForwardedRequest &) = delete;

    /// Serves the request to its end.
    http::Awaitable<void> run();
    /// Refuses the request, since run() ended by an exception, described by \a what.
    http::Awaitable<void> fail(std::string what);
    /// The daemon ends: gives the request up now.
    void cutShort();
    /// Something changed that may end the request while it waits for its stages.
    void wake();

private:
    class Source;

    /// How a send ended.
    struct SendReport {
        SendResult result = SendResult::Lost;
        EndpointHead head;
        std::optional<http::Response> answer; ///< A whole answer that was read.
        std::string why; ///< For the log.
        SendLoss loss = SendLoss::None; ///< Of a result Lost.
    };

    [[nodiscard]] std::optional<Refusal> resolve();
    /// Takes the memory that a stream needs, before any of it is sent for.
    [[nodiscard]] std::optional<Refusal> reserveMemory();
    /// Why the request may not be sent, since it holds content that is quarantined.
    http::Awaitable<std::optional<Refusal>> checkQuarantine();
    [[nodiscard]] std::optional<Refusal> quarantineRefusal() const;
    http::Awaitable<std::optional<Refusal>> prepare();
    [[nodiscard]] Duration comeBackAfter();
    http::Awaitable<void> forward();
    [[nodiscard]] std::optional<AnswerTimes> answerTimes() const;
    http::Awaitable<SendReport> sendOnce(std::unique_ptr<EndpointSend> send);
    [[nodiscard]] LostSend lostSend() const;
    /// Whether \a report says something of the version of its endpoint: a connection that broke
    /// under content that nobody has seen answered may say more of the content.
    [[nodiscard]] bool speaksOfVersion(const SendReport &report) const;
    /// Sends \a call, which gets the body of the caller's request for that time.
    http::Awaitable<absl::Status> sendWithBody(http::ClientConnection &connection, http::Request call);
    http::Awaitable<SendReport> exchangeWith(EndpointSend &send, http::Request request);
    /// Reads the header of the answer to a send, and passes over answers to other requests. Absent
    /// if none came that is surely this send's; \a report says why.
    http::Awaitable<std::optional<http::Response>> receiveHead(EndpointSend &send, SendReport &report);
    /// Ends a send that the endpoint refused unrun.
    http::Awaitable<SendReport> takeRefusal(http::ClientConnection &connection, SendReport report);
    /// Ends a send whose answer, of a call that may have run, has a status that promises callers
    /// the opposite.
    http::Awaitable<SendReport> withhold(EndpointSend &send, SendReport report);
    /// Whether \a head is surely of the answer to this send, and no copy of an earlier one that
    /// the endpoint wrote on the same connection.
    [[nodiscard]] bool isOwnAnswer(const EndpointHead &head, const http::ClientConnection &connection) const;
    /// False if the endpoint stayed silent and is given up.
    http::Awaitable<bool> awaitFirstByte(EndpointSend &send);
    /// Reads more of a stream; DeadlineExceeded if the endpoint stayed silent and is given up.
    http::Awaitable<absl::StatusOr<std::string>> readStream(EndpointSend &send);
    /// Passes on a stream whose header is \a head.
    http::Awaitable<SendReport> relay(EndpointSend &send, const http::Response &head, SendReport report);
    void eventsCame() override;
    void pauseBegan() override;
    void pauseEnded(Duration paused, bool goesOn) override;
    http::Awaitable<void> refuse(Refusal refusal);
    [[nodiscard]] bool inputsFit() const;
    [[nodiscard]] Refusal refusalAfter(const SendReport &report) const;
    /// Why a request that may have run is given up after \a report.
    [[nodiscard]] Reason reasonAfter(const SendReport &report) const;
    [[nodiscard]] Refusal refusalAfterException(std::string problem) const;
    [[nodiscard]] Duration left() const;
    [[nodiscard]] Duration firstPatience() const;
    /// The outcome that a refusal may report.
    [[nodiscard]] Outcome outcome() const;
    [[nodiscard]] RetryObstacle obstacle() const;
    [[nodiscard]] SendSituation situation() const;
    [[nodiscard]] ForwardOptions options(const EndpointId &endpoint) const;
    void noteFirstByte();
    void recordUsage();
    void noteStreamCut();
    void logEnd(std::string_view outcome, std::string_view detail);

    ForwardContext &m_context;
    http::Exchange &m_exchange;
    std::shared_ptr<const GatewayView> m_view;
    TimePoint m_arrival;
    TimePoint m_giveUpAt;
    TimePoint m_uselessAt; ///< The caller no longer waits for an answer that hasn't begun.
    CallerCall m_call;
    const RouteRule *m_route = nullptr;
    const WorkspaceRule *m_workspace = nullptr;
    ServiceId m_service;
    int m_rank = 0; ///< 0 is the most urgent.
    std::string m_affinity;
    std::vector<ContentId> m_contents; ///< What it asks for, by which it is quarantined.
    bool m_isTrial = false; ///< Let through to see whether a quarantine can end.
    std::unique_ptr<RequestSends> m_sends; ///< Once its route and service are known.

    std::unique_ptr<RequestStages> m_stages; ///< From the request's preparation on.
    Duration m_stageTime{};

    bool m_streamCut = false; ///< The stream ends before its end.
    SendLoss m_loss = SendLoss::None; ///< Of the last send.
    std::optional<CountedSend> m_counted; ///< The send that is under way.
    std::optional<Duration> m_firstByte; ///< From the send to the answer or its first event.
    TimePoint m_sentAt;
    EndpointId m_endpoint; ///< Of the last send.
    std::set<Address> m_refusedAt; ///< Where endpoints refused it.
    http::ClientConnection *m_connection = nullptr; ///< Of the send under way.
    AnswerMemory m_memory;
    ForwardedStream m_stream;
    bool m_sending = false; ///< A send has begun whose end m_sends doesn't know yet.
    bool m_logged = false;
    bool m_usageCounted = false;
};

} // namespace mimosahub
