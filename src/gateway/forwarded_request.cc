// One coroutine walks through the request: resolve, prepare the stages' results,
// send, and after each send ask SendPolicy what comes next. What is under way is
// held by objects whose destruction gives it up, so that a caller that leaves
// needs no further code.
//
// A streamed answer is passed on in whole events. Its header goes out with the
// first event: until then another endpoint may still answer.

#include "gateway/forwarded_request.h"

#include "base/log.h"
#include "gateway/endpoint_log.h"
#include "mimosahub/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr Duration kRetryAfter = std::chrono::milliseconds(300);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(2);
constexpr double kRetrySpread = 0.5; ///< Part of the time to come back by which callers are spread.
constexpr int kRanksOfRoutes = 16; ///< A workspace's priority goes before the route's.
constexpr Duration kElsewhere = std::chrono::milliseconds(20); ///< Until a request may come back to another daemon.
constexpr Duration kMinSendTime = std::chrono::milliseconds(5); ///< Less is not worth a send.
constexpr Duration kLeastPatience = std::chrono::milliseconds(250); ///< With an endpoint's first byte.
constexpr Duration kLeastStreamPatience = std::chrono::milliseconds(1500);
constexpr int kPatienceFactor = 5; ///< Of the usual time to the first byte.
constexpr Duration kStall = std::chrono::milliseconds(1500); ///< Longest pause within a stream that may be resumed.
constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t(8) << 20U;
constexpr int kMaxForeignAnswers = 2; ///< Late answers to earlier calls that are passed over.
constexpr int kLeastOfUsual = 2; ///< An answer rarely begins in less than this part of its usual time.
constexpr int kFirstErrorStatus = 500;

} // namespace

/// Counts a send at its endpoint until it ends.
struct ForwardedRequest::Send {
    Send(ForwardContext &context, ListedEndpoint endpoint, EndpointQuery query)
        : m_context(context), m_endpoint(std::move(endpoint)), m_query(std::move(query))
    {
    }
    ~Send()
    {
        if (!m_ended) {
            end(SendEnd::Dropped, std::nullopt);
        }
    }
    Send(const Send &) = delete;
    Send &operator=(const Send &) = delete;

    void end(SendEnd how, std::optional<double> latencyRatio)
    {
        m_ended = true;
        m_context.selector.end(m_endpoint.info.id, m_query, how, latencyRatio, m_context.clock.now());
        logEndpointHealthChanges(m_context.selector.takeHealthChanges());
    }
    [[nodiscard]] const ListedEndpoint &endpoint() const
    {
        return m_endpoint;
    }

private:
    ForwardContext &m_context;
    ListedEndpoint m_endpoint;
    EndpointQuery m_query;
    bool m_ended = false;
};

ForwardedRequest::ForwardedRequest(ForwardContext &context, http::Exchange &exchange)
    : m_context(context),
      m_exchange(exchange),
      m_view(context.views.load()),
      m_arrival(context.clock.now()),
      m_giveUpAt(m_arrival),
      m_uselessAt(m_arrival),
      m_stageNews(context.io)
{
    m_context.stop.open.insert(this);
}

ForwardedRequest::~ForwardedRequest()
{
    m_context.stop.open.erase(this);
    if (!m_logged) {
        logEnd("caller-left", "");
    }
}

void ForwardedRequest::cutShort()
{
    m_giveUpAt = m_context.clock.now();
    m_stageNews.cancel();
    if (m_connection != nullptr) {
        m_connection->close();
    }
}

http::Awaitable<void> ForwardedRequest::run()
{
    if (auto refusal = resolve()) {
        co_await refuse(std::move(*refusal));
        co_return;
    }
    if (auto refusal = co_await prepare()) {
        co_await refuse(std::move(*refusal));
        co_return;
    }
    co_await forward();
}

