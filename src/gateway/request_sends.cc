// Silence alone ends nothing: an endpoint that sends nothing for longer than usual is
// given up only once another one, a connection to it and a token of the retry budget
// stand ready. Within a stream that has begun a second token is held for a return to it,
// should the other endpoint fail, but for an endpoint that is silent twice in a row,
// which is probably dead. Until then the request stays with it. The connection is closed
// before the request is sent again, so that two endpoints never work on it at once.

#include "gateway/request_sends.h"

#include "gateway/forwarded_request.h"

#include <utility>

namespace mimosahub
{

namespace
{

constexpr Duration kRetryAfter = std::chrono::milliseconds(300);
constexpr int kSilencesOfDead = 2; ///< In a row, after which an endpoint is left without a fallback.

} // namespace

RequestSends::RequestSends(ForwardContext &context, ServiceId service, RouteId route, const SendLimits &limits,
                           Situation situation)
    : m_context(context),
      m_service(std::move(service)),
      m_route(std::move(route)),
      m_repeatable(limits.repeatable),
      m_policy(limits),
      m_situation(std::move(situation))
{
}

RetryBudget &RequestSends::retryBudget()
{
    return m_context.secondSends.try_emplace(m_service, m_context.secondSendOptions).first->second;
}

EndpointQuery RequestSends::queryOf(const SendSituation &situation) const
{
    auto query = situation.query;
    query.retryable = m_policy.allowsAnotherSend();
    query.exclude = m_tried;
    return query;
}

RetryObstacle RequestSends::obstacleToRetry(const SendSituation &situation)
{
    if (situation.left < kMinSendTime) {
        return RetryObstacle::NoTime;
    }
    if (situation.streamBegun && !situation.resumable) {
        return RetryObstacle::NotRepeatable; // It would begin again.
    }
    if (situation.suspected) {
        return RetryObstacle::Suspected;
    }
    return retryBudget().available(m_context.clock.now()) ? RetryObstacle::None : RetryObstacle::NoBudget;
}

RequestSends::Choice RequestSends::choose(EndpointQuery query)
{
    const auto now = m_context.clock.now();
    query.version = m_context.rollouts.drawVersion(m_service, m_route);
    auto choice = m_context.selector.choose(query, now, m_context.random);
    if (std::holds_alternative<NoEndpointChosen>(choice) && query.version
        && m_context.rollouts.mayUseOther(m_service, *query.version)) {
        query.version->wanted = !query.version->wanted;
        choice = m_context.selector.choose(query, now, m_context.random);
    }
    if (const auto *none = std::get_if<NoEndpointChosen>(&choice)) {
        return *none;
    }
    return std::make_unique<EndpointSend>(m_context, std::get<ListedEndpoint>(choice), std::move(query), now);
}

// A repeat draws on the shared budget only if it is made.
RequestSends::Choice RequestSends::next(bool repeat)
{
    if (!repeat) {
        retryBudget().deposit();
    }
    if (m_successor) {
        return std::move(m_successor);
    }
    auto choice = choose(queryOf(m_situation()));
    if (std::holds_alternative<NoEndpointChosen>(choice)) {
        m_obstacle = RetryObstacle::NoEndpoint;
    } else if (repeat && !retryBudget().tryTake(m_context.clock.now())) {
        m_obstacle = RetryObstacle::NoBudget;
        choice = NoEndpointChosen{Reason::Overloaded, kRetryAfter};
    } else {
        return choice;
    }
    if (auto last = fallback()) {
        return last;
    }
    return choice;
}

NextStep RequestSends::after(SendResult result, SendLoss loss)
{
    // Without memory here a second answer could not be passed on either, and would be made for nothing.
    if (loss == SendLoss::CallerGone || loss == SendLoss::NoMemory) {
        m_obstacle = RetryObstacle::None;
        return m_policy.after(result, /*mayRetry=*/false);
    }
    if (m_successor) {
        return m_policy.after(result, /*mayRetry=*/true);
    }
    const bool failed = result != SendResult::Answered;
    const auto situation = m_situation();
    m_obstacle = failed ? obstacleToRetry(situation) : RetryObstacle::None;
    const auto next = m_policy.after(result, m_obstacle == RetryObstacle::None);
    if (next == NextStep::SendAgain || next == NextStep::PrepareAgain) {
        return next;
    }
    if (next == NextStep::GiveUp || (failed && situation.streamBegun)) {
        m_successor = fallback();
    }
    if (m_successor) {
        return NextStep::SendAgain;
    }
    if (failed && m_obstacle == RetryObstacle::None) {
        m_obstacle = m_repeatable ? RetryObstacle::AttemptsUsed : RetryObstacle::NotRepeatable;
    }
    return next;
}

std::unique_ptr<EndpointSend> RequestSends::fallback()
{
    const auto situation = m_situation();
    const auto obstacle = obstacleToRetry(situation);
    const bool paid = m_fallbackRetry && obstacle == RetryObstacle::NoBudget;
    if (!m_silent || (obstacle != RetryObstacle::None && !paid)) {
        return nullptr;
    }
    auto query = queryOf(situation);
    query.exclude.clear();
    query.only = std::exchange(m_silent, std::nullopt);
    auto choice = choose(query);
    if (std::holds_alternative<NoEndpointChosen>(choice)) {
        return nullptr;
    }
    if (m_fallbackRetry) {
        m_fallbackRetry->spend();
        m_fallbackRetry.reset();
    } else {
        static_cast<void>(retryBudget().tryTake(m_context.clock.now()));
    }
    return std::move(std::get<std::unique_ptr<EndpointSend>>(choice));
}

http::Awaitable<RetryObstacle> RequestSends::findSuccessor()
{
    const auto situation = m_situation();
    if (!situation.inputsReadable) {
        co_return RetryObstacle::InputsGone;
    }
    if (const auto obstacle = obstacleToRetry(situation); obstacle != RetryObstacle::None) {
        co_return obstacle;
    }
    auto policy = m_policy;
    static_cast<void>(policy.after(SendResult::Lost, /*mayRetry=*/true));
    auto query = queryOf(situation);
    query.retryable = policy.allowsAnotherSend();
    query.allowPaused = false;
    auto choice = choose(query);
    if (std::holds_alternative<NoEndpointChosen>(choice)) {
        co_return RetryObstacle::NoEndpoint;
    }
    auto successor = std::move(std::get<std::unique_ptr<EndpointSend>>(choice));
    if (!(co_await successor->connect(/*proven=*/false)).ok()) {
        m_tried.push_back(successor->endpoint().info.id);
        co_return RetryObstacle::Unreachable;
    }
    m_successor = std::move(successor);
    co_return RetryObstacle::None;
}

RetryObstacle RequestSends::takeTokensToLeave(EndpointSend &send, int silences)
{
    if (!send.connection().idleAndOpen()) {
        return RetryObstacle::NotNeeded;
    }
    // A caller to whom nothing was passed on can still be refused.
    const bool needsFallback = m_situation().streamBegun && silences < kSilencesOfDead;
    if (needsFallback && !m_context.selector.isUsable(send.endpoint().info.id)) {
        return RetryObstacle::NoFallback;
    }
    const auto now = m_context.clock.now();
    auto leaving = ReservedRetry::tryTake(retryBudget(), now);
    auto fallback = ReservedRetry::tryTake(retryBudget(), now);
    if (!leaving || (needsFallback && !fallback)) {
        return RetryObstacle::NoBudget;
    }
    leaving->spend();
    m_fallbackRetry = std::move(fallback);
    return RetryObstacle::None;
}

http::Awaitable<bool> RequestSends::replaceSilent(EndpointSend &send, int silences)
{
    if (m_situation().left < kMinSendTime) {
        m_obstacle = RetryObstacle::NoTime;
        m_context.metrics.recordSilence(m_obstacle);
        send.connection().close();
        co_return true;
    }
    m_obstacle = co_await findSuccessor();
    if (m_successor) {
        m_obstacle = takeTokensToLeave(send, silences);
    }
    m_context.metrics.recordSilence(m_obstacle);
    if (m_obstacle != RetryObstacle::None) {
        if (m_successor) {
            m_successor->releaseConnection();
            m_successor.reset();
        }
        send.recordSilence();
        co_return false;
    }
    m_silent = send.endpoint().info.id;
    send.connection().close();
    co_return true;
}

} // namespace mimosahub
