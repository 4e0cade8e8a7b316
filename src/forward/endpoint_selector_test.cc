#include "forward/endpoint_selector.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const TimePoint kStart(1h);
const ServiceId kService("s");

GatewayConfiguration::Parts parts(double coldRate)
{
    GatewayConfiguration::Parts it;
    ServiceRule service;
    service.id = kService;
    service.coldTime = 3s;
    service.coldRate = coldRate;
    it.services = {service};
    return it;
}

ListedEndpoint endpoint(const std::string &id, const std::string &zone = "a", Duration coldLeft = {})
{
    ListedEndpoint it;
    it.info.id = EndpointId(id);
    it.info.service = kService;
    it.info.zone = ZoneId(zone);
    it.slots = 4;
    it.coldLeft = coldLeft;
    it.startedAtMs = 1;
    it.sequence = 1;
    return it;
}

EndpointQuery query()
{
    EndpointQuery it;
    it.service = kService;
    it.zone = ZoneId("a");
    return it;
}

std::optional<std::string> chosen(EndpointSelector &selector, const EndpointQuery &query, TimePoint now, Random &random)
{
    const auto choice = selector.choose(query, now, random);
    const auto *endpoint = std::get_if<ListedEndpoint>(&choice);
    return endpoint == nullptr ? std::nullopt : std::optional(endpoint->info.id.str());
}

} // namespace

// A cold endpoint gets at most its rate within any second from all daemons together,
// whatever each of them sends.
Test(endpoint_selector, limits_the_rate_of_a_cold_endpoint_over_all_daemons)
{
    cr_assert(rc::check([] {
        constexpr double kRate = 22;
        const GatewayConfiguration configuration(parts(kRate));
        const int daemons = *rc::gen::inRange(1, 60);
        std::vector<EndpointSelector> selectors(static_cast<std::size_t>(daemons));
        Random random(static_cast<std::uint64_t>(daemons));
        for (int i = 0; i < daemons; ++i) {
            selectors[static_cast<std::size_t>(i)].setDaemons(daemons, i);
            selectors[static_cast<std::size_t>(i)].setListing({endpoint("x", "a", 3s)}, configuration, {}, kStart);
        }
        std::vector<TimePoint> sends;
        for (auto now = kStart; now < kStart + 2900ms; now += 20ms) {
            for (auto &selector : selectors) {
                if (chosen(selector, query(), now, random)) {
                    sends.push_back(now);
                }
            }
        }
        std::size_t first = 0;
        for (std::size_t i = 0; i < sends.size(); ++i) {
            while (sends[i] - sends[first] >= 1s) {
                ++first;
            }
            RC_ASSERT(i - first + 1 <= static_cast<std::size_t>(kRate));
        }
        RC_ASSERT(sends.size() >= static_cast<std::size_t>(kRate)); // The limit is also used up.
    }));
}

Test(endpoint_selector, endpoints_of_a_reopened_zone_are_cold_for_a_while)
{
    const GatewayConfiguration configuration(parts(2));
    EndpointSelector selector;
    Random random(1);
    selector.setListing({endpoint("x")}, configuration, {ZoneId("a")}, kStart);
    cr_assert(!chosen(selector, query(), kStart, random));
    selector.setListing({endpoint("x")}, configuration, {}, kStart + 1s);
    cr_assert(chosen(selector, query(), kStart + 1s, random));
    cr_assert(chosen(selector, query(), kStart + 1s, random));
    cr_assert(!chosen(selector, query(), kStart + 1s, random));
    cr_assert(chosen(selector, query(), kStart + 3s, random));
}

Test(endpoint_selector, leaving_endpoints_get_no_requests)
{
    const GatewayConfiguration configuration(parts(0));
    EndpointSelector selector;
    Random random(1);
    auto leaving = endpoint("x");
    leaving.info.leaving = true;
    selector.setListing({leaving, endpoint("y")}, configuration, {}, kStart);
    for (int i = 0; i < 20; ++i) {
        cr_assert(*chosen(selector, query(), kStart, random) == "y");
    }
    auto excluding = query();
    excluding.exclude = {EndpointId("y")};
    cr_assert(!chosen(selector, excluding, kStart, random));
}

Test(endpoint_selector, the_least_loaded_endpoint_is_chosen)
{
    const GatewayConfiguration configuration(parts(0));
    EndpointSelector selector;
    Random random(1);
    selector.setListing({endpoint("x"), endpoint("y"), endpoint("z")}, configuration, {}, kStart);
    std::map<std::string, int> sends;
    for (int i = 0; i < 30; ++i) {
        ++sends[*chosen(selector, query(), kStart, random)];
    }
    for (const auto &[id, count] : sends) {
        cr_assert_eq(count, 10);
    }
    selector.recordLoad(EndpointId("x"), /*running=*/40, /*queued=*/0, kStart);
    for (int i = 0; i < 8; ++i) {
        cr_assert(*chosen(selector, query(), kStart, random) != "x");
    }
}

