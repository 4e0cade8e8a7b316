#pragma once

#include "mimosahub/outcome.h"
#include "request/request_event.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

/// The actions that a request demands from the I/O layer.
namespace mimosahub
{

/// Choose an endpoint and acquire a slot on it; answered by EndpointChosen or
/// NoEndpoint. The choice may be queued until the time left before \a giveUpAt is less
/// than \a needs.
struct ChooseEndpoint {
    AttemptId attempt;
    std::size_t stage = 0; ///< Index into the plan.
    std::vector<EndpointId> avoid; ///< Endpoints that earlier attempts of this stage used.
    TimePoint giveUpAt; ///< The answer is useless after this time.
    bool hedge = false;
    Duration typical{}; ///< Median time of such a call: its cost when workspaces share a queue.
    Duration needs{}; ///< High quantile of the time of such a call, by StageEstimate::reserve.
};

/// Append a claim of the request's key; eventually answered by ClaimWon, ClaimLost
/// or ClaimFailed, even after the final answer.
struct AppendClaim {
    int round = 0; ///< Number of this append within the request; the events repeat it.
};

/// Provide a connection; answered by Connected or AttemptFailed.
struct OpenConnection {
    AttemptId attempt;
    EndpointId endpoint;
    bool fresh = false; ///< Requires a new connection, since a pooled one may be unresponsive.
};

/// Write the call. No byte of a call is sent before this action; afterwards the
/// call counts as possibly run.
struct SendCall {
    AttemptId attempt;
    TimePoint giveUpAt; ///< The answer is useless after this time, which is passed on to the endpoint.
    std::uint64_t fromOffset = 0; ///< First token wanted; above 0 when a stream is resumed.
};

/// Abandon the attempt: leave the queue, stop connecting, or make the engine
/// cancel the work and close the connection. Idempotent.
struct CancelAttempt {
    AttemptId attempt;
};

/// Close the attempt's connection, which must not return to the pool.
struct CloseConnection {
    AttemptId attempt;
};

/// The answer of \a attempt is the result of its stage.
struct CommitStage {
    std::size_t stage = 0;
    AttemptId attempt;
};

/// Pass tokens [offset, offset + count) on to the caller.
struct RelayTokens {
    AttemptId attempt;
    std::uint64_t offset = 0;
    std::uint64_t count = 0;
};

/// Set \a timer to fire at \a at; replaces its earlier time.
struct SetTimer {
    RequestTimer timer;
    TimePoint at;
};

/// Record the outcome of the claimed key in the log. NotRun releases the claim.
struct RecordOutcome {
    Outcome outcome = Outcome::Unknown;
    std::optional<AttemptId> attempt; ///< The attempt whose answer is recorded; for Ok only.
};

/// Where the final answer comes from.
enum class AnswerSource {
    Endpoint, ///< The answer of FinalAnswer::attempt.
    Record, ///< The answer that the log holds for the key.
    Refusal, ///< FinalAnswer::refusal.
};

/// The final answer to the caller; exactly one per request.
struct FinalAnswer {
    AnswerSource source = AnswerSource::Refusal;
    AttemptId attempt; ///< For Endpoint only.
    bool streamBegun = false; ///< Tokens were relayed: the stream must end with an end mark or an error event.
    Refusal refusal; ///< For Refusal only.
};

using RequestAction = std::variant<ChooseEndpoint, AppendClaim, OpenConnection, SendCall, CancelAttempt,
                                   CloseConnection, CommitStage, RelayTokens, SetTimer, RecordOutcome, FinalAnswer>;

} // namespace mimosahub
