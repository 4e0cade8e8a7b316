#pragma once

#include "forward/retry_obstacle.h"
#include "forward/send_policy.h"
#include "gateway/endpoint_send.h"
#include "request/retry_budget.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace mimosahub
{

/// What the next send of a request depends on, as it is at the moment.
struct SendSituation {
    EndpointQuery query; ///< But for what earlier sends exclude.
    Duration left{}; ///< Until the request is given up.
    bool streamBegun = false; ///< The caller has got a part of a stream.
    bool resumable = true; ///< A stream that has begun can go on after its last event.
    bool inputsReadable = true; ///< Endpoints can still read the results of its stages.
    bool suspected = false; ///< It may crash whatever endpoint it is sent to.
};

/// The sends of one request: chooses their endpoints, decides what comes after each, and
/// draws on the retry budget of the service. Traffic thread only.
class RequestSends
{
public:
    using Situation = std::function<SendSituation()>;
    using Choice = std::variant<std::unique_ptr<EndpointSend>, NoEndpointChosen>;

    /// Less time than this is not worth a send.
    static constexpr Duration kMinSendTime = std::chrono::milliseconds(5);

    /// \a context must outlive the sends. \a situation is asked before each decision.
    RequestSends(ForwardContext &context, ServiceId service, RouteId route, const SendLimits &limits,
                 Situation situation);

    /// The next send. \a repeat: the request was sent before, so that the send takes a token
    /// of the retry budget.
    [[nodiscard]] Choice next(bool repeat);
    /// What comes after a send that ended with \a result and lost its answer by \a loss.
    [[nodiscard]] NextStep after(SendResult result, SendLoss loss);
    /// The endpoint of \a send was silent for longer than usual, for the \a silences-th time in a
    /// row. True if it is given up: another send stands ready, or no time is left.
    http::Awaitable<bool> replaceSilent(EndpointSend &send, int silences);
    /// Records that the request goes to \a endpoint.
    void recordTried(const EndpointId &endpoint)
    {
        m_tried.push_back(endpoint);
    }
    /// Records that an endpoint's answer has begun: no way back to a silent one is needed.
    void recordAnswerBegun()
    {
        m_fallbackRetry.reset();
    }
    /// What the next endpoint is chosen by.
    [[nodiscard]] EndpointQuery query() const
    {
        return queryOf(m_situation());
    }
    [[nodiscard]] const SendPolicy &policy() const
    {
        return m_policy;
    }
    /// What stood against the last send that was wanted.
    [[nodiscard]] RetryObstacle obstacle() const
    {
        return m_obstacle;
    }

private:
    [[nodiscard]] RetryBudget &retryBudget();
    [[nodiscard]] EndpointQuery queryOf(const SendSituation &situation) const;
    [[nodiscard]] RetryObstacle obstacleToRetry(const SendSituation &situation);
    /// The endpoint that \a query and a rollout of its service select, with a send that is
    /// counted there.
    [[nodiscard]] Choice choose(EndpointQuery query);
    /// A send to the endpoint that was given up for its silence, which makes it no further
    /// endpoint of the request; null if it can't be asked. Once only. Draws on m_fallbackRetry.
    [[nodiscard]] std::unique_ptr<EndpointSend> fallback();
    /// Sets m_successor to a send to another endpoint, connected, if nothing stands in the way.
    http::Awaitable<RetryObstacle> findSuccessor();
    /// Takes the tokens with which the silent endpoint of \a send may be left for m_successor;
    /// none if something stands in the way.
    [[nodiscard]] RetryObstacle takeTokensToLeave(EndpointSend &send, int silences);

    ForwardContext &m_context;
    ServiceId m_service;
    RouteId m_route;
    bool m_repeatable;
    SendPolicy m_policy;
    Situation m_situation;
    std::vector<EndpointId> m_tried;
    std::unique_ptr<EndpointSend> m_successor; ///< The next send, if it is secured already.
    std::optional<EndpointId> m_silent; ///< The endpoint that was given up for its silence.
    std::unique_ptr<ReservedRetry> m_fallbackRetry; ///< For m_silent, until another endpoint's answer begins.
    RetryObstacle m_obstacle = RetryObstacle::None;
};

} // namespace mimosahub