std::optional<Refusal> ForwardedRequest::resolve()
{
    auto call = m_context.protocol.readCall(m_exchange.request());
    if (call.ok()) {
        m_call = std::move(*call);
    }
    if (!m_view->configuration) {
        return makeRefusal(Reason::NotFresh, "this daemon has not read the configuration yet", Step::Admit,
                           kRetryAfter);
    }
    if (m_context.stop.refusing) {
        return makeRefusal(Reason::Draining, "this daemon stops", Step::Drain, kElsewhere);
    }
    if (!call.ok()) {
        return makeRefusal(Reason::BadRequest, std::string(call.status().message()), Step::Parse);
    }
    const auto &configuration = *m_view->configuration;
    m_route = configuration.findRoute(m_call.host, m_call.path);
    if (m_route == nullptr) {
        return makeRefusal(Reason::UnknownRoute, "no route of this host begins the path", Step::Admit);
    }
    if (configuration.needsKeys() && !m_route->open) {
        m_workspace = m_call.apiKey ? configuration.findWorkspace(*m_call.apiKey) : nullptr;
        if (m_workspace == nullptr) {
            return makeRefusal(Reason::UnknownKey, "no workspace holds the API key", Step::Admit);
        }
    }
    const int first = m_workspace != nullptr && m_workspace->priority ? *m_workspace->priority : m_route->priority;
    m_rank = first * kRanksOfRoutes + std::min(m_route->priority, kRanksOfRoutes - 1);
    if (m_route->sticky) {
        m_affinity = m_context.affinities[m_route->id].take(m_call.prompt);
    }
    auto limit = m_call.deadline.value_or(m_route->timeout);
    if (m_route->timeout > Duration::zero()) {
        limit = std::min(limit, m_route->timeout);
    }
    m_giveUpAt = m_arrival + limit;
    m_uselessAt = m_giveUpAt;
    if (m_route->maxStartWait > Duration::zero()) {
        m_uselessAt = std::min(m_giveUpAt, TimePoint(m_arrival + m_route->maxStartWait));
    }
    m_policy = SendPolicy({m_route->repeatable(), m_route->maxAttempts});
    double total = 0.0;
    for (const auto &share : m_route->services) {
        total += share.weight;
    }
    double drawn = m_context.random.uniform() * total;
    for (const auto &share : m_route->services) {
        m_service = share.service;
        drawn -= share.weight;
        if (drawn < 0.0) {
            break;
        }
    }
    return std::nullopt;
}

Duration ForwardedRequest::left() const
{
    return std::max(Duration::zero(), Duration(m_giveUpAt - m_context.clock.now()));
}

http::Awaitable<std::optional<Refusal>> ForwardedRequest::prepare()
{
    m_tickets.clear();
    m_stageFailure.reset();
    if (const auto engine = m_context.selector.preferred(query(), m_context.clock.now())) {
        m_engineZone = engine->zone;
    }
    m_graph.emplace(m_route->stages, m_call.pieces);
    beginStages();
    while (!m_graph->done() && !m_stageFailure) {
        if (left() < kMinSendTime) {
            const auto reason = m_context.stop.refusing ? Reason::Draining : Reason::DeadlinePassed;
            auto refusal = makeRefusal(reason, "the stages took too long", Step::Choose, kElsewhere);
            refusal.outcome = m_policy.outcome();
            co_return refusal;
        }
        m_stageNews.expires_after(left());
        co_await m_stageNews.async_wait(http::kTuple);
    }
    m_stageTime = m_context.clock.now() - m_arrival;
    if (m_stageFailure) {
        m_tickets.clear();
        auto refusal = makeRefusal(Reason::Overloaded, describe(*m_stageFailure), Step::Choose, comeBackAfter());
        refusal.outcome = m_policy.outcome();
        co_return refusal;
    }
    co_return std::nullopt;
}

std::string ForwardedRequest::describe(const StageFailure &failure)
{
    const auto &service = m_route->stages[failure.stage].service;
    const auto load = m_context.stages.load(service);
    return absl::StrCat("stage ", failure.stage, " can't be done in time (",
                        std::string(pieceOutcomeName(failure.outcome)), "): ", service.str(), " has ", load.queued,
                        " pieces waiting for ", load.endpoints, " endpoints");
}

// Callers who were refused together are spread over the time in which what waits
// will be done.
Duration ForwardedRequest::comeBackAfter()
{
    Duration longest = kRetryAfter;
    for (const auto &stage : m_route->stages) {
        const auto wait = m_context.stages.load(stage.service).wait;
        longest = std::max(longest, std::min<Duration>(wait, kLongestRetryAfter));
    }
    return m_context.random.jitter(longest, kRetrySpread);
}

