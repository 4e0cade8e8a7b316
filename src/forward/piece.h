#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// Pieces of stages: units of work that endpoints do in batches.
namespace mimosahub
{

using PieceKey = Id<struct PieceKeyTag>; ///< Names the input of a piece whose stage follows no other.
using ResultHandle = Id<struct ResultHandleTag>; ///< Names a result at the endpoint that made it.

/// One piece as it is sent to an endpoint.
struct BatchPiece {
    RequestId request;
    std::size_t stage = 0; ///< Index in the route.
    int piece = 0; ///< Index in the stage.
    std::optional<Duration> remaining; ///< Of use only if its turn comes within this time.
    PieceKey key; ///< For stages that follow no other.
    std::vector<ResultHandle> inputs; ///< All results of the stages that its stage follows.
};

/// What became of a piece.
enum class PieceOutcome {
    Done,
    Late, ///< Its time had run out when its turn came.
    InputsGone, ///< A result that it needs is gone.
    MemoryFull, ///< The endpoint has no memory for the result.
    Failed,
    Moved, ///< Nothing was begun: another daemon plans for the service now.
};

/// "done", "late" and so on, for the log.
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
    ResultHandle handle; ///< For Done.
};

} // namespace mimosahub
