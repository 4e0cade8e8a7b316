#include "forward/batch_planner.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const TimePoint kStart(1h);

BatchRule rule(int maxPieces = 8, std::uint64_t memory = 0)
{
    BatchRule it;
    it.slots = 1;
    it.maxPieces = maxPieces;
    it.callTime = 150ms;
    it.pieceTime = 10ms;
    it.resultBytes = memory;
    it.resultLifetime = 4s;
    return it;
}

ListedEndpoint endpoint(const std::string &id, const std::string &zone = "a")
{
    ListedEndpoint it;
    it.info.id = EndpointId(id);
    it.info.zone = ZoneId(zone);
    it.info.address = {id, 80};
    it.startedAtMs = 1;
    return it;
}

PieceOrder order(const std::string &request, int pieces)
{
    PieceOrder it;
    it.request = RequestId(request);
    it.pieces = pieces;
    it.dueAt = kStart + 2s;
    it.expiresAt = kStart + 10s;
    return it;
}

/// Results for all pieces of \a call.
std::vector<PieceResult> done(const BatchCall &call)
{
    std::vector<PieceResult> results;
    for (const auto &piece : call.pieces) {
        results.push_back({PieceOutcome::Done,
                           ResultHandle(piece.request.str() + "/" + std::to_string(piece.piece) + "@"
                                        + call.endpoint.info.id.str() + "#" + std::to_string(call.id.value()))});
    }
    return results;
}

} // namespace

// Random event sequences, checked against a simple model of open orders and running calls.
Test(batch_planner, completes_each_order_once_within_all_limits)
{
    cr_assert(rc::check([] {
        constexpr std::uint64_t kMemory = 10;
        auto now = kStart;
        BatchPlanner planner(rule(4, kMemory), {});
        std::vector<ListedEndpoint> endpoints = {endpoint("x"), endpoint("y", "b")};
        planner.setEndpoints(endpoints);
        std::map<PieceOrderId, PieceOrder> open;
        std::map<BatchCallId, BatchCall> calls;
        std::map<std::string, std::uint64_t> bytesOf; // Memory of each result, by handle.
        int added = 0;
        for (int step = 0; step < 80; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 120));
            const int event = *rc::gen::inRange(0, 10);
            if (event < 4) {
                auto it = order("r" + std::to_string(++added), *rc::gen::inRange(1, 7));
                it.resultBytes = *rc::gen::element<std::uint64_t>(0, 1, 3);
                it.rank = *rc::gen::inRange(0, 3);
                it.dueAt = now + std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
                it.expiresAt = it.dueAt + 3s;
                it.localBytes[ZoneId("b")] = *rc::gen::element<std::uint64_t>(0, 5'000'000);
                open[planner.add(it)] = it;
            } else if (event == 4 && !open.empty()) {
                const auto id = open.begin()->first;
                open.erase(id);
                planner.cancel(id);
            } else if (event == 5) {
                endpoints[1].info.leaving = !endpoints[1].info.leaving;
                planner.setEndpoints(endpoints);
            } else if (!calls.empty()) {
                const auto call = calls.begin()->second;
                calls.erase(calls.begin());
                if (event == 6) {
                    planner.failed(call.id,
                                   *rc::gen::element(BatchFailure::NotRun, BatchFailure::Lost, BatchFailure::BrokenOff),
                                   now);
                } else {
                    auto results = done(call);
                    if (event == 7) {
                        results[0] = {*rc::gen::element(PieceOutcome::MemoryFull, PieceOutcome::Failed), {}};
                    }
                    planner.ended(call.id, results, now);
                }
            }
            for (const auto &call : planner.takeCalls(now)) {
                RC_ASSERT(call.pieces.size() <= 4U);
                RC_ASSERT(!call.endpoint.info.leaving);
                for (const auto &[id, other] : calls) {
                    RC_ASSERT(other.endpoint.info.id != call.endpoint.info.id); // Each endpoint has one slot.
                    for (const auto &a : other.pieces) {
                        for (const auto &b : call.pieces) {
                            RC_ASSERT(a.request != b.request || a.piece != b.piece);
                        }
                    }
                }
                calls[call.id] = call;
            }
            for (const auto &ended : planner.takeEnded()) {
                const auto it = open.find(ended.id);
                RC_ASSERT(it != open.end()); // An order ends once, and not after it was cancelled.
                if (ended.result.outcome == PieceOutcome::Done) {
                    RC_ASSERT(ended.result.handles.size() == static_cast<std::size_t>(it->second.pieces));
                    for (int i = 0; i < it->second.pieces; ++i) {
                        const auto prefix = it->second.request.str() + "/" + std::to_string(i) + "@";
                        RC_ASSERT(ended.result.handles[static_cast<std::size_t>(i)].str().starts_with(prefix));
                    }
                    static_cast<void>(planner.release(ended.result.handles));
                }
                open.erase(it);
            }
        }
    }));
}

