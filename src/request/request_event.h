#pragma once

#include "mimosahub/outcome.h"
#include "request/request_plan.h"

#include <cstdint>
#include <optional>
#include <variant>

/// The events that a request handles. They may be late, reordered or duplicated.
namespace mimosahub
{

/// The request was admitted; always the first event.
struct Started {
};

/// Answers ChooseEndpoint: the attempt holds a slot on \a endpoint.
struct EndpointChosen {
    AttemptId attempt;
    EndpointId endpoint;
};

/// Answers ChooseEndpoint: no endpoint can accept the call.
struct NoEndpoint {
    AttemptId attempt;
    Reason reason = Reason::NoEndpoint;
    std::optional<Duration> retryAfter;
};

/// Answers OpenConnection: a connection is established and no byte of the call was written.
struct Connected {
    AttemptId attempt;
};

/// The endpoint's answer ended.
struct AttemptAnswered {
    AttemptId attempt;
    CallIdentity echo; ///< The identity that the endpoint echoed.
    int status = 200; ///< HTTP status.
    bool whole = true; ///< The body has its declared length or ends with its end mark.
};

/// The header of a streamed answer was received.
struct StreamOpened {
    AttemptId attempt;
    CallIdentity echo;
    int status = 200;
};

/// Tokens [offset, offset + count) of a streamed answer were received.
struct StreamData {
    AttemptId attempt;
    std::uint64_t offset = 0;
    std::uint64_t count = 0;
    bool end = false; ///< The stream's end mark followed these tokens.
};

/// The endpoint reported that it didn't run the call and won't.
struct AttemptRefused {
    AttemptId attempt;
    CallIdentity echo;
    std::optional<Duration> retryAfter;
};

/// Why an attempt got no usable answer.
enum class AttemptFailure {
    ConnectFailed, ///< No connection; no byte of the call was written.
    Reset, ///< The connection was lost after at least part of the call was written.
    Timeout, ///< Nothing was received in time.
    ShortAnswer, ///< The answer ended before its declared length or end mark.
    BadEcho, ///< The answer names another call.
    BadAnswer, ///< The answer is malformed or above its size limit.
};

/// The attempt ended without a usable answer.
struct AttemptFailed {
    AttemptId attempt;
    AttemptFailure failure = AttemptFailure::Reset;
};

/// State of the key when another claim of it precedes the one that was appended.
enum class ClaimLoss {
    InProgress, ///< Another request holds the key, and the daemon that runs it is alive.
    Recorded, ///< The outcome of the key's call is recorded.
    Unknown, ///< The holder is gone and recorded no outcome.
    Released, ///< The holder released the key without having run the call.
    Reused, ///< The key was used with another body.
};

/// Answers AppendClaim: the claim is first in the log.
struct ClaimWon {
    int round = 0; ///< As in AppendClaim.
};

/// Answers AppendClaim: another claim is first in the log. While the request waits
/// for the holder, this event is repeated on each change of \a state.
struct ClaimLost {
    int round = 0; ///< As in AppendClaim.
    ClaimLoss state = ClaimLoss::InProgress;
    Outcome recorded = Outcome::Unknown; ///< Outcome of the key's call; for Recorded only.
};

/// Answers AppendClaim: the append to the log failed. If it takes effect anyway,
/// the sender of this event releases the claim.
struct ClaimFailed {
    int round = 0; ///< As in AppendClaim.
    std::optional<Duration> retryAfter;
};

/// The timers of a request.
enum class TimerKind {
    Deadline, ///< The request's deadline.
    Claim, ///< Timeout of the claim's append.
    Attempt, ///< Timeout of an attempt, or of the next token of its stream.
    Hedge, ///< An attempt is slow enough to be hedged.
    Backoff, ///< End of the delay before the next attempt.
    Resolution, ///< End of the wait for the result of a sent call after the final answer.
};

/// Identifies a timer; setting it again changes its time.
struct RequestTimer {
    TimerKind kind = TimerKind::Deadline;
    AttemptId attempt; ///< Empty for timers of the whole request.

    friend bool operator==(const RequestTimer &, const RequestTimer &) = default;
};

/// A timer that SetTimer set has fired.
struct TimerFired {
    RequestTimer timer;
};

/// The caller closed its connection.
struct CallerLeft {
};

/// The daemon is stopping; the request must be answered before \a lastMoment.
struct DaemonStopping {
    TimePoint lastMoment;
};

using RequestEvent = std::variant<Started, EndpointChosen, NoEndpoint, Connected, AttemptAnswered, StreamOpened,
                                  StreamData, AttemptRefused, AttemptFailed, ClaimWon, ClaimLost, ClaimFailed,
                                  TimerFired, CallerLeft, DaemonStopping>;

} // namespace mimosahub
