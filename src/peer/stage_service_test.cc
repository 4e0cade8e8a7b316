// Tests two services in one process, each with its own executor thread.

#include "base/hash.h"
#include "peer/stage_codec.h"
#include "peer/stage_service.h"

#include <boost/asio.hpp>
#include <rapidcheck.h>

#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

PieceOrder order(const std::string &request)
{
    PieceOrder it;
    it.request = RequestId(request);
    it.stage = 2;
    it.pieces = 3;
    it.key = PieceKey("key");
    it.inputs = {ResultHandle("10.0.0.1:80/a"), ResultHandle("10.0.0.1:80/b")};
    it.localBytes = {{ZoneId("a"), 1000}, {ZoneId("b"), 7}};
    it.resultBytes = 60'000;
    it.rank = 17;
    return it;
}

/// One daemon: its executor thread, its service, and the calls received from peers.
class Node : public StageHandler
{
public:
    Node() : m_work(boost::asio::make_work_guard(m_io)), m_thread([this] { m_io.run(); })
    {
        RpcOptions options;
        options.listen = {"127.0.0.1", 0};
        options.outstandingCalls = 100;
        auto created = StageService::create(
            options, [this](std::function<void()> work) { boost::asio::post(m_io, std::move(work)); }, m_clock, *this);
        cr_assert(created.ok());
        service = std::move(*created);
    }
    ~Node() override
    {
        stop();
        m_work.reset();
        m_thread.join();
    }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void stop()
    {
        onThread([this] {
            pendingCallbacks.clear();
            service->stop();
        });
    }
    void onThread(const std::function<void()> &work)
    {
        std::promise<void> done;
        boost::asio::post(m_io, [&] {
            work();
            done.set_value();
        });
        done.get_future().get();
    }

    std::unique_ptr<PeerOrder> begin(const ServiceId &name, const PieceOrder &order, OrderDone done) override
    {
        struct OpenOrder : PeerOrder {
            explicit OpenOrder(Node &node) : m_node(node)
            {
            }
            ~OpenOrder() override
            {
                ++m_node.dropped;
                m_node.orderDropped.set_value();
                m_node.orderDropped = {};
            }
            Node &m_node;
        };
        services.push_back(name);
        orders.push_back(order);
        if (answersAtOnce) {
            boost::asio::post(m_io, [done] {
                done({{PieceOutcome::Done, {ResultHandle("h0"), ResultHandle("h1"), ResultHandle("h2")}},
                      {5, 2, 40ms, 200ms}});
            });
        } else {
            pendingCallbacks.push_back(done);
        }
        return std::make_unique<OpenOrder>(*this);
    }
    void release(const ServiceId &name, const std::vector<ResultHandle> &handles) override
    {
        services.push_back(name);
        released.set_value(handles);
    }
    std::vector<ServiceLoad> loads() override
    {
        return {{ServiceId("s"), {4, 3, 10ms, 100ms}}};
    }
    std::optional<TableAnswer> readTable(StoreTable table, StoreOffset from) override
    {
        if (table != StoreTable::Endpoints) {
            return std::nullopt;
        }
        return TableAnswer{{{{"k", std::string("v\0w", 3), from}, {"gone", std::nullopt, from.next()}},
                            from.next().next(),
                            false,
                            std::nullopt},
                           300ms,
                           StoreOffset(31)};
    }

    std::optional<SplitDecision> takeSplitReport(const SplitReport &report) override
    {
        reports.push_back(report);
        return reports.size() > 1
            ? std::nullopt
            : std::optional(SplitDecision{SplitPhase::RolledBack, "half of it failed", 56, {RouteId("chat")}});
    }

    QuarantineMessage takeQuarantines(const QuarantineMessage &message) override
    {
        messages.push_back(message);
        return {message.digest + 1, message.news};
    }

    void takeLeaving(const std::vector<EndpointStart> &endpoints) override
    {
        leaving = endpoints;
    }

    DutyReportAnswer takeDutyReport(const DutyReport &report) override
    {
        dutyReport = report;
        return {7, 8};
    }

