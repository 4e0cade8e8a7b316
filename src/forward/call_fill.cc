// With k pieces a call, pieces that arrive at a rate r use r / k * (c + k * p) of the endpoints'
// time, where c is the fixed time of a call and p that of a piece. The k for which this is the
// target share of the slots n is r * c / (target * n - r * p). Waiting for k pieces takes
// k / r, which is c / (target * n - r * p).

#include "forward/call_fill.h"

#include <algorithm>
#include <cmath>

namespace mimosahub
{

namespace
{

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

double CallFill::rate(TimePoint now) const
{
    const double window = seconds(m_options.rateWindow);
    return m_arrived * std::exp(-seconds(now - m_countedAt) / window) / window;
}

void CallFill::recordArrivals(std::size_t pieces, TimePoint now)
{
    m_arrived = rate(now) * seconds(m_options.rateWindow) + static_cast<double>(pieces);
    m_countedAt = now;
}

std::size_t CallFill::targetPieces(const CallFillState &state, TimePoint now) const
{
    const double arrivals = rate(now);
    const double left = m_options.targetUse * state.slots - arrivals * seconds(state.pieceTime);
    if (left <= 0.0) {
        return state.callTime > Duration::zero() ? state.maxPieces : 0;
    }
    const double pieces = arrivals * seconds(state.callTime) / left;
    return static_cast<std::size_t>(std::min(pieces, static_cast<double>(state.maxPieces)));
}

std::optional<TimePoint> CallFill::holdUntil(const CallFillState &state, TimePoint now)
{
    const auto target = targetPieces(state, now);
    const double reserve = (1.0 - m_options.targetUse) * state.slots;
    if (state.queued >= target || static_cast<double>(state.idleSlots) > reserve) {
        return std::nullopt;
    }
    m_heldSince = m_heldSince.value_or(now);
    const double left = m_options.targetUse * state.slots - rate(now) * seconds(state.pieceTime);
    const double most = m_options.maxWaitShare * seconds(state.callTime);
    const auto longest = fromSeconds(left > 0.0 ? std::min(seconds(state.callTime) / left, most) : most);
    const TimePoint until = std::min(TimePoint(*m_heldSince + longest), TimePoint(now + state.slack));
    return until > now ? std::optional(until) : std::nullopt;
}

Duration CallFill::endHold(TimePoint now)
{
    const Duration held = m_heldSince ? Duration(now - *m_heldSince) : Duration::zero();
    m_heldSince.reset();
    return held;
}

} // namespace mimosahub
