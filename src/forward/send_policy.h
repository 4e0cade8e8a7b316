#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/outcome.h"

#include <optional>

/// Retry policy of forwarded requests.
namespace mimosahub
{

/// How one send of a request to an endpoint ended.
enum class SendResult {
    Answered, ///< The response is complete and is not a failure of the endpoint.
    ServerError, ///< The endpoint reported a failure or responded with a server error.
    Unreachable, ///< No byte of the request was sent.
    OtherEndpoint, ///< Another endpoint has the address; the request did not run.
    Refused, ///< The endpoint did not run the request.
    InputsGone, ///< The endpoint did not run the request: a result that it was to fetch is gone.
    /// The response has a status that promises callers that the request did not run, but does
    /// not say so itself: the request may have run, and the status must not reach the caller.
    UnprovenRefusal,
    Lost, ///< The response was cut off, was invalid or never arrived: the request may have run.
};

/// Limits on the sends of a request.
struct SendLimits {
    bool repeatable = false; ///< It may be sent again after it may have run.
    int maxSends = 1; ///< Maximum number of endpoints to which it may be sent.
};

/// The next step for a request after a send.
enum class NextStep {
    PassOn, ///< Pass the endpoint's response on to the caller.
    SendAgain, ///< Send the request to another endpoint.
    PrepareAgain, ///< Compute the results of the stages again, then send.
    GiveUp, ///< Respond with a refusal.
};

/// Decides after each send of a request what to do next, and tracks whether the
/// request may have run, so that no refusal claims that it did not.
class SendPolicy
{
public:
    explicit SendPolicy(const SendLimits &limits) : m_limits(limits)
    {
    }

    /// Records that a send ended with \a result, and returns the next step. \a mayRetry:
    /// time is left and the shared retry budget allows another send.
    [[nodiscard]] NextStep after(SendResult result, bool mayRetry);
    /// Whether the request may have run at any endpoint.
    [[nodiscard]] bool mayHaveRun() const
    {
        return m_mayHaveRun;
    }
    /// The outcome that a refusal may report.
    [[nodiscard]] Outcome outcome() const
    {
        return m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    }
    /// Number of endpoints that received the request.
    [[nodiscard]] int sends() const
    {
        return m_sends;
    }
    /// Whether the request could be sent once more if the current send fails.
    [[nodiscard]] bool allowsAnotherSend() const
    {
        return m_limits.repeatable && m_sends + 1 < m_limits.maxSends;
    }

private:
    SendLimits m_limits;
    int m_sends = 0;
    int m_misses = 0; ///< Sends that did not reach the intended endpoint.
    int m_preparations = 0;
    bool m_mayHaveRun = false;
};

} // namespace mimosahub
