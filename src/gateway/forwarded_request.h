#pragma once

#include "base/random.h"
#include "forward/endpoint_selector.h"
#include "forward/event_splitter.h"
#include "forward/send_policy.h"
#include "forward/stage_graph.h"
#include "gateway/call_protocol.h"
#include "gateway/forward_metrics.h"
#include "gateway/gateway_view.h"
#include "gateway/rollout_director.h"
#include "gateway/stage_work.h"
#include "gateway/usual_times.h"
#include "http/client.h"
#include "http/server.h"
#include "request/retry_budget.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
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
    /// The daemon ends: gives the request up now.
    void cutShort();

private:
    /// One send while it is under way.
    struct Send;
    /// A stage whose results won't come.
    struct StageFailure {
        std::size_t stage = 0;
        PieceOutcome outcome = PieceOutcome::Failed;
    };
    /// How a send ended.
    struct SendReport {
        SendResult result = SendResult::Lost;
        EndpointHead head;
        std::optional<http::Response> answer; ///< A whole answer that was read.
        std::string why; ///< For the log.
    };

    [[nodiscard]] std::optional<Refusal> resolve();
    http::Awaitable<std::optional<Refusal>> prepare();
    [[nodiscard]] Duration comeBackAfter();
    [[nodiscard]] std::string describe(const StageFailure &failure);
    void beginStages();
    [[nodiscard]] PieceOrder orderOf(std::size_t stage) const;
    [[nodiscard]] Duration restAfter(std::size_t stage) const;
    [[nodiscard]] Duration leastAfter(std::size_t stage) const;
    [[nodiscard]] std::optional<ZoneId> zoneOf(const ResultHandle &handle) const;
    http::Awaitable<void> forward();
    [[nodiscard]] std::variant<ListedEndpoint, NoEndpointChosen> chooseEndpoint(EndpointQuery &query);
    [[nodiscard]] std::optional<AnswerTimes> answerTimes() const;
    http::Awaitable<SendReport> sendOnce(const ListedEndpoint &endpoint, const EndpointQuery &query);
    http::Awaitable<SendReport> exchangeWith(http::ClientConnection &connection, http::Request request,
                                             Duration patience);
    http::Awaitable<SendReport> relay(http::ClientConnection &connection, const http::Response &head,
                                      SendReport report);
    http::Awaitable<bool> passOn(const std::string &events, const http::Response &head);
    http::Awaitable<void> refuse(Refusal refusal);
    [[nodiscard]] Refusal refusalAfter(const SendReport &report) const;
    [[nodiscard]] bool mayRetry();
    [[nodiscard]] Duration left() const;
    [[nodiscard]] Duration firstPatience() const;
    [[nodiscard]] EndpointQuery query() const;
    [[nodiscard]] ForwardOptions options(const EndpointId &endpoint) const;
    void noteFirstByte();
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
    std::optional<ZoneId> m_engineZone; ///< Where the request will probably run.
    SendPolicy m_policy{{}};

    std::optional<StageGraph> m_graph;
    std::map<std::size_t, std::unique_ptr<StageTicket>> m_tickets; ///< By stage.
    std::optional<StageFailure> m_stageFailure;
    boost::asio::steady_timer m_stageNews;
    Duration m_stageTime{};

    std::vector<EndpointId> m_tried;
    EventSplitter m_events;
    bool m_streamBegun = false; ///< The caller has got the header of a stream.
    std::optional<Duration> m_firstByte; ///< From the send to the answer or its first event.
    TimePoint m_sentAt;
    EndpointId m_endpoint; ///< Of the last send.
    http::ClientConnection *m_connection = nullptr; ///< Of the send under way.
    bool m_logged = false;
};

} // namespace mimosahub