Test(batch_planner, pieces_accumulate_while_all_endpoints_are_busy)
{
    BatchPlanner planner(rule(), {});
    planner.setEndpoints({endpoint("x")});
    planner.add(order("a", 2));
    const auto first = planner.takeCalls(kStart);
    cr_assert_eq(first.size(), 1);
    cr_assert_eq(first[0].pieces.size(), 2);
    planner.add(order("b", 3));
    planner.add(order("c", 4));
    cr_assert(planner.takeCalls(kStart + 10ms).empty());
    planner.ended(first[0].id, done(first[0]), kStart + 170ms);
    const auto second = planner.takeCalls(kStart + 170ms);
    cr_assert_eq(second.size(), 1);
    cr_assert_eq(second[0].pieces.size(), 7);
    cr_assert_eq(planner.takeEnded().size(), 1);
}

// An order that does not fit as a whole waits, and smaller orders after it fill the call.
Test(batch_planner, orders_are_not_split_unless_they_exceed_a_call)
{
    BatchPlanner planner(rule(8), {});
    planner.setEndpoints({endpoint("x")});
    planner.add(order("a", 6));
    planner.add(order("b", 4));
    planner.add(order("c", 2));
    const auto calls = planner.takeCalls(kStart);
    cr_assert_eq(calls.size(), 1);
    cr_assert_eq(calls[0].pieces.size(), 8);
    for (const auto &piece : calls[0].pieces) {
        cr_assert(piece.request != RequestId("b"));
    }
    BatchPlanner large(rule(8), {});
    large.setEndpoints({endpoint("x")});
    large.add(order("a", 11));
    cr_assert_eq(large.takeCalls(kStart)[0].pieces.size(), 8);
}

Test(batch_planner, orders_that_can_be_on_time_go_first_then_by_rank_and_due_time)
{
    BatchPlanner planner(rule(1), {});
    planner.setEndpoints({endpoint("x"), endpoint("y"), endpoint("z"), endpoint("w")});
    auto late = order("late", 1);
    late.dueAt = kStart + 10ms;
    auto low = order("low", 1);
    low.rank = 2;
    low.dueAt = kStart + 500ms;
    auto sooner = order("sooner", 1);
    sooner.rank = 1;
    sooner.dueAt = kStart + 600ms;
    auto later = order("later", 1);
    later.rank = 1;
    later.dueAt = kStart + 900ms;
    for (const auto &it : {late, low, later, sooner}) {
        planner.add(it);
    }
    std::vector<std::string> sequence;
    for (const auto &call : planner.takeCalls(kStart)) {
        sequence.push_back(call.pieces[0].request.str());
    }
    cr_assert(sequence == (std::vector<std::string>{"sooner", "later", "low", "late"}));
}

Test(batch_planner, results_never_exceed_an_endpoint_s_memory)
{
    BatchPlanner planner(rule(8, 10), {});
    planner.setEndpoints({endpoint("x")});
    auto big = order("a", 3);
    big.resultBytes = 3;
    planner.add(big);
    auto next = big;
    next.request = RequestId("b");
    planner.add(next);
    const auto first = planner.takeCalls(kStart);
    cr_assert_eq(first[0].pieces.size(), 3);
    planner.ended(first[0].id, done(first[0]), kStart + 200ms);
    const auto ended = planner.takeEnded();
    cr_assert(planner.takeCalls(kStart + 200ms).empty());
    cr_assert(planner.release(ended[0].result.handles).empty());
    const auto releases = planner.takeReleases(kStart);
    cr_assert_eq(releases.size(), 1);
    cr_assert(planner.takeCalls(kStart + 210ms).empty()); // The endpoint may not have processed the release yet.
    planner.releaseEnded(releases[0]);
    cr_assert_eq(planner.takeCalls(kStart + 300ms).size(), 1);
}

