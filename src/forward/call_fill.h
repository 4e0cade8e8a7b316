#pragma once

#include "mimosahub/clock.h"

#include <cstddef>
#include <optional>

/// When a call that is not full is sent.
namespace mimosahub
{

struct CallFillOptions {
    /// Share of the endpoints' time that calls may use before pieces wait to fill them. The rest
    /// takes clumps of orders without a queue.
    double targetUse = 0.8;
    Duration rateWindow = std::chrono::seconds(1); ///< Time constant of the arrival rate.
    double maxWaitShare = 0.25; ///< Longest wait, as a share of the fixed time of a call.
};

/// The endpoints and the queue of a service at one moment.
struct CallFillState {
    Duration callTime{}; ///< Fixed time of a call.
    Duration pieceTime{}; ///< Time that each piece adds.
    std::size_t maxPieces = 1; ///< Most pieces of a call.
    double slots = 0.0; ///< Calls that the endpoints run at once; one of a slow endpoint counts less.
    std::size_t idleSlots = 0; ///< Slots that can take a call now.
    std::size_t queued = 0; ///< Pieces that wait.
    Duration slack{}; ///< Time for which all orders may wait and still be in time; 0 if one is late.
};

/// Decides when the calls of one service are sent. The fixed part
/// of a call is shared by its pieces: while the endpoints are nearly busy, a short wait frees time
/// for others. While they are not, nothing waits. It does no I/O and reads no clock.
class CallFill
{
public:
    explicit CallFill(const CallFillOptions &options = {}) : m_options(options)
    {
    }

    /// Records pieces that were added to the queue.
    void recordArrivals(std::size_t pieces, TimePoint now);
    /// The time until which the queue waits to fill a call; absent if calls are to be sent now.
    [[nodiscard]] std::optional<TimePoint> holdUntil(const CallFillState &state, TimePoint now);
    /// Records that calls were sent or that the queue is empty: the next wait begins anew. Returns
    /// how long pieces waited to fill them.
    Duration endHold(TimePoint now);
    /// Pieces a call with which calls use the target share of the endpoints' time; not above
    /// maxPieces, and 0 if one piece a call uses less.
    [[nodiscard]] std::size_t targetPieces(const CallFillState &state, TimePoint now) const;

private:
    [[nodiscard]] double rate(TimePoint now) const;

    CallFillOptions m_options;
    double m_arrived = 0.0; ///< Decayed count of pieces.
    TimePoint m_countedAt;
    std::optional<TimePoint> m_heldSince;
};

} // namespace mimosahub
