#include "daemon/operator_views.h"

#include "control/control_testing.h"

#include <boost/json.hpp>
#include <rapidcheck.h>

#include <criterion/criterion.h>
#include <map>

using namespace mimosahub;

namespace
{

namespace json = boost::json;

/// State of each order by what it concerns, as the accepted records say.
class OrderReference
{
public:
    void take(const AppliedBatch &applied, std::string_view data)
    {
        const auto batch = decodeBatch(data);
        for (std::size_t i = 0; batch.ok() && i < applied.verdicts.size(); ++i) {
            if (applied.verdicts[i].accepted() && batch->records[i].ok()) {
                std::visit([&](const auto &it) { accepted(it, applied.verdicts[i].position); }, *batch->records[i]);
            }
        }
    }
    [[nodiscard]] const std::map<std::string, std::string> &states() const
    {
        return m_states;
    }

private:
    void set(const std::string &name, bool on)
    {
        if (on) {
            m_states[name] = "lasting";
        } else {
            m_states.erase(name);
        }
    }
    void accepted(const ZoneOrder &it, RecordPosition /*position*/)
    {
        set("zone-out " + it.zone.str(), it.out);
    }
    void accepted(const DrainOrder &it, RecordPosition /*position*/)
    {
        set("drain " + it.endpoint.str(), it.on);
    }
    void accepted(const RolloutStart &it, RecordPosition /*position*/)
    {
        m_states["rollout " + it.service.str()] = "lasting";
    }
    void accepted(const RolloutAbort &it, RecordPosition /*position*/)
    {
        m_states["rollout " + it.service.str()] = "aborted";
    }
    void accepted(const RolloutRollback &it, RecordPosition /*position*/)
    {
        m_states["rollout " + it.service.str()] = "taken-back";
    }
    void accepted(const RolloutDone &it, RecordPosition /*position*/)
    {
        m_states["rollout " + it.service.str()] = "done";
    }
    void accepted(const EndpointOrder & /*it*/, RecordPosition position)
    {
        m_states["change-role " + std::to_string(position.offset.value())] = "pending";
    }
    void accepted(const EndpointOrderDone &it, RecordPosition /*position*/)
    {
        m_states["change-role " + std::to_string(it.order.offset.value())] = it.succeeded ? "done" : "rejected";
    }
    template<typename T>
    void accepted(const T & /*it*/, RecordPosition /*position*/)
    {
    }

    std::map<std::string, std::string> m_states;
};

std::string subjectOf(const json::object &order)
{
    const auto name = json::value_to<std::string>(order.at("order"));
    if (name == "zone-out") {
        return name + " " + json::value_to<std::string>(order.at("zone"));
    }
    if (name == "drain") {
        return name + " " + json::value_to<std::string>(order.at("endpoint"));
    }
    if (name == "rollout") {
        return name + " " + json::value_to<std::string>(order.at("service"));
    }
    return name + " " + std::to_string(order.at("offset").to_number<std::uint64_t>());
}

constexpr std::int64_t kBeginMs = 1'000;
constexpr std::int64_t kDueMs = 61'000;

/// Control state with a service and an active rollout of it.
ControlState stateWithRollout()
{
    Publish publish;
    publish.operatorName = "thandi";
    publish.changes.push_back({{ObjectKind::Profile, "standard"}, Offset(0), R"({"deadline":"2s"})"});
    publish.changes.push_back(
        {{ObjectKind::Service, "engine"},
         Offset(0),
         R"({"kind":"plain","profile":"standard","typical_time":"8ms","calls":[{"name":"ask","idempotent":true}]})"});
    RolloutStart start;
    start.service = ServiceId("engine");
    start.fromVersion = VersionId("v1");
    start.toVersion = VersionId("v2");
    start.begin = WallTime(std::chrono::milliseconds(kBeginMs));
    start.due = WallTime(std::chrono::milliseconds(kDueMs));
    start.operatorName = "thandi";
    ControlState state;
    BatchHeader header;
    header.writer = InstanceId("hub-1");
    header.incarnation = Incarnation(1);
    header.sequence = Sequence(1);
    const std::vector<std::string> records = {encodeRecord(publish), encodeRecord(start)};
    const auto applied = state.apply(Offset(1), encodeBatch(header, records));
    cr_assert(applied.ok());
    for (const auto &verdict : applied->verdicts) {
        cr_assert(verdict.accepted(), "%s", verdict.message.c_str());
    }
    return state;
}

const Chart &zoneChart()
{
    std::vector<Problem> problems;
    static const auto chart = Chart::load("charts/zone.json", zoneVocabulary(), problems);
    cr_assert(chart.ok());
    return *chart;
}

/// A rollout that lacks outcomes on one of two routes.
RolloutSummary lateSummary(const ControlState &state)
{
    RolloutSummary summary;
    summary.service = ServiceId("engine");
    summary.position = state.rollouts().latest(summary.service)->position;
    summary.verdict.state = RolloutState::Held;
    summary.verdict.share = 0.01;
    summary.verdict.reason = "needs about 38 more outcomes on ask in zone b";
    summary.verdict.projectedDone = WallTime(std::chrono::milliseconds(2 * kDueMs));
    summary.verdict.willMissDue = true;
    summary.outcomes[{"ask", ZoneId("a")}] = {{900, 3, 90}, {50, 1, 4}};
    summary.outcomes[{"ask", ZoneId("b")}] = {{200, 0, 20}, {12, 0, 1}};
    return summary;
}

const std::string kLateText = "will miss its time, because it needs about 38 more outcomes on ask in zone b";

} // namespace