Test(batch_planner, unreleased_results_count_until_their_lifetime_ends)
{
    BatchPlanner planner(rule(8, 10), {});
    planner.setEndpoints({endpoint("x")});
    auto big = order("a", 3);
    big.resultBytes = 3;
    planner.add(big);
    const auto first = planner.takeCalls(kStart);
    planner.ended(first[0].id, done(first[0]), kStart + 200ms);
    big.request = RequestId("b");
    planner.add(big);
    cr_assert(planner.takeCalls(kStart + 200ms).empty());
    cr_assert(*planner.nextWakeup(kStart + 200ms) <= kStart + 200ms + rule().resultLifetime);
    cr_assert_eq(planner.takeCalls(kStart + 200ms + rule().resultLifetime).size(), 1);
}

Test(batch_planner, results_of_a_cancelled_order_are_dropped)
{
    BatchPlanner planner(rule(), {});
    planner.setEndpoints({endpoint("x")});
    const auto id = planner.add(order("a", 2));
    const auto calls = planner.takeCalls(kStart);
    planner.cancel(id);
    planner.ended(calls[0].id, done(calls[0]), kStart + 200ms);
    cr_assert(planner.takeEnded().empty());
    const auto releases = planner.takeReleases(kStart);
    cr_assert_eq(releases.size(), 1);
    cr_assert_eq(releases[0].handles.size(), 2);
}

Test(batch_planner, a_lost_call_s_pieces_go_to_another_endpoint)
{
    BatchPlanner planner(rule(), {});
    planner.setEndpoints({endpoint("x"), endpoint("y")});
    planner.add(order("a", 2));
    const auto first = planner.takeCalls(kStart);
    planner.failed(first[0].id, BatchFailure::Lost, kStart + 100ms);
    const auto second = planner.takeCalls(kStart + 100ms);
    cr_assert_eq(second.size(), 1);
    cr_assert(second[0].endpoint.info.id != first[0].endpoint.info.id);
}

// An order that crashes endpoints took the other orders of its calls with it, each time anew.
Test(batch_planner, orders_of_a_call_that_broke_off_go_on_apart)
{
    BatchPlanner planner(rule(), {});
    planner.setEndpoints({endpoint("x"), endpoint("y"), endpoint("z")});
    planner.add(order("poison", 1));
    planner.add(order("sound", 1));
    const auto together = planner.takeCalls(kStart);
    cr_assert_eq(together.size(), 1);
    cr_assert_eq(together[0].pieces.size(), 2);
    planner.failed(together[0].id, BatchFailure::BrokenOff, kStart + 100ms);
    const auto apart = planner.takeCalls(kStart + 100ms);
    cr_assert_eq(apart.size(), 2);
    for (const auto &call : apart) {
        cr_assert_eq(call.pieces.size(), 1);
        if (call.pieces[0].request.str() == "poison") {
            planner.failed(call.id, BatchFailure::BrokenOff, kStart + 200ms);
        } else {
            planner.ended(call.id, done(call), kStart + 300ms);
        }
    }
    const auto last = planner.takeCalls(kStart + 2s);
    cr_assert_eq(last.size(), 1);
    planner.failed(last[0].id, BatchFailure::BrokenOff, kStart + 2100ms);
    const auto ended = planner.takeEnded();
    cr_assert_eq(ended.size(), 2);
    cr_expect(ended[0].result.outcome == PieceOutcome::Done);
    cr_expect(ended[1].result.outcome == PieceOutcome::Failed);
    cr_expect(planner.takeCalls(kStart + 5s).empty());
}

Test(batch_planner, an_order_that_cannot_be_done_in_time_ends_at_once)
{
    BatchPlanner planner(rule(), {});
    planner.setEndpoints({endpoint("x")});
    auto it = order("a", 1);
    it.expiresAt = kStart + 100ms;
    planner.add(it);
    cr_assert(planner.takeCalls(kStart).empty());
    const auto ended = planner.takeEnded();
    cr_assert_eq(ended.size(), 1);
    cr_assert(ended[0].result.outcome == PieceOutcome::Late);
}

