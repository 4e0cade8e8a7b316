// Performs what the planners decide. Planning runs once after all events of one
// turn of the event loop, so that pieces which came together can leave together.

#include "gateway/stage_runner.h"

#include "base/log.h"
#include "gateway/endpoint_log.h"
#include "http/spawn.h"
#include "mimosahub/error.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>

namespace mimosahub
{

namespace
{

constexpr Duration kLoadLineInterval = std::chrono::seconds(2); ///< Between two lines on one service's load.
constexpr Duration kReleaseTimeout = std::chrono::seconds(2);
constexpr Duration kQuestionTimeout = std::chrono::milliseconds(500); ///< For an endpoint's memory.
constexpr std::uint64_t kMaxShortAnswer = std::uint64_t(64) << 10U; ///< Bytes of an answer to a release or question.
constexpr std::uint64_t kMaxAnswer = std::uint64_t(4) << 20U; ///< Bytes of a call's answer.
constexpr int kMaxCopies = 2; ///< Copies of earlier answers that are passed over.
constexpr std::array kRatioBounds = {0.5, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0};
constexpr std::size_t kRecentAnswers = 4096; ///< That are recognized, of all endpoints together.

BatchFailure failureOf(const http::ClientConnection &connection, const absl::Status &status)
{
    if (!connection.bytesLeft()) {
        return BatchFailure::Unreachable;
    }
    return absl::IsUnavailable(status) ? BatchFailure::BrokenOff : BatchFailure::Lost;
}

} // namespace

class StageRunner::Ticket : public StageTicket
{
public:
    Ticket(StageRunner &runner, ServiceId service, PieceOrderId id)
        : m_runner(runner), m_alive(runner.m_alive), m_service(std::move(service)), m_id(id)
    {
    }
    ~Ticket() override
    {
        auto *desk = *m_alive ? m_runner.deskOf(m_service) : nullptr;
        if (desk == nullptr) {
            return;
        }
        desk->waiting.erase(m_id);
        desk->planner.cancel(m_id);
        m_runner.release(m_service, *desk, m_handles);
        m_runner.schedule(m_service);
    }
    Ticket(const Ticket &) = delete;
    Ticket &operator=(const Ticket &) = delete;

    void keepResults() override
    {
        m_handles.clear();
    }
    void setResults(std::vector<ResultHandle> handles)
    {
        m_handles = std::move(handles);
    }

private:
    StageRunner &m_runner;
    std::shared_ptr<bool> m_alive;
    ServiceId m_service;
    PieceOrderId m_id;
    std::vector<ResultHandle> m_handles;
};

/// An order that nobody can plan: its end is on its way, unless it is given up before.
class StageRunner::FailedTicket : public StageTicket
{
public:
    FailedTicket() = default;
    ~FailedTicket() override
    {
        *m_wanted = false;
    }
    FailedTicket(const FailedTicket &) = delete;
    FailedTicket &operator=(const FailedTicket &) = delete;