Test(endpoint_selector, a_slow_endpoint_gets_fewer_requests_and_a_trial_later)
{
    const GatewayConfiguration configuration(parts(0));
    EndpointSelector selector;
    Random random(1);
    selector.setListing({endpoint("x"), endpoint("y")}, configuration, {}, kStart);
    for (int i = 0; i < 20; ++i) {
        const auto id = *chosen(selector, query(), kStart, random);
        // The latency ratio of x is 6, that of y 1.
        selector.end(EndpointId(id), query(), SendEnd::Answered, id == "x" ? 6.0 : 1.0, kStart);
    }
    int slow = 0;
    for (int i = 0; i < 20; ++i) {
        const auto id = *chosen(selector, query(), kStart, random);
        slow += id == "x" ? 1 : 0;
        selector.end(EndpointId(id), query(), SendEnd::Answered, std::nullopt, kStart);
    }
    cr_assert_eq(slow, 0);
    for (int i = 0; i < 20; ++i) {
        const auto id = *chosen(selector, query(), kStart + 30s, random);
        slow += id == "x" ? 1 : 0;
        selector.end(EndpointId(id), query(), SendEnd::Answered, std::nullopt, kStart + 30s);
    }
    cr_assert(slow > 0);
}

Test(endpoint_selector, an_unreachable_endpoint_is_paused_but_not_after_one_lost_response)
{
    const GatewayConfiguration configuration(parts(0));
    EndpointSelector selector;
    Random random(1);
    selector.setListing({endpoint("x"), endpoint("y")}, configuration, {}, kStart);
    auto onlyX = query();
    onlyX.exclude = {EndpointId("y")};
    static_cast<void>(chosen(selector, onlyX, kStart, random));
    selector.end(EndpointId("x"), onlyX, SendEnd::Lost, std::nullopt, kStart);
    std::set<std::string> seen;
    for (int i = 0; i < 10; ++i) {
        const auto id = *chosen(selector, query(), kStart, random);
        seen.insert(id);
        selector.end(EndpointId(id), query(), SendEnd::Dropped, std::nullopt, kStart);
    }
    cr_assert_eq(seen.size(), 2);
    static_cast<void>(chosen(selector, onlyX, kStart, random));
    selector.end(EndpointId("x"), onlyX, SendEnd::Unreachable, std::nullopt, kStart);
    for (int i = 0; i < 10; ++i) {
        cr_assert(*chosen(selector, query(), kStart + 100ms, random) == "y");
    }
    // No other endpoint is left: a paused one is better than none.
    cr_assert(*chosen(selector, onlyX, kStart + 100ms, random) == "x");
    // After its pause, an endpoint at first gets only requests that may be sent again;
    // others still go to y.
    auto once = query();
    once.retryable = false;
    for (int i = 0; i < 10; ++i) {
        cr_assert(*chosen(selector, once, kStart + 10s, random) == "y");
    }
}

// Streams wait at an endpoint that has fallen silent: new ones must not join them.
Test(endpoint_selector, an_endpoint_at_which_several_sends_are_silent_is_paused)
{
    const GatewayConfiguration configuration(parts(0));
    EndpointSelector selector;
    Random random(1);
    selector.setListing({endpoint("x"), endpoint("y", "b")}, configuration, {}, kStart);
    cr_assert(chosen(selector, query(), kStart, random) == "x");
    selector.recordSilence(EndpointId("x"), kStart);
    auto onlyX = query();
    onlyX.exclude = {EndpointId("y")};
    cr_assert(chosen(selector, onlyX, kStart, random) == "x");
    selector.recordSilence(EndpointId("x"), kStart);
    cr_assert(chosen(selector, query(), kStart, random) == "y");
    cr_assert(chosen(selector, query(), kStart, random) == "y");
    selector.recordSilence(EndpointId("unknown"), kStart);
}

Test(endpoint_selector, a_query_for_one_endpoint_gets_that_one_or_none)
{
    const GatewayConfiguration configuration(parts(0));
    EndpointSelector selector;
    Random random(1);
    selector.setListing({endpoint("x"), endpoint("y", "b")}, configuration, {}, kStart);
    auto onlyY = query();
    onlyY.only = EndpointId("y");
    cr_assert(chosen(selector, onlyY, kStart, random) == "y");
    selector.setListing({endpoint("x")}, configuration, {}, kStart);
    cr_assert(!chosen(selector, onlyY, kStart, random));
}