Test(batch_planner, an_order_waits_for_the_zone_of_its_inputs_while_it_can_be_on_time)
{
    BatchPlanner planner(rule(), {});
    planner.setEndpoints({endpoint("x", "a"), endpoint("y", "b")});
    planner.add(order("filler", 8));
    auto first = planner.takeCalls(kStart);
    cr_assert(first[0].endpoint.info.zone == ZoneId("a") || first[0].endpoint.info.zone == ZoneId("b"));
    const auto busy = first[0].endpoint.info.zone;
    auto it = order("a", 4);
    it.localBytes[busy] = 1'000'000;
    planner.add(it);
    cr_assert(planner.takeCalls(kStart).empty());
    auto urgent = it;
    urgent.request = RequestId("urgent");
    urgent.dueAt = kStart + 300ms;
    planner.add(urgent);
    const auto calls = planner.takeCalls(kStart);
    cr_assert_eq(calls.size(), 1);
    cr_assert(calls[0].pieces[0].request == RequestId("urgent"));
}

Test(batch_planner, a_slow_endpoint_stays_idle_while_the_others_finish_sooner)
{
    BatchPlanner planner(rule(), {});
    planner.setEndpoints({endpoint("x"), endpoint("y")});
    auto now = kStart;
    // Endpoint y takes six times as long as a healthy one.
    for (int i = 0; i < 6; ++i) {
        planner.add(order("x" + std::to_string(i), 8));
        planner.add(order("y" + std::to_string(i), 8));
        const auto calls = planner.takeCalls(now);
        for (const auto &call : calls) {
            const bool slow = call.endpoint.info.id == EndpointId("y");
            planner.ended(call.id, done(call), now + (slow ? 1400ms : 230ms));
        }
        static_cast<void>(planner.takeEnded());
        now += 1400ms;
        if (calls.size() == 1) {
            break;
        }
    }
    auto it = order("last", 4);
    it.dueAt = now + 2s;
    it.expiresAt = now + 5s;
    planner.add(it);
    const auto calls = planner.takeCalls(now);
    cr_assert_eq(calls.size(), 1);
    cr_assert(calls[0].endpoint.info.id == EndpointId("x"));
}

Test(batch_planner, a_restarted_endpoint_holds_no_results)
{
    BatchPlanner planner(rule(8, 10), {});
    auto it = endpoint("x");
    planner.setEndpoints({it});
    auto big = order("a", 3);
    big.resultBytes = 3;
    planner.add(big);
    const auto calls = planner.takeCalls(kStart);
    planner.ended(calls[0].id, done(calls[0]), kStart + 200ms);
    it.startedAtMs = 2;
    planner.setEndpoints({it});
    big.request = RequestId("b");
    planner.add(big);
    cr_assert_eq(planner.takeCalls(kStart + 200ms).size(), 1);
}

Test(batch_planner, load_estimates_the_wait_of_a_new_piece)
{
    BatchPlanner planner(rule(8), {});
    cr_assert(planner.load(kStart).wait == Duration::max());
    planner.setEndpoints({endpoint("x"), endpoint("y")});
    cr_assert(planner.load(kStart).wait == Duration::zero());
    for (int i = 0; i < 6; ++i) {
        planner.add(order(std::to_string(i), 8));
    }
    static_cast<void>(planner.takeCalls(kStart));
    const auto load = planner.load(kStart);
    cr_assert_eq(load.queued, 32);
    cr_assert(load.call == 230ms);
    cr_assert(load.wait == 230ms + 2 * 230ms); // The calls in flight, then four full calls on two endpoints.
}

Test(batch_planner, reports_each_health_change_once)
{
    BatchPlanner planner(rule(), {});
    planner.setEndpoints({endpoint("x")});
    auto now = kStart;
    const auto fail = [&] {
        const auto id = planner.add(order("r", 1));
        const auto calls = planner.takeCalls(now);
        cr_assert_eq(calls.size(), 1);
        planner.failed(calls.front().id, BatchFailure::Lost, now);
        planner.cancel(id);
    };
    fail();
    const auto changes = planner.takeHealthChanges();
    cr_assert_eq(changes.size(), 1);
    cr_assert(changes.front().health == EndpointHealth::Paused && changes.front().failures == 1);
    now += 1s;
    fail();
    cr_assert(planner.takeHealthChanges().empty()); // The endpoint was reported as paused already.
    now += 1s;
    planner.add(order("s", 1));
    const auto calls = planner.takeCalls(now);
    cr_assert_eq(calls.size(), 1);
    planner.ended(calls.front().id, done(calls.front()), now + 160ms);
    const auto better = planner.takeHealthChanges();
    cr_assert_eq(better.size(), 1);
    cr_assert(better.front().health == EndpointHealth::Healthy);
}