void ForwardedRequest::beginStages()
{
    for (const auto stage : m_graph->takeReady()) {
        const auto &rule = m_route->stages[stage];
        m_tickets[stage] = m_context.stages.submit(rule.service, orderOf(stage), [this, stage](auto result) {
            if (result.outcome == PieceOutcome::Done) {
                m_graph->complete(stage, std::move(result.handles));
                for (const auto spent : m_graph->takeReleasable()) {
                    m_tickets.erase(spent);
                }
                beginStages();
            } else {
                m_stageFailure = StageFailure{stage, result.outcome};
            }
            m_stageNews.cancel();
        });
    }
}

PieceOrder ForwardedRequest::orderOf(std::size_t stage) const
{
    const auto &rule = m_route->stages[stage];
    PieceOrder order;
    order.request = m_call.id;
    order.stage = stage;
    order.pieces = m_graph->piecesOf(stage);
    order.key = m_call.pieceKey;
    order.inputs = m_graph->inputsOf(stage);
    order.resultBytes = rule.resultBytes;
    for (const auto before : rule.after) {
        for (const auto &handle : m_graph->resultsOf(before)) {
            if (const auto zone = zoneOf(handle)) {
                order.localBytes[*zone] += m_route->stages[before].resultBytes;
            }
        }
    }
    if (m_graph->isLast(stage) && m_engineZone) {
        order.localBytes[*m_engineZone] += rule.resultBytes;
    }
    order.dueAt = m_arrival + m_route->target - restAfter(stage);
    order.expiresAt = m_uselessAt - leastAfter(stage);
    order.rank = m_rank;
    return order;
}

Duration ForwardedRequest::restAfter(std::size_t stage) const
{
    auto rest = m_context.usual.of(m_route->id).value_or(Duration::zero());
    for (const auto next : m_graph->longestRemainingPath(stage)) {
        const auto load = m_context.stages.load(m_route->stages[next].service);
        rest += load.call + std::min<Duration>(load.wait, load.call);
    }
    return rest;
}

Duration ForwardedRequest::leastAfter(std::size_t stage) const
{
    auto rest = m_context.usual.of(m_route->id).value_or(Duration::zero()) / kLeastOfUsual;
    for (const auto next : m_graph->longestRemainingPath(stage)) {
        const auto *service = m_view->configuration->findService(m_route->stages[next].service);
        if (service != nullptr && service->batch) {
            rest += service->batch->callTime;
        }
    }
    return rest;
}

std::optional<ZoneId> ForwardedRequest::zoneOf(const ResultHandle &handle) const
{
    const auto maker = m_context.protocol.makerOf(handle);
    if (maker) {
        for (const auto &endpoint : m_view->endpoints) {
            if (endpoint.info.address == *maker) {
                return endpoint.info.zone;
            }
        }
    }
    return std::nullopt;
}

EndpointQuery ForwardedRequest::query() const
{
    EndpointQuery query;
    query.service = m_service;
    query.zone = m_context.zone;
    query.affinity = m_affinity;
    if (m_graph) {
        for (std::size_t stage = 0; stage < m_route->stages.size(); ++stage) {
            if (!m_graph->isLast(stage)) {
                continue;
            }
            for (const auto &handle : m_graph->resultsOf(stage)) {
                if (const auto zone = zoneOf(handle)) {
                    query.inputBytes[*zone] += m_route->stages[stage].resultBytes;
                }
            }
        }
    }
    query.tokens = static_cast<double>(m_call.promptTokens);
    query.retryable = m_policy.allowsAnotherSend();
    query.exclude = m_tried;
    return query;
}

ForwardOptions ForwardedRequest::options(const EndpointId &endpoint) const
{
    ForwardOptions options;
    options.endpoint = endpoint;
    options.deadline = left();
    if (m_workspace != nullptr) {
        options.workspace = m_workspace->id;
    }
    options.lastEventId = m_events.lastId().empty() ? m_call.lastEventId : std::optional(m_events.lastId());
    options.inputs = m_graph->finalInputs();
    return options;
}

