#include "route/endpoint_chooser.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>
#include <list>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const ServiceId kService("rerank");
const TimePoint kNow(1h);

EndpointRow row(int n, const char *zone, const char *version = "v1")
{
    EndpointRow result;
    result.info = {EndpointId("e" + std::to_string(n)), kService, ZoneId(zone), VersionId(version), {}, false};
    result.state = EndpointState::Warm;
    result.limit = 16;
    result.allowed = 16;
    result.callTime = 50ms;
    return result;
}

ChoiceRequest request()
{
    ChoiceRequest result;
    result.service = kService;
    result.zone = ZoneId("z0");
    return result;
}

std::vector<EndpointRow> anyRows()
{
    static const char *const zones[] = {"z0", "z1", "z2"};
    static const double factors[] = {0.0, 0.5, 1.0};
    const auto order = *rc::gen::inRange(0, 27);
    std::vector<EndpointRow> rows;
    const int count = *rc::gen::inRange(0, 25);
    for (int n = 0; n < count; ++n) {
        const int zone = *rc::gen::inRange(0, 3);
        auto it = row(n, zones[zone], *rc::gen::arbitrary<bool>() ? "v1" : "v2");
        it.zoneFactor = factors[(zone == 0 ? order : zone == 1 ? order / 3 : order / 9) % 3];
        it.state = static_cast<EndpointState>(*rc::gen::inRange(0, 6));
        it.limit = *rc::gen::inRange(0, 5);
        it.allowed = *rc::gen::inRange(0, 5);
        it.probe = *rc::gen::arbitrary<bool>();
        it.drained = *rc::gen::inRange(0, 5) == 0;
        it.info.leaving = *rc::gen::inRange(0, 8) == 0;
        it.callTime = std::chrono::milliseconds(*rc::gen::inRange(1, 500));
        rows.push_back(std::move(it));
    }
    return rows;
}

// Independent implementation of the rules.
bool mayTake(const EndpointRow &row, const ChoiceRequest &request, int inFlight)
{
    if (row.zoneFactor == 0.0 || row.drained || row.info.leaving) {
        return false;
    }
    switch (row.state) {
    case EndpointState::Cold:
    case EndpointState::Warming:
    case EndpointState::Warm:
        return inFlight < row.limit && inFlight < row.allowed;
    case EndpointState::Failing:
        return request.mayProbe && row.probe && row.allowed > 0 && inFlight == 0;
    default:
        return false;
    }
}

} // namespace

// Chooses until no endpoint accepts a call, and compares with a scan of all rows.
Test(endpoint_chooser, agrees_with_an_exhaustive_search)
{
    cr_assert(rc::check([] {
        const auto rows = anyRows();
        const EndpointTable table(rows);
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        LeastWaitPolicy policy;
        auto choiceRequest = request();
        choiceRequest.mayProbe = *rc::gen::arbitrary<bool>();
        if (*rc::gen::arbitrary<bool>()) {
            choiceRequest.prefixHash = 42;
            choiceRequest.prefixSaving = 1s;
        }
        std::map<EndpointId, int> inFlight;
        std::list<InFlightSlot> slots;
        for (;;) {
            auto choice = policy.choose(table, choiceRequest, kNow, random);
            auto *chosen = std::get_if<Chosen>(&choice);
            if (chosen == nullptr) {
                break;
            }
            const auto it = std::find_if(rows.begin(), rows.end(),
                                         [&](const auto &row) { return row.info.id == chosen->endpoint.id; });
            RC_ASSERT(mayTake(*it, choiceRequest, inFlight[it->info.id]));
            ++inFlight[it->info.id];
            slots.push_back(std::move(chosen->slot));
            RC_ASSERT(it->inFlight->value() == inFlight[it->info.id]);
        }
        for (const auto &row : rows) {
            RC_ASSERT(!mayTake(row, choiceRequest, inFlight[row.info.id]));
        }
        slots.clear();
        for (const auto &row : rows) {
            RC_ASSERT(row.inFlight->value() == 0);
        }
    }));
}

