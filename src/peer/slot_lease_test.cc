// Tests single steps of slot leases; group_test.cc checks the limit over generated
// histories of a group of daemons.

#include "peer/slot_holder.h"
#include "peer/slot_owner.h"

#include <rapidcheck.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <numeric>
#include <thread>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const TimePoint kStart{1h};
const TimePoint kFresh{100h}; ///< When the owner's freshness ends: after all tests.
const ResourceKey kResource = endpointSlots(EndpointId("e"));

MembershipView viewOf(std::uint64_t epoch, const std::vector<std::string> &ids)
{
    MembershipView view{Offset(epoch), {}};
    for (const auto &id : ids) {
        view.members.push_back({InstanceId(id), Incarnation(1), ZoneId("z"), Address{}});
    }
    return view;
}

MemberKey keyNamed(const std::string &id)
{
    return {InstanceId(id), Incarnation(1)};
}

SlotRequest requestOf(std::uint64_t epoch, std::uint64_t sequence, SlotAsk ask)
{
    ask.resource = kResource;
    return {Offset(epoch), Sequence(sequence), {ask}};
}

/// The owner of kResource among d1 to d7, after earlier grants have expired.
struct ReadyOwner {
    MembershipView view = viewOf(1, {"d1", "d2", "d3", "d4", "d5", "d6", "d7"});
    MemberKey key = keyOf(*ownerOf(kResource, view));
    SlotOwner owner{key};
    TimePoint now = kStart + SlotLeaseOptions().ownerChangeDelay();

    /// \a limit: slots while warm, slots while cold, whether it is cold.
    explicit ReadyOwner(SlotLimit limit)
    {
        owner.setView(view);
        owner.setAccepted(view.epoch, kStart);
        owner.setLimit(kResource, limit);
    }

    std::uint32_t granted(const std::string &holder, std::uint64_t sequence, SlotAsk ask)
    {
        const auto reply = owner.handle(keyNamed(holder), requestOf(1, sequence, ask), now, kFresh);
        return reply && !reply->grants.empty() ? reply->grants[0].slots : 0;
    }
};

} // namespace

Test(slot_lease, a_new_owner_waits_even_after_requests_from_all_members)
{
    ReadyOwner ready({4, 1, false});
    SlotOwner owner(ready.key);
    owner.setView(ready.view);
    owner.setLimit(kResource, {4, 1, false});
    owner.setAccepted(ready.view.epoch, kStart);
    const auto soon = kStart + SlotLeaseOptions().ownerChangeDelay() - 1ms;
    for (const auto &member : ready.view.members) {
        const auto reply = owner.handle(keyOf(member), requestOf(1, 1, {.wanted = 1}), soon, kFresh);
        cr_assert(reply && reply->grants.empty());
    }
    cr_assert(owner.mayGrant(kResource, soon + 1ms));
}

Test(slot_lease, an_owner_that_is_not_fresh_grants_nothing)
{
    ReadyOwner ready({4, 1, false});
    const auto reply = ready.owner.handle(keyNamed("d1"), requestOf(1, 1, {.wanted = 1}), ready.now, ready.now);
    cr_assert(reply && reply->grants.empty());
    cr_assert(ready.granted("d1", 2, {.wanted = 1}) == 1);
}

Test(slot_lease, slots_are_revoked_when_any_holder_detects_a_cold_endpoint)
{
    ReadyOwner ready({8, 1, false});
    cr_assert(ready.granted("d1", 1, {.wanted = 8}) == 8);
    cr_assert(ready.granted("d2", 1, {.wanted = 8, .cold = true}) == 0);
    cr_assert(ready.granted("d1", 2, {.wanted = 8, .held = 8, .inUse = 6}) == 1);
    cr_assert(ready.granted("d1", 3, {.wanted = 8, .held = 1, .inUse = 2}) == 1);
    cr_assert(ready.owner.reserved(kResource, ready.now) == 2);
    cr_assert(ready.granted("d2", 2, {.wanted = 8, .cold = true}) == 0);
}

