// One coroutine walks through the request: resolve, prepare the stages' results,
// send, and after each send ask SendPolicy what comes next. What is under way is
// held by objects whose destruction gives it up, so that a caller that leaves
// needs no further code. Streamed answers are ForwardedStream's.

#include "gateway/forwarded_request.h"

#include "base/log.h"
#include "gateway/exchange_sink.h"
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
constexpr Duration kLeastPatience = std::chrono::milliseconds(250); ///< With an endpoint's first byte.
constexpr Duration kLeastStreamPatience = std::chrono::milliseconds(1500);
constexpr int kPatienceFactor = 5; ///< Of the usual time to the first byte.
constexpr Duration kStall = std::chrono::milliseconds(1500); ///< Longest pause within a stream that may be resumed.
constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t(8) << 20U;
constexpr std::uint64_t kMaxRefusalBytes = std::uint64_t(64) << 10U;
constexpr Duration kRefusalPatience = std::chrono::milliseconds(100); ///< With a refusal's body, which nobody needs.
constexpr int kMaxForeignAnswers = 2; ///< Late answers to earlier calls that are passed over.
constexpr int kFirstErrorStatus = 500;
constexpr int kFirstSuccessStatus = 200;
constexpr int kFirstRedirectStatus = 300;

bool isSuccess(int status)
{
    return status >= kFirstSuccessStatus && status < kFirstRedirectStatus;
}

SendLoss lossOf(const absl::Status &status)
{
    if (absl::IsAborted(status)) {
        return SendLoss::NoMemory; // By ClientConnection::readRest().
    }
    return absl::IsDeadlineExceeded(status) ? SendLoss::Silence : SendLoss::BrokenOff;
}

/// Whether \a loss, if any, may be the endpoint's doing.
bool isEndpointsLoss(SendLoss loss)
{
    return loss != SendLoss::CallerGone && loss != SendLoss::NoMemory;
}

} // namespace

/// The stream of one send.
class ForwardedRequest::Source : public StreamSource
{
public:
    Source(ForwardedRequest &request, EndpointSend &send) : m_request(request), m_send(send)
    {
    }

    http::Awaitable<absl::StatusOr<std::string>> read() override
    {
        return m_request.readStream(m_send);
    }
    void close() override
    {
        m_send.connection().close();
    }
    [[nodiscard]] Duration left() const override
    {
        return m_request.left();
    }

private:
    ForwardedRequest &m_request;
    EndpointSend &m_send;
};

ForwardedRequest::ForwardedRequest(ForwardContext &context, http::Exchange &exchange)
    : m_context(context),
      m_exchange(exchange),
      m_view(context.views.load()),
      m_arrival(context.clock.now()),
      m_giveUpAt(m_arrival),
      m_uselessAt(m_arrival),
      m_memory(context.io.get_executor(), context.memory, [&exchange] { exchange.cut(); }),
      m_stream(m_memory, *this)
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
    wake();
    m_memory.interruptWait();
    if (m_connection != nullptr) {
        m_connection->close();
    }
}

void ForwardedRequest::wake()
{
    if (m_stages) {
        m_stages->wake();
    }
}

http::Awaitable<void> ForwardedRequest::run()
{
    if (auto refusal = resolve()) {
        co_await refuse(std::move(*refusal));
        co_return;
    }
    if (auto refusal = reserveMemory()) {
        co_await refuse(std::move(*refusal));
        co_return;
    }
    if (auto refusal = co_await checkQuarantine()) {
        co_await refuse(std::move(*refusal));
        co_return;
    }
    if (auto refusal = co_await prepare()) {
        co_await refuse(std::move(*refusal));
        co_return;
    }
    co_await forward();
}

http::Awaitable<std::optional<Refusal>> ForwardedRequest::checkQuarantine()
{
    const auto verdict = m_context.quarantine.check(m_contents);
    if (verdict.kind == QuarantineVerdict::Kind::TrialDue) {
        m_isTrial = co_await m_context.quarantine.claimTrial(verdict.contents);
    }
    co_return quarantineRefusal();
}