Test(batch_planner, hands_off_orders_that_it_has_not_started)
{
    BatchPlanner planner(rule(2), {});
    planner.setEndpoints({endpoint("x")});
    const auto begun = planner.add(order("begun", 3)); // Two of its three pieces fill a call.
    const auto calls = planner.takeCalls(kStart);
    cr_assert_eq(calls.size(), 1);
    const auto waiting = planner.add(order("waiting", 1));
    planner.handOff();
    const auto ended = planner.takeEnded();
    cr_assert_eq(ended.size(), 1);
    cr_assert(ended.front().id == waiting && ended.front().result.outcome == PieceOutcome::Moved);
    planner.ended(calls.front().id, done(calls.front()), kStart + 170ms);
    const auto rest = planner.takeCalls(kStart + 170ms);
    cr_assert_eq(rest.size(), 1);
    planner.ended(rest.front().id, done(rest.front()), kStart + 330ms);
    const auto last = planner.takeEnded();
    cr_assert_eq(last.size(), 1);
    cr_assert(last.front().id == begun && last.front().result.outcome == PieceOutcome::Done);
}

// After a planner was killed, the results of its calls still occupy the endpoints'
// memory. A call whose results find no free memory takes as long as any other, so the
// new planner must not send it.
Test(batch_planner, a_new_planner_sends_only_what_fits_beside_results_of_its_predecessor)
{
    BatchPlanner planner(rule(8, 10), {});
    planner.setEndpoints({endpoint("full"), endpoint("half")});
    for (int i = 0; i < 4; ++i) {
        auto it = order("r" + std::to_string(i), 2);
        it.resultBytes = 2;
        planner.add(it);
    }
    cr_assert_eq(planner.takeMemoryQueries(kStart).size(), 2);
    cr_assert(planner.takeCalls(kStart).empty()); // No call before the endpoints have reported their free memory.
    planner.recordFreeMemory(EndpointId("full"), 0);
    planner.recordFreeMemory(EndpointId("half"), 5);
    const auto calls = planner.takeCalls(kStart + 5ms);
    cr_assert_eq(calls.size(), 1);
    cr_assert(calls[0].endpoint.info.id == EndpointId("half"));
    cr_assert_eq(calls[0].pieces.size(), 2);
    cr_assert_eq(planner.takeMemoryQueries(kStart + 300ms).size(), 2);
    planner.recordFreeMemory(EndpointId("full"), 10); // The predecessor's results have expired.
    cr_assert_eq(planner.takeCalls(kStart + 310ms).size(), 1);
}

// Counts calls of two restarts of one endpoint.
Test(batch_planner, a_call_of_an_endpoint_before_its_restart_frees_no_slot_after_it)
{
    BatchPlanner planner(rule(), {});
    auto it = endpoint("x");
    planner.setEndpoints({it});
    planner.add(order("a", 1));
    const auto before = planner.takeCalls(kStart);
    it.startedAtMs = 2;
    planner.setEndpoints({it});
    planner.add(order("b", 1));
    cr_assert_eq(planner.takeCalls(kStart + 10ms).size(), 1);
    planner.failed(before[0].id, BatchFailure::Lost, kStart + 20ms);
    planner.add(order("c", 1));
    cr_assert(planner.takeCalls(kStart + 1s).empty()); // Its one slot is busy.
}

Test(batch_planner, a_silent_endpoint_s_call_goes_on_while_no_other_can_make_its_pieces)
{
    BatchPlanner planner(rule(), {});
    planner.setEndpoints({endpoint("x"), endpoint("y")});
    planner.add(order("filler", 1));
    const auto paused = planner.takeCalls(kStart);
    planner.failed(paused[0].id, BatchFailure::Unreachable, kStart + 2s); // Its endpoint is paused for a while.
    const auto call = planner.takeCalls(kStart + 2s);
    cr_assert_eq(call.size(), 1);
    cr_assert(call[0].timeout == 8s); // Until the order expires.
    const auto overdue = *planner.nextWakeup(kStart + 2s);
    cr_assert(overdue > kStart + 2s + 160ms && overdue < kStart + 4s);
    const auto pauseEnd = kStart + 2s + 300ms;
    cr_assert(planner.callsToGiveUp(pauseEnd - 1ms).empty());
    cr_assert(planner.callsToGiveUp(overdue - 1ms).empty());
    cr_assert(planner.callsToGiveUp(overdue) == std::vector{call[0].id}); // The other endpoint's pause is over.
    planner.setEndpoints({call[0].endpoint});
    cr_assert(planner.callsToGiveUp(overdue).empty());
    cr_assert(*planner.nextWakeup(overdue) <= overdue + 100ms);
    planner.ended(call[0].id, done(call[0]), overdue + 1s);
    const auto ended = planner.takeEnded();
    cr_assert_eq(ended.size(), 1);
    cr_assert(ended[0].result.outcome == PieceOutcome::Done);
}

