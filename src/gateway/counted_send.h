#pragma once

#include "forward/send_policy.h"
#include "gateway/rollout_director.h"

/// What a send of a request counts for its service's rollout.
namespace mimosahub
{

/// One send of a request while it is under way. Destroying it without end() counts it as
/// given up by its caller.
class CountedSend
{
public:
    /// \a cold: the endpoint is slow since it has just started.
    CountedSend(RolloutDirector &director, const EndpointInfo &endpoint, RouteId route, bool cold);
    ~CountedSend();
    CountedSend(const CountedSend &) = delete;
    CountedSend &operator=(const CountedSend &) = delete;

    /// Counts the send as slow, if its answer hasn't begun and is late by now.
    void countIfLate();
    /// Records that the first byte of the answer has come, \a first after the send.
    void begun(Duration first);
    /// Records how the send ended. \a times is absent if no event or whole answer came.
    void end(SendResult result, const std::optional<AnswerTimes> &times);

private:
    void count(bool failed, bool slow);
    void answered(const AnswerTimes &times);
    [[nodiscard]] bool isLate() const;
    [[nodiscard]] RolloutDirector::Active *active();

    RolloutDirector &m_director;
    RolloutId m_rollout; ///< Empty without one.
    ServiceId m_service;
    RouteId m_route;
    bool m_toTarget = false;
    bool m_cold;
    bool m_ended = false;
    bool m_isCounted = false;
    bool m_isSlow = false; ///< Counted as slow.
    TimePoint m_begin;
};

} // namespace mimosahub
