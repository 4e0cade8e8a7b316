#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// Pieces of stages: units of work that endpoints process in batches.
namespace mimosahub
{

using PieceKey = Id<struct PieceKeyTag>; ///< Identifies the input of a piece whose stage depends on no other.
using ResultHandle = Id<struct ResultHandleTag>; ///< Identifies a result at the endpoint that made it.

/// One piece as it is sent to an endpoint.
struct BatchPiece {
    RequestId request;
    std::size_t stage = 0; ///< Index in the route.
    int piece = 0; ///< Index in the stage.
    std::optional<Duration> remaining; ///< Time within which its processing must begin to be useful.
    PieceKey key; ///< Identifies the input of a stage that depends on no other; for others, see inputs.
    std::vector<ResultHandle> inputs; ///< All results of the stages on which its stage depends.
};

/// How the processing of a piece ended.
enum class PieceOutcome {
    Done,
    Late, ///< Its time had run out before it was started.
    InputsGone, ///< A result that it needs is gone.
    MemoryFull, ///< The endpoint has no memory for the result.
    Failed,
    Moved, ///< No piece was started: another daemon plans for the service now.
};

/// The name of \a outcome in the log, such as "done" or "late".
[[nodiscard]] constexpr std::string_view pieceOutcomeName(PieceOutcome outcome)
{
    switch (outcome) {
    case PieceOutcome::Done:
        return "done";
    case PieceOutcome::Late:
        return "late";
    case PieceOutcome::InputsGone:
        return "inputs gone";
    case PieceOutcome::MemoryFull:
        return "no room";
    case PieceOutcome::Failed:
        return "failed";
    case PieceOutcome::Moved:
        return "moved";
    }
    return "";
}

struct PieceResult {
    PieceOutcome outcome = PieceOutcome::Failed;
    ResultHandle handle; ///< Set if the outcome is Done.
};

} // namespace mimosahub
