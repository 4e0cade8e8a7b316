#include "route/fair_queue.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>
#include <set>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const TimePoint kNow(1h);
const FairQueue::MayStart kAlways = [](const WorkspaceId &) { return true; };

WorkspaceId workspace(int n)
{
    return WorkspaceId("w" + std::to_string(n));
}

QueueItem item(std::uint64_t ticket, int owner, double cost = 1.0, TimePoint deadline = kNow + 24h)
{
    return {TicketId(ticket), workspace(owner), cost, deadline, 0s};
}

} // namespace

// The service per weight of two backlogged workspaces differs by at most one item of
// each at any time.
Test(fair_queue, serves_by_weight_within_one_item)
{
    cr_assert(rc::check([] {
        const int count = *rc::gen::inRange(2, 6);
        FairQueue queue;
        queue.setSlots(1'000);
        std::vector<double> weights(count);
        std::vector<double> served(count);
        for (int n = 0; n < count; ++n) {
            weights[n] = *rc::gen::inRange(1, 20);
            queue.setShare(workspace(n), {weights[n]});
        }
        std::uint64_t ticket = 0;
        const auto refill = [&](int n) {
            const double cost = *rc::gen::inRange(1, 10);
            RC_ASSERT(queue.enqueue(item(++ticket, n, cost), kNow).empty());
        };
        for (int n = 0; n < count; ++n) {
            refill(n);
            refill(n);
        }
        for (int step = 0; step < 200; ++step) {
            const auto next = queue.dequeue(kAlways);
            const int n = std::stoi(next->workspace.str().substr(1));
            served[n] += next->cost;
            refill(n);
            for (int a = 0; a < count; ++a) {
                for (int b = 0; b < count; ++b) {
                    RC_ASSERT(served[a] / weights[a] - served[b] / weights[b] <= 9 / weights[a] + 9 / weights[b]);
                }
            }
        }
    }));
}

Test(fair_queue, a_burst_delays_others_by_one_item)
{
    FairQueue queue;
    queue.setSlots(10);
    for (int n = 0; n < 1'000; ++n) {
        cr_assert(queue.enqueue(item(n, 0), kNow).empty());
    }
    for (int n = 0; n < 100; ++n) {
        (void)queue.dequeue(kAlways);
    }
    for (int other = 1; other <= 3; ++other) {
        cr_assert(queue.enqueue(item(5'000 + other, other), kNow).empty());
    }
    std::set<WorkspaceId> served;
    for (int n = 0; n < 4; ++n) {
        served.insert(queue.dequeue(kAlways)->workspace);
    }
    cr_expect(served.size() == 4);
}

Test(fair_queue, a_full_queue_drops_from_the_workspace_most_above_its_share)
{
    FairQueue queue({.maxItems = 100});
    queue.setSlots(1'000);
    for (int n = 0; n < 100; ++n) {
        cr_assert(queue.enqueue(item(n, 0), kNow).empty());
    }
    const auto refused = queue.enqueue(item(200, 1), kNow);
    cr_assert(refused.size() == 1);
    cr_expect(refused[0].ticket == TicketId(99));
    cr_expect(queue.enqueue(item(201, 0), kNow).at(0).ticket == TicketId(201));
    cr_expect(queue.size() == 100);
}

Test(fair_queue, time_at_the_cap_earns_no_credit)
{
    FairQueue queue;
    queue.setSlots(1'000);
    for (int n = 0; n < 100; ++n) {
        (void)queue.enqueue(item(n, 0), kNow);
        (void)queue.enqueue(item(1'000 + n, 1), kNow);
    }
    for (int n = 0; n < 50; ++n) {
        cr_assert(queue.dequeue([](const auto &id) { return id != workspace(0); })->workspace == workspace(1));
    }
    int first = 0;
    for (int n = 0; n < 20; ++n) {
        first += queue.dequeue(kAlways)->workspace == workspace(0);
    }
    cr_expect(first >= 9 && first <= 11, "%d", first);
}

Test(fair_queue, idle_time_earns_no_credit)
{
    FairQueue queue;
    queue.setSlots(1'000);
    for (int n = 0; n < 100; ++n) {
        (void)queue.enqueue(item(n, 0), kNow);
    }
    for (int n = 0; n < 50; ++n) {
        (void)queue.dequeue(kAlways);
    }
    int late = 0;
    for (int n = 0; n < 100; ++n) {
        (void)queue.enqueue(item(1'000 + n, 1), kNow);
    }
    for (int n = 0; n < 20; ++n) {
        late += queue.dequeue(kAlways)->workspace == workspace(1);
    }
    cr_expect(late >= 9 && late <= 11, "%d", late);
}

// Each ticket ends exactly once: started, rejected or removed. None starts after its
// latest start, and each rejection has a retryAfter within its bounds.
Test(fair_queue, each_ticket_ends_exactly_once)
{
    cr_assert(rc::check([] {
        FairQueueOptions options;
        options.maxItems = 30;
        FairQueue queue(options);
        TimePoint now = kNow;
        std::set<TicketId> waiting;
        std::map<TicketId, TimePoint> deadlines;
        const auto end = [&](TicketId ticket) { RC_ASSERT(waiting.erase(ticket) == 1); };
        const auto refuse = [&](const std::vector<QueueRefusal> &refusals) {
            for (const auto &it : refusals) {
                end(it.ticket);
                RC_ASSERT(it.retryAfter >= options.retryAfterMin && it.retryAfter <= options.retryAfterMax);
            }
        };
        std::uint64_t ticket = 0;
        for (const int event : *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 10))) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 50));
            if (event < 5) {
                auto it = item(++ticket, *rc::gen::inRange(0, 4), 0.1);
                it.deadline = now + std::chrono::milliseconds(*rc::gen::inRange(-100, 3'000));
                it.needs = std::chrono::milliseconds(*rc::gen::inRange(0, 200));
                waiting.insert(it.ticket);
                deadlines[it.ticket] = it.latestStart();
                const auto wait = queue.expectedWait(it.workspace);
                const auto refusals = queue.enqueue(it, now);
                const bool refused = !refusals.empty() && refusals[0].ticket == it.ticket;
                RC_ASSERT(refused || wait <= it.latestStart() - now);
                refuse(refusals);
            } else if (event < 8) {
                refuse(queue.removeExpired(now));
                if (const auto it = queue.dequeue(kAlways)) {
                    RC_ASSERT(deadlines[it->ticket] >= now);
                    end(it->ticket);
                }
            } else if (ticket > 0) {
                const TicketId which(*rc::gen::inRange<std::uint64_t>(1, ticket + 1));
                const bool present = waiting.contains(which);
                RC_ASSERT(queue.remove(which) == present);
                waiting.erase(which);
            } else {
                queue.setSlots(*rc::gen::inRange(0, 5));
            }
            RC_ASSERT(queue.size() == waiting.size());
            RC_ASSERT(queue.size() <= options.maxItems);
        }
    }));
}
