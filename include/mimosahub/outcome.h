#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/error.h"

#include <optional>
#include <string>
#include <string_view>

namespace mimosahub
{

/// What is known of a call when its final answer is given. The names are part of
/// the API for callers (header "Mimosahub-Outcome").
enum class Outcome {
    Ok, ///< Ran once; the answer is complete.
    Failed, ///< Started to run, and its endpoint reported a failure.
    NotRun, ///< No byte of the call was sent to an endpoint, or the endpoint refused to run it.
    Unknown, ///< May have run; this can't be determined yet, or ever.
};

/// "ok", "failed", "not-run" or "unknown".
[[nodiscard]] std::string_view outcomeName(Outcome outcome);
/// The outcome named \a name; absent if there is none.
[[nodiscard]] std::optional<Outcome> outcomeFromName(std::string_view name);

/// Why a call was refused or abandoned. The names are part of the API for callers.
enum class Reason {
    None, ///< The call was answered.
    BadRequest, ///< The request is malformed.
    UnknownRoute, ///< No service, call or pipeline of that name.
    UnknownWorkspace, ///< No workspace of that name.
    UnknownKey, ///< The API key belongs to no workspace.
    TooLarge, ///< The body is above its limit.
    HeaderTooLarge, ///< The header is above its limit.
    RequestTimeout, ///< The complete request wasn't received in time.
    KeyRequired, ///< A non-idempotent call has no idempotency key.
    KeyExpired, ///< The idempotency key's expiry has passed.
    KeyReused, ///< The idempotency key was used with another body.
    InProgress, ///< The key's first call is still running.
    ShareExceeded, ///< The workspace already uses its whole share of the pool.
    Overloaded, ///< No endpoint can accept the call in time.
    DeadlineTooShort, ///< The time left until the deadline is less than the stages need.
    DeadlinePassed, ///< The deadline passed before the call ended.
    NoEndpoint, ///< No endpoint of the service is eligible for calls.
    EndpointFailed, ///< The endpoint answered with an error.
    EndpointLost, ///< The endpoint's answer was truncated or never received.
    NotFresh, ///< This daemon can't prove that its configuration is current: it has not read it
              ///< yet, or is disconnected from the log and from most other daemons.
    LogDown, ///< The claim can't be appended to the platform's log.
    Quarantined, ///< Endpoints crash under a part of the request's content.
    Draining, ///< This daemon is stopping.
    CallerLeft, ///< The caller closed its connection.
};

/// Hyphenated name, for example "share-exceeded".
[[nodiscard]] std::string_view reasonName(Reason reason);

/// The final answer to one request, when it is not the endpoint's own answer.
struct Refusal {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    std::string detail; ///< One sentence for people.
    std::string step; ///< The stage or step at which the request ended.
    std::string peer; ///< The endpoint or daemon involved, or empty.
    std::optional<Duration> retryAfter; ///< Time to wait before a retry; absent if a retry can't help.
};

/// A refusal at \a step of a call that has not run.
[[nodiscard]] Refusal makeRefusal(Reason reason, std::string detail, Step step,
                                  std::optional<Duration> retryAfter = std::nullopt);
/// Whether callers take an HTTP \a status for the promise that their request has not run
/// and never will.
[[nodiscard]] bool promisesNotRun(int status);
/// The HTTP status of \a refusal; one that promises that the request has not run only if
/// its outcome says so.
[[nodiscard]] int httpStatus(const Refusal &refusal);
/// The JSON body of \a refusal, as documented for callers.
[[nodiscard]] std::string refusalBody(const Refusal &refusal, std::string_view requestId);

} // namespace mimosahub