Test(batch_planner, calls_at_endpoints_that_are_all_silent_go_on)
{
    BatchPlanner planner(rule(1), {});
    planner.setEndpoints({endpoint("x"), endpoint("y")});
    planner.add(order("a", 2));
    cr_assert_eq(planner.takeCalls(kStart).size(), 2);
    cr_assert(planner.callsToGiveUp(kStart + 5s).empty());
    planner.setEndpoints({endpoint("x"), endpoint("y"), endpoint("z")});
    cr_assert_eq(planner.callsToGiveUp(kStart + 5s).size(), 1); // "z" has one slot.
    planner.setEndpoints({endpoint("x"), endpoint("y"), endpoint("z"), endpoint("w")});
    cr_assert_eq(planner.callsToGiveUp(kStart + 5s).size(), 2);
}

// The call was given up, and its pieces expired behind those that the busy endpoint had to do.
Test(batch_planner, a_silent_endpoint_s_call_goes_on_while_the_others_are_busy)
{
    BatchPlanner planner(rule(1), {});
    planner.setEndpoints({endpoint("x"), endpoint("y")});
    planner.add(order("a", 1));
    const auto silent = planner.takeCalls(kStart);
    planner.add(order("b", 1));
    const auto busy = planner.takeCalls(kStart + 1900ms);
    cr_assert_eq(busy.size(), 1);
    cr_assert(planner.callsToGiveUp(kStart + 2s).empty());
    planner.ended(busy[0].id, done(busy[0]), kStart + 2060ms);
    cr_assert(planner.callsToGiveUp(kStart + 2060ms) == std::vector{silent[0].id});
}

Test(batch_planner, a_silent_endpoint_s_call_goes_on_while_the_others_lack_memory)
{
    BatchPlanner planner(rule(1, 10), {});
    planner.setEndpoints({endpoint("x"), endpoint("y")});
    auto large = order("a", 1);
    large.resultBytes = 6;
    planner.add(large);
    const auto first = planner.takeCalls(kStart);
    cr_assert_eq(first.size(), 1);
    large.request = RequestId("b");
    planner.add(large);
    const auto silent = planner.takeCalls(kStart);
    cr_assert_eq(silent.size(), 1);
    planner.ended(first[0].id, done(first[0]), kStart + 160ms);
    const auto result = done(first[0])[0].handle;
    cr_assert(planner.callsToGiveUp(kStart + 2s).empty());
    cr_assert(planner.release({result}).empty());
    for (const auto &release : planner.takeReleases(kStart)) {
        planner.releaseEnded(release);
    }
    cr_assert(planner.callsToGiveUp(kStart + 2s) == std::vector{silent[0].id});
}

// A call of the time before counted as silence of the new process.
Test(batch_planner, an_endpoint_that_restarted_is_not_silent_for_an_earlier_call)
{
    BatchPlanner planner(rule(), {});
    auto it = endpoint("x");
    planner.setEndpoints({it});
    planner.add(order("a", 1));
    const auto call = planner.takeCalls(kStart);
    cr_assert(planner.callsToGiveUp(kStart + 2s).empty());
    it.startedAtMs = 2;
    planner.setEndpoints({it});
    cr_assert(planner.callsToGiveUp(kStart + 2s) == std::vector{call[0].id});
}

Test(batch_planner, a_silent_endpoint_s_call_is_given_up_once_nobody_needs_it)
{
    BatchPlanner planner(rule(), {});
    planner.setEndpoints({endpoint("x")});
    const auto id = planner.add(order("a", 2));
    const auto calls = planner.takeCalls(kStart);
    planner.cancel(id);
    cr_assert(planner.callsToGiveUp(kStart + 100ms).empty());
    cr_assert(planner.callsToGiveUp(kStart + 2s) == std::vector{calls[0].id});
}

