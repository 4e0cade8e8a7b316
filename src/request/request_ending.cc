// How a request ends. The outcome is derived from the states of all attempts and
// never passed as an argument, so that no path can report NotRun for a call that may
// have run. The result of a sent call with a key is still awaited after the final
// answer (resolution).

#include "request/request_handler.h"

#include <algorithm>
#include <utility>

namespace mimosahub
{

RefusalCause RequestCore::Handler::outOfTimeCause() const
{
    if (m_core.m_deadlineSetByStop) {
        return {Reason::Draining, "the daemon stops before the call can end", m_options.endpointRetryAfter};
    }
    if (m_core.m_claim == ClaimPhase::Waiting) {
        return {Reason::InProgress, "the key's first call is still running", m_options.endpointRetryAfter};
    }
    return {Reason::DeadlinePassed, "the deadline passed", std::nullopt};
}

RefusalCause RequestCore::Handler::deadlineTooShortCause() const
{
    Duration typical{};
    for (std::size_t i = m_core.m_stage; i < m_core.m_plan.stages.size(); ++i) {
        typical += m_core.m_plan.stages[i].typicalTime;
    }
    RefusalCause cause{Reason::DeadlineTooShort, "the stages need more time than is left until the deadline",
                       history().latency().halfLife()};
    if (typical > m_core.m_plan.deadline - m_now) {
        cause.retryAfter.reset();
        cause.permanent = true;
    }
    return cause;
}

RefusalCause RequestCore::Handler::logDownCause(std::optional<Duration> retryAfter) const
{
    return {Reason::LogDown, "the claim can't be appended to the platform's log",
            retryAfter.value_or(m_options.logRetryAfter)};
}

Outcome RequestCore::Handler::currentOutcome() const
{
    if (m_core.m_claim == ClaimPhase::Waiting) {
        return Outcome::Unknown; // Another request is running or ran the key's call.
    }
    bool ran = false;
    for (const auto &attempt : m_core.m_attempts) {
        const bool open = attempt.state == AttemptState::Sent || attempt.state == AttemptState::Lost;
        if (open && attempt.stage == m_core.m_stage) {
            return Outcome::Unknown;
        }
        ran = ran || attempt.mayHaveRun();
    }
    return ran ? Outcome::Failed : Outcome::NotRun;
}

bool RequestCore::Handler::nonIdempotentCallMayHaveRun() const
{
    return std::any_of(m_core.m_attempts.begin(), m_core.m_attempts.end(),
                       [&](const auto &it) { return !m_core.m_plan.stages[it.stage].idempotent && it.mayHaveRun(); });
}

std::optional<Duration> RequestCore::Handler::retryAfter(const RefusalCause &cause, Outcome outcome) const
{
    // A recorded outcome won't change, and a call without a key must not be repeated.
    const bool resolved = nonIdempotentCallMayHaveRun() && !m_core.m_resolutionDeadline;
    if (cause.permanent || resolved) {
        return std::nullopt;
    }
    if (!cause.retryAfter && outcome == Outcome::NotRun) {
        return m_core.m_endpointRetryAfter.value_or(m_options.endpointRetryAfter);
    }
    return cause.retryAfter.value_or(m_options.endpointRetryAfter);
}

void RequestCore::Handler::giveUp(RefusalCause cause)
{
    const auto outcome = currentOutcome();
    if (m_core.m_answered) {
        resolveAs(nonIdempotentCallMayHaveRun() ? outcome : Outcome::NotRun, std::nullopt);
        return;
    }
    beginResolution();
    FinalAnswer answer;
    answer.refusal.outcome = outcome;
    answer.refusal.reason = cause.reason;
    answer.refusal.retryAfter = retryAfter(cause, outcome);
    answer.refusal.detail = std::move(cause.detail);
    answer.refusal.step = stage().stage.str();
    answer.refusal.peer = m_core.m_attempts.empty() ? std::string() : m_core.m_attempts.back().endpoint.str();
    cancelLive();
    if (m_core.m_claim == ClaimPhase::Won && !m_core.m_resolutionDeadline) {
        record(nonIdempotentCallMayHaveRun() ? outcome : Outcome::NotRun, std::nullopt);
    }
    finish(std::move(answer));
}

void RequestCore::Handler::beginResolution()
{
    const bool sent = std::any_of(m_core.m_attempts.begin(), m_core.m_attempts.end(), [&](const auto &it) {
        return it.state == AttemptState::Sent && !m_core.m_plan.stages[it.stage].idempotent;
    });
    if (!sent || m_core.m_claim != ClaimPhase::Won) {
        return;
    }
    m_core.m_resolutionDeadline = m_now + m_options.resolutionTimeout;
    emitAction(SetTimer{RequestTimer{TimerKind::Resolution, {}}, *m_core.m_resolutionDeadline});
}

void RequestCore::Handler::resolve(const Attempt &attempt)
{
    const bool last = attempt.stage + 1 == m_core.m_plan.stages.size();
    resolveAs(last ? Outcome::Ok : Outcome::Failed, last ? std::optional(attempt.id) : std::nullopt);
}

void RequestCore::Handler::resolveAs(Outcome outcome, std::optional<AttemptId> attempt)
{
    m_core.m_resolutionDeadline.reset();
    record(outcome, std::move(attempt));
}

void RequestCore::Handler::finishWithAnswer(const AttemptId &attempt)
{
    if (m_core.m_claim == ClaimPhase::Won) {
        record(Outcome::Ok, attempt);
    }
    finish(FinalAnswer{AnswerSource::Endpoint, attempt, false, {}});
}

void RequestCore::Handler::finish(FinalAnswer answer)
{
    m_core.m_answered = true;
    m_core.m_backoffUntil.reset();
    answer.streamBegun = m_core.m_relay.next() > 0;
    emitAction(std::move(answer));
}

} // namespace mimosahub
