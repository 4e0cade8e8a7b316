// Two conditions decide: whether the request may have run, and whether it may be sent
// once more. A request that is not repeatable is sent again only if the endpoint
// itself reports that it did not run it, or if no byte of it was sent.

#include "forward/send_policy.h"

namespace mimosahub
{

namespace
{

constexpr int kMaxMisses = 3; ///< Sends to endpoints that are unreachable or not the intended ones.
constexpr int kMaxPreparations = 2;

} // namespace

NextStep SendPolicy::after(SendResult result, bool mayRetry)
{
    if (result == SendResult::Unreachable || result == SendResult::OtherEndpoint) {
        return ++m_misses <= kMaxMisses && mayRetry ? NextStep::SendAgain : NextStep::GiveUp;
    }
    ++m_sends;
    const bool more = m_sends < m_limits.maxSends && mayRetry;
    switch (result) {
    case SendResult::Answered:
        m_mayHaveRun = true;
        return NextStep::PassOn;
    case SendResult::ServerError:
        m_mayHaveRun = true;
        return m_limits.repeatable && more ? NextStep::SendAgain : NextStep::PassOn;
    case SendResult::Refused:
        return more ? NextStep::SendAgain : NextStep::GiveUp;
    case SendResult::InputsGone:
        return more && ++m_preparations < kMaxPreparations ? NextStep::PrepareAgain : NextStep::GiveUp;
    case SendResult::UnprovenRefusal:
    case SendResult::Lost:
        m_mayHaveRun = true;
        return m_limits.repeatable && more ? NextStep::SendAgain : NextStep::GiveUp;
    case SendResult::Unreachable:
    case SendResult::OtherEndpoint:
        break;
    }
    return NextStep::GiveUp;
}

} // namespace mimosahub
