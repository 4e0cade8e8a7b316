// A loop of events and actions: whatever happens is queued as an event, the core
// turns it into actions, and each action starts I/O that ends in events. One
// thread runs it all, so that no two events of a request are handled at once.

#include "daemon/request_runner.h"

#include "base/log.h"
#include "mimosahub/error.h"

#include <boost/asio/detached.hpp>

namespace mimosahub
{

namespace
{

/// I/O outlives the core's own timers by this much; they decide, not it.
constexpr Duration kIoGrace = std::chrono::seconds(1);
/// What an engine saves with a cached prompt prefix.
constexpr Duration kPrefixSaving = std::chrono::milliseconds(20);
constexpr int kFirstServerError = 500;

} // namespace

RequestRunner::RequestRunner(TrafficContext &context, CallerRequest request)
    : m_context(context),
      m_request(std::move(request)),
      m_view(context.views.load()),
      m_sink(context.io),
      m_arrival(context.clock.now()),
      m_timer(context.io)
{
    m_context.live.add(*this);
}

RequestRunner::~RequestRunner()
{
    m_context.live.remove(*this);
}

ServiceKind RequestRunner::kindOf(std::size_t stage) const
{
    return m_view->configuration->services.at(m_request.stages[stage].service).kind;
}

/// Reads the key of a request with a non-idempotent stage.
std::optional<Refusal> RequestRunner::checkKey()
{
    const auto &options = m_context.idempotency;
    auto key =
        parseKeyHeaders(options, m_request.idempotencyKey, m_request.idempotencyExpires, m_context.clock.wallTime());
    if (!key.ok()) {
        return makeRefusal(Reason::BadRequest, std::string(key.status().message()), Step::Parse);
    }
    const bool idempotent = std::all_of(m_request.stages.begin(), m_request.stages.end(),
                                        [](const Stage &stage) { return stage.idempotent; });
    if (idempotent) {
        return std::nullopt;
    }
    m_key = *key;
    auto decision =
        decideKey(options, m_key, bodyDigest(m_request.target, m_request.body), {}, m_context.clock.wallTime());
    if (decision.action == KeyAction::Refuse) {
        return decision.refusal;
    }
    return std::nullopt;
}

RequestPlan RequestRunner::makePlan() const
{
    RequestPlan plan;
    const auto now = m_context.clock.now();
    plan.request = m_request.id;
    plan.workspace = m_request.workspace;
    plan.deadline = now + m_request.deadline;
    if (m_key) {
        plan.key = m_key->key;
        plan.keyValidUntil = keyValidUntil(m_context.idempotency, m_key->expiry, now, m_context.clock.wallTime());
    }
    for (const auto &stage : m_request.stages) {
        const auto &service = m_view->configuration->services.at(stage.service);
        StagePlan it;
        it.stage = stage.id;
        it.service = stage.service;
        it.call = stage.call;
        it.idempotent = stage.idempotent;
        it.streaming = service.kind == ServiceKind::Engine;
        it.resumable = service.kind == ServiceKind::Engine;
        it.typicalTime = service.typicalTime;
        plan.stages.push_back(std::move(it));
    }
    return plan;
}

void RequestRunner::start()
{
    if (!m_context.freshness.fresh(m_context.clock.now())) {
        const auto refusal =
            makeRefusal(Reason::NotFresh, "this daemon is cut off from the log and from most other daemons",
                        Step::Admit, kNotFreshRetry);
        m_sink.finishWhole(refusalResponse(refusal, m_request.id));
        return;
    }
    if (const auto refusal = checkKey()) {
        m_sink.finishWhole(refusalResponse(*refusal, m_request.id));
        return;
    }
    auto core = RequestCore::create(makePlan(), m_context.environment);
    if (!core.ok()) {
        const auto refusal = makeRefusal(Reason::BadRequest, std::string(core.status().message()), Step::Admit);
        m_sink.finishWhole(refusalResponse(refusal, m_request.id));
        return;
    }
    m_core.emplace(std::move(*core));
    post(Started{});
    if (const auto last = m_context.live.lastMoment()) {
        post(DaemonStopping{*last});
    }
}

void RequestRunner::callerLeft()
{
    m_sink.close();
    if (m_core) {
        post(CallerLeft{});
    }
}

void RequestRunner::stopBefore(TimePoint lastMoment)
{
    if (m_core) {
        post(DaemonStopping{lastMoment});
    }
}

void RequestRunner::post(RequestEvent event)
{
    m_events.push_back(std::move(event));
    if (!m_handling) {
        handleQueued();
    }
}

void RequestRunner::handleQueued()
{
    const auto self = shared_from_this();
    m_handling = true;
    std::vector<RequestAction> actions;
    while (!m_events.empty()) {
        const auto event = std::move(m_events.front());
        m_events.pop_front();
        noteEvent(event);
        actions.clear();
        m_core->handle(event, m_context.clock.now(), actions);
        for (const auto &action : actions) {
            std::visit([this](const auto &it) { perform(it); }, action);
        }
    }
    m_handling = false;
    closeIfDone();
}

void RequestRunner::closeIfDone()
{
    if (!m_core->closed() || m_closed) {
        return;
    }
    m_closed = true;
    m_timers.clear();
    m_timer.cancel();
    for (const auto &[id, call] : m_calls) {
        call->abandon();
        call->releaseSlot();
    }
    m_calls.clear();
}

std::shared_ptr<EndpointCall> RequestRunner::callOf(const AttemptId &attempt) const
{
    const auto it = m_calls.find(attempt);
    return it == m_calls.end() ? nullptr : it->second;
}

void RequestRunner::perform(const ChooseEndpoint &action)
{
    const auto &stage = m_request.stages[action.stage];
    auto call = std::make_shared<EndpointCall>(m_core->identityOf(action.attempt), action.stage, m_context.memory,
                                               [weak = weak_from_this()](RequestEvent event) {
                                                   if (const auto self = weak.lock()) {
                                                       self->post(std::move(event));
                                                   }
                                               });
    m_calls[action.attempt] = call;
    DispatchRequest request;
    request.choice.service = stage.service;
    request.choice.zone = m_context.zone;
    request.choice.exclude = action.avoid;
    request.choice.mayProbe = stage.idempotent && !action.hedge;
    if (kindOf(action.stage) == ServiceKind::Engine) {
        const auto content = makeStageCall(m_request, action.stage, ServiceKind::Engine, m_results, {});
        request.choice.prefixHash = promptPrefixHash(content);
        request.choice.prefixSaving = kPrefixSaving;
    }
    request.workspace = m_request.workspace;
    request.giveUpAt = action.giveUpAt;
    request.typical = action.typical;
    request.needs = action.needs;
    spawnFor(m_context.io, call, shared_from_this(), call->choose(m_context.dispatcher, std::move(request)));
}

void RequestRunner::perform(const OpenConnection &action)
{
    if (const auto call = callOf(action.attempt)) {
        spawnFor(m_context.io, call, shared_from_this(), call->connect(m_context.pool, action.fresh));
    }
}

void RequestRunner::perform(const SendCall &action)
{
    const auto call = callOf(action.attempt);
    if (!call) {
        return;
    }
    const auto now = m_context.clock.now();
    call->noteSent(now, action.fromOffset);
    StageCallOptions options;
    options.identity = call->identity();
    options.budget = action.giveUpAt - now;
    options.fromOffset = action.fromOffset;
    const auto kind = kindOf(call->stage());
    auto request = makeStageCall(m_request, call->stage(), kind, m_results, options);
    const bool relays = kind == ServiceKind::Engine && m_core->plan().stages[call->stage()].streaming;
    spawnFor(m_context.io, call, shared_from_this(),
             call->run(m_context.pool, std::move(request), options.budget + kIoGrace, kind == ServiceKind::Engine,
                       relays ? &m_sink : nullptr));
}

void RequestRunner::endCall(const AttemptId &attempt)
{
    const auto call = callOf(attempt);
    if (!call) {
        return;
    }
    m_calls.erase(attempt);
    call->abandon();
    call->releaseSlot();
    m_context.dispatcher.slotFreed(m_request.stages[call->stage()].service);
}

void RequestRunner::perform(const CancelAttempt &action)
{
    endCall(action.attempt);
}

void RequestRunner::perform(const CloseConnection &action)
{
    // The core closes what it takes for lost, also what timed out.
    if (const auto call = callOf(action.attempt); call && call->sentAt()) {
        noteFeedback(*call, false);
    }
    endCall(action.attempt);
}

void RequestRunner::perform(const CommitStage &action)
{
    const auto call = callOf(action.attempt);
    if (!call) {
        return;
    }
    noteFeedback(*call, true);
    if (call->sentAt()) {
        m_context.metrics.recordStage(m_request.workspace, m_request.stages[action.stage].id,
                                      m_context.clock.now() - *call->sentAt());
    }
    m_results.push_back({m_request.stages[action.stage].id, call->body(), kindOf(action.stage) == ServiceKind::Engine});
    call->releaseSlot();
    m_context.dispatcher.slotFreed(m_request.stages[action.stage].service);
}

void RequestRunner::perform(const RelayTokens &action)
{
    const auto call = callOf(action.attempt);
    if (!call) {
        return;
    }
    std::string events;
    for (const auto &token : call->tokens()) {
        if (token.offset >= action.offset && token.offset < action.offset + action.count) {
            writeSse({"", "", token.data}, events);
        }
    }
    m_sink.pushEvents(events);
}

void RequestRunner::perform(const AppendClaim &action)
{
    ClaimRequest claim;
    claim.workspace = m_request.workspace;
    claim.key = m_key->key;
    claim.digest = bodyDigest(m_request.target, m_request.body);
    claim.expiry = m_key->expiry;
    claim.round = action.round;
    claim.deadline = m_core->plan().deadline;
    m_context.claims.claim(claim, m_context.io,
                           [self = shared_from_this()](ClaimNews news) { self->takeClaimNews(std::move(news)); });
}

void RequestRunner::takeClaimNews(ClaimNews news)
{
    if (news.position) {
        m_claim = news.position;
    }
    if (news.answer) {
        m_recorded = std::move(news.answer);
    }
    post(std::move(news.event));
}

void RequestRunner::perform(const RecordOutcome &action)
{
    if (!m_claim) {
        return;
    }
    ClaimOutcome outcome;
    outcome.claim = *m_claim;
    if (action.outcome != Outcome::NotRun) {
        ClaimAnswer answer;
        answer.outcome = action.outcome;
        if (const auto call = action.attempt ? callOf(*action.attempt) : nullptr) {
            answer.httpStatus = call->status();
            if (call->body().size() <= kMaxAnswerBytes) {
                answer.body = call->body();
            }
        }
        outcome.answer = std::move(answer);
    }
    m_context.claims.record(std::move(outcome));
}

void RequestRunner::perform(const SetTimer &action)
{
    for (auto it = m_timers.begin(); it != m_timers.end();) {
        std::erase(it->second, action.timer);
        it = it->second.empty() ? m_timers.erase(it) : std::next(it);
    }
    m_timers[action.at].push_back(action.timer);
    armTimer();
}

void RequestRunner::armTimer()
{
    if (m_timers.empty() || m_closed) {
        return;
    }
    m_timer.expires_at(m_timers.begin()->first);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec) {
            self->timerFired();
        }
    });
}