Test(endpoint_selector, requests_with_one_prompt_share_an_endpoint_up_to_a_load_bound)
{
    const GatewayConfiguration configuration(parts(0));
    EndpointSelector a;
    EndpointSelector b;
    Random random(1);
    std::vector<ListedEndpoint> endpoints;
    endpoints.reserve(5);
    for (int i = 0; i < 5; ++i) {
        endpoints.push_back(endpoint("e" + std::to_string(i)));
    }
    a.setListing(endpoints, configuration, {}, kStart);
    b.setListing(endpoints, configuration, {}, kStart);
    auto it = query();
    it.affinity = "session";
    const auto first = *chosen(a, it, kStart, random);
    cr_assert(*chosen(b, it, kStart, random) == first);
    cr_assert(a.preferred(it, kStart)->id == EndpointId(first));
    std::set<std::string> seen;
    for (int i = 0; i < 20; ++i) {
        seen.insert(*chosen(a, it, kStart, random));
    }
    cr_assert(seen.size() > 1);
}

Test(endpoint_selector, an_error_rate_above_the_service_s_moves_requests_away)
{
    const GatewayConfiguration configuration(parts(0));
    EndpointSelector selector;
    Random random(1);
    selector.setListing({endpoint("x"), endpoint("y"), endpoint("z")}, configuration, {}, kStart);
    int toFailing = 0;
    for (int i = 0; i < 300; ++i) {
        const auto id = *chosen(selector, query(), kStart, random);
        toFailing += i >= 200 && id == "x" ? 1 : 0;
        const bool fault = id == "x" ? i % 2 == 0 : i % 10 == 0;
        selector.end(EndpointId(id), query(), fault ? SendEnd::ServerError : SendEnd::Answered, 1.0, kStart);
    }
    cr_assert(toFailing < 15, "%d", toFailing);
}

Test(endpoint_selector, distinguishes_overload_from_no_endpoint)
{
    const GatewayConfiguration configuration(parts(1));
    EndpointSelector selector;
    Random random(1);
    const auto none = selector.choose(query(), kStart, random);
    cr_assert(std::get<NoEndpointChosen>(none).reason == Reason::NoEndpoint);
    selector.setListing({endpoint("x", "a", 3s)}, configuration, {}, kStart);
    cr_assert(chosen(selector, query(), kStart, random));
    const auto full = selector.choose(query(), kStart, random);
    cr_assert(std::get<NoEndpointChosen>(full).reason == Reason::Overloaded);
}

// The last entry of a service decided how loaded all of its endpoints seemed.
Test(endpoint_selector, one_entry_with_odd_slots_changes_no_other_endpoint)
{
    EndpointSelector selector;
    const GatewayConfiguration configuration(parts(0));
    auto odd = endpoint("z");
    odd.slots = 1'000'000;
    odd.info.leaving = true;
    auto small = endpoint("small");
    small.slots = 2;
    auto large = endpoint("large");
    large.slots = 200;
    selector.setListing({large, odd, small}, configuration, {}, kStart);
    Random random(7);
    std::map<std::string, int> sends;
    for (int i = 0; i < 101; ++i) {
        ++sends[*chosen(selector, query(), kStart, random)];
    }
    cr_assert(sends["small"] >= 1 && sends["small"] <= 2, "%d", sends["small"]);
}

// What it reported was dropped until the next change of the list.
Test(endpoint_selector, the_load_of_an_endpoint_counts_after_it_changed_its_service)
{
    EndpointSelector selector;
    const auto configuration = parts(0);
    for (const auto *before : {"r", "z"}) { // In order, before and after the new service.
        auto moved = endpoint("moved");
        moved.info.service = ServiceId(before);
        selector.setListing({moved, endpoint("still")}, GatewayConfiguration(configuration), {}, kStart);
        selector.setListing({endpoint("moved"), endpoint("still")}, GatewayConfiguration(configuration), {}, kStart);
        selector.recordLoad(EndpointId("moved"), 3, 50, kStart);
        Random random(7);
        for (int i = 0; i < 4; ++i) {
            cr_assert(*chosen(selector, query(), kStart, random) == "still", "%s", before);
        }
    }
}

Test(endpoint_selector, chooses_a_paused_endpoint_only_where_it_is_allowed)
{
    EndpointSelector selector;
    Random random(1);
    selector.setListing({endpoint("x")}, GatewayConfiguration(parts(0)), {}, kStart);
    cr_assert(chosen(selector, query(), kStart, random));
    selector.end(EndpointId("x"), query(), SendEnd::Unreachable, std::nullopt, kStart);
    auto unpaused = query();
    unpaused.allowPaused = false;
    cr_assert(!chosen(selector, unpaused, kStart + 100ms, random));
    cr_assert(chosen(selector, query(), kStart + 100ms, random));
    cr_assert(chosen(selector, unpaused, kStart + 400ms, random));
}

