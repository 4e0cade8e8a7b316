#pragma once

#include <string_view>

namespace mimosahub
{

/// Why a request is not sent to another endpoint.
enum class RetryObstacle {
    None,
    NotRepeatable, ///< It may run once only.
    AttemptsUsed, ///< It was sent to as many endpoints as its route allows.
    NoTime,
    NoBudget, ///< The shared retry budget is empty.
    NoEndpoint, ///< No other endpoint may take it now.
    Unreachable, ///< No connection to the other endpoint could be made.
    NoFallback, ///< The present endpoint leaves: it could not take the request back.
    InputsGone, ///< The results of its stages can't be read any more.
    Suspected, ///< Endpoints crash under a part of its prompt.
    NotNeeded, ///< The present endpoint went on meanwhile.
};

/// Hyphenated name, for metrics and the log.
[[nodiscard]] constexpr std::string_view retryObstacleName(RetryObstacle obstacle)
{
    switch (obstacle) {
    case RetryObstacle::None:
        return "none";
    case RetryObstacle::NotRepeatable:
        return "not-repeatable";
    case RetryObstacle::AttemptsUsed:
        return "attempts-used";
    case RetryObstacle::NoTime:
        return "no-time";
    case RetryObstacle::NoBudget:
        return "no-budget";
    case RetryObstacle::NoEndpoint:
        return "no-endpoint";
    case RetryObstacle::Unreachable:
        return "unreachable";
    case RetryObstacle::NoFallback:
        return "no-fallback";
    case RetryObstacle::InputsGone:
        return "inputs-gone";
    case RetryObstacle::Suspected:
        return "suspected";
    case RetryObstacle::NotNeeded:
        return "not-needed";
    }
    return "";
}

/// How the response of a send was lost.
enum class SendLoss {
    None,
    BrokenOff, ///< The endpoint closed the connection or sent something invalid.
    Silence, ///< The endpoint sent nothing for as long as was waited.
    CallerGone, ///< The caller does not read any more.
    NoMemory, ///< This daemon had no memory for the stream.
    InternalError, ///< The handler of the request failed.
};

/// Hyphenated name, for metrics and the log.
[[nodiscard]] constexpr std::string_view sendLossName(SendLoss loss)
{
    switch (loss) {
    case SendLoss::None:
        return "none";
    case SendLoss::BrokenOff:
        return "broken-off";
    case SendLoss::Silence:
        return "silence";
    case SendLoss::CallerGone:
        return "caller-gone";
    case SendLoss::NoMemory:
        return "no-memory";
    case SendLoss::InternalError:
        return "internal-error";
    }
    return "";
}

} // namespace mimosahub