Test(endpoint_chooser, a_full_old_version_does_not_push_traffic_to_the_new_one)
{
    auto choiceRequest = request();
    choiceRequest.versions = {{VersionId("v1"), 0.95}, {VersionId("v2"), 0.05}};
    auto full = row(0, "z0", "v1");
    full.allowed = 0;
    const EndpointTable table({full, row(1, "z0", "v2")});
    Random random(1);
    LeastWaitPolicy policy;
    int newVersion = 0;
    const int choices = 20'000;
    for (int n = 0; n < choices; ++n) {
        newVersion += std::holds_alternative<Chosen>(policy.choose(table, choiceRequest, kNow, random));
    }
    // Four standard deviations around the mean of 1,000.
    cr_expect(newVersion > 877 && newVersion < 1'123, "%d", newVersion);
}

Test(endpoint_chooser, prefers_the_near_zone_unless_its_wait_costs_more)
{
    std::vector<EndpointRow> rows = {row(0, "z0"), row(1, "z1")};
    const auto chosenZone = [&] {
        Random random(1);
        auto choice = LeastWaitPolicy().choose(EndpointTable(rows), request(), kNow, random);
        return std::get<Chosen>(choice).endpoint.zone;
    };
    cr_expect(chosenZone() == ZoneId("z0"));
    rows[0].report = QueueReport{kNow, 1, 0}; // A wait of 3 ms.
    cr_expect(chosenZone() == ZoneId("z1"));
    rows[0].report->takenAt = kNow - 3s; // Too old to count for much.
    cr_expect(chosenZone() == ZoneId("z0"));
}

Test(endpoint_chooser, follows_a_report_no_longer_than_its_calls_last)
{
    auto busy = row(0, "z0");
    busy.limit = 8;
    const auto waitAt = [&](int calls, Duration age) {
        busy.report = QueueReport{kNow - age, calls, 0};
        return expectedWait(busy, kNow).count();
    };
    const auto callTime = busy.callTime;
    cr_expect(waitAt(8, 0s) > 0);
    // Most of the reported calls have ended, and the new ones are unknown.
    cr_expect(waitAt(8, callTime) < waitAt(8, 0s) / 2);
    cr_expect(waitAt(8, 3 * callTime) < waitAt(8, 0s) / 10);
    // A long queue takes longer to drain.
    cr_expect(waitAt(32, 3 * callTime) > waitAt(32, 0s) / 4);
}

Test(endpoint_chooser, keeps_a_prefix_together_within_the_load_bound)
{
    cr_assert(rc::check([] {
        std::vector<EndpointRow> rows;
        rows.reserve(10);
        for (int n = 0; n < 10; ++n) {
            rows.push_back(row(n, "z0"));
        }
        const EndpointTable table(rows);
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        LeastWaitPolicy policy;
        auto choiceRequest = request();
        choiceRequest.prefixHash = *rc::gen::arbitrary<std::uint64_t>();
        choiceRequest.prefixSaving = 1s;
        const auto first = std::get<Chosen>(policy.choose(table, choiceRequest, kNow, random)).endpoint.id;
        RC_ASSERT(std::get<Chosen>(policy.choose(table, choiceRequest, kNow, random)).endpoint.id == first);
        std::list<InFlightSlot> slots;
        for (int n = 1; n <= 150; ++n) {
            auto choice = policy.choose(table, choiceRequest, kNow, random);
            slots.push_back(std::move(std::get<Chosen>(choice).slot));
            for (const auto &it : rows) {
                RC_ASSERT(it.inFlight->value() <= std::ceil(1.25 * n / 10));
            }
        }
    }));
}

Test(cache_hints, forgets_an_endpoint_after_a_gap)
{
    using Kind = CacheEvent::Kind;
    CacheHints hints({});
    const EndpointId a("a");
    const EndpointId b("b");
    hints.apply({a, 1, Kind::Stored, 10}, kNow);
    hints.apply({a, 2, Kind::Stored, 11}, kNow);
    hints.apply({b, 1, Kind::Stored, 12}, kNow);
    cr_expect(hints.holder(10, kNow) == a);
    cr_expect(!hints.holder(10, kNow + 1h));
    hints.apply({a, 3, Kind::Evicted, 11}, kNow);
    cr_expect(!hints.holder(11, kNow));
    hints.apply({a, 5, Kind::Stored, 13}, kNow);
    cr_expect(!hints.holder(10, kNow));
    cr_expect(hints.holder(13, kNow) == a);
    cr_expect(hints.holder(12, kNow) == b);
}