std::optional<Refusal> ForwardedRequest::quarantineRefusal() const
{
    if (m_isTrial) {
        return std::nullopt;
    }
    const auto verdict = m_context.quarantine.check(m_contents);
    if (verdict.kind == QuarantineVerdict::Kind::Allowed) {
        return std::nullopt;
    }
    Refusal refusal;
    refusal.outcome = outcome();
    refusal.reason = Reason::EndpointLost;
    const auto &content = verdict.contents.front();
    refusal.detail =
        absl::StrCat("endpoints crashed under ", std::string(contentKindName(content.kind)), " ", content.id);
    refusal.step = std::string(stepName(Step::Admit));
    if (refusal.outcome == Outcome::NotRun) { // Which the status of Quarantined says.
        refusal.reason = Reason::Quarantined;
        refusal.retryAfter = verdict.retryAfter;
    }
    return refusal;
}

http::Awaitable<void> ForwardedRequest::fail(std::string what)
{
    m_loss = SendLoss::InternalError;
    m_connection = nullptr;
    logEvent(LogLevel::Error, "handler-failed").with("request", m_call.id).with("error", std::string_view(what));
    if (m_exchange.answered() && !m_stream.begun()) {
        m_exchange.closeAfterwards();
        co_return;
    }
    co_await refuse(refusalAfterException(std::move(what)));
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
    if (m_call.lastEventId && m_route->repeatable()) {
        m_stream.beginBehind(*m_call.lastEventId);
    }
    m_contents = contentIdsOf(m_service, m_call.prompt, m_call.content);
    m_sends = std::make_unique<RequestSends>(m_context, m_service, m_route->id,
                                             SendLimits{m_route->repeatable(), m_route->maxAttempts},
                                             [this] { return situation(); });
    return std::nullopt;
}

std::optional<Refusal> ForwardedRequest::reserveMemory()
{
    if (!m_route->streaming || m_memory.reserveStream()) {
        return std::nullopt;
    }
    return makeRefusal(Reason::Overloaded, "this daemon has no memory for a stream now", Step::Admit,
                       m_context.random.jitter(kLongestRetryAfter, kRetrySpread));
}

Duration ForwardedRequest::left() const
{
    return std::max(Duration::zero(), Duration(m_giveUpAt - m_context.clock.now()));
}

http::Awaitable<std::optional<Refusal>> ForwardedRequest::prepare()
{
    const auto engine = m_context.selector.preferred(m_sends->query(), m_context.clock.now());
    const auto uselessAt = m_stream.begun() ? m_giveUpAt : m_uselessAt;
    const StagedRequest staged{*m_route, m_call, *m_view, m_arrival, uselessAt, m_rank};
    m_stages.reset();
    m_stages = std::make_unique<RequestStages>(m_context, staged, engine ? std::optional(engine->zone) : std::nullopt);
    m_stages->begin();
    while (!m_stages->ended()) {
        if (auto refusal = quarantineRefusal()) {
            m_stages->drop();
            co_return refusal;
        }
        if (left() < RequestSends::kMinSendTime) {
            const auto reason = m_context.stop.refusing ? Reason::Draining : Reason::DeadlinePassed;
            auto refusal = makeRefusal(reason, "the stages took too long", Step::Choose, kElsewhere);
            refusal.outcome = outcome();
            co_return refusal;
        }
        co_await m_stages->waitForNews(left());
    }
    m_stageTime = m_context.clock.now() - m_arrival;
    if (m_stages->failed()) {
        m_stages->drop();
        auto refusal = makeRefusal(Reason::Overloaded, m_stages->describeFailure(), Step::Choose, comeBackAfter());
        refusal.outcome = outcome();
        co_return refusal;
    }
    if (!inputsFit()) {
        m_stages->drop();
        auto refusal = makeRefusal(Reason::TooLarge, "the stages have more results than a call can name", Step::Choose);
        refusal.outcome = outcome();
        co_return refusal;
    }
    co_return std::nullopt;
}