    void keepResults() override
    {
    }
    [[nodiscard]] std::shared_ptr<const bool> wanted() const
    {
        return m_wanted;
    }

private:
    std::shared_ptr<bool> m_wanted = std::make_shared<bool>(true);
};

StageRunner::StageRunner(boost::asio::io_context &io, const Clock &clock, const CallProtocol &protocol,
                         http::ConnectionPool &pool, NoticeRecorder &notices, MetricRegistry &metrics)
    : m_io(io),
      m_clock(clock),
      m_protocol(protocol),
      m_pool(pool),
      m_notices(notices),
      m_recentAnswers(kRecentAnswers),
      m_calls(metrics.counter("mimosahub_stage_calls_total", "Calls of stages' endpoints.")),
      m_pieces(metrics.counter("mimosahub_stage_pieces_total", "Pieces in calls of stages' endpoints.")),
      m_failedCalls(metrics.counter("mimosahub_stage_calls_failed_total", "Calls of stages' endpoints that failed.")),
      m_copies(metrics.counter("mimosahub_stage_answer_copies_total",
                               "Answers of stages' endpoints that came once more, where the next call's was due.")),
      m_fillWaits(metrics.histogram("mimosahub_stage_fill_wait_seconds",
                                    "Time that pieces waited to fill a call while an endpoint was free.")),
      m_timeOverEstimate(metrics.histogram("mimosahub_stage_call_time_ratio",
                                           "Time of calls of stages' endpoints over the planner's estimate.", {},
                                           kRatioBounds))
{
}

StageRunner::~StageRunner()
{
    *m_alive = false;
}

void StageRunner::stop()
{
    for (auto &[service, desk] : m_desks) {
        desk->timer.reset();
    }
}

void StageRunner::setView(const GatewayView &view)
{
    if (!view.configuration) {
        return;
    }
    std::map<ServiceId, std::vector<ListedEndpoint>> endpoints;
    for (const auto &endpoint : view.endpoints) {
        if (!view.closedZones.contains(endpoint.info.zone)) {
            endpoints[endpoint.info.service].push_back(endpoint);
        }
    }
    for (const auto &rule : view.configuration->parts().services) {
        if (!rule.batch) {
            continue;
        }
        auto &desk = m_desks[rule.id];
        if (!desk) {
            desk = std::make_unique<Desk>(m_io, *rule.batch);
        }
        desk->planner.setRule(*rule.batch);
    }
    // Requests in flight and other daemons may still need a service that the configuration has lost.
    for (auto &[service, desk] : m_desks) {
        desk->endpoints = std::move(endpoints[service]);
        desk->planner.setEndpoints(desk->endpoints);
        schedule(service);
    }
}

void StageRunner::recordRest(const EndpointStart &endpoint, TimePoint until)
{
    for (auto &[service, desk] : m_desks) {
        desk->planner.recordRest(endpoint, until);
    }
}

StageRunner::Desk *StageRunner::deskOf(const ServiceId &service)
{
    const auto it = m_desks.find(service);
    return it == m_desks.end() ? nullptr : it->second.get();
}

std::unique_ptr<StageTicket> StageRunner::submit(const ServiceId &service, PieceOrder order, Done done)
{
    auto *desk = deskOf(service);
    if (desk == nullptr) {
        auto ticket = std::make_unique<FailedTicket>();
        boost::asio::post(m_io, [wanted = ticket->wanted(), done = std::move(done)] {
            if (*wanted) {
                done({PieceOutcome::Failed, {}});
            }
        });
        return ticket;
    }
    const auto id = desk->planner.add(std::move(order));
    auto ticket = std::make_unique<Ticket>(*this, service, id);
    desk->waiting[id] = [keeper = ticket.get(), done = std::move(done)](PieceOrderResult result) {
        keeper->setResults(result.handles);
        done(std::move(result));
    };
    schedule(service);
    return ticket;
}

BatchLoad StageRunner::load(const ServiceId &service)
{
    const auto *desk = deskOf(service);
    return desk == nullptr ? BatchLoad() : desk->planner.load(m_clock.now());
}

void StageRunner::release(const ServiceId &service, const std::vector<ResultHandle> &handles)
{
    if (auto *desk = deskOf(service)) {
        release(service, *desk, handles);
        schedule(service);
    }
}

// Results of a planner that is gone are dropped at their makers without account. Those of a
// maker that rests are left there until they expire.
void StageRunner::release(const ServiceId &service, Desk &desk, const std::vector<ResultHandle> &handles)
{
    std::map<Address, std::vector<ResultHandle>> unknown;
    for (auto &handle : desk.planner.release(handles)) {
        if (const auto maker = m_protocol.makerOf(handle)) {
            unknown[*maker].push_back(std::move(handle));
        }
    }
    for (auto &[maker, results] : unknown) {
        if (!rests(service, maker)) {
            http::spawn(m_io, dropAtMaker(service, maker, std::move(results)));
        }
    }
}

std::optional<ListedEndpoint> StageRunner::listedAt(const ServiceId &service, const Address &address)
{
    const auto *desk = deskOf(service);
    if (desk == nullptr) {
        return std::nullopt;
    }
    const auto it = std::find_if(desk->endpoints.begin(), desk->endpoints.end(),
                                 [&](const auto &endpoint) { return endpoint.info.address == address; });
    return it == desk->endpoints.end() ? std::nullopt : std::optional(*it);
}

bool StageRunner::rests(const ServiceId &service, const Address &address)
{
    const auto endpoint = listedAt(service, address);
    return endpoint && m_notices.notices().rests(m_clock.now()).contains(startOf(*endpoint));
}

void StageRunner::takeNotices(const ServiceId &service, const Address &address, const http::Response &answer,
                              std::string_view call)
{
    if (const auto endpoint = listedAt(service, address)) {
        m_notices.record(*endpoint, m_protocol.readHead(answer), call);
    }
}

void StageRunner::handOff(const ServiceId &service)
{
    if (auto *desk = deskOf(service)) {
        desk->planner.handOff();
        schedule(service);
    }
}

std::vector<ServiceLoad> StageRunner::loads() const
{
    std::vector<ServiceLoad> loads;
    for (const auto &[service, desk] : m_desks) {
        loads.push_back({service, desk->planner.load(m_clock.now())});
    }
    return loads;
}

void StageRunner::schedule(const ServiceId &service)
{
    auto *desk = deskOf(service);
    if (desk == nullptr || desk->pumpPosted) {
        return;
    }
    desk->pumpPosted = true;
    boost::asio::post(m_io, [this, alive = m_alive, service] {
        if (*alive) {
            pump(service);
        }
    });
}

void StageRunner::pump(const ServiceId &service)
{
    auto &desk = *deskOf(service);
    desk.pumpPosted = false;
    giveUpCalls(service, desk);
    for (auto &question : desk.planner.takeMemoryQueries(m_clock.now())) {
        http::spawn(m_io, ask(service, std::move(question)));
    }
    for (auto &call : desk.planner.takeCalls(m_clock.now())) {
        m_calls.add();
        m_pieces.add(call.pieces.size());
        http::spawn(m_io, run(service, std::move(call)));
    }
    if (const auto wait = desk.planner.takeFillWait(); wait > Duration::zero()) {
        m_fillWaits.record(std::chrono::duration<double>(wait).count());
    }
    for (auto &release : desk.planner.takeReleases(m_clock.now())) {
        http::spawn(m_io, drop(service, std::move(release)));
    }
    logEndpointHealthChanges(desk.planner.takeHealthChanges());
    for (auto &ended : desk.planner.takeEnded()) {
        const auto outcome = ended.result.outcome;
        desk.refused += outcome == PieceOutcome::Done || outcome == PieceOutcome::Moved ? 0 : 1;
        const auto node = desk.waiting.extract(ended.id);
        if (!node.empty()) {
            node.mapped()(std::move(ended.result));
        }
    }
    logLoad(service, desk);
    armTimer(service, desk);
}

// Their ends come as failures, from run().
void StageRunner::giveUpCalls(const ServiceId &service, Desk &desk)
{
    for (const auto id : desk.planner.callsToGiveUp(m_clock.now())) {
        const auto connection = desk.connections.extract(id);
        if (connection.empty()) {
            continue;
        }
        logEvent(LogLevel::Info, "stage-call-given-up")
            .with("service", service)
            .with("peer", connection.mapped()->peer().str());
        connection.mapped()->close();
    }
}

// On-call engineers see from these lines why orders waited or were refused, and
// by whom they were planned.
void StageRunner::logLoad(const ServiceId &service, Desk &desk)
{
    const auto now = m_clock.now();
    const auto load = desk.planner.load(now);
    if (now < desk.nextLoadLine || (load.queued == 0 && desk.refused == 0)) {
        return;
    }
    desk.nextLoadLine = now + kLoadLineInterval;
    logEvent(LogLevel::Info, "stage-load")
        .with("service", service)
        .with("queued", load.queued)
        .with("endpoints", load.endpoints)
        .with("wait", load.wait)
        .with("refused", std::exchange(desk.refused, 0));
}

void StageRunner::armTimer(const ServiceId &service, Desk &desk)
{
    const auto now = m_clock.now();
    const auto next = desk.planner.nextWakeup(now);
    if (!next) {
        desk.timer->cancel();
        return;
    }
    desk.timer->expires_after(*next - now);
    desk.timer->async_wait([this, alive = m_alive, service](const boost::system::error_code &ec) {
        if (!ec && *alive) {
            schedule(service);
        }
    });
}

http::Awaitable<void> StageRunner::run(ServiceId service, BatchCall call)
{
    const auto &peer = call.endpoint.info.address;
    auto connection = co_await m_pool.acquire(peer, false);
    if (!connection.ok()) {
        failed(service, call, BatchFailure::Unreachable, connection.status());
        co_return;
    }
    auto &connections = deskOf(service)->connections;
    connections[call.id] = connection->get();
    const auto sentAt = m_clock.now();
    const auto answer = co_await send(call, **connection);
    connections.erase(call.id);
    if (!answer.ok()) {
        failed(service, call, failureOf(**connection, answer.status()), answer.status());
        co_return;
    }
    m_notices.record(call.endpoint, answer->head, "stage");
    if (answer->head.notRun) {
        // Nothing in an answer names its call: a copy of the refusal would be taken for the next one's answer.
        (*connection)->close();
        failed(service, call, BatchFailure::NotRun, absl::OkStatus());
        co_return;
    }
    const auto &results = answer->results;
    if (!results.ok() || !RecentAnswers::isRecognizable(*results)) {
        // A copy of it would be taken for the next call's answer.
        (*connection)->close();
    }
    m_pool.release(std::move(*connection));
    if (!results.ok()) {
        failed(service, call, BatchFailure::Lost, results.status());
        co_return;
    }
    m_recentAnswers.record(*results);
    m_timeOverEstimate.record(std::chrono::duration<double>(m_clock.now() - sentAt)
                              / std::max<std::chrono::duration<double>>(call.expected, std::chrono::milliseconds(1)));
    deskOf(service)->planner.ended(call.id, *results, m_clock.now());
    schedule(service);
}

http::Awaitable<absl::StatusOr<StageRunner::BatchAnswer>> StageRunner::send(const BatchCall &call,
                                                                            http::ClientConnection &connection)
{
    auto request = m_protocol.writeBatch(call.endpoint.info.id, call.pieces);
    auto response = co_await connection.call(std::move(request), call.timeout, kMaxAnswer);
    for (int copies = 1; response.ok(); ++copies) {
        BatchAnswer answer{m_protocol.readHead(*response), m_protocol.readBatch(response->body(), call.pieces.size())};
        if (!answer.results.ok() || !m_recentAnswers.contains(*answer.results)) {
            co_return answer;
        }
        m_copies.add();
        logEvent(LogLevel::Warning, "stage-answer-again").with("endpoint", call.endpoint.info.id);
        if (copies > kMaxCopies) {
            connection.close();
            co_return absl::DataLossError("only copies of earlier answers came");
        }
        response = co_await connection.readAnswer(call.timeout, kMaxAnswer);
    }
    co_return response.status();
}

void StageRunner::failed(const ServiceId &service, const BatchCall &call, BatchFailure failure,
                         const absl::Status &status)
{
    m_failedCalls.add();
    logEvent(LogLevel::Warning, "stage-call-failed")
        .with("service", service)
        .with("endpoint", call.endpoint.info.id)
        .with("pieces", call.pieces.size())
        .with("not_run", failure == BatchFailure::NotRun || failure == BatchFailure::Unreachable)
        .with(status);
    deskOf(service)->planner.failed(call.id, failure, m_clock.now());
    schedule(service);
}

http::Awaitable<void> StageRunner::drop(ServiceId service, ResultRelease release)
{
    co_await dropAtMaker(service, release.address, release.handles);
    deskOf(service)->planner.releaseEnded(release);
    schedule(service);
}

http::Awaitable<void> StageRunner::dropAtMaker(ServiceId service, Address maker, std::vector<ResultHandle> handles)
{
    const auto answer = co_await m_pool.call(maker, m_protocol.writeRelease(handles), kReleaseTimeout, kMaxShortAnswer);
    if (!answer.ok()) {
        logEvent(LogLevel::Debug, "release-failed").with(answer.status());
        co_return;
    }
    takeNotices(service, maker, *answer, "release");
}

http::Awaitable<void> StageRunner::ask(ServiceId service, MemoryQuery question)
{
    const auto answer =
        co_await m_pool.call(question.address, m_protocol.writeMemoryQuestion(), kQuestionTimeout, kMaxShortAnswer);
    if (answer.ok()) {
        takeNotices(service, question.address, *answer, "memory");
    }
    const auto free = answer.ok() ? m_protocol.readFreeMemory(answer->body()) : answer.status();
    if (!free.ok()) {
        logEvent(LogLevel::Debug, "memory-unknown").with("endpoint", question.endpoint).with(free.status());
        co_return;
    }
    logEvent(LogLevel::Info, "memory").with("endpoint", question.endpoint).with("free", *free);
    deskOf(service)->planner.recordFreeMemory(question.endpoint, *free);
    schedule(service);
}

} // namespace mimosahub