void RequestRunner::timerFired()
{
    const auto now = m_context.clock.now();
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const auto due = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        for (const auto &timer : due) {
            post(TimerFired{timer});
        }
    }
    armTimer();
}

void RequestRunner::recordAnswer(const FinalAnswer &answer)
{
    auto outcome = Outcome::Ok;
    auto reason = Reason::None;
    if (answer.source == AnswerSource::Refusal) {
        outcome = answer.refusal.outcome;
        reason = answer.refusal.reason;
    } else if (answer.source == AnswerSource::Record && m_recorded) {
        outcome = m_recorded->outcome;
    }
    m_context.metrics.recordRequest(m_request.workspace, m_request.route, outcome, reason,
                                    m_context.clock.now() - m_arrival);
}

void RequestRunner::perform(const FinalAnswer &action)
{
    recordAnswer(action);
    switch (action.source) {
    case AnswerSource::Record:
        answerRecorded();
        return;
    case AnswerSource::Endpoint:
        if (action.streamBegun) {
            m_sink.finishStream();
        } else if (const auto call = callOf(action.attempt)) {
            answerWhole(*call);
        }
        return;
    case AnswerSource::Refusal:
        if (action.streamBegun) {
            m_sink.failStream(action.refusal, m_request.id);
        } else {
            m_sink.finishWhole(refusalResponse(action.refusal, m_request.id));
        }
        return;
    }
}