bool ForwardedRequest::inputsFit() const
{
    std::size_t bytes = 0;
    for (const auto &handle : m_stages->finalInputs()) {
        bytes += handle.str().size() + 1; // With its comma.
    }
    return bytes <= kMaxInputsBytes;
}

// Callers who were refused together are spread over the time in which what waits
// will be done.
Duration ForwardedRequest::comeBackAfter()
{
    const auto wait = std::clamp<Duration>(m_stages->longestWait(), kRetryAfter, kLongestRetryAfter);
    return std::max(m_stages->longestRest(), m_context.random.jitter(wait, kRetrySpread));
}

Outcome ForwardedRequest::outcome() const
{
    return m_sends ? m_sends->policy().outcome() : Outcome::NotRun;
}

RetryObstacle ForwardedRequest::obstacle() const
{
    return m_sends ? m_sends->obstacle() : RetryObstacle::None;
}

SendSituation ForwardedRequest::situation() const
{
    SendSituation now;
    now.query.service = m_service;
    now.query.zone = m_context.zone;
    now.query.affinity = m_affinity;
    if (m_stages) {
        now.query.inputBytes = m_stages->finalInputBytes();
    }
    now.query.tokens = static_cast<double>(m_call.promptTokens);
    now.left = left();
    now.streamBegun = m_stream.begun();
    now.resumable = m_stream.position().resumable();
    now.inputsReadable = !m_stages || m_stages->readable();
    now.suspected = m_isTrial || !m_context.quarantine.table().mayRetry(m_contents);
    return now;
}

ForwardOptions ForwardedRequest::options(const EndpointId &endpoint) const
{
    ForwardOptions options;
    options.endpoint = endpoint;
    options.deadline = left();
    if (m_workspace != nullptr) {
        options.workspace = m_workspace->id;
    }
    options.lastEventId = m_stream.position().begun() ? m_stream.position().lastId() : m_call.lastEventId;
    options.inputs = m_stages->finalInputs();
    return options;
}

std::optional<AnswerTimes> ForwardedRequest::answerTimes() const
{
    if (!m_firstByte) {
        return std::nullopt;
    }
    AnswerTimes times{*m_firstByte, std::nullopt};
    if (m_stream.eventsOfAnswer() > 1) {
        const auto stream = m_context.clock.now() - m_sentAt - *m_firstByte;
        times.gap = stream / static_cast<Duration::rep>(m_stream.eventsOfAnswer() - 1);
    }
    return times;
}