bool ForwardedRequest::mayRetry()
{
    if (left() < kMinSendTime) {
        return false;
    }
    auto &budget = m_context.secondSends.try_emplace(m_service, m_context.secondSendOptions).first->second;
    return budget.tryTake(m_context.clock.now());
}

std::variant<ListedEndpoint, NoEndpointChosen> ForwardedRequest::chooseEndpoint(EndpointQuery &query)
{
    const auto now = m_context.clock.now();
    query.version = m_context.rollouts.drawVersion(m_service);
    auto choice = m_context.selector.choose(query, now, m_context.random);
    if (std::holds_alternative<NoEndpointChosen>(choice) && query.version
        && m_context.rollouts.mayUseOther(m_service, *query.version)) {
        query.version->wanted = !query.version->wanted;
        choice = m_context.selector.choose(query, now, m_context.random);
    }
    return choice;
}

std::optional<AnswerTimes> ForwardedRequest::answerTimes() const
{
    if (!m_firstByte) {
        return std::nullopt;
    }
    AnswerTimes times{*m_firstByte, std::nullopt};
    if (m_events.events() > 1) {
        const auto stream = m_context.clock.now() - m_sentAt - *m_firstByte;
        times.gap = stream / static_cast<Duration::rep>(m_events.events() - 1);
    }
    return times;
}

http::Awaitable<void> ForwardedRequest::forward()
{
    m_context.secondSends.try_emplace(m_service, m_context.secondSendOptions).first->second.deposit();
    while (true) {
        auto asked = query();
        const auto choice = chooseEndpoint(asked);
        if (const auto *none = std::get_if<NoEndpointChosen>(&choice)) {
            auto refusal =
                makeRefusal(none->reason, "no endpoint may take the request", Step::Choose, none->retryAfter);
            refusal.outcome = m_policy.outcome();
            co_await refuse(std::move(refusal));
            co_return;
        }
        const auto &endpoint = std::get<ListedEndpoint>(choice);
        m_endpoint = endpoint.info.id;
        m_tried.push_back(m_endpoint);
        CountedSend counted(m_context.rollouts, endpoint.info, m_route->id,
                            m_context.selector.isCold(m_endpoint, m_context.clock.now()));
        m_firstByte.reset();
        auto report = co_await sendOnce(endpoint, asked);
        counted.end(report.result, answerTimes());
        const bool final = report.result == SendResult::Answered;
        switch (m_policy.after(report.result, !final && mayRetry())) {
        case NextStep::PassOn:
            if (m_streamBegun && report.result != SendResult::Answered) {
                co_await refuse(refusalAfter(report));
            } else if (report.answer) {
                co_await m_exchange.answer(std::move(*report.answer));
                logEnd("answered", report.why);
            } else {
                logEnd("streamed", report.why);
            }
            co_return;
        case NextStep::PrepareAgain:
            if (auto refusal = co_await prepare()) {
                co_await refuse(std::move(*refusal));
                co_return;
            }
            break;
        case NextStep::SendAgain:
            logEvent(LogLevel::Info, "send-again")
                .with("request", m_call.id)
                .with("endpoint", m_endpoint)
                .with("why", std::string_view(report.why));
            break;
        case NextStep::GiveUp:
            co_await refuse(refusalAfter(report));
            co_return;
        }
    }
}

Refusal ForwardedRequest::refusalAfter(const SendReport &report) const
{
    Refusal refusal;
    refusal.outcome = m_policy.outcome();
    refusal.detail = report.why;
    refusal.peer = m_endpoint.str();
    refusal.step = std::string(stepName(Step::Receive));
    if (refusal.outcome == Outcome::NotRun) {
        refusal.reason = m_context.stop.refusing ? Reason::Draining : Reason::Overloaded;
        refusal.retryAfter = kRetryAfter;
    } else {
        refusal.reason = left() < kMinSendTime ? Reason::DeadlinePassed : Reason::EndpointLost;
    }
    return refusal;
}

Duration ForwardedRequest::firstPatience() const
{
    const auto usual = m_context.usual.of(m_route->id);
    if (!m_policy.allowsAnotherSend() || !usual) {
        return left();
    }
    const auto least = m_route->streaming ? kLeastStreamPatience : kLeastPatience;
    return std::min(left(), std::max<Duration>(least, *usual * kPatienceFactor));
}

