#pragma once

#include "base/backoff.h"
#include "base/random.h"
#include "request/hedge_policy.h"
#include "request/request_action.h"
#include "request/request_event.h"
#include "request/request_plan.h"
#include "request/service_history.h"
#include "request/stage_budget.h"
#include "request/stream_relay.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace mimosahub
{

/// Limits and policies of a request.
struct RequestOptions {
    int maxAttempts = 3; ///< Attempts of one stage, including hedges.
    Duration minBudget = std::chrono::milliseconds(1); ///< Least time left until the deadline for a call to be sent.
    Duration claimTimeout = std::chrono::seconds(2); ///< Longest wait for the append of a claim.
    Duration streamStallTimeout = std::chrono::seconds(2); ///< Longest time without a token within a stream.
    Duration resolutionTimeout = std::chrono::seconds(30); ///< Longest wait for a keyed call after the final answer.
    Duration logRetryAfter = std::chrono::seconds(5); ///< Retry-after if a claim can't be appended to the log.
    Duration endpointRetryAfter = std::chrono::seconds(1); ///< Retry-after if endpoints failed.
    BudgetOptions budget;
    BackoffOptions backoff;
    HedgeOptions hedge;
};

/// Counters over all requests of a thread.
struct RequestCounters {
    std::uint64_t retries = 0; ///< Retries that were scheduled, without hedges.
    std::uint64_t retriesDenied = 0; ///< Retries and hedges omitted since the retry budget was empty.
    std::uint64_t hedges = 0; ///< Second attempts started beside a slow one.
    std::uint64_t resumes = 0; ///< Streams continued on another endpoint.
    std::uint64_t timeouts = 0; ///< Attempts that timed out.
    std::uint64_t lateAnswers = 0; ///< Answers and stream data dropped since their attempt wasn't waiting for them.
    std::uint64_t mismatchedAnswers = 0; ///< Answers dropped since they name another call.
    /// Answers dropped since they were truncated, or not streamed where a stream is needed.
    std::uint64_t partialAnswers = 0;
    std::uint64_t staleEvents = 0; ///< Other events that were late, duplicated or unexpected.
};

/// Objects that the requests of one thread share. Must outlive the requests.
struct RequestEnvironment {
    const RequestOptions &options;
    ServiceHistories &histories;
    RequestCounters &counters;
    Random &random;
};

/// State machine of one request from its arrival to its final answer: stages,
/// attempts, hedges, the claim of its key, and the answer. It does no I/O: events and
/// the time are its input, actions its output.
///
/// Invariants:
/// - exactly one FinalAnswer, when the request ends or is abandoned;
/// - at most one CommitStage per stage, for a complete answer that echoes the
///   attempt's own identity;
/// - a non-idempotent stage gets at most one SendCall; with a key, only after its
///   claim was won; never after the deadline or the end of the key's validity;
/// - NotRun only if each call that was sent was refused by its endpoint;
/// - each attempt that was begun ends answered, cancelled or closed.
class RequestCore
{
public:
    /// Creates the state machine. Errors: InvalidArgument if \a plan has no stages.
    [[nodiscard]] static absl::StatusOr<RequestCore> create(RequestPlan plan, const RequestEnvironment &environment);

    /// Handles \a event at \a now and appends the resulting actions to \a actions, in
    /// order.
    void handle(const RequestEvent &event, TimePoint now, std::vector<RequestAction> &actions);

    /// Whether the final answer was given.
    [[nodiscard]] bool answered() const
    {
        return m_answered;
    }
    /// Whether the final answer was given and no further result is awaited.
    [[nodiscard]] bool closed() const;
    [[nodiscard]] const RequestPlan &plan() const
    {
        return m_plan;
    }
    /// The identity to send with \a attempt.
    [[nodiscard]] CallIdentity identityOf(const AttemptId &attempt) const;

private:
    enum class AttemptState {
        // Live states come first.
        Choosing, ///< Waiting for an endpoint.
        Connecting, ///< Waiting for a connection.
        Sent, ///< The call was sent and its result is awaited.
        Lost, ///< The call was sent, and whether it ran can't be determined.
        Refused, ///< The endpoint reported that the call didn't run.
        Failed, ///< The endpoint reported a failure.
        Unsent, ///< Ended before the call was sent.
        Committed, ///< Its answer is the result of the stage.
    };
    struct Attempt {
        AttemptId id;
        std::size_t stage = 0;
        AttemptState state = AttemptState::Choosing;
        EndpointId endpoint;
        bool hedge = false;
        bool streamOpen = false;
        TimePoint sentAt;
        TimePoint timeoutAt;

        [[nodiscard]] bool live() const
        {
            return state <= AttemptState::Sent;
        }
        // Whether the call may have run, according to the state.
        [[nodiscard]] bool mayHaveRun() const
        {
            return state == AttemptState::Sent || state == AttemptState::Lost || state == AttemptState::Failed
                || state == AttemptState::Committed;
        }
        // Whether the call was sent, whatever its result.
        [[nodiscard]] bool wasSent() const
        {
            return mayHaveRun() || state == AttemptState::Refused;
        }
    };
    enum class ClaimPhase {
        None,
        Appending,
        Waiting, ///< Waiting for another request that holds the key.
        Won,
        Recorded, ///< Won, and its outcome was recorded.
    };
    using Actions = std::vector<RequestAction>;
    class Handler; // Handles one event.

    RequestCore(RequestPlan plan, const RequestEnvironment &environment);

    RequestPlan m_plan;
    RequestEnvironment m_environment;
    std::vector<ServiceHistory *> m_histories; // By stage.
    std::vector<Attempt> m_attempts;
    StreamRelay m_relay;
    std::size_t m_stage = 0;
    ClaimPhase m_claim = ClaimPhase::None;
    int m_claimRound = 0;
    TimePoint m_claimUntil;
    std::optional<TimePoint> m_backoffUntil; // Set while no attempt is live and the next one is scheduled.
    std::optional<TimePoint> m_resolutionDeadline; // Set while a sent call is awaited after the final answer.
    std::optional<Duration> m_endpointRetryAfter; // Retry-after of the last endpoint that refused.
    bool m_started = false;
    bool m_answered = false;
    bool m_stopping = false;
    bool m_deadlineSetByStop = false; // The daemon's stop replaced the request's own, later deadline.
};

} // namespace mimosahub