Test(batch_planner, an_endpoint_that_wants_a_rest_gets_no_calls_queries_or_releases)
{
    BatchPlanner planner(rule(8, 100), {});
    planner.setEndpoints({endpoint("x"), endpoint("y")});
    planner.add(order("a", 8));
    planner.add(order("b", 8));
    const auto calls = planner.takeCalls(kStart);
    cr_assert_eq(calls.size(), 2);
    for (const auto &call : calls) {
        planner.ended(call.id, done(call), kStart + 200ms);
    }
    const auto ended = planner.takeEnded();
    planner.recordRest(startOf(endpoint("x")), kStart + 2s);
    for (const auto &it : ended) {
        cr_expect(planner.release(it.result.handles).empty());
    }
    const auto releases = planner.takeReleases(kStart + 300ms);
    cr_assert_eq(releases.size(), 1);
    cr_expect(releases[0].endpoint == EndpointId("y"));
    planner.add(order("c", 8));
    for (const auto &query : planner.takeMemoryQueries(kStart + 1s)) {
        cr_expect(query.endpoint == EndpointId("y"));
    }
    planner.add(order("d", 8));
    const auto during = planner.takeCalls(kStart + 1100ms); // Once the query has timed out.
    cr_assert_eq(during.size(), 1);
    cr_expect(during[0].endpoint.info.id == EndpointId("y"));
    cr_expect_eq(planner.takeReleases(kStart + 2s).size(), 1);
    const auto after = planner.takeCalls(kStart + 2s);
    cr_assert_eq(after.size(), 1);
    cr_expect(after[0].endpoint.info.id == EndpointId("x"));
}

Test(batch_planner, while_all_rest_the_load_tells_for_how_long)
{
    BatchPlanner planner(rule(), {});
    planner.setEndpoints({endpoint("x"), endpoint("y")});
    planner.recordRest(startOf(endpoint("x")), kStart + 5s);
    cr_expect(planner.load(kStart).rest == Duration::zero());
    planner.recordRest(startOf(endpoint("y")), kStart + 3s);
    cr_expect(planner.load(kStart + 1s).rest == Duration(2s));
    auto restarted = endpoint("y");
    restarted.startedAtMs += 1;
    planner.setEndpoints({endpoint("x"), restarted});
    cr_expect(planner.load(kStart + 1s).rest == Duration::zero());
}

namespace
{

/// Lists ten endpoints and starts a full call at nine of them.
void occupyNineOfTen(BatchPlanner &planner)
{
    std::vector<ListedEndpoint> endpoints;
    endpoints.reserve(10);
    for (int n = 0; n < 10; ++n) {
        endpoints.push_back(endpoint("e" + std::to_string(n)));
    }
    planner.setEndpoints(endpoints);
    for (int n = 0; n < 9; ++n) {
        static_cast<void>(planner.add(order("large" + std::to_string(n), 44)));
    }
    cr_assert_eq(planner.takeCalls(kStart).size(), 9U);
}

} // namespace

// Nine of ten endpoints are busy. Guards against a small call that takes the last free endpoint
// at once, and against a wait that nobody ends.
Test(batch_planner, a_small_call_waits_a_little_for_others_while_endpoints_are_nearly_busy)
{
    BatchPlanner planner(rule(44), {});
    occupyNineOfTen(planner);
    static_cast<void>(planner.add(order("small", 2)));
    cr_assert(planner.takeCalls(kStart).empty());
    const auto wakeup = planner.nextWakeup(kStart);
    cr_assert(wakeup);
    cr_assert_lt(*wakeup, kStart + 40ms);
    cr_assert_eq(planner.takeCalls(*wakeup).size(), 1U);
    cr_assert_eq(planner.takeFillWait(), Duration(*wakeup - kStart));
}

// Guards against a wait where an order is late already.
Test(batch_planner, nothing_waits_to_fill_a_call_beside_a_late_order)
{
    BatchPlanner planner(rule(44), {});
    occupyNineOfTen(planner);
    auto late = order("late", 2);
    late.dueAt = kStart + 100ms;
    static_cast<void>(planner.add(late));
    cr_assert_eq(planner.takeCalls(kStart).size(), 1U);
}