// Within ten rounds of requests the division converges to max-min fairness.
Test(slot_lease, divides_the_limit_fairly_by_demand)
{
    cr_assert(rc::check([]() {
        const auto limit = *rc::gen::inRange<std::uint32_t>(0, 40);
        const auto wanted = *rc::gen::container<std::vector<std::uint32_t>>(7, rc::gen::inRange<std::uint32_t>(0, 20));
        ReadyOwner ready({limit, 1, false});
        std::vector<std::uint32_t> held(7, 0);
        for (std::uint64_t round = 1; round <= 10; ++round) {
            for (std::size_t i = 0; i < 7; ++i) {
                held[i] = ready.granted("d" + std::to_string(i + 1), round,
                                        {.wanted = wanted[i], .held = held[i], .inUse = held[i]});
            }
        }
        const auto demand = std::accumulate(wanted.begin(), wanted.end(), 0U);
        RC_ASSERT(std::accumulate(held.begin(), held.end(), 0U) == std::min(limit, demand));
        const auto most = *std::max_element(held.begin(), held.end());
        for (std::size_t i = 0; i < 7; ++i) {
            RC_ASSERT(held[i] <= wanted[i]);
            RC_ASSERT(held[i] == wanted[i] || held[i] + 1 >= most);
        }
    }));
}

Test(slot_lease, the_lifetime_of_a_lease_starts_before_the_request)
{
    const auto view = viewOf(1, {"d1"});
    SlotHolder holder(keyNamed("d1"));
    holder.setView(view);
    holder.setDemand(kResource, {.wanted = 2});
    const auto request = holder.requestTo(InstanceId("d1"), kStart);
    holder.received(keyNamed("d1"), {request->sequence, 3s, {{kResource, 2}}}, kStart + 1s);
    cr_assert(holder.slotCounter(kResource)->slots(kStart + 3s - 1ms) == 2);
    cr_assert(holder.slotCounter(kResource)->slots(kStart + 3s) == 0);
}

Test(slot_lease, a_reply_to_a_request_of_an_earlier_view_is_ignored)
{
    const auto view = viewOf(1, {"d1", "d2", "d3", "d4", "d5", "d6", "d7"});
    const auto owner = *ownerOf(kResource, view);
    SlotHolder holder(keyNamed("d1"));
    holder.setView(view);
    holder.setDemand(kResource, {.wanted = 2});
    const auto request = holder.requestTo(owner.id, kStart);
    auto next = view;
    next.epoch = Offset(2);
    holder.setView(next);
    holder.received(keyOf(owner), {request->sequence, 3s, {{kResource, 2}}}, kStart + 1ms);
    cr_assert(holder.slotCounter(kResource)->slots(kStart + 2ms) == 0);
}

Test(slot_lease, calls_the_owner_for_more_slots_and_for_renewal)
{
    SlotHolder holder(keyNamed("d1"));
    holder.setView(viewOf(1, {"d1"}));
    cr_assert(holder.urgentOwners(kStart).empty());
    holder.setDemand(kResource, {.wanted = 1});
    cr_assert(holder.urgentOwners(kStart).size() == 1);
    cr_assert(holder.requestTo(InstanceId("d1"), kStart).has_value());
    cr_assert(holder.urgentOwners(kStart + 1s).empty());
    cr_assert(holder.urgentOwners(kStart + 1500ms).size() == 1);
    holder.setDemand(kResource, {.wanted = 2});
    cr_assert(holder.urgentOwners(kStart + 1s).size() == 1);
}

Test(slot_lease, does_not_call_the_owner_for_renewal_before_a_late_heartbeat)
{
    SlotHolder holder(keyNamed("d1"), {.lease = 2s, .renewAfter = 1500ms});
    holder.setView(viewOf(1, {"d1"}));
    holder.setDemand(kResource, {.wanted = 1});
    cr_assert(holder.requestTo(InstanceId("d1"), kStart).has_value());
    cr_assert(holder.urgentOwners(kStart + 1499ms).empty());
    cr_assert(holder.urgentOwners(kStart + 1500ms).size() == 1);
}

Test(slot_lease, falls_back_to_a_fixed_split_only_while_allowed)
{
    SlotHolder holder(keyNamed("d1"));
    holder.setView(viewOf(1, {"d1", "d2", "d3"}));
    const auto slotCounter = holder.slotCounter(kResource);
    holder.setDemand(kResource, {.wanted = 9, .fallback = SlotFallback::FixedSplit, .limit = 7});
    holder.refresh(kStart);
    cr_assert(slotCounter->slots(kStart) == 2);
    holder.setDemand(kResource, {.wanted = 9, .cold = true, .limit = 7});
    cr_assert(slotCounter->slots(kStart) == 0);
}

