// A request is a sequence of stages, each with attempts of which one is committed.
// A call is never sent without a check, never reported as NotRun if it may have run,
// and answered once. Three rules enforce this, each in one place:
//
// - SendCall is only emitted by the handler of Connected, which checks, in this
//   order, that the attempt has not ended, that time is left, that the idempotency
//   key has not expired, that the claim is won, and that a non-idempotent stage was
//   never sent before. A process that was paused between the claim and the send
//   therefore finds an expired deadline or key before it sends a byte.
// - currentOutcome() derives the outcome from the states of all attempts, so that no
//   path can report NotRun for a call that may have run.
// - FinalAnswer is only emitted by finish(), which runs once.
//
// The result of a sent call with a key is awaited for a limited time after the final
// answer (resolution), so that a repeat of the key gets the true outcome rather than
// Unknown.

#include "request/request_core.h"

#include "mimosahub/error.h"
#include "request/request_handler.h"

#include <algorithm>
#include <utility>

namespace mimosahub
{

namespace
{

constexpr int kFirstErrorStatus = 400;

} // namespace

absl::StatusOr<RequestCore> RequestCore::create(RequestPlan plan, const RequestEnvironment &environment)
{
    if (plan.stages.empty()) {
        return errorAt(absl::StatusCode::kInvalidArgument, Step::Admit, "", "the request has no stages");
    }
    for (std::size_t i = 0; i < plan.stages.size(); ++i) {
        auto &stage = plan.stages[i];
        const bool last = i + 1 == plan.stages.size();
        // A non-idempotent stage is buffered, since its complete answer is recorded.
        stage.streaming = stage.streaming && stage.idempotent && last;
    }
    return RequestCore(std::move(plan), environment);
}

RequestCore::RequestCore(RequestPlan plan, const RequestEnvironment &environment)
    : m_plan(std::move(plan)), m_environment(environment)
{
    m_histories.reserve(m_plan.stages.size());
    for (const auto &stage : m_plan.stages) {
        m_histories.push_back(&environment.histories.of(stage.service, stage.call));
    }
    m_attempts.reserve(m_plan.stages.size() + 2);
}

bool RequestCore::closed() const
{
    return m_answered && !m_resolutionDeadline && m_claim != ClaimPhase::Appending;
}

CallIdentity RequestCore::identityOf(const AttemptId &attempt) const
{
    const auto it = std::find_if(m_attempts.begin(), m_attempts.end(), [&](const auto &a) { return a.id == attempt; });
    return CallIdentity{m_plan.request, it == m_attempts.end() ? StageId() : m_plan.stages[it->stage].stage, attempt};
}

RequestCore::Handler::Handler(RequestCore &core, TimePoint now, Actions &actions)
    : m_core(core),
      m_options(core.m_environment.options),
      m_counters(core.m_environment.counters),
      m_now(now),
      m_actions(actions)
{
}

void RequestCore::Handler::operator()(const Started &)
{
    if (std::exchange(m_core.m_started, true)) {
        ++m_counters.staleEvents;
        return;
    }
    emitAction(SetTimer{RequestTimer{TimerKind::Deadline, {}}, m_core.m_plan.deadline});
    beginStage();
}

void RequestCore::Handler::operator()(const EndpointChosen &event)
{
    auto *attempt = find(event.attempt);
    if (attempt == nullptr || attempt->state != AttemptState::Choosing) {
        // The endpoint was chosen while the cancel was on its way, so its slot must be
        // released: handleStaleEvent() cancels the attempt again.
        handleStaleEvent(attempt);
        return;
    }
    attempt->endpoint = event.endpoint;
    if (!hasTimeLeft()) {
        giveUp(outOfTimeCause());
        return;
    }
    attempt->state = AttemptState::Connecting;
    attempt->timeoutAt = attemptDeadline(*attempt);
    emitAction(OpenConnection{attempt->id, attempt->endpoint, !stage().idempotent});
    emitAction(SetTimer{RequestTimer{TimerKind::Attempt, attempt->id}, attempt->timeoutAt});
}

void RequestCore::Handler::operator()(const NoEndpoint &event)
{
    auto *attempt = find(event.attempt);
    if (attempt == nullptr || attempt->state != AttemptState::Choosing) {
        ++m_counters.staleEvents;
        return;
    }
    attempt->state = AttemptState::Unsent;
    if (!anyLive()) {
        giveUp({event.reason, "no endpoint can accept the call", event.retryAfter});
    }
}

void RequestCore::Handler::operator()(const Connected &event)
{
    auto *attempt = find(event.attempt);
    if (attempt == nullptr || attempt->state != AttemptState::Connecting) {
        handleStaleEvent(attempt);
        return;
    }
    if (!hasTimeLeft()) {
        giveUp(outOfTimeCause());
        return;
    }
    if (!stage().idempotent && m_now >= m_core.m_plan.keyValidUntil) {
        giveUp({Reason::KeyExpired, "the idempotency key expired before the call was sent", std::nullopt, true});
        return;
    }
    if (!maySend()) {
        end(*attempt, AttemptState::Unsent, CancelAttempt{attempt->id});
        return;
    }
    send(*attempt);
}

void RequestCore::Handler::operator()(const AttemptAnswered &event)
{
    auto *attempt = findSent(event.attempt, event.echo);
    if (attempt == nullptr) {
        return;
    }
    if (!event.whole) {
        ++m_counters.partialAnswers;
        endUnanswered(*attempt);
    } else if (event.status >= kFirstErrorStatus) {
        attempt->state = AttemptState::Failed;
        handleErrorStatus(event.status);
    } else if (stage().streaming) {
        // An answer that isn't streamed can't be relayed.
        ++m_counters.partialAnswers;
        endUnanswered(*attempt);
    } else {
        commit(*attempt);
    }
}

void RequestCore::Handler::operator()(const StreamOpened &event)
{
    auto *attempt = findSent(event.attempt, event.echo);
    if (attempt == nullptr) {
        return;
    }
    if (event.status >= kFirstErrorStatus) {
        end(*attempt, AttemptState::Failed, CloseConnection{attempt->id});
        handleErrorStatus(event.status);
    } else if (stage().streaming) {
        attempt->streamOpen = true;
        const auto stallAt = m_now + m_options.streamStallTimeout;
        if (stallAt < attempt->timeoutAt) {
            emitAction(SetTimer{RequestTimer{TimerKind::Attempt, attempt->id}, stallAt});
        }
        attempt->timeoutAt = stallAt;
    } else {
        ++m_counters.staleEvents;
    }
}

void RequestCore::Handler::operator()(const StreamData &event)
{
    auto *attempt = find(event.attempt);
    if (attempt == nullptr || attempt->state != AttemptState::Sent || !attempt->streamOpen) {
        ++m_counters.lateAnswers;
        return;
    }
    // Only timeoutAt moves with each token; if the timer fires before it, the timer is set again.
    attempt->timeoutAt = m_now + m_options.streamStallTimeout;
    const auto step = m_core.m_relay.take(event.offset, event.count, event.end);
    if (step.action == RelayAction::Broken) {
        ++m_counters.partialAnswers;
        endUnanswered(*attempt);
        return;
    }
    if (step.count > 0) {
        emitAction(RelayTokens{attempt->id, step.offset, step.count});
    }
    if (step.action == RelayAction::Complete) {
        commit(*attempt);
    }
}

void RequestCore::Handler::operator()(const AttemptRefused &event)
{
    auto *attempt = findSent(event.attempt, event.echo);
    if (attempt == nullptr) {
        return;
    }
    attempt->state = AttemptState::Refused;
    m_core.m_endpointRetryAfter = event.retryAfter;
    retryOrGiveUp({Reason::Overloaded, "the endpoint refused the call", event.retryAfter});
}

void RequestCore::Handler::operator()(const AttemptFailed &event)
{
    auto *attempt = find(event.attempt);
    if (attempt == nullptr || !attempt->live()) {
        ++m_counters.staleEvents;
        return;
    }
    m_counters.partialAnswers += event.failure == AttemptFailure::ShortAnswer ? 1 : 0;
    m_counters.mismatchedAnswers += event.failure == AttemptFailure::BadEcho ? 1 : 0;
    endUnanswered(*attempt);
}

void RequestCore::Handler::operator()(const ClaimWon &event)
{
    if (event.round != m_core.m_claimRound || m_core.m_claim != ClaimPhase::Appending) {
        ++m_counters.staleEvents;
        return;
    }
    m_core.m_claim = ClaimPhase::Won;
    if (m_core.m_answered) {
        // The request was abandoned while the claim was in flight: nothing was sent.
        record(Outcome::NotRun, std::nullopt);
        return;
    }
    startFirstAttempt();
}

void RequestCore::Handler::operator()(const ClaimLost &event)
{
    const bool open = m_core.m_claim == ClaimPhase::Appending || m_core.m_claim == ClaimPhase::Waiting;
    if (event.round != m_core.m_claimRound || !open) {
        ++m_counters.staleEvents;
        return;
    }
    m_core.m_claim = ClaimPhase::Waiting;
    if (!m_core.m_answered) {
        handleLostClaim(event);
    }
}

void RequestCore::Handler::operator()(const ClaimFailed &event)
{
    if (event.round != m_core.m_claimRound || m_core.m_claim != ClaimPhase::Appending) {
        ++m_counters.staleEvents;
        return;
    }
    m_core.m_claim = ClaimPhase::None;
    if (!m_core.m_answered) {
        giveUp(logDownCause(event.retryAfter));
    }
}

void RequestCore::Handler::operator()(const TimerFired &event)
{
    switch (event.timer.kind) {
    case TimerKind::Deadline:
        deadlineFired(event.timer);
        break;
    case TimerKind::Claim:
        claimFired(event.timer);
        break;
    case TimerKind::Attempt:
        attemptFired(event.timer);
        break;
    case TimerKind::Hedge:
        hedgeFired(event.timer);
        break;
    case TimerKind::Backoff:
        backoffFired(event.timer);
        break;
    case TimerKind::Resolution:
        resolutionFired(event.timer);
        break;
    }
}

void RequestCore::Handler::operator()(const CallerLeft &)
{
    if (!m_core.m_answered) {
        giveUp({Reason::CallerLeft, "the caller closed its connection", std::nullopt, true});
    }
}

void RequestCore::Handler::operator()(const DaemonStopping &event)
{
    m_core.m_stopping = true;
    auto &resolutionDeadline = m_core.m_resolutionDeadline;
    if (resolutionDeadline && event.lastMoment < *resolutionDeadline) {
        resolutionDeadline = event.lastMoment;
        emitAction(SetTimer{RequestTimer{TimerKind::Resolution, {}}, *resolutionDeadline});
    }
    if (!m_core.m_answered && event.lastMoment < m_core.m_plan.deadline) {
        m_core.m_plan.deadline = event.lastMoment;
        m_core.m_deadlineSetByStop = true;
        emitAction(SetTimer{RequestTimer{TimerKind::Deadline, {}}, event.lastMoment});
    }
}

void RequestCore::handle(const RequestEvent &event, TimePoint now, std::vector<RequestAction> &actions)
{
    if (!m_started && !std::holds_alternative<Started>(event)) {
        ++m_environment.counters.staleEvents;
        return;
    }
    std::visit(Handler(*this, now, actions), event);
}

} // namespace mimosahub