Test(operator_views, orders_are_those_that_were_accepted_and_pending_until_in_force)
{
    cr_assert(rc::check([] {
        const HistoryBuilder history(*genChoices());
        ControlState state;
        OrderReference reference;
        for (std::size_t i = 0; i < history.log().size(); ++i) {
            const auto applied = state.apply(Offset(i + 1), history.log()[i]);
            RC_ASSERT(applied.ok());
            reference.take(*applied, history.log()[i]);
        }
        const Offset known(*rc::gen::inRange<std::uint64_t>(0, history.log().size() + 1));
        const auto view = ordersView(state, [&](Offset offset) { return offset <= known; }, WallTime(), {});
        RC_ASSERT(view.at("applied").to_number<std::uint64_t>() == state.appliedOffset().value());
        std::map<std::string, std::string> shown;
        std::uint64_t last = 0;
        for (const auto &value : view.at("orders").as_array()) {
            const auto &order = value.as_object();
            const auto offset = order.at("offset").to_number<std::uint64_t>();
            RC_ASSERT(offset >= last);
            last = offset;
            auto name = json::value_to<std::string>(order.at("state"));
            if (order.at("order") != "change-role" && (name == "pending" || name == "in-force")) {
                RC_ASSERT((name == "in-force") == (Offset(offset) <= known));
                name = "lasting";
            }
            shown[subjectOf(order)] = name;
        }
        RC_ASSERT(shown == reference.states());
    }));
}

Test(operator_views, a_rollout_that_will_miss_its_time_says_so_before_and_after)
{
    const auto state = stateWithRollout();
    const auto summary = lateSummary(state);
    const auto detailAt = [&](std::int64_t ms, const std::vector<RolloutSummary> &rollouts) {
        const WallTime now{std::chrono::milliseconds(ms)};
        const auto view = ordersView(
            state, [](Offset) { return true; }, now, rollouts);
        const auto &order = view.at("orders").as_array().at(0).as_object();
        cr_assert(order.at("state") == "in-force");
        const auto *detail = order.if_contains("detail");
        return detail == nullptr ? std::string() : json::value_to<std::string>(*detail);
    };
    cr_assert_eq(detailAt(kBeginMs, {summary}), kLateText);
    cr_assert_eq(detailAt(kDueMs, {summary}),
                 "not done by its due time, because it needs about 38 more outcomes on ask in zone b");
    cr_assert_eq(detailAt(kBeginMs, {}), "");
    cr_assert_eq(detailAt(kDueMs, {}), "not done by its due time");
    auto earlier = summary;
    earlier.position.offset = Offset(7); // Of a rollout that has ended.
    cr_assert_eq(detailAt(kBeginMs, {earlier}), "");
    const auto late = lateRollouts(state, WallTime(std::chrono::milliseconds(kBeginMs)), {summary});
    cr_assert_eq(late.size(), 1);
    cr_assert_eq(json::value_to<std::string>(late.at(0).at("detail")), kLateText);
    cr_assert(lateRollouts(state, WallTime(std::chrono::milliseconds(kBeginMs)), {}).empty());
}

Test(operator_views, an_explanation_counts_outcomes_by_version_and_route_and_in_sum)
{
    const auto state = stateWithRollout();
    const ZoneTraffic zones(zoneChart());
    const OperatorSources sources{InstanceId("hub-1"), state, zones, {}, {}, {}, {}, {lateSummary(state)}, {}, {}};
    const auto body = explainService(sources, ServiceId("engine"));
    cr_assert(body.has_value());
    const auto &rollout = body->at("rollouts").as_array().at(0).as_object();
    cr_assert(rollout.at("new").at("finished") == 62);
    cr_assert(rollout.at("old").at("failed") == 3);
    cr_assert_eq(rollout.at("routes").as_array().size(), 2);
    std::string text;
    for (const auto &line : body->at("lines").as_array()) {
        text += json::value_to<std::string>(line.at("text")) + "\n";
    }
    for (const auto *expected :
         {"now held with 1% for v2: will miss its time, because it needs about 38 more outcomes on ask in zone b",
          "outcomes over all daemons: v1 finished 1100, failed 3, slow 110; v2 finished 62, failed 1, slow 5",
          "route ask in zone b: v1 finished 200, failed 0, slow 20; v2 finished 12, failed 0, slow 1"}) {
        cr_assert(text.find(expected) != std::string::npos, "%s is not in\n%s", expected, text.c_str());
    }
}