    std::unique_ptr<StageService> service;
    std::vector<EndpointStart> leaving;
    DutyReport dutyReport;
    std::vector<SplitReport> reports;
    std::vector<QuarantineMessage> messages;
    std::vector<ServiceId> services;
    std::vector<PieceOrder> orders;
    std::vector<OrderDone> pendingCallbacks;
    std::promise<std::vector<ResultHandle>> released;
    std::promise<void> orderDropped;
    std::atomic<int> dropped{0};
    bool answersAtOnce = true;

private:
    SystemClock m_clock;
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace

Test(stage_service, an_order_reaches_the_peer_completely_and_its_results_return)
{
    Node caller;
    Node planner;
    std::promise<absl::StatusOr<RemoteResult>> result;
    std::unique_ptr<StageService::Call> call;
    caller.onThread([&] {
        call = caller.service->run(planner.service->address(), ServiceId("s"), order("r"), 5s,
                                   [&](auto it) { result.set_value(std::move(it)); });
    });
    const auto got = result.get_future().get();
    cr_assert(got.ok(), "%s", got.status().ToString().c_str());
    cr_assert(got->result.outcome == PieceOutcome::Done);
    cr_assert_eq(got->result.handles.size(), 3);
    cr_assert_eq(got->load.queued, 5);
    cr_assert(got->load.call == 200ms);
    planner.onThread([&] {
        const auto &seen = planner.orders.at(0);
        cr_assert(planner.services.at(0) == ServiceId("s"));
        cr_assert(seen.request == RequestId("r"));
        cr_assert(seen.inputs == order("r").inputs);
        cr_assert(seen.localBytes == order("r").localBytes);
    });
    caller.onThread([&] { call.reset(); });
}

Test(stage_service, a_report_for_duties_reaches_the_peer_whole)
{
    Node daemon;
    Node peer;
    DutyReport report{InstanceId("d1"), ZoneId("z1"), 5, true, {}, {}, 9};
    report.windows[353'445'120][WorkspaceId("shop")] = 412;
    report.windows[353'445'121] = {};
    report.loads[{ServiceId("s"), ZoneId("z2")}] = 17;
    std::promise<absl::StatusOr<DutyReportAnswer>> answered;
    daemon.onThread([&] {
        daemon.service->reportDuties(peer.service->address(), report,
                                     [&](auto answer) { answered.set_value(std::move(answer)); });
    });
    const auto answer = answered.get_future().get();
    cr_assert(answer.ok(), "%s", answer.status().ToString().c_str());
    cr_assert(answer->incarnation == 7 && answer->token == 8);
    peer.onThread([&] { cr_assert(peer.dutyReport == report); });
}

Test(stage_service, news_of_quarantines_reaches_the_peer_and_its_own_returns)
{
    Node daemon;
    Node peer;
    const auto now = SystemClock().now();
    const ContentId part{ServiceId("s"), "5c1e07a2", ContentKind::OwnPart};
    QuarantineMessage message;
    message.digest = 41;
    message.news.crashes = {{part, {EndpointId("e"), 1'700'000'000'123}, now - 5s, now - 2s, 77}};
    message.news.answers = {{part, now - 3s}};
    message.news.quarantines = {{part, {"91bd3f06"}, 3, true, 2, true, 5, now - 60s, now - 4s}};
    std::promise<absl::StatusOr<QuarantineMessage>> answered;
    daemon.onThread([&] {
        daemon.service->exchangeQuarantines(peer.service->address(), message,
                                            [&](auto answer) { answered.set_value(std::move(answer)); });
    });
    const auto answer = answered.get_future().get();
    cr_assert(answer.ok(), "%s", answer.status().ToString().c_str());
    cr_assert_eq(answer->digest, 42);
    // Times travel as ages, so that they shift by the time on the way.
    const auto isNear = [](TimePoint a, TimePoint b) { return a - b < 1s && b - a < 1s; };
    const auto &crash = answer->news.crashes.at(0);
    cr_assert(crash.content == part && crash.endpoint == message.news.crashes[0].endpoint);
    cr_assert_eq(crash.request, 77);
    cr_assert(isNear(crash.sentAt, now - 5s) && isNear(crash.crashedAt, now - 2s));
    cr_assert(isNear(answer->news.answers.at(0).answeredAt, now - 3s));
    const auto &quarantine = answer->news.quarantines.at(0);
    cr_assert(quarantine.content == part && quarantine.with == std::vector<std::string>{"91bd3f06"});
    cr_assert(quarantine.number == 3 && quarantine.ended && quarantine.trials == 2);
    cr_assert(quarantine.answeredBefore && quarantine.crashes == 5);
    cr_assert(isNear(quarantine.since, now - 60s) && isNear(quarantine.changedAt, now - 4s));
}

Test(stage_service, a_leaving_endpoint_is_told_to_a_peer)
{
    Node daemon;
    Node peer;
    const std::vector<EndpointStart> leaving = {{EndpointId("e"), 1'700'000'000'123}};
    daemon.onThread([&] { daemon.service->tellLeaving(peer.service->address(), leaving); });
    bool told = false;
    for (int n = 0; n < 100 && !told; ++n) {
        std::this_thread::sleep_for(20ms);
        peer.onThread([&] { told = peer.leaving == leaving; });
    }
    cr_assert(told);
}

Test(stage_service, a_rollout_report_reaches_the_coordinator_and_its_decision_returns)
{
    Node daemon;
    Node coordinator;
    SplitReport report;
    report.rollout = {ServiceId("s"), VersionId("v2"), RolloutRecord(9)};
    report.run = {InstanceId("d1"), 7};
    report.sends = {12, 34};
    report.elapsed = 1500ms;
    report.phase = SplitPhase::LoadTest;
    report.fault = "slow";
    report.counts[{"chat", ZoneId("any")}] = {{30, 2, 1}, {10, 5, 4}};
    std::vector<absl::StatusOr<std::optional<SplitDecision>>> answers;
    for (int i = 0; i < 2; ++i) {
        std::promise<void> answered;
        daemon.onThread([&] {
            daemon.service->reportSplit(coordinator.service->address(), report, [&](auto answer) {
                answers.push_back(std::move(answer));
                answered.set_value();
            });
        });
        answered.get_future().get();
    }
    cr_assert(answers[0].ok() && answers[0]->has_value());
    cr_assert(answers[0]->value().phase == SplitPhase::RolledBack && answers[0]->value().reason == "half of it failed");
    cr_assert_eq(answers[0]->value().targetCap, 56U);
    cr_assert(answers[0]->value().triedRoutes == std::vector{RouteId("chat")});
    cr_assert(answers[1].ok() && !answers[1]->has_value());
    coordinator.onThread([&] {
        const auto &seen = coordinator.reports.at(0);
        cr_assert(seen.rollout == report.rollout && seen.run.daemon == report.run.daemon && seen.run.incarnation == 7);
        cr_assert(seen.sends == report.sends);
        cr_assert(seen.elapsed == 1500ms && seen.phase == SplitPhase::LoadTest && seen.fault == "slow");
        cr_assert(seen.counts.at({"chat", ZoneId("any")}).to == (VersionOutcomes{10, 5, 4}));
        cr_assert(seen.counts.at({"chat", ZoneId("any")}).from == (VersionOutcomes{30, 2, 1}));
    });
}

Test(stage_service, canceling_a_call_cancels_the_order_at_the_peer)
{
    Node caller;
    Node planner;
    planner.answersAtOnce = false;
    std::unique_ptr<StageService::Call> call;
    std::atomic<bool> called = false;
    caller.onThread([&] {
        call = caller.service->run(planner.service->address(), ServiceId("s"), order("r"), 30s,
                                   [&](auto) { called = true; });
    });
    std::size_t begun = 0;
    while (begun == 0) {
        planner.onThread([&] { begun = planner.orders.size(); });
    }
    auto ended = planner.orderDropped.get_future();
    caller.onThread([&] { call.reset(); });
    ended.get();
    cr_assert_eq(planner.dropped.load(), 1);
    cr_assert(!called);
}

Test(stage_service, calls_to_a_peer_that_stops_fail)
{
    Node caller;
    std::promise<absl::StatusOr<RemoteResult>> result;
    std::unique_ptr<StageService::Call> call;
    {
        Node planner;
        planner.answersAtOnce = false;
        caller.onThread([&] {
            call = caller.service->run(planner.service->address(), ServiceId("s"), order("r"), 30s,
                                       [&](auto it) { result.set_value(std::move(it)); });
        });
        std::size_t begun = 0;
        while (begun == 0) {
            planner.onThread([&] { begun = planner.orders.size(); });
        }
    }
    cr_assert(!result.get_future().get().ok());
    caller.onThread([&] { call.reset(); });
}

Test(stage_service, releases_and_pings_arrive)
{
    Node caller;
    Node planner;
    auto released = planner.released.get_future();
    std::promise<std::vector<ServiceLoad>> loads;
    caller.onThread([&] {
        caller.service->release(planner.service->address(), ServiceId("s"), {ResultHandle("x")});
        caller.service->ping(planner.service->address(), [&](const auto &it) { loads.set_value(*it); });
    });
    cr_assert(released.get() == std::vector<ResultHandle>{ResultHandle("x")});
    const auto got = loads.get_future().get();
    cr_assert_eq(got.size(), 1);
    cr_assert(got[0].service == ServiceId("s"));
    cr_assert_eq(got[0].load.endpoints, 3);
}

Test(stage_service, a_table_is_read_from_a_peer)
{
    Node caller;
    Node peer;
    std::promise<std::optional<TableAnswer>> known;
    std::promise<std::optional<TableAnswer>> unknown;
    caller.onThread([&] {
        const auto &address = peer.service->address();
        caller.service->readTable(address, StoreTable::Endpoints, StoreOffset(7),
                                  [&](const auto &it) { known.set_value(*it); });
        caller.service->readTable(address, StoreTable::Status, StoreOffset(7),
                                  [&](const auto &it) { unknown.set_value(*it); });
    });
    const auto got = known.get_future().get();
    const auto expected = peer.readTable(StoreTable::Endpoints, StoreOffset(7));
    cr_assert(got && got->run.records == expected->run.records);
    cr_assert(got->run.next == StoreOffset(9) && got->age == 300ms);
    cr_assert(got->documents == StoreOffset(31));
    cr_assert(!unknown.get_future().get());
}

Test(stage_service, an_unreachable_peer_fails_the_call)
{
    Node caller;
    Address gone;
    {
        Node planner;
        gone = planner.service->address();
    }
    std::promise<absl::StatusOr<RemoteResult>> result;
    std::unique_ptr<StageService::Call> call;
    caller.onThread([&] {
        call = caller.service->run(gone, ServiceId("s"), order("r"), 5s, [&](auto it) { result.set_value(it); });
    });
    cr_assert(!result.get_future().get().ok());
    caller.onThread([&] { call.reset(); });
}

// Times are relative on the wire: decoded at another moment, they give the same
// durations.
Test(stage_codec, orders_are_unchanged_after_encoding_and_decoding)
{
    cr_assert(rc::check([] {
        const TimePoint written(1h);
        const TimePoint read(100h);
        auto it = order("r");
        it.pieces = *rc::gen::inRange(1, 200);
        it.rank = *rc::gen::inRange(0, 200);
        it.dueAt = written + std::chrono::microseconds(*rc::gen::inRange(-5'000'000, 5'000'000));
        it.expiresAt = written + std::chrono::microseconds(*rc::gen::inRange(0, 60'000'000));
        capnp::MallocMessageBuilder message;
        writeOrder(ServiceId("s"), it, written, message.initRoot<wire::PieceOrder>());
        const auto back = readOrder(message.getRoot<wire::PieceOrder>().asReader(), read);
        RC_ASSERT(back.pieces == it.pieces);
        RC_ASSERT(back.rank == it.rank);
        RC_ASSERT(back.dueAt - read == it.dueAt - written);
        RC_ASSERT(back.expiresAt - read == it.expiresAt - written);
        RC_ASSERT(back.inputs == it.inputs);
    }));
}

Test(stage_codec, an_unknown_outcome_counts_as_failed)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<wire::PieceOrderResult>().setOutcome(200);
    cr_assert(readResult(message.getRoot<wire::PieceOrderResult>().asReader()).outcome == PieceOutcome::Failed);
}
