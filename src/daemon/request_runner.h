#pragma once

#include "base/random.h"
#include "daemon/answer_sink.h"
#include "daemon/call_feedback.h"
#include "daemon/caller_request.h"
#include "daemon/claim_service.h"
#include "daemon/dispatcher.h"
#include "daemon/endpoint_call.h"
#include "daemon/live_requests.h"
#include "daemon/peer_loop.h"
#include "daemon/request_metrics.h"
#include "daemon/stage_call.h"
#include "daemon/traffic_view.h"
#include "http/connection_pool.h"
#include "request/request_core.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace mimosahub
{

/// The claims of keyed calls, asked from traffic threads.
class ClaimGate
{
public:
    virtual ~ClaimGate() = default;
    /// As ClaimService::claim(); \a deliver runs on \a io.
    virtual void claim(const ClaimRequest &request, boost::asio::io_context &io, ClaimService::Deliver deliver) = 0;
    /// As ClaimService::record().
    virtual void record(ClaimOutcome outcome) = 0;
};

/// What the requests of one traffic thread share. Outlives them.
struct TrafficContext {
    boost::asio::io_context &io;
    const Clock &clock;
    const TrafficViews &views;
    const FreshnessSignal &freshness;
    http::ConnectionPool &pool;
    Dispatcher &dispatcher;
    FeedbackQueue &feedback;
    ClaimGate &claims;
    RequestMetrics &metrics;
    RequestEnvironment environment;
    const IdempotencyOptions &idempotency;
    Random &random;
    LiveRequests &live;
    http::MemoryAccount &memory;
    ZoneId zone; ///< This daemon's availability zone.
};

/// Performs what RequestCore decides for one request, on one traffic thread.
/// Keeps itself alive until the core is closed, which for a keyed call may be
/// after its caller has left.
class RequestRunner : public std::enable_shared_from_this<RequestRunner>
{
public:
    RequestRunner(TrafficContext &context, CallerRequest request);
    ~RequestRunner();
    RequestRunner(const RequestRunner &) = delete;
    RequestRunner &operator=(const RequestRunner &) = delete;

    /// Checks the key and begins.
    void start();
    /// The caller closed its connection.
    void callerLeft();
    /// The daemon stops; an answer is of use until \a lastMoment.
    void stopBefore(TimePoint lastMoment);
    [[nodiscard]] AnswerSink &sink()
    {
        return m_sink;
    }
    [[nodiscard]] const CallerRequest &request() const
    {
        return m_request;
    }

private:
    using Calls = std::map<AttemptId, std::shared_ptr<EndpointCall>>;

    [[nodiscard]] std::optional<Refusal> checkKey();
    [[nodiscard]] RequestPlan makePlan() const;
    void post(RequestEvent event);
    void handleQueued();
    void perform(const ChooseEndpoint &action);
    void perform(const AppendClaim &action);
    void perform(const OpenConnection &action);
    void perform(const SendCall &action);
    void perform(const CancelAttempt &action);
    void perform(const CloseConnection &action);
    void perform(const CommitStage &action);
    void perform(const RelayTokens &action);
    void perform(const SetTimer &action);
    void perform(const RecordOutcome &action);
    void perform(const FinalAnswer &action);
    void takeClaimNews(ClaimNews news);
    [[nodiscard]] std::shared_ptr<EndpointCall> callOf(const AttemptId &attempt) const;
    [[nodiscard]] ServiceKind kindOf(std::size_t stage) const;
    void endCall(const AttemptId &attempt);
    void noteFeedback(const EndpointCall &call, bool ok);
    void noteEvent(const RequestEvent &event);
    void answerWhole(const EndpointCall &call);
    void answerRecorded();
    void recordAnswer(const FinalAnswer &answer);
    void armTimer();
    void timerFired();
    void closeIfDone();

    TrafficContext &m_context;
    CallerRequest m_request;
    std::shared_ptr<const TrafficView> m_view;
    AnswerSink m_sink;
    std::optional<KeyHeaders> m_key;
    std::optional<RequestCore> m_core;
    std::deque<RequestEvent> m_events;
    bool m_handling = false;
    Calls m_calls;
    std::vector<StageResult> m_results;
    std::optional<RecordPosition> m_claim;
    std::optional<ClaimAnswer> m_recorded;
    TimePoint m_arrival;
    boost::asio::steady_timer m_timer;
    std::map<TimePoint, std::vector<RequestTimer>> m_timers;
    bool m_closed = false;
};

} // namespace mimosahub
