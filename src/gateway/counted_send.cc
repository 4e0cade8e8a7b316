// A send to the target counts against the exposure limit when it is made, one to an old
// endpoint when it has reached it. The outcome counts once it is known: when the answer begins,
// or as soon as it is late. So the newest outcomes show slowness before the slow answers end,
// and streams that began in time before they do.

#include "gateway/counted_send.h"

#include <utility>

namespace mimosahub
{

namespace
{

constexpr const char *kAnyZone = "any"; ///< Outcomes are compared by route only.

} // namespace

CountedSend::CountedSend(RolloutDirector &director, const EndpointInfo &endpoint, RouteId route, bool cold)
    : m_director(director),
      m_service(endpoint.service),
      m_route(std::move(route)),
      m_cold(cold),
      m_begin(director.m_clock.now())
{
    if (auto *known = director.find(m_service)) {
        director.m_sends.insert(this);
        m_rollout = known->rollout;
        m_toTarget = endpoint.version == m_rollout.target;
        if (m_toTarget) {
            known->split.recordTargetSend(m_route);
            director.m_targetSends.add(isSettled(known->split.phase()) ? 0 : 1);
        }
    }
}

CountedSend::~CountedSend()
{
    m_director.m_sends.erase(this);
    if (m_ended) {
        return;
    }
    auto *known = active();
    if (known != nullptr && !m_toTarget) {
        known->split.recordOldSend(m_route);
    }
    if (!m_isCounted && isLate()) {
        count(false, true);
    }
}

RolloutDirector::Active *CountedSend::active()
{
    auto *known = m_director.find(m_service);
    return known != nullptr && known->rollout == m_rollout ? known : nullptr;
}

void CountedSend::countIfLate()
{
    if (!m_isCounted && !m_ended && isLate()) {
        count(false, true);
    }
}

void CountedSend::begun(Duration first)
{
    const auto limit = m_director.m_limits.firstLimit(m_route);
    if (limit && !m_cold && !m_isCounted) {
        count(false, first > *limit);
    }
}

void CountedSend::end(SendResult result, const std::optional<AnswerTimes> &times)
{
    m_ended = true;
    auto *known = active();
    if (known != nullptr && !m_toTarget && result != SendResult::Unreachable) {
        known->split.recordOldSend(m_route);
    }
    switch (result) {
    case SendResult::Answered:
        if (times) {
            answered(*times);
        }
        break;
    case SendResult::ServerError:
    case SendResult::UnprovenRefusal:
        count(true, false);
        break;
    case SendResult::Lost:
        if (times || !isLate()) {
            count(true, false);
        } else {
            count(false, true);
        }
        break;
    default:
        break;
    }
}

void CountedSend::answered(const AnswerTimes &times)
{
    const auto slow = m_director.m_limits.isSlow(m_route, times);
    if (!m_toTarget && !m_cold) {
        m_director.m_limits.record(m_route, times);
    }
    if (slow && !m_cold) {
        count(false, *slow);
    }
}

bool CountedSend::isLate() const
{
    const auto limit = m_director.m_limits.firstLimit(m_route);
    return limit && !m_cold && m_director.m_clock.now() - m_begin > *limit;
}

// A send is counted once, and as failed or slow too if that shows later.
void CountedSend::count(bool failed, bool slow)
{
    auto *known = active();
    if (known == nullptr) {
        return;
    }
    auto &route = known->counts[RouteKey{m_route.str(), ZoneId(kAnyZone)}];
    auto &version = m_toTarget ? route.to : route.from;
    version.finished += m_isCounted ? 0 : 1;
    version.failed += failed ? 1 : 0;
    version.slow += slow && !m_isSlow ? 1 : 0;
    m_isCounted = true;
    m_isSlow = m_isSlow || slow;
}

} // namespace mimosahub