void RequestRunner::answerWhole(const EndpointCall &call)
{
    if (kindOf(call.stage()) == ServiceKind::Engine) {
        // A stream without any token.
        m_sink.finishStream();
        return;
    }
    auto response = http::makeResponse(call.status(), call.contentType(), call.body());
    response.set(http::toBeast(http::kOutcomeHeader), http::toBeast(outcomeName(Outcome::Ok)));
    response.set(http::toBeast(http::kRequestHeader), m_request.id.str());
    m_sink.finishWhole(std::move(response), call.memory());
}

/// The answer that the key's first call got, as recorded in the log.
void RequestRunner::answerRecorded()
{
    auto response = http::makeResponse(m_recorded->httpStatus, http::kJsonType, m_recorded->body.value_or("{}"));
    if (m_recorded->outcome != Outcome::Ok) {
        Refusal refusal = makeRefusal(Reason::EndpointFailed, "the key's first call failed", Step::Receive);
        refusal.outcome = m_recorded->outcome;
        response = refusalResponse(refusal, m_request.id);
    }
    response.set(http::toBeast(http::kOutcomeHeader), http::toBeast(outcomeName(m_recorded->outcome)));
    response.set(http::toBeast(http::kRequestHeader), m_request.id.str());
    m_sink.finishWhole(std::move(response));
}

/// Errors of an endpoint that don't close its connection are noted here.
void RequestRunner::noteEvent(const RequestEvent &event)
{
    const auto *answered = std::get_if<AttemptAnswered>(&event);
    if (answered == nullptr || answered->status < kFirstServerError) {
        return;
    }
    if (const auto call = callOf(answered->attempt)) {
        noteFeedback(*call, false);
        call->releaseSlot();
        m_context.dispatcher.slotFreed(m_request.stages[call->stage()].service);
    }
}

void RequestRunner::noteFeedback(const EndpointCall &call, bool ok)
{
    if (!call.slot() || !call.sentAt()) {
        return;
    }
    const auto &endpoint = call.slot()->chosen.endpoint;
    CallFeedback feedback;
    feedback.endpoint = endpoint.id;
    feedback.service = endpoint.service;
    feedback.version = endpoint.version;
    feedback.zone = endpoint.zone;
    feedback.caller = m_request.route + "/" + m_request.stages[call.stage()].id.str();
    feedback.ok = ok;
    feedback.latency = m_context.clock.now() - *call.sentAt();
    m_context.feedback.push(std::move(feedback));
}

} // namespace mimosahub
