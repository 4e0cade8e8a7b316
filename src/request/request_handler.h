#pragma once

#include "request/request_core.h"

#include <optional>
#include <string>

namespace mimosahub
{

/// The reason for ending a request without an answer. Its outcome is derived from
/// the attempts.
struct RefusalCause {
    Reason reason = Reason::None;
    std::string detail;
    std::optional<Duration> retryAfter; ///< Time after which a retry is useful, if known.
    bool permanent = false; ///< A retry can't help.
};

/// Handles one event of a request; exists for one call of handle(). Its functions
/// are in request_core.cc (events), request_attempts.cc, request_timing.cc (stages,
/// claims and timers) and request_ending.cc.
class RequestCore::Handler
{
public:
    Handler(RequestCore &core, TimePoint now, Actions &actions);
    void operator()(const Started &);
    void operator()(const EndpointChosen &event);
    void operator()(const NoEndpoint &event);
    void operator()(const Connected &event);
    void operator()(const AttemptAnswered &event);
    void operator()(const StreamOpened &event);
    void operator()(const StreamData &event);
    void operator()(const AttemptRefused &event);
    void operator()(const AttemptFailed &event);
    void operator()(const ClaimWon &event);
    void operator()(const ClaimLost &event);
    void operator()(const ClaimFailed &event);
    void operator()(const TimerFired &event);
    void operator()(const CallerLeft &);
    void operator()(const DaemonStopping &event);

private:
    void emitAction(RequestAction action)
    {
        m_actions.push_back(std::move(action));
    }
    [[nodiscard]] const StagePlan &stage() const
    {
        return m_core.m_plan.stages[m_core.m_stage];
    }
    [[nodiscard]] ServiceHistory &history() const
    {
        return *m_core.m_histories[m_core.m_stage];
    }
    [[nodiscard]] bool hasTimeLeft() const
    {
        return m_now + m_options.minBudget <= m_core.m_plan.deadline;
    }

    Attempt *find(const AttemptId &id);
    // The attempt that an answer belongs to, or null. An answer for an attempt that
    // has ended is late. An answer that names another call shows that the connection
    // delivers the answers of other calls, so the attempt is ended.
    Attempt *findSent(const AttemptId &id, const CallIdentity &echo);
    [[nodiscard]] bool anyLive() const;
    [[nodiscard]] int attemptsOfStage() const;
    // Ends \a attempt in \a state; \a action cancels it or closes its connection.
    void end(Attempt &attempt, AttemptState state, RequestAction action);
    // The state of \a attempt after it is abandoned: Lost if it was sent, since the
    // call may run.
    static AttemptState stateWhenDropped(const Attempt &attempt);
    // Drops an event of \a attempt that is late or a duplicate. If the attempt has ended,
    // cancels it again, which releases a slot or connection acquired in the meantime.
    void handleStaleEvent(const Attempt *attempt);
    void cancelLive();
    // Whether the result of \a attempt is awaited after the final answer.
    [[nodiscard]] bool awaitsResolution(const Attempt &attempt) const;
    // Ends \a attempt, which won't get a usable answer, and retries or gives up.
    void endUnanswered(Attempt &attempt);
    void startAttempt(bool hedge);
    void startFirstAttempt();
    // The last check before a call is sent; see request_core.cc.
    [[nodiscard]] bool maySend() const;
    void send(Attempt &attempt);
    void commit(Attempt &attempt);
    void handleErrorStatus(int status);
    void retryOrGiveUp(RefusalCause cause);
    [[nodiscard]] bool canRetry() const;
    [[nodiscard]] bool takeRetryToken();

    void beginStage();
    [[nodiscard]] StageEstimate estimateOf(std::size_t i) const;
    // Time that the current stage may use while the later ones keep their reserves.
    [[nodiscard]] std::optional<Duration> currentBudget() const;
    // The time after which the later stages can't finish in time any more.
    [[nodiscard]] TimePoint stageDeadline() const;
    [[nodiscard]] TimePoint attemptDeadline(const Attempt &attempt) const;

    void appendClaim();
    void handleLostClaim(const ClaimLost &event);
    void record(Outcome outcome, std::optional<AttemptId> attempt);

    // Sets \a timer again, and returns true, if it fired before \a at.
    bool rearmIfEarly(const RequestTimer &timer, TimePoint at);
    void deadlineFired(const RequestTimer &timer);
    void claimFired(const RequestTimer &timer);
    void attemptFired(const RequestTimer &timer);
    // Whether another attempt may be started in place of \a attempt.
    [[nodiscard]] bool mayReplace(const Attempt &attempt) const;
    void hedgeFired(const RequestTimer &timer);
    void backoffFired(const RequestTimer &timer);
    void resolutionFired(const RequestTimer &timer);

    [[nodiscard]] RefusalCause outOfTimeCause() const;
    // A retry can help only if the deadline allows for the declared times of the
    // stages: then they are slow because of the current load.
    [[nodiscard]] RefusalCause deadlineTooShortCause() const;
    [[nodiscard]] RefusalCause logDownCause(std::optional<Duration> retryAfter) const;
    // What is known of this request's calls. A stage is only reached after the one
    // before it was committed, so a call whose result matters and is unknown belongs
    // to the current stage.
    [[nodiscard]] Outcome currentOutcome() const;
    // Whether a call of a non-idempotent stage may have run.
    [[nodiscard]] bool nonIdempotentCallMayHaveRun() const;
    [[nodiscard]] std::optional<Duration> retryAfter(const RefusalCause &cause, Outcome outcome) const;
    // Ends the request without an answer or, after the final answer, records the
    // outcome of the call that was awaited.
    void giveUp(RefusalCause cause);
    // Keeps waiting for a sent call with a key, so that its outcome is recorded.
    void beginResolution();
    // Handles the answer of the awaited call after the final answer. Later stages
    // don't run any more, so the outcome is Ok only if the call's stage is the last.
    void resolve(const Attempt &attempt);
    void resolveAs(Outcome outcome, std::optional<AttemptId> attempt);
    void finishWithAnswer(const AttemptId &attempt);
    void finish(FinalAnswer answer);

    RequestCore &m_core;
    const RequestOptions &m_options;
    RequestCounters &m_counters;
    TimePoint m_now;
    Actions &m_actions;
};

} // namespace mimosahub
