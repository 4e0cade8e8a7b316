#pragma once

#include "request/request_core.h"

#include <optional>
#include <string>

namespace mimosahub
{

/// A refusal whose outcome is still to be derived.
struct RefusalCause {
    Reason reason = Reason::None;
    std::string detail;
    std::optional<Duration> retryAfter; ///< What is known of when to come back.
    bool permanent = false; ///< Coming back can't help.
};

/// Handles one event of a request; lives as long as one call of handle(). Its
/// parts stand in request_core.cc (events), request_attempts.cc,
/// request_timing.cc (stages, claims and timers) and request_ending.cc.
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
    // The attempt that an answer belongs to. An answer of an attempt that ended
    // is late; one that names another call shows that the connection carries
    // foreign answers.
    Attempt *findSent(const AttemptId &id, const CallIdentity &echo);
    [[nodiscard]] bool anyLive() const;
    [[nodiscard]] int attemptsOfStage() const;
    // Ends \a attempt in \a state and has its connection dealt with by \a action.
    void end(Attempt &attempt, AttemptState state, RequestAction action);
    // The state of \a attempt once it is dropped: it may run if it was sent.
    static AttemptState stateWhenDropped(const Attempt &attempt);
    // An event came for \a attempt after its end or twice.
    void dropStale(const Attempt *attempt);
    void cancelLive();
    // Whether \a attempt is awaited after the final answer.
    [[nodiscard]] bool awaitsResolution(const Attempt &attempt) const;
    // No usable answer will come of \a attempt.
    void endUnanswered(Attempt &attempt);
    void startAttempt(bool hedge);
    void startFirstAttempt();
    // The last rule before bytes leave; see request_core.cc.
    [[nodiscard]] bool maySend() const;
    void send(Attempt &attempt);
    void commit(Attempt &attempt);
    void afterError(int status);
    void retryOrGiveUp(RefusalCause cause);
    [[nodiscard]] bool canRetry() const;
    [[nodiscard]] bool takeRetryToken();

    void beginStage();
    [[nodiscard]] StageEstimate estimateOf(std::size_t i) const;
    // What the current stage may use while the later ones keep their reserves.
    [[nodiscard]] std::optional<Duration> currentBudget() const;
    // The moment after which the later stages can't finish any more.
    [[nodiscard]] TimePoint stageDeadline() const;
    [[nodiscard]] TimePoint attemptDeadline(const Attempt &attempt) const;

    void appendClaim();
    void afterLostClaim(const ClaimLost &event);
    void record(Outcome outcome, std::optional<AttemptId> attempt);

    // Sets \a timer again if it fired before \a at.
    bool rearmIfEarly(const RequestTimer &timer, TimePoint at);
    void deadlineFired(const RequestTimer &timer);
    void claimFired(const RequestTimer &timer);
    void attemptFired(const RequestTimer &timer);
    // Whether ending \a attempt leaves another one running or makes room for it.
    [[nodiscard]] bool mayReplace(const Attempt &attempt) const;
    void hedgeFired(const RequestTimer &timer);
    void backoffFired(const RequestTimer &timer);
    void resolutionFired(const RequestTimer &timer);

    [[nodiscard]] RefusalCause outOfTimeCause() const;
    // Coming back helps if the deadline suits the declared times: then it is
    // today's load that makes the stages slow.
    [[nodiscard]] RefusalCause deadlineTooShortCause() const;
    [[nodiscard]] RefusalCause logDownCause(std::optional<Duration> retryAfter) const;
    // What is known of this request's calls. Later stages are only reached
    // through a committed answer, so a call whose fate matters and is unknown is
    // of the current stage.
    [[nodiscard]] Outcome outcomeNow() const;
    // Whether a call that the claim guards may have run.
    [[nodiscard]] bool nonIdempotentCallMayHaveRun() const;
    [[nodiscard]] std::optional<Duration> retryAfter(const RefusalCause &cause, Outcome outcome) const;
    // Gives the request up, or, after the final answer, records what became of
    // the call that was awaited.
    void giveUp(RefusalCause cause);
    // Keeps a keyed call that was sent running, so that its outcome is recorded.
    void beginResolution();
    // The awaited call was answered after the final answer. Stages after it
    // don't run any more, so the key's outcome is whole only without them.
    void resolve(const Attempt &attempt);
    void resolveAs(Outcome outcome, std::optional<AttemptId> attempt);
    void finishWith(const AttemptId &attempt);
    void finish(FinalAnswer answer);

    RequestCore &m_core;
    const RequestOptions &m_options;
    RequestCounters &m_counters;
    TimePoint m_now;
    Actions &m_actions;
};

} // namespace mimosahub
