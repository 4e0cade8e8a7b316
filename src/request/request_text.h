#pragma once

#include "request/request_action.h"
#include "request/request_event.h"

#include <string>

/// Formats events and actions of requests as text, one line each, for traces and
/// golden files.
namespace mimosahub
{

/// Text of \a event, for example "answered 1 status=200".
[[nodiscard]] std::string textOf(const RequestEvent &event);

/// Text of \a action, for example "set-timer attempt 1 at=+150ms". Times are
/// relative to \a start.
[[nodiscard]] std::string textOf(const RequestAction &action, TimePoint start);

/// "deadline", "claim", "attempt", "hedge", "backoff" or "settle" (Resolution).
[[nodiscard]] std::string_view timerKindName(TimerKind kind);
/// Hyphenated name, for example "connect-failed".
[[nodiscard]] std::string_view attemptFailureName(AttemptFailure failure);
/// Hyphenated name, for example "in-progress".
[[nodiscard]] std::string_view claimLossName(ClaimLoss loss);

} // namespace mimosahub