Test(endpoint_selector, an_endpoint_that_leaves_or_whose_zone_is_closed_is_not_usable)
{
    EndpointSelector selector;
    const GatewayConfiguration configuration(parts(0));
    const EndpointId id("x");
    cr_assert_not(selector.isUsable(id));
    auto it = endpoint("x");
    selector.setListing({it}, configuration, {}, kStart);
    cr_assert(selector.isUsable(id));
    selector.setListing({it}, configuration, {ZoneId("a")}, kStart);
    cr_assert_not(selector.isUsable(id));
    it.info.leaving = true;
    selector.setListing({it}, configuration, {}, kStart);
    cr_assert_not(selector.isUsable(id));
}

// Each look at a cold endpoint that led to no send used up one of its sends.
Test(endpoint_selector, a_choice_that_is_taken_back_leaves_a_cold_endpoint_its_rate)
{
    EndpointSelector selector;
    Random random(1);
    selector.setListing({endpoint("x", "a", 3s)}, GatewayConfiguration(parts(2)), {}, kStart);
    for (int i = 0; i < 5; ++i) {
        cr_assert(chosen(selector, query(), kStart + i * 1ms, random));
        selector.cancel(EndpointId("x"), query(), kStart + i * 1ms);
    }
    cr_assert_eq(selector.inFlight(kService), 0);
    cr_assert(chosen(selector, query(), kStart + 10ms, random));
    cr_assert(chosen(selector, query(), kStart + 11ms, random));
    cr_assert(!chosen(selector, query(), kStart + 12ms, random));
}

// Several refusals may be on their way when the first one is read: the longest rest counts.
Test(endpoint_selector, an_endpoint_that_wants_a_rest_gets_nothing_until_it_is_over)
{
    const GatewayConfiguration configuration(parts(0));
    EndpointSelector selector;
    Random random(1);
    selector.setListing({endpoint("x"), endpoint("y")}, configuration, {}, kStart);
    const auto resting = startOf(endpoint("x"));
    selector.recordRest(resting, kStart + 3s);
    selector.recordRest(resting, kStart + 1s);
    cr_expect(not selector.restOf(query().service, kStart).has_value());
    cr_expect(not selector.mayCall(EndpointId("x"), kStart + 2s));
    for (int i = 0; i < 20; ++i) {
        cr_assert(*chosen(selector, query(), kStart + 2s, random) == "y");
    }
    auto onlyX = query();
    onlyX.exclude = {EndpointId("y")};
    cr_expect(!chosen(selector, onlyX, kStart + 2s, random));
    cr_expect(chosen(selector, onlyX, kStart + 3s, random) == "x");
}

Test(endpoint_selector, while_all_rest_the_time_to_come_back_is_that_of_the_first)
{
    const GatewayConfiguration configuration(parts(0));
    EndpointSelector selector;
    Random random(1);
    selector.setListing({endpoint("x"), endpoint("y")}, configuration, {}, kStart);
    selector.recordRest(startOf(endpoint("x")), kStart + 7s);
    selector.recordRest(startOf(endpoint("y")), kStart + 4s);
    const auto choice = selector.choose(query(), kStart + 1s, random);
    const auto *none = std::get_if<NoEndpointChosen>(&choice);
    cr_assert(none != nullptr);
    cr_expect(none->resting && none->reason == Reason::Overloaded);
    cr_expect(none->retryAfter == Duration(3s));
}

Test(endpoint_selector, a_new_start_of_an_endpoint_has_asked_for_no_rest)
{
    const GatewayConfiguration configuration(parts(0));
    EndpointSelector selector;
    Random random(1);
    selector.setListing({endpoint("x")}, configuration, {}, kStart);
    selector.recordRest(startOf(endpoint("x")), kStart + 60s);
    auto restarted = endpoint("x");
    restarted.startedAtMs += 1;
    selector.setListing({restarted}, configuration, {}, kStart + 1s);
    selector.recordRest(startOf(endpoint("x")), kStart + 60s); // A late word of the start before.
    cr_expect(chosen(selector, query(), kStart + 1s, random) == "x");
}

// All daemons come back at about the same time: together they send no more than a cold one bears.
Test(endpoint_selector, after_its_rest_an_endpoint_gets_no_more_than_a_cold_one)
{
    const GatewayConfiguration configuration(parts(2));
    EndpointSelector selector;
    Random random(1);
    selector.setListing({endpoint("x")}, configuration, {}, kStart);
    selector.recordRest(startOf(endpoint("x")), kStart + 1s);
    int sends = 0;
    for (int i = 0; i < 20; ++i) {
        sends += chosen(selector, query(), kStart + 1s, random) ? 1 : 0;
    }
    cr_expect_eq(sends, 2);
    cr_expect(chosen(selector, query(), kStart + 2s, random).has_value());
}