http::Awaitable<void> ForwardedRequest::forward()
{
    for (bool repeat = false; true; repeat = true) {
        if (auto refusal = quarantineRefusal()) {
            co_await refuse(std::move(*refusal));
            co_return;
        }
        auto choice = m_sends->next(repeat);
        if (const auto *none = std::get_if<NoEndpointChosen>(&choice)) {
            auto refusal = makeRefusal(none->reason,
                                       none->resting ? "all endpoints have asked this daemon for a rest"
                                                     : "no endpoint may take the request",
                                       Step::Choose, none->retryAfter);
            refusal.outcome = outcome();
            co_await refuse(std::move(refusal));
            co_return;
        }
        auto send = std::move(std::get<std::unique_ptr<EndpointSend>>(choice));
        const auto &endpoint = send->endpoint().info;
        m_counted.emplace(m_context.rollouts, endpoint, m_route->id,
                          m_context.selector.isCold(endpoint.id, m_context.clock.now()));
        m_firstByte.reset();
        auto report = co_await sendOnce(std::move(send));
        if (speaksOfVersion(report)) {
            m_counted->end(report.result, answerTimes());
        }
        m_counted.reset();
        if (report.result == SendResult::Answered && isSuccess(report.head.status)) {
            m_context.quarantine.recordAnswer(m_contents);
        }
        m_loss = report.loss;
        const auto next = m_sends->after(report.result, report.loss);
        m_sending = false;
        switch (next) {
        case NextStep::PassOn:
            if (m_stream.begun() && report.result != SendResult::Answered) {
                co_await refuse(refusalAfter(report));
            } else if (report.answer) {
                const AnswerMemory::Writing writing(m_memory);
                co_await m_exchange.answer(std::move(*report.answer));
                logEnd("answered", report.why);
            } else {
                logEnd("streamed", report.why);
            }
            co_return;
        case NextStep::PrepareAgain:
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
        if (next == NextStep::PrepareAgain || !m_stages->readable()) {
            if (auto refusal = co_await prepare()) {
                co_await refuse(std::move(*refusal));
                co_return;
            }
        }
    }
}

Refusal ForwardedRequest::refusalAfter(const SendReport &report) const
{
    if (auto quarantined = quarantineRefusal()) {
        return *std::move(quarantined);
    }
    Refusal refusal;
    refusal.outcome = outcome();
    refusal.detail = report.why;
    refusal.peer = m_endpoint.str();
    refusal.step = std::string(stepName(Step::Receive));
    if (refusal.outcome == Outcome::NotRun) {
        refusal.reason = m_context.stop.refusing ? Reason::Draining : Reason::Overloaded;
        refusal.retryAfter = m_context.selector.restOf(m_service, m_context.clock.now()).value_or(kRetryAfter);
    } else {
        refusal.reason = reasonAfter(report);
    }
    return refusal;
}

Reason ForwardedRequest::reasonAfter(const SendReport &report) const
{
    if (left() < RequestSends::kMinSendTime) {
        return Reason::DeadlinePassed;
    }
    return report.result == SendResult::UnprovenRefusal ? Reason::EndpointFailed : Reason::EndpointLost;
}

Refusal ForwardedRequest::refusalAfterException(std::string problem) const
{
    const auto known = m_sending ? Outcome::Unknown : outcome();
    const auto reason = known == Outcome::NotRun ? Reason::Overloaded : Reason::EndpointLost;
    auto refusal = makeRefusal(reason, std::move(problem), Step::Send, kRetryAfter);
    refusal.outcome = known;
    return refusal;
}

Duration ForwardedRequest::firstPatience() const
{
    const auto usual = m_context.usual.of(m_route->id);
    if (!m_sends->policy().allowsAnotherSend() || !usual) {
        return left();
    }
    const auto least = m_route->streaming ? kLeastStreamPatience : kLeastPatience;
    return std::min(left(), std::max<Duration>(least, *usual * kPatienceFactor));
}

http::Awaitable<ForwardedRequest::SendReport> ForwardedRequest::sendOnce(std::unique_ptr<EndpointSend> send)
{
    const auto &endpoint = send->endpoint();
    m_endpoint = endpoint.info.id;
    m_sends->recordTried(m_endpoint);
    SendReport report;
    // A request that may run once only needs a connection that surely works.
    const auto connected = co_await send->connect(!m_route->repeatable());
    if (!connected.ok()) {
        report.result = SendResult::Unreachable;
        report.why = std::string(connected.message());
        co_return report;
    }
    if (left() < RequestSends::kMinSendTime) {
        report.result = SendResult::Unreachable;
        report.why = "no time was left after connecting";
        co_return report;
    }
    if (auto refusal = quarantineRefusal()) {
        report.result = SendResult::Unreachable;
        report.why = std::move(refusal->detail);
        send->releaseConnection();
        co_return report;
    }
    if (!m_context.selector.mayCall(m_endpoint, m_context.clock.now())) {
        report.result = SendResult::Unreachable;
        report.why = "the endpoint left or began a rest meanwhile";
        send->releaseConnection();
        co_return report;
    }
    m_sentAt = m_context.clock.now();
    m_firstByte.reset();
    m_stream.beginAnswer();
    auto request = m_context.protocol.writeCall(m_exchange.request(), options(endpoint.info.id));
    m_connection = &send->connection();
    m_sending = true;
    send->begin();
    report = co_await exchangeWith(*send, std::move(request));
    m_connection = nullptr;
    if (report.result == SendResult::Lost && report.loss == SendLoss::BrokenOff) {
        m_context.crashes.record(endpoint, lostSend());
    }
    if (report.head.load) {
        send->recordLoad(*report.head.load);
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
        send->end(SendEnd::Answered, latencyRatio);
        break;
    case SendResult::ServerError:
    case SendResult::UnprovenRefusal:
        send->end(SendEnd::ServerError, std::nullopt);
        break;
    case SendResult::Lost:
        send->end(isEndpointsLoss(report.loss) ? SendEnd::Lost : SendEnd::Dropped, std::nullopt);
        break;
    case SendResult::Unreachable:
        send->end(SendEnd::Unreachable, std::nullopt);
        break;
    default:
        send->end(SendEnd::Refused, std::nullopt);
        break;
    }
    send->releaseConnection();
    co_return report;
}

bool ForwardedRequest::speaksOfVersion(const SendReport &report) const
{
    return isEndpointsLoss(report.loss)
        && (report.loss != SendLoss::BrokenOff || m_context.quarantine.table().allAnswered(m_contents));
}

LostSend ForwardedRequest::lostSend() const
{
    LostSend lost;
    lost.request = m_call.id;
    lost.contents = m_contents;
    lost.events = static_cast<int>(m_stream.eventsOfAnswer());
    lost.sentAt = m_sentAt;
    lost.lostAt = m_context.clock.now();
    return lost;
}

http::Awaitable<absl::Status> ForwardedRequest::sendWithBody(http::ClientConnection &connection, http::Request call)
{
    std::swap(call.body(), m_exchange.body());
    auto status = co_await connection.send(call, left());
    std::swap(call.body(), m_exchange.body()); // For a further send.
    co_return status;
}

http::Awaitable<ForwardedRequest::SendReport> ForwardedRequest::exchangeWith(EndpointSend &send, http::Request request)
{
    auto &connection = send.connection();
    SendReport report;
    const auto sent = co_await sendWithBody(connection, std::move(request));
    if (!sent.ok()) {
        report.why = std::string(sent.message());
        co_return report;
    }
    const auto head = co_await receiveHead(send, report);
    if (!head) {
        co_return report;
    }
    m_context.notices.record(send.endpoint(), report.head, m_call.id.str());
    if (report.head.notRun) {
        co_return co_await takeRefusal(connection, std::move(report));
    }
    if (!report.head.certified) {
        report.why = absl::StrCat("an answer with status ", report.head.status, " came without certificate");
        connection.close();
        co_return report;
    }
    if (promisesNotRun(report.head.status)) {
        co_return co_await withhold(send, std::move(report));
    }
    const bool events = http::header(*head, "Content-Type").starts_with(http::kEventStreamType);
    if (m_stream.begun() && !(events && isSuccess(report.head.status))) {
        const bool serverError = report.head.status >= kFirstErrorStatus;
        report.result = serverError ? SendResult::ServerError : SendResult::Lost;
        report.loss = SendLoss::BrokenOff;
        report.why = absl::StrCat("an answer with status ", report.head.status, " doesn't go on with the stream");
        connection.close();
        co_return report;
    }
    if (m_route->streaming && events) {
        co_return co_await relay(send, *head, std::move(report));
    }
    auto body = co_await m_memory.readWhole(connection, left(), kMaxAnswerBytes);
    if (!body.ok()) {
        report.loss = lossOf(body.status());
        report.why = std::string(body.status().message());
        co_return report;
    }
    noteFirstByte();
    report.why = absl::StrCat("status ", report.head.status);
    report.result = report.head.status < kFirstErrorStatus ? SendResult::Answered : SendResult::ServerError;
    report.answer = m_context.protocol.callerHead(*head);
    report.answer->body() = *std::move(body);
    co_return report;
}

http::Awaitable<std::optional<http::Response>> ForwardedRequest::receiveHead(EndpointSend &send, SendReport &report)
{
    auto &connection = send.connection();
    absl::StatusOr<http::Response> head = absl::UnknownError("no answer");
    for (int foreign = 0; foreign <= kMaxForeignAnswers; ++foreign) {
        if (!co_await awaitFirstByte(send)) {
            report.loss = SendLoss::Silence;
            report.why = "the endpoint was silent";
            co_return std::nullopt;
        }
        head = co_await connection.readHeader(left());
        if (!head.ok()) {
            report.loss = lossOf(head.status());
            report.why = std::string(head.status().message());
            co_return std::nullopt;
        }
        report.head = m_context.protocol.readHead(*head);
        if (!report.head.request || *report.head.request == m_call.id) {
            break;
        }
        report.why = "an answer to another request came";
        const auto body = co_await m_memory.readWhole(connection, left(), kMaxAnswerBytes);
        if (!body.ok() || foreign == kMaxForeignAnswers) {
            connection.close();
            co_return std::nullopt;
        }
    }
    if (!isOwnAnswer(report.head, connection)) {
        report.loss = SendLoss::BrokenOff;
        report.why = absl::StrCat("an answer with status ", report.head.status, " may be to an earlier call");
        connection.close();
        co_return std::nullopt;
    }
    co_return *std::move(head);
}

http::Awaitable<ForwardedRequest::SendReport> ForwardedRequest::takeRefusal(http::ClientConnection &connection,
                                                                            SendReport report)
{
    m_refusedAt.insert(connection.peer());
    static_cast<void>(co_await connection.readRest(std::min(left(), kRefusalPatience), kMaxRefusalBytes));
    report.result = report.head.otherEndpoint ? SendResult::OtherEndpoint : SendResult::Refused;
    if (report.head.inputsGone) {
        report.result = SendResult::InputsGone;
    }
    report.why = absl::StrCat("the endpoint refused it with status ", report.head.status);
    co_return report;
}

http::Awaitable<ForwardedRequest::SendReport> ForwardedRequest::withhold(EndpointSend &send, SendReport report)
{
    static_cast<void>(co_await send.connection().readRest(std::min(left(), kRefusalPatience), kMaxRefusalBytes));
    report.result = SendResult::UnprovenRefusal;
    report.why = absl::StrCat("the endpoint answered with status ", report.head.status,
                              ", but did not say that the request had not run");
    m_context.metrics.recordUnprovenRefusal(report.head.status);
    logEvent(LogLevel::Warning, "unproven-refusal")
        .with("request", m_call.id)
        .with("endpoint", m_endpoint)
        .with("status", report.head.status);
    co_return report;
}

bool ForwardedRequest::isOwnAnswer(const EndpointHead &head, const http::ClientConnection &connection) const
{
    if (!head.request) {
        return false;
    }
    const bool onlyCall = connection.calls() == 1;
    return !head.notRun || onlyCall || !m_refusedAt.contains(connection.peer());
}

void ForwardedRequest::noteFirstByte()
{
    m_sends->recordAnswerBegun();
    recordUsage();
    if (!m_firstByte) {
        m_firstByte = m_context.clock.now() - m_sentAt;
        m_counted->begun(*m_firstByte);
    }
}

// A stream begins to run with its first event, a plain request when the endpoint gets it.
void ForwardedRequest::recordUsage()
{
    if (m_context.usage == nullptr || m_workspace == nullptr || std::exchange(m_usageCounted, true)) {
        return;
    }
    m_context.usage->recordBegin(m_workspace->id,
                                 m_route->streaming ? Duration::zero() : Duration(m_context.clock.now() - m_sentAt));
}

http::Awaitable<bool> ForwardedRequest::awaitFirstByte(EndpointSend &send)
{
    for (int silences = 1; m_sends->policy().allowsAnotherSend(); ++silences) {
        const bool readable = co_await send.connection().waitReadable(firstPatience());
        if (readable) {
            co_return true;
        }
        if (co_await m_sends->replaceSilent(send, silences)) {
            co_return false;
        }
    }
    co_return true;
}

http::Awaitable<absl::StatusOr<std::string>> ForwardedRequest::readStream(EndpointSend &send)
{
    for (int silences = 1; m_sends->policy().allowsAnotherSend(); ++silences) {
        const auto patience = m_firstByte ? std::min(left(), kStall) : firstPatience();
        auto data = co_await send.connection().readSomeWithin(patience);
        if (!data.ok()) {
            co_return data.status();
        }
        if (*data) {
            co_return std::move(**data);
        }
        if (co_await m_sends->replaceSilent(send, silences)) {
            co_return absl::DeadlineExceededError("the endpoint was silent");
        }
    }
    co_return co_await send.connection().readSome(left());
}

http::Awaitable<ForwardedRequest::SendReport> ForwardedRequest::relay(EndpointSend &send, const http::Response &head,
                                                                      SendReport report)
{
    Source source(*this, send);
    ExchangeSink sink(m_context.protocol, m_exchange, head);
    auto end = co_await m_stream.relay(source, sink);
    report.result = end.loss == SendLoss::None ? SendResult::Answered : SendResult::Lost;
    report.loss = end.loss;
    report.why = std::move(end.why);
    co_return report;
}

void ForwardedRequest::eventsCame()
{
    noteFirstByte();
    m_stages->drop();
}

void ForwardedRequest::pauseBegan()
{
    m_context.metrics.recordStreamPause();
    logEvent(LogLevel::Info, "stream-paused")
        .with("request", m_call.id)
        .with("endpoint", m_endpoint)
        .with("events", m_stream.eventsOfAnswer())
        .with("held", m_context.memory.held());
}

void ForwardedRequest::pauseEnded(Duration paused, bool goesOn)
{
    m_context.metrics.recordStreamPauseEnd(paused, goesOn);
    logEvent(goesOn ? LogLevel::Info : LogLevel::Warning, goesOn ? "stream-continued" : "stream-given-up")
        .with("request", m_call.id)
        .with("endpoint", m_endpoint)
        .with("events", m_stream.eventsOfAnswer())
        .with("paused", paused)
        .with("held", m_context.memory.held());
}

http::Awaitable<void> ForwardedRequest::refuse(Refusal refusal)
{
    if (m_stream.begun()) {
        noteStreamCut();
    }
    if (refusal.reason == Reason::Quarantined) {
        m_context.quarantine.recordRefusal();
    }
    logEnd(outcomeName(refusal.outcome), absl::StrCat(std::string(reasonName(refusal.reason)), ": ", refusal.detail));
    if (m_stream.begun()) {
        // The caller sees that the stream broke, since it has no end.
        m_exchange.closeAfterwards();
        co_return;
    }
    co_await m_exchange.answer(m_context.protocol.refusalResponse(refusal, m_call.id));
}

void ForwardedRequest::noteStreamCut()
{
    m_streamCut = true;
    m_context.metrics.recordStreamCut(m_loss, obstacle());
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
        .with("sends", m_sends ? m_sends->policy().sends() : 0)
        .with("cut", m_streamCut)
        .with("loss", sendLossName(m_loss))
        .with("obstacle", retryObstacleName(obstacle()))
        .with("endpoint", m_endpoint);
}

} // namespace mimosahub
