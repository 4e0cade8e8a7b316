#pragma once

#include "base/random.h"
#include "forward/endpoint_selector.h"
#include "forward/event_splitter.h"
#include "forward/retry_obstacle.h"
#include "forward/send_policy.h"
#include "gateway/call_protocol.h"
#include "gateway/crash_detector.h"
#include "gateway/endpoint_send.h"
#include "gateway/forward_metrics.h"
#include "gateway/gateway_view.h"
#include "gateway/quarantine_director.h"
#include "gateway/request_stages.h"
#include "gateway/rollout_director.h"
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
    ZoneId zone; ///< This daemon's.
};

/// The life of one request that is forwarded as it is: route, stages, sends, and
/// the answer. Lives within the coroutine of its caller's connection; when the
/// caller leaves, it is destroyed, which gives up all that is under way.
class ForwardedRequest
{
public:
    ForwardedRequest(ForwardContext &context, http::Exchange &exchange);
    ~ForwardedRequest();
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
    /// How a send ended.
    struct SendReport {
        SendResult result = SendResult::Lost;
        EndpointHead head;
        std::optional<http::Response> answer; ///< A whole answer that was read.
        std::string why; ///< For the log.
        SendLoss loss = SendLoss::None; ///< Of a result Lost.
    };

    [[nodiscard]] std::optional<Refusal> resolve();
    /// Why the request may not be sent, since its prompt holds a part that is quarantined.
    http::Awaitable<std::optional<Refusal>> checkQuarantine();
    [[nodiscard]] std::optional<Refusal> quarantineRefusal() const;
    http::Awaitable<std::optional<Refusal>> prepare();
    [[nodiscard]] Duration comeBackAfter();
    http::Awaitable<void> forward();
    /// The request's next send; \a repeat: it was sent before, so the send takes a token.
    [[nodiscard]] std::variant<std::unique_ptr<EndpointSend>, NoEndpointChosen> nextSend(bool repeat);
    /// The endpoint that \a query and a rollout of its service select, with a send that is
    /// counted there.
    [[nodiscard]] std::variant<std::unique_ptr<EndpointSend>, NoEndpointChosen> chooseSend(EndpointQuery query);
    [[nodiscard]] std::optional<AnswerTimes> answerTimes() const;
    http::Awaitable<SendReport> sendOnce(std::unique_ptr<EndpointSend> send);
    [[nodiscard]] LostSend lostSend() const;
    /// Whether \a report says something of the version of its endpoint: a connection that broke
    /// under content that nobody has seen answered may say more of the content.
    [[nodiscard]] bool speaksOfVersion(const SendReport &report) const;
    [[nodiscard]] NextStep stepAfter(const SendReport &report);
    http::Awaitable<SendReport> exchangeWith(EndpointSend &send, http::Request request);
    /// False if the endpoint stayed silent and is given up.
    http::Awaitable<bool> awaitFirstByte(EndpointSend &send);
    /// Reads more of a stream; DeadlineExceeded if the endpoint stayed silent and is given up.
    http::Awaitable<absl::StatusOr<std::string>> readStream(EndpointSend &send);
    http::Awaitable<SendReport> relay(EndpointSend &send, const http::Response &head, SendReport report);
    /// The endpoint of \a send was silent for longer than usual, for the \a silences-th time in a
    /// row. True if it is given up: m_successor takes over, or no time is left.
    http::Awaitable<bool> replaceSilent(EndpointSend &send, int silences);
    /// Takes the tokens with which the silent endpoint of \a send may be left for m_successor;
    /// none if something stands in the way.
    [[nodiscard]] RetryObstacle takeTokensToLeave(EndpointSend &send, int silences);
    /// Sets m_successor to a send to another endpoint, connected, if nothing stands in the way.
    http::Awaitable<RetryObstacle> findSuccessor();
    /// A send to the endpoint that was given up for its silence, which makes it no further
    /// endpoint of the request; null if it can't be asked. Once only. Draws on m_fallbackRetry.
    [[nodiscard]] std::unique_ptr<EndpointSend> fallbackSend();
    http::Awaitable<bool> passOn(const std::string &events, const http::Response &head);
    http::Awaitable<void> refuse(Refusal refusal);
    [[nodiscard]] bool inputsFit() const;
    [[nodiscard]] Refusal refusalAfter(const SendReport &report) const;
    [[nodiscard]] Refusal refusalAfterException(std::string problem) const;
    [[nodiscard]] RetryBudget &retryBudget();
    [[nodiscard]] RetryObstacle obstacleToRetry();
    [[nodiscard]] Duration left() const;
    [[nodiscard]] Duration firstPatience() const;
    [[nodiscard]] EndpointQuery query() const;
    [[nodiscard]] ForwardOptions options(const EndpointId &endpoint) const;
    void noteFirstByte();
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
    std::vector<std::string> m_sharedParts; ///< Of its prompt.
    bool m_isTrial = false; ///< Let through to see whether a quarantine can end.
    SendPolicy m_policy{{}};

    std::unique_ptr<RequestStages> m_stages; ///< From the request's preparation on.
    Duration m_stageTime{};

    std::vector<EndpointId> m_tried;
    std::unique_ptr<EndpointSend> m_successor; ///< The next send, if it is secured already.
    std::optional<EndpointId> m_silent; ///< The endpoint that was given up for its silence.
    std::unique_ptr<ReservedRetry> m_fallbackRetry; ///< For m_silent, until another endpoint's answer begins.
    EventSplitter m_events;
    bool m_streamBegun = false; ///< The caller has got the header of a stream.
    bool m_streamCut = false; ///< The stream ends before its end.
    SendLoss m_loss = SendLoss::None; ///< Of the last send.
    RetryObstacle m_obstacle = RetryObstacle::None; ///< To the last send that was wanted.
    std::optional<Duration> m_firstByte; ///< From the send to the answer or its first event.
    TimePoint m_sentAt;
    EndpointId m_endpoint; ///< Of the last send.
    http::ClientConnection *m_connection = nullptr; ///< Of the send under way.
    bool m_sending = false; ///< A send has begun whose end m_policy doesn't know yet.
    bool m_logged = false;
};

} // namespace mimosahub