http::Awaitable<ForwardedRequest::SendReport> ForwardedRequest::sendOnce(const ListedEndpoint &endpoint,
                                                                         const EndpointQuery &query)
{
    Send send(m_context, endpoint, query);
    SendReport report;
    // A request that may run once only needs a connection that surely works.
    auto connection = co_await m_context.pool.acquire(endpoint.info.address, !m_route->repeatable());
    if (!connection.ok()) {
        report.result = SendResult::Unreachable;
        report.why = std::string(connection.status().message());
        send.end(SendEnd::Unreachable, std::nullopt);
        co_return report;
    }
    if (left() < kMinSendTime) {
        report.result = SendResult::Unreachable;
        report.why = "no time was left after connecting";
        co_return report;
    }
    m_sentAt = m_context.clock.now();
    m_firstByte.reset();
    auto request = m_context.protocol.writeCall(m_exchange.request(), options(endpoint.info.id));
    m_connection = connection->get();
    report = co_await exchangeWith(**connection, std::move(request), firstPatience());
    m_connection = nullptr;
    if (report.head.load) {
        m_context.selector.recordLoad(endpoint.info.id, report.head.load->running, report.head.load->queued,
                                      m_context.clock.now());
    }
    std::optional<double> latencyRatio;
    if (const auto usual = m_context.usual.of(m_route->id); usual && m_firstByte) {
        latencyRatio =
            static_cast<double>(m_firstByte->count()) / static_cast<double>(std::max<Duration::rep>(1, usual->count()));
    }
    if (m_firstByte && report.result == SendResult::Answered) {
        m_context.usual.record(m_route->id, *m_firstByte);
    }
    switch (report.result) {
    case SendResult::Answered:
        send.end(SendEnd::Answered, latencyRatio);
        break;
    case SendResult::ServerError:
        send.end(SendEnd::ServerError, std::nullopt);
        break;
    case SendResult::Lost:
        send.end(SendEnd::Lost, std::nullopt);
        break;
    case SendResult::Unreachable:
        send.end(SendEnd::Unreachable, std::nullopt);
        break;
    default:
        send.end(SendEnd::Refused, std::nullopt);
        break;
    }
    if ((*connection)->reusable()) {
        m_context.pool.release(std::move(*connection));
    }
    co_return report;
}

http::Awaitable<ForwardedRequest::SendReport> ForwardedRequest::exchangeWith(http::ClientConnection &connection,
                                                                             http::Request request, Duration patience)
{
    SendReport report;
    const auto sent = co_await connection.send(request, left());
    if (!sent.ok()) {
        report.why = std::string(sent.message());
        co_return report;
    }
    absl::StatusOr<http::Response> head = absl::UnknownError("no answer");
    for (int foreign = 0; foreign <= kMaxForeignAnswers; ++foreign) {
        head = co_await connection.readHeader(patience);
        if (!head.ok()) {
            report.why = std::string(head.status().message());
            co_return report;
        }
        report.head = m_context.protocol.readHead(*head);
        if (!report.head.request || *report.head.request == m_call.id) {
            break;
        }
        report.why = "an answer to another request came";
        if (!(co_await connection.readRest(patience, kMaxAnswerBytes)).ok() || foreign == kMaxForeignAnswers) {
            connection.close();
            co_return report;
        }
    }
    if (report.head.notRun) {
        const auto body = co_await connection.readRest(left(), kMaxAnswerBytes);
        report.result = report.head.otherEndpoint ? SendResult::OtherEndpoint : SendResult::Refused;
        if (report.head.inputsGone) {
            report.result = SendResult::InputsGone;
        }
        report.why = absl::StrCat("the endpoint refused it with status ", report.head.status);
        co_return report;
    }
    const bool events = http::header(*head, "Content-Type").starts_with(http::kEventStreamType);
    if (m_route->streaming && events && report.head.certified) {
        co_return co_await relay(connection, *head, std::move(report));
    }
    const auto body = co_await connection.readRest(left(), kMaxAnswerBytes);
    if (!body.ok()) {
        report.why = std::string(body.status().message());
        co_return report;
    }
    if (!report.head.certified) {
        report.why = absl::StrCat("an answer with status ", report.head.status, " came without certificate");
        connection.close();
        co_return report;
    }
    noteFirstByte();
    report.why = absl::StrCat("status ", report.head.status);
    report.result = report.head.status < kFirstErrorStatus ? SendResult::Answered : SendResult::ServerError;
    report.answer = m_context.protocol.callerHead(*head);
    report.answer->body() = *body;
    co_return report;
}

