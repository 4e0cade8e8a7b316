#pragma once

#include "forward/gateway_configuration.h"
#include "forward/stage_graph.h"
#include "gateway/call_protocol.h"
#include "gateway/gateway_view.h"
#include "gateway/stage_work.h"
#include "http/awaitable.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosahub
{

struct ForwardContext;

/// What the stages of a request must know of it. Outlived by what it refers to.
struct StagedRequest {
    const RouteRule &route;
    const CallerCall &call;
    const GatewayView &view;
    TimePoint arrival;
    TimePoint uselessAt; ///< The caller no longer waits for an answer that hasn't begun.
    int rank = 0; ///< 0 is the most urgent.
};

/// The stages of one request: orders their pieces and keeps the results until the
/// request's endpoint has read them. Destroying it gives up what is under way and drops
/// the results. Traffic thread only.
class RequestStages
{
public:
    /// \a engineZone: where the request will probably run, if known.
    RequestStages(ForwardContext &context, const StagedRequest &request, std::optional<ZoneId> engineZone);
    RequestStages(const RequestStages &) = delete;
    RequestStages &operator=(const RequestStages &) = delete;

    /// Orders the pieces of all stages that are ready; the others follow by themselves.
    void begin();
    /// All results are there, or some won't come.
    [[nodiscard]] bool ended() const
    {
        return m_graph.done() || failed();
    }
    /// Some results won't come.
    [[nodiscard]] bool failed() const
    {
        return m_failure.has_value();
    }
    /// Waits until a stage ends, wake() is called or \a longest is over.
    http::Awaitable<void> waitForNews(Duration longest);
    void wake();
    /// Drops all results and what is under way.
    void drop()
    {
        m_tickets.clear();
        m_dropped = true;
    }
    /// Whether an endpoint can still read the results: they are neither dropped nor too old.
    [[nodiscard]] bool readable() const;

    /// The results that the request's endpoint is to read.
    [[nodiscard]] std::vector<ResultHandle> finalInputs() const
    {
        return m_graph.finalInputs();
    }
    /// Their approximate size, by the zone in which they lie.
    [[nodiscard]] std::map<ZoneId, std::uint64_t> finalInputBytes() const;
    /// Why the stages failed, for people. Requires failed().
    [[nodiscard]] std::string describeFailure() const;
    /// The estimated time for which a new piece waits, of the busiest service.
    [[nodiscard]] Duration longestWait() const;
    /// The longest time until a stage's endpoints may be called, which have all asked for a rest.
    [[nodiscard]] Duration longestRest() const;

private:
    /// A stage whose results won't come.
    struct Failure {
        std::size_t stage = 0;
        PieceOutcome outcome = PieceOutcome::Failed;
    };

    /// Records that all results of \a stage were made.
    void complete(std::size_t stage, std::vector<ResultHandle> handles);
    [[nodiscard]] PieceOrder orderOf(std::size_t stage) const;
    /// The usual time from the end of \a stage to the answer.
    [[nodiscard]] Duration restAfter(std::size_t stage) const;
    /// The least time from the end of \a stage to the answer.
    [[nodiscard]] Duration leastAfter(std::size_t stage) const;
    [[nodiscard]] std::optional<ZoneId> zoneOf(const ResultHandle &handle) const;

    ForwardContext &m_context;
    StagedRequest m_request;
    std::optional<ZoneId> m_engineZone;
    StageGraph m_graph;
    std::optional<Failure> m_failure;
    TimePoint m_readableUntil = TimePoint::max(); ///< The first of the final results is too old from then on.
    bool m_dropped = false;
    boost::asio::steady_timer m_news;
    std::map<std::size_t, std::unique_ptr<StageTicket>> m_tickets; ///< By stage.
};

} // namespace mimosahub
