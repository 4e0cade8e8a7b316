#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/outcome.h"

#include <optional>

/// What follows when a send of a forwarded request has ended.
namespace mimosahub
{

/// How one send of a request to an endpoint ended.
enum class SendResult {
    Answered, ///< Whole, and not a failure of the endpoint.
    ServerError, ///< The endpoint says that it failed, or answered with a failure of its own.
    Unreachable, ///< No byte of the request left.
    OtherEndpoint, ///< Another endpoint has the address; the request did not run.
    Refused, ///< The endpoint did not run the request.
    InputsGone, ///< The endpoint did not run it: a result that it was to fetch is gone.
    Lost, ///< The answer broke off, was wrong or never came: it may have run.
};

/// What a request may cost.
struct SendLimits {
    bool repeatable = false; ///< It may be sent again after it may have run.
    int maxSends = 1; ///< Endpoints to which it may be sent.
};

/// What to do next.
enum class NextStep {
    PassOn, ///< Give the endpoint's answer to the caller.
    SendAgain, ///< To another endpoint.
    PrepareAgain, ///< Produce the stages' results again, then send.
    GiveUp, ///< Answer with a refusal.
};

/// Decides for one request, after each send, what comes next, and remembers
/// whether it may have run, so that no refusal can deny that.
class SendPolicy
{
public:
    explicit SendPolicy(const SendLimits &limits) : m_limits(limits)
    {
    }

    /// A send ended with \a result. \a mayRetry says that time is left and that the
    /// shared budget allows a second send.
    [[nodiscard]] NextStep after(SendResult result, bool mayRetry);
    /// The request may have run somewhere.
    [[nodiscard]] bool mayHaveRun() const
    {
        return m_mayHaveRun;
    }
    /// What a refusal may say of the request.
    [[nodiscard]] Outcome outcome() const
    {
        return m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    }
    /// Endpoints that were handed the request.
    [[nodiscard]] int sends() const
    {
        return m_sends;
    }
    /// Whether one more send could follow if this one fails.
    [[nodiscard]] bool allowsAnotherSend() const
    {
        return m_limits.repeatable && m_sends + 1 < m_limits.maxSends;
    }

private:
    SendLimits m_limits;
    int m_sends = 0;
    int m_misses = 0; ///< Sends that reached no endpoint.
    int m_preparations = 0;
    bool m_mayHaveRun = false;
};

} // namespace mimosahub
