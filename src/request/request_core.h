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
    int maxAttempts = 3; ///< Attempts of one stage, hedges included.
    Duration minBudget = std::chrono::milliseconds(1); ///< Least time before the deadline at which a call is sent.
    Duration claimTimeout = std::chrono::seconds(2); ///< Longest wait for a claim.
    Duration streamStallTimeout = std::chrono::seconds(2); ///< Longest silence within a stream.
    Duration resolutionTimeout = std::chrono::seconds(30); ///< Wait for a keyed call's outcome after the final answer.
    Duration logRetryAfter = std::chrono::seconds(5); ///< Retry-after when the log is down.
    Duration endpointRetryAfter = std::chrono::seconds(1); ///< Retry-after when endpoints failed.
    BudgetOptions budget;
    BackoffOptions backoff;
    HedgeOptions hedge;
};

/// Counts over all requests of a thread.
struct RequestCounters {
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0; ///< The retry budget was empty.
    std::uint64_t hedges = 0;
    std::uint64_t resumes = 0; ///< Streams continued on another endpoint.
    std::uint64_t timeouts = 0; ///< Attempts.
    std::uint64_t lateAnswers = 0; ///< Dropped: their attempt had ended.
    std::uint64_t mismatchedAnswers = 0; ///< Dropped: they name another call.
    std::uint64_t partialAnswers = 0; ///< Dropped: they ended early.
    std::uint64_t staleEvents = 0; ///< Other events that came late or twice.
};

/// What the requests of one thread share. Outlives them.
struct RequestEnvironment {
    const RequestOptions &options;
    ServiceHistories &histories;
    RequestCounters &counters;
    Random &random;
};

/// Decides the life of one request from its arrival to its one final answer:
/// stages, attempts, hedges, the claim of its key, and what to answer. Pure:
/// events and the time come in, actions go out.
///
/// Invariants:
/// - exactly one FinalAnswer, at the moment the request ends or is given up;
/// - at most one CommitStage for each stage, for a whole answer that echoes the
///   attempt's own identity;
/// - a non-idempotent stage gets at most one SendCall, with a key only after its
///   claim was won, and never after the deadline or the key's validity;
/// - NotRun only if each call that was sent was refused by its endpoint;
/// - each attempt that was begun ends answered, cancelled or closed.
class RequestCore
{
public:
    /// Fails if \a plan has no stages.
    [[nodiscard]] static absl::StatusOr<RequestCore> create(RequestPlan plan, const RequestEnvironment &environment);

    /// Takes \a event at \a now and appends what has to be done to \a actions,
    /// in order.
    void handle(const RequestEvent &event, TimePoint now, std::vector<RequestAction> &actions);

    /// The final answer was given.
    [[nodiscard]] bool answered() const
    {
        return m_answered;
    }
    /// The final answer was given and nothing is left to wait for.
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
        Choosing, ///< Waits for an endpoint.
        Connecting, ///< Waits for a connection.
        Sent, ///< The call was sent; no end is known.
        Lost, ///< The call was sent and whether it ran can't be told.
        Refused, ///< The endpoint says that the call didn't run.
        Failed, ///< The endpoint reported a failure.
        Unsent, ///< Ended before the call was sent.
        Committed,
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
        // The call may have run, as far as its state tells.
        [[nodiscard]] bool mayHaveRun() const
        {
            return state == AttemptState::Sent || state == AttemptState::Lost || state == AttemptState::Failed
                || state == AttemptState::Committed;
        }
        // The call was sent, whatever came of it.
        [[nodiscard]] bool wasSent() const
        {
            return mayHaveRun() || state == AttemptState::Refused;
        }
    };
    enum class ClaimPhase {
        None,
        Appending,
        Waiting, ///< For another request that holds the key.
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
    std::optional<TimePoint> m_backoffUntil; // Set while no attempt is live and the next one is due.
    std::optional<TimePoint> m_resolutionDeadline; // Set while a sent call is awaited after the final answer.
    std::optional<Duration> m_endpointRetryAfter; // What the last refusing endpoint asked for.
    bool m_started = false;
    bool m_answered = false;
    bool m_stopping = false;
    bool m_deadlineSetByStop = false; // The daemon's stop comes before the request's own deadline.
};

} // namespace mimosahub
