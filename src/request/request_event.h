#pragma once

#include "mimosahub/outcome.h"
#include "request/request_plan.h"

#include <cstdint>
#include <optional>
#include <variant>

/// What can happen to a request. Events may come late, crossed or twice.
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

/// Answers ChooseEndpoint: no endpoint may take the call.
struct NoEndpoint {
    AttemptId attempt;
    Reason reason = Reason::NoEndpoint;
    std::optional<Duration> retryAfter;
};

/// Answers OpenConnection: a connection is ready and no byte of the call was written.
struct Connected {
    AttemptId attempt;
};

/// The endpoint's answer came to its end.
struct AttemptAnswered {
    AttemptId attempt;
    CallIdentity echo; ///< As the endpoint echoed it.
    int status = 200; ///< HTTP status.
    bool whole = true; ///< The body has its declared length or its end mark.
};

/// The header of a streamed answer came.
struct StreamOpened {
    AttemptId attempt;
    CallIdentity echo;
    int status = 200;
};

/// Tokens [offset, offset + count) of a streamed answer came.
struct StreamData {
    AttemptId attempt;
    std::uint64_t offset = 0;
    std::uint64_t count = 0;
    bool end = false; ///< The end mark followed these tokens.
};

/// The endpoint says that it did not run the call and will not.
struct AttemptRefused {
    AttemptId attempt;
    CallIdentity echo;
    std::optional<Duration> retryAfter;
};

/// Why an attempt got no usable answer.
enum class AttemptFailure {
    ConnectFailed, ///< No connection; no byte of the call was written.
    Reset, ///< The connection broke after the call was written, at least in part.
    Timeout, ///< Nothing came in time.
    ShortAnswer, ///< The answer ended before its declared length or end mark.
    BadEcho, ///< The answer names another call.
    BadAnswer, ///< The answer is malformed or above its size limit.
};

/// The attempt ended without a usable answer.
struct AttemptFailed {
    AttemptId attempt;
    AttemptFailure failure = AttemptFailure::Reset;
};

/// What the log holds for the key in place of the claim that was appended.
enum class ClaimLoss {
    InProgress, ///< Another request holds the key and its holder is alive.
    Recorded, ///< The outcome of the key's call is recorded.
    Unknown, ///< The holder is gone and left no outcome.
    Released, ///< The holder gave the key back without having run the call.
    Reused, ///< The key was used with another body.
};

/// Answers AppendClaim: the claim is first in the log.
struct ClaimWon {
    int round = 0; ///< As in AppendClaim.
};

/// Answers AppendClaim: another claim was first. While the request waits for
/// the holder, it is sent again on each change of \a state.
struct ClaimLost {
    int round = 0;
    ClaimLoss state = ClaimLoss::InProgress;
    Outcome recorded = Outcome::Unknown; ///< For Recorded only.
};

/// Answers AppendClaim: the log can't take it. Should the append land after
/// all, whoever sent this event releases it.
struct ClaimFailed {
    int round = 0;
    std::optional<Duration> retryAfter;
};

enum class TimerKind {
    Deadline, ///< The request's deadline.
    Claim, ///< The claim took too long.
    Attempt, ///< An attempt took too long, or its stream stalled.
    Hedge, ///< An attempt is slow enough for a second one.
    Backoff, ///< Time for the next attempt.
    Resolution, ///< End of waiting for a sent call after the final answer.
};

/// Names a timer; setting it again moves it.
struct RequestTimer {
    TimerKind kind = TimerKind::Deadline;
    AttemptId attempt; ///< Empty for timers of the whole request.

    friend bool operator==(const RequestTimer &, const RequestTimer &) = default;
};

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
