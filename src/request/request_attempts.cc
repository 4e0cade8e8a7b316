// The attempts of a stage. One of them is committed; each other one that was begun
// ends by a cancel or by closing its connection. An attempt keeps its state after its
// end, since the final outcome is derived from the states of all attempts.

#include "request/request_handler.h"

#include <algorithm>
#include <utility>

namespace mimosahub
{

namespace
{

constexpr int kFirstServerErrorStatus = 500;
constexpr int kRequestTimeoutStatus = 408;
constexpr int kTooManyRequestsStatus = 429;

// Whether another endpoint may succeed after this status.
bool retryableStatus(int status)
{
    return status >= kFirstServerErrorStatus || status == kRequestTimeoutStatus || status == kTooManyRequestsStatus;
}

} // namespace

RequestCore::Attempt *RequestCore::Handler::find(const AttemptId &id)
{
    // Most events concern one of the last attempts.
    const auto it = std::find_if(m_core.m_attempts.rbegin(), m_core.m_attempts.rend(),
                                 [&](const auto &attempt) { return attempt.id == id; });
    return it == m_core.m_attempts.rend() ? nullptr : &*it;
}

RequestCore::Attempt *RequestCore::Handler::findSent(const AttemptId &id, const CallIdentity &echo)
{
    auto *attempt = find(id);
    if (attempt == nullptr || attempt->state != AttemptState::Sent) {
        ++m_counters.lateAnswers;
        return nullptr;
    }
    const bool own = echo.attempt == id && echo.request == m_core.m_plan.request
        && echo.stage == m_core.m_plan.stages[attempt->stage].stage;
    if (!own) {
        ++m_counters.mismatchedAnswers;
        endUnanswered(*attempt);
        return nullptr;
    }
    return attempt;
}

bool RequestCore::Handler::anyLive() const
{
    return std::any_of(m_core.m_attempts.begin(), m_core.m_attempts.end(),
                       [](const auto &attempt) { return attempt.live(); });
}

int RequestCore::Handler::attemptsOfStage() const
{
    return static_cast<int>(std::count_if(m_core.m_attempts.begin(), m_core.m_attempts.end(),
                                          [&](const auto &it) { return it.stage == m_core.m_stage; }));
}

void RequestCore::Handler::end(Attempt &attempt, AttemptState state, RequestAction action)
{
    attempt.state = state;
    emitAction(std::move(action));
}

RequestCore::AttemptState RequestCore::Handler::stateWhenDropped(const Attempt &attempt)
{
    return attempt.state == AttemptState::Sent ? AttemptState::Lost : AttemptState::Unsent;
}

void RequestCore::Handler::handleStaleEvent(const Attempt *attempt)
{
    ++m_counters.staleEvents;
    if (attempt != nullptr && !attempt->live()) {
        emitAction(CancelAttempt{attempt->id});
    }
}

void RequestCore::Handler::cancelLive()
{
    for (auto &attempt : m_core.m_attempts) {
        if (attempt.live() && !awaitsResolution(attempt)) {
            end(attempt, stateWhenDropped(attempt), CancelAttempt{attempt.id});
        }
    }
}

bool RequestCore::Handler::awaitsResolution(const Attempt &attempt) const
{
    return m_core.m_resolutionDeadline && attempt.state == AttemptState::Sent
        && !m_core.m_plan.stages[attempt.stage].idempotent;
}

void RequestCore::Handler::endUnanswered(Attempt &attempt)
{
    end(attempt, stateWhenDropped(attempt), CloseConnection{attempt.id});
    retryOrGiveUp({Reason::EndpointLost, "the endpoint's answer was truncated or never received", std::nullopt});
}

void RequestCore::Handler::startAttempt(bool hedge)
{
    Attempt attempt;
    attempt.id = AttemptId(std::to_string(m_core.m_attempts.size() + 1));
    attempt.stage = m_core.m_stage;
    attempt.hedge = hedge;
    const auto estimate = estimateOf(m_core.m_stage);
    ChooseEndpoint choose{attempt.id, m_core.m_stage, {}, stageDeadline(), hedge, estimate.typical, estimate.reserve};
    for (const auto &earlier : m_core.m_attempts) {
        if (earlier.stage == m_core.m_stage && !earlier.endpoint.empty()) {
            choose.avoid.push_back(earlier.endpoint);
        }
    }
    m_core.m_attempts.push_back(std::move(attempt));
    emitAction(std::move(choose));
}

void RequestCore::Handler::startFirstAttempt()
{
    if (!hasTimeLeft()) {
        giveUp(outOfTimeCause());
        return;
    }
    history().retries().deposit();
    startAttempt(false);
}

bool RequestCore::Handler::maySend() const
{
    if (stage().idempotent) {
        return true;
    }
    const bool claimed = !m_core.m_plan.key || m_core.m_claim == ClaimPhase::Won;
    const bool sentBefore = std::any_of(m_core.m_attempts.begin(), m_core.m_attempts.end(),
                                        [&](const auto &it) { return it.stage == m_core.m_stage && it.wasSent(); });
    return claimed && !sentBefore;
}

void RequestCore::Handler::send(Attempt &attempt)
{
    attempt.state = AttemptState::Sent;
    attempt.sentAt = m_now;
    const auto offset = m_core.m_relay.next();
    m_counters.resumes += offset > 0 ? 1 : 0;
    emitAction(SendCall{attempt.id, stageDeadline(), offset});
    const auto delay = hedgeDelay(m_options.hedge, stage(), history().latency(), m_now);
    if (!attempt.hedge && delay && m_now + *delay < attempt.timeoutAt) {
        emitAction(SetTimer{RequestTimer{TimerKind::Hedge, attempt.id}, m_now + *delay});
    }
}

void RequestCore::Handler::commit(Attempt &attempt)
{
    attempt.state = AttemptState::Committed;
    history().recordTime(m_now - attempt.sentAt, m_now);
    if (m_core.m_answered) {
        resolve(attempt);
        return;
    }
    for (auto &other : m_core.m_attempts) {
        if (other.state == AttemptState::Sent) {
            history().recordTime(m_now - other.sentAt, m_now);
        }
    }
    cancelLive();
    emitAction(CommitStage{m_core.m_stage, attempt.id});
    if (m_core.m_stage + 1 == m_core.m_plan.stages.size()) {
        finishWithAnswer(attempt.id);
        return;
    }
    ++m_core.m_stage;
    m_core.m_endpointRetryAfter.reset();
    beginStage();
}

void RequestCore::Handler::handleErrorStatus(int status)
{
    RefusalCause cause{Reason::EndpointFailed, "the endpoint answered with status " + std::to_string(status),
                       std::nullopt};
    cause.permanent = !retryableStatus(status);
    if (cause.permanent) {
        giveUp(std::move(cause));
    } else {
        retryOrGiveUp(std::move(cause));
    }
}

void RequestCore::Handler::retryOrGiveUp(RefusalCause cause)
{
    if (anyLive()) {
        return;
    }
    if (m_core.m_answered || !canRetry() || !takeRetryToken()) {
        giveUp(std::move(cause));
        return;
    }
    ++m_counters.retries;
    const auto delay = backoffDelay(m_options.backoff, attemptsOfStage(), m_core.m_environment.random);
    m_core.m_backoffUntil = m_now + delay;
    emitAction(SetTimer{RequestTimer{TimerKind::Backoff, {}}, *m_core.m_backoffUntil});
}

bool RequestCore::Handler::canRetry() const
{
    const bool repeatable = stage().idempotent || maySend();
    const bool resumable = m_core.m_relay.next() == 0 || stage().resumable;
    const auto longestDelay = m_options.backoff.first * 2;
    return repeatable && resumable && attemptsOfStage() < m_options.maxAttempts
        && m_now + longestDelay + m_options.minBudget <= stageDeadline();
}

bool RequestCore::Handler::takeRetryToken()
{
    const bool taken = history().retries().tryTake(m_now);
    m_counters.retriesDenied += taken ? 0 : 1;
    return taken;
}

} // namespace mimosahub