Test(slot_lease, slots_of_a_member_are_free_once_it_has_left)
{
    ReadyOwner ready({4, 1, false});
    cr_assert(ready.granted("d1", 1, {.wanted = 4}) == 4);
    cr_assert(ready.granted("d2", 1, {.wanted = 4}) == 0);
    cr_assert(ready.owner.recordLeave(keyNamed("d1")));
    cr_assert(ready.owner.reserved(kResource, ready.now) == 0);
    cr_assert(ready.granted("d2", 2, {.wanted = 4}) == 4);
    cr_assert(ready.granted("d1", 2, {.wanted = 4}) == 0, "a late request is ignored");
    cr_assert(ready.owner.reserved(kResource, ready.now) == 4);
    cr_assert(!ready.owner.recordLeave(keyNamed("d1")));
}

Test(slot_lease, a_new_owner_does_not_wait_for_a_request_of_an_owner_that_left)
{
    auto view = viewOf(1, {"d1", "d2", "d3", "d4", "d5", "d6", "d7"});
    const auto old = keyOf(*ownerOf(kResource, view));
    auto next = view;
    next.epoch = Offset(2);
    std::erase_if(next.members, [&](const GroupMember &member) { return member.id == old.id; });
    SlotOwner owner(keyOf(*ownerOf(kResource, next)));
    owner.setLimit(kResource, {4, 1, false});
    owner.setView(view);
    owner.setAccepted(view.epoch, kStart);
    const auto now = kStart + SlotLeaseOptions().ownerChangeDelay();
    owner.setAccepted(view.epoch, now);
    owner.setView(next);
    owner.setAccepted(next.epoch, now);
    for (const auto &member : next.members) {
        cr_assert(owner.handle(keyOf(member), requestOf(2, 1, {.wanted = 1}), now, kFresh).has_value());
    }
    cr_assert(!owner.mayGrant(kResource, now), "the old owner may have granted");
    owner.recordLeave(old);
    cr_assert(owner.mayGrant(kResource, now));
}

Test(slot_lease, a_holder_that_released_its_leases_accepts_no_more)
{
    SlotHolder holder(keyNamed("d1"));
    holder.setView(viewOf(1, {"d1"}));
    const auto slotCounter = holder.slotCounter(kResource);
    const SlotDemand demand{.wanted = 2, .fallback = SlotFallback::FixedSplit, .limit = 2};
    holder.setDemand(kResource, demand);
    const auto first = holder.requestTo(InstanceId("d1"), kStart);
    holder.received(keyNamed("d1"), {first->sequence, 3s, {{kResource, 2}}}, kStart);
    const auto second = holder.requestTo(InstanceId("d1"), kStart);
    ManualClock clock;
    slotCounter->setLease(2, clock.now() + 1s);
    cr_assert(slotCounter->tryAcquire(clock).has_value());
    holder.releaseAll();
    cr_assert(!slotCounter->tryAcquire(clock));
    cr_assert(holder.inUse() == 1);
    holder.received(keyNamed("d1"), {second->sequence, 3s, {{kResource, 2}}}, kStart);
    holder.setDemand(kResource, demand);
    holder.refresh(kStart);
    cr_assert(slotCounter->slots(kStart) == 0);
    slotCounter->release();
    cr_assert(holder.inUse() == 0);
    cr_assert(holder.requestTo(InstanceId("d1"), kStart)->asks.empty());
}

Test(slot_lease, a_slot_counter_allows_the_leased_slots_until_the_lease_ends)
{
    ManualClock clock;
    SlotCounter slotCounter;
    cr_assert(!slotCounter.tryAcquire(clock));
    slotCounter.setLease(2, clock.now() + 1s);
    cr_assert(slotCounter.tryAcquire(clock) == clock.now() + 1s);
    cr_assert(slotCounter.tryAcquire(clock).has_value());
    cr_assert(!slotCounter.tryAcquire(clock));
    slotCounter.release();
    clock.advance(1s);
    cr_assert(!slotCounter.tryAcquire(clock));
    cr_assert(slotCounter.inUse() == 1);
}

Test(slot_lease, threads_never_hold_more_slots_than_the_lease)
{
    constexpr std::uint32_t kSlots = 3;
    ManualClock clock;
    SlotCounter slotCounter;
    slotCounter.setLease(kSlots, clock.now() + 1h);
    std::atomic<std::uint32_t> running{0};
    std::atomic<std::uint32_t> most{0};
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&]() {
            for (int n = 0; n < 20'000; ++n) {
                if (!slotCounter.tryAcquire(clock)) {
                    continue;
                }
                const auto now = ++running;
                auto known = most.load();
                while (known < now && !most.compare_exchange_weak(known, now)) { }
                --running;
                slotCounter.release();
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    cr_assert(most >= 1 && most <= kSlots);
    cr_assert(slotCounter.inUse() == 0);
}
