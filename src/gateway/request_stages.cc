// The callbacks of orders under way end with their tickets, so that they never meet a
// destroyed object.

#include "gateway/request_stages.h"

#include "gateway/forwarded_request.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr int kLeastOfUsual = 2; ///< An answer rarely begins in less than this part of its usual time.

} // namespace

RequestStages::RequestStages(ForwardContext &context, const StagedRequest &request, std::optional<ZoneId> engineZone)
    : m_context(context),
      m_request(request),
      m_engineZone(std::move(engineZone)),
      m_graph(request.route.stages, request.call.pieces),
      m_news(context.io)
{
}

void RequestStages::begin()
{
    for (const auto stage : m_graph.takeReady()) {
        const auto &rule = m_request.route.stages[stage];
        m_tickets[stage] = m_context.stages.submit(rule.service, orderOf(stage), [this, stage](auto result) {
            if (result.outcome == PieceOutcome::Done) {
                complete(stage, std::move(result.handles));
                begin();
            } else {
                m_failure = Failure{stage, result.outcome};
            }
            m_news.cancel();
        });
    }
}

void RequestStages::complete(std::size_t stage, std::vector<ResultHandle> handles)
{
    const auto *service = m_request.view.configuration->findService(m_request.route.stages[stage].service);
    if (m_graph.isLast(stage) && service != nullptr && service->batch) {
        m_readableUntil = std::min(m_readableUntil, TimePoint(m_context.clock.now() + service->batch->resultLifetime));
    }
    m_graph.complete(stage, std::move(handles));
    for (const auto spent : m_graph.takeReleasable()) {
        m_tickets.erase(spent);
    }
}

bool RequestStages::readable() const
{
    return m_request.route.stages.empty() || (!m_dropped && m_context.clock.now() < m_readableUntil);
}

http::Awaitable<void> RequestStages::waitForNews(Duration longest)
{
    m_news.expires_after(longest);
    co_await m_news.async_wait(http::kTuple);
}

void RequestStages::wake()
{
    m_news.cancel();
}

PieceOrder RequestStages::orderOf(std::size_t stage) const
{
    const auto &rule = m_request.route.stages[stage];
    PieceOrder order;
    order.request = m_request.call.id;
    order.stage = stage;
    order.pieces = m_graph.piecesOf(stage);
    order.key = m_request.call.pieceKey;
    order.inputs = m_graph.inputsOf(stage);
    order.resultBytes = rule.resultBytes;
    for (const auto before : rule.after) {
        for (const auto &handle : m_graph.resultsOf(before)) {
            if (const auto zone = zoneOf(handle)) {
                order.localBytes[*zone] += m_request.route.stages[before].resultBytes;
            }
        }
    }
    if (m_graph.isLast(stage) && m_engineZone) {
        order.localBytes[*m_engineZone] += rule.resultBytes;
    }
    order.dueAt = m_request.arrival + m_request.route.target - restAfter(stage);
    order.expiresAt = m_request.uselessAt - leastAfter(stage);
    order.rank = m_request.rank;
    return order;
}

Duration RequestStages::restAfter(std::size_t stage) const
{
    auto rest = m_context.usual.of(m_request.route.id).value_or(Duration::zero());
    for (const auto next : m_graph.longestRemainingPath(stage)) {
        const auto load = m_context.stages.load(m_request.route.stages[next].service);
        rest += load.call + std::min<Duration>(load.wait, load.call);
    }
    return rest;
}

Duration RequestStages::leastAfter(std::size_t stage) const
{
    auto rest = m_context.usual.of(m_request.route.id).value_or(Duration::zero()) / kLeastOfUsual;
    for (const auto next : m_graph.longestRemainingPath(stage)) {
        const auto *service = m_request.view.configuration->findService(m_request.route.stages[next].service);
        if (service != nullptr && service->batch) {
            rest += service->batch->callTime;
        }
    }
    return rest;
}

std::optional<ZoneId> RequestStages::zoneOf(const ResultHandle &handle) const
{
    const auto maker = m_context.protocol.makerOf(handle);
    if (maker) {
        for (const auto &endpoint : m_request.view.endpoints) {
            if (endpoint.info.address == *maker) {
                return endpoint.info.zone;
            }
        }
    }
    return std::nullopt;
}

std::map<ZoneId, std::uint64_t> RequestStages::finalInputBytes() const
{
    std::map<ZoneId, std::uint64_t> bytes;
    for (std::size_t stage = 0; stage < m_request.route.stages.size(); ++stage) {
        if (!m_graph.isLast(stage)) {
            continue;
        }
        for (const auto &handle : m_graph.resultsOf(stage)) {
            if (const auto zone = zoneOf(handle)) {
                bytes[*zone] += m_request.route.stages[stage].resultBytes;
            }
        }
    }
    return bytes;
}

std::string RequestStages::describeFailure() const
{
    const auto &service = m_request.route.stages[m_failure->stage].service;
    const auto load = m_context.stages.load(service);
    return absl::StrCat("stage ", m_failure->stage, " can't be done in time (",
                        std::string(pieceOutcomeName(m_failure->outcome)), "): ", service.str(), " has ", load.queued,
                        " pieces waiting for ", load.endpoints, " endpoints");
}

Duration RequestStages::longestWait() const
{
    Duration longest{};
    for (const auto &stage : m_request.route.stages) {
        longest = std::max<Duration>(longest, m_context.stages.load(stage.service).wait);
    }
    return longest;
}

Duration RequestStages::longestRest() const
{
    Duration longest{};
    for (const auto &stage : m_request.route.stages) {
        longest = std::max<Duration>(longest, m_context.stages.load(stage.service).rest);
    }
    return longest;
}

} // namespace mimosahub
