// Timing: the stages and their time budgets, the claim before a non-idempotent call
// with a key, and the timers. Timers are never cancelled; the state shows whether one
// fired early or for something that has already ended.

#include "request/request_handler.h"

#include <algorithm>
#include <utility>

namespace mimosahub
{

void RequestCore::Handler::beginStage()
{
    if (!hasTimeLeft() || !currentBudget()) {
        giveUp(deadlineTooShortCause());
        return;
    }
    if (!stage().idempotent && m_core.m_plan.key && m_core.m_claim != ClaimPhase::Won) {
        appendClaim();
        return;
    }
    startFirstAttempt();
}

StageEstimate RequestCore::Handler::estimateOf(std::size_t i) const
{
    return m_core.m_histories[i]->estimate(m_options.budget, m_core.m_plan.stages[i].typicalTime, m_now);
}

std::optional<Duration> RequestCore::Handler::currentBudget() const
{
    std::vector<StageEstimate> estimates;
    for (std::size_t i = m_core.m_stage; i < m_core.m_histories.size(); ++i) {
        estimates.push_back(estimateOf(i));
    }
    return stageBudget(estimates, m_core.m_plan.deadline - m_now);
}

TimePoint RequestCore::Handler::stageDeadline() const
{
    auto end = m_core.m_plan.deadline;
    for (std::size_t i = m_core.m_stage + 1; i < m_core.m_histories.size(); ++i) {
        end -= estimateOf(i).least;
    }
    return end;
}

TimePoint RequestCore::Handler::attemptDeadline(const Attempt &attempt) const
{
    const auto latest = stageDeadline();
    const bool repeatable = stage().idempotent && attemptsOfStage() < m_options.maxAttempts && !attempt.hedge;
    const auto budget = currentBudget();
    if (!repeatable || !budget) {
        return latest;
    }
    return std::min(latest, m_now + attemptTimeout(m_options.budget, estimateOf(m_core.m_stage), *budget));
}

void RequestCore::Handler::appendClaim()
{
    m_core.m_claim = ClaimPhase::Appending;
    ++m_core.m_claimRound;
    emitAction(AppendClaim{m_core.m_claimRound});
    m_core.m_claimUntil = m_now + m_options.claimTimeout;
    emitAction(SetTimer{RequestTimer{TimerKind::Claim, {}}, m_core.m_claimUntil});
}

void RequestCore::Handler::handleLostClaim(const ClaimLost &event)
{
    const bool released =
        event.state == ClaimLoss::Released || (event.state == ClaimLoss::Recorded && event.recorded == Outcome::NotRun);
    const bool lost =
        event.state == ClaimLoss::Unknown || (event.state == ClaimLoss::Recorded && event.recorded == Outcome::Unknown);
    if (released) {
        m_core.m_claim = ClaimPhase::None;
        beginStage();
    } else if (lost) {
        giveUp({Reason::EndpointLost, "the outcome of the key's first call was not recorded", std::nullopt, true});
    } else if (event.state == ClaimLoss::Recorded) {
        finish(FinalAnswer{AnswerSource::Record, {}, false, {}});
    } else if (event.state == ClaimLoss::Reused) {
        m_core.m_claim = ClaimPhase::None;
        giveUp({Reason::KeyReused, "the key was used with another body", std::nullopt, true});
    }
}

void RequestCore::Handler::record(Outcome outcome, std::optional<AttemptId> attempt)
{
    m_core.m_claim = ClaimPhase::Recorded;
    emitAction(RecordOutcome{outcome, std::move(attempt)});
}

bool RequestCore::Handler::rearmIfEarly(const RequestTimer &timer, TimePoint at)
{
    if (m_now < at) {
        emitAction(SetTimer{timer, at});
        return true;
    }
    return false;
}

void RequestCore::Handler::deadlineFired(const RequestTimer &timer)
{
    if (!m_core.m_answered && !rearmIfEarly(timer, m_core.m_plan.deadline)) {
        giveUp(outOfTimeCause());
    }
}

void RequestCore::Handler::claimFired(const RequestTimer &timer)
{
    const bool waiting = m_core.m_claim == ClaimPhase::Appending && !m_core.m_answered;
    if (waiting && !rearmIfEarly(timer, m_core.m_claimUntil)) {
        giveUp(logDownCause(std::nullopt));
    }
}

void RequestCore::Handler::attemptFired(const RequestTimer &timer)
{
    auto *attempt = find(timer.attempt);
    const bool waiting = attempt != nullptr && attempt->live() && attempt->state != AttemptState::Choosing;
    if (!waiting || m_core.m_answered || rearmIfEarly(timer, attempt->timeoutAt)) {
        return;
    }
    const auto latest = stageDeadline();
    const bool sentOnce = !stage().idempotent && attempt->wasSent();
    if (m_now >= latest && sentOnce) {
        giveUp(outOfTimeCause());
        return;
    }
    if (m_now < latest && !mayReplace(*attempt)) {
        // No other attempt may be started, so the slow one gets more time.
        attempt->timeoutAt = attempt->streamOpen ? std::min(latest, m_now + m_options.streamStallTimeout) : latest;
        emitAction(SetTimer{timer, attempt->timeoutAt});
        return;
    }
    ++m_counters.timeouts;
    if (attempt->state == AttemptState::Sent) {
        history().recordTime(m_now - attempt->sentAt, m_now);
    }
    endUnanswered(*attempt);
}

bool RequestCore::Handler::mayReplace(const Attempt &attempt) const
{
    const bool sentOnce = !stage().idempotent && attempt.wasSent();
    return !sentOnce && canRetry() && history().retries().available(m_now);
}

void RequestCore::Handler::hedgeFired(const RequestTimer &timer)
{
    const auto *attempt = find(timer.attempt);
    if (attempt == nullptr || attempt->state != AttemptState::Sent || m_core.m_answered || m_core.m_stopping) {
        return;
    }
    const auto live =
        std::count_if(m_core.m_attempts.begin(), m_core.m_attempts.end(), [](const auto &it) { return it.live(); });
    if (live > 1 || attemptsOfStage() >= m_options.maxAttempts || !hasTimeLeft() || !takeRetryToken()) {
        return;
    }
    ++m_counters.hedges;
    startAttempt(true);
}

void RequestCore::Handler::backoffFired(const RequestTimer &timer)
{
    if (!m_core.m_backoffUntil || rearmIfEarly(timer, *m_core.m_backoffUntil)) {
        return;
    }
    m_core.m_backoffUntil.reset();
    if (!hasTimeLeft()) {
        giveUp(outOfTimeCause());
        return;
    }
    startAttempt(false);
}

void RequestCore::Handler::resolutionFired(const RequestTimer &timer)
{
    if (!m_core.m_resolutionDeadline || rearmIfEarly(timer, *m_core.m_resolutionDeadline)) {
        return;
    }
    for (auto &attempt : m_core.m_attempts) {
        if (attempt.live()) {
            end(attempt, stateWhenDropped(attempt), CloseConnection{attempt.id});
        }
    }
    resolveAs(Outcome::Unknown, std::nullopt);
}

} // namespace mimosahub