void ForwardedRequest::noteFirstByte()
{
    if (!m_firstByte) {
        m_firstByte = m_context.clock.now() - m_sentAt;
    }
}

http::Awaitable<ForwardedRequest::SendReport> ForwardedRequest::relay(http::ClientConnection &connection,
                                                                      const http::Response &head, SendReport report)
{
    // What an earlier endpoint had begun of an event comes again as a whole.
    m_events = EventSplitter(m_events.lastId());
    while (true) {
        const auto patience = !m_firstByte ? firstPatience()
            : m_policy.allowsAnotherSend() ? std::min(left(), kStall)
                                           : left();
        const auto data = co_await connection.readSome(patience);
        if (!data.ok()) {
            report.why = absl::StrCat("the stream broke after ", m_events.events(),
                                      " events: ", std::string(data.status().message()));
            co_return report;
        }
        const auto whole = data->empty() ? std::string() : m_events.take(*data);
        if (!whole.empty()) {
            noteFirstByte();
            m_tickets.clear();
        }
        if (!whole.empty() && !co_await passOn(whole, head)) {
            report.why = "the caller doesn't read";
            co_return report;
        }
        if (data->empty()) {
            break;
        }
    }
    if (!m_events.rest().empty()) {
        report.why = "the stream ended within an event";
        connection.close();
        co_return report;
    }
    if (!m_streamBegun && !co_await passOn("", head)) {
        co_return report;
    }
    report.result = SendResult::Answered;
    report.why = absl::StrCat(m_events.events(), " events");
    static_cast<void>(co_await m_exchange.finishStream());
    co_return report;
}

http::Awaitable<bool> ForwardedRequest::passOn(const std::string &events, const http::Response &head)
{
    if (!m_streamBegun) {
        m_streamBegun = true;
        auto answer = m_context.protocol.callerHead(head);
        answer.erase(http::beast::http::field::content_length);
        if (!(co_await m_exchange.startStream(std::move(answer))).ok()) {
            co_return false;
        }
    }
    co_return events.empty() || (co_await m_exchange.writeChunk(events)).ok();
}

http::Awaitable<void> ForwardedRequest::refuse(Refusal refusal)
{
    logEnd(outcomeName(refusal.outcome), absl::StrCat(std::string(reasonName(refusal.reason)), ": ", refusal.detail));
    if (m_streamBegun) {
        // The caller sees that the stream broke, since it has no end.
        m_exchange.closeAfterwards();
        co_return;
    }
    co_await m_exchange.answer(m_context.protocol.refusalResponse(refusal, m_call.id));
}

void ForwardedRequest::logEnd(std::string_view outcome, std::string_view detail)
{
    m_logged = true;
    const auto total = m_context.clock.now() - m_arrival;
    const auto route = m_route == nullptr ? RouteId() : m_route->id;
    const auto workspace = m_workspace == nullptr ? WorkspaceId() : m_workspace->id;
    m_context.metrics.record({route, workspace, outcome, Duration(total), m_firstByte});
    logEvent(LogLevel::Info, "request")
        .with("request", m_call.id)
        .with("route", route)
        .with("outcome", outcome)
        .with("detail", detail)
        .with("rank", m_rank)
        .with("workspace", workspace)
        .with("version", m_view->configuration ? m_view->configuration->version() : ConfigurationVersion())
        .with("left", left())
        .with("total", Duration(total))
        .with("stages", m_stageTime)
        .with("first", m_firstByte.value_or(Duration::zero()))
        .with("sends", m_policy.sends())
        .with("endpoint", m_endpoint);
}

} // namespace mimosahub
