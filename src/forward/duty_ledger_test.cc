#include "forward/duty_ledger.h"
#include "forward/true_time.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const TimePoint kNow{1h};
const WorkspaceId kShop("shop");
const InstanceId kRelay("relay");

DutyReport report(const char *daemon, const char *zone, UsageWindowNumber window, std::uint64_t count,
                  std::uint64_t incarnation = 1)
{
    DutyReport report;
    report.source = InstanceId(daemon);
    report.zone = ZoneId(zone);
    report.incarnation = incarnation;
    report.windows[window][kShop] = count;
    return report;
}

/// Hands the sums of \a relay to \a candidate.
void pass(const DutyLedger &relay, DutyLedger &candidate, TimePoint now = kNow)
{
    for (const auto &sum : relay.sums(kRelay, now)) {
        candidate.take(sum, now);
    }
}

} // namespace

Test(duty_ledger, zones_add_up_and_repeated_totals_do_not)
{
    DutyLedger relay;
    DutyLedger candidate;
    for (int i = 0; i < 3; ++i) {
        relay.take(report("a", "z1", 5, 10), kNow);
        relay.take(report("b", "z1", 5, 20), kNow);
        relay.take(report("c", "z2", 5, 3), kNow);
        pass(relay, candidate);
    }
    cr_assert_eq(candidate.totals(5)[kShop], 33);
}

// Two daemons take themselves for the relay of one zone while they learn of each other.
Test(duty_ledger, two_relays_of_one_zone_do_not_add_up)
{
    DutyLedger first;
    DutyLedger second;
    DutyLedger candidate;
    first.take(report("a", "z1", 5, 10), kNow);
    first.take(report("b", "z1", 5, 20), kNow);
    second.take(report("a", "z1", 5, 12), kNow);
    second.take(report("b", "z1", 5, 25), kNow);
    pass(first, candidate);
    pass(second, candidate);
    pass(first, candidate);
    cr_assert_eq(candidate.totals(5)[kShop], 37);
}

Test(duty_ledger, counts_of_a_daemon_before_and_after_its_restart_add_up)
{
    DutyLedger relay;
    DutyLedger candidate;
    relay.take(report("a", "z1", 5, 10, 1), kNow);
    relay.take(report("a", "z1", 5, 4, 2), kNow);
    pass(relay, candidate);
    cr_assert_eq(candidate.totals(5)[kShop], 14);
}

Test(duty_ledger, loads_that_are_not_reported_again_end)
{
    DutyLedger relay;
    DutyLedger candidate;
    const std::pair place(ServiceId("s"), ZoneId("z9"));
    auto one = report("a", "z1", 5, 1);
    one.loads[place] = 4;
    relay.take(one, kNow);
    pass(relay, candidate);
    cr_assert_eq(candidate.loads(kNow)[place], 4);
    cr_assert(candidate.loads(kNow + 10s).empty());
    cr_assert(relay.sums(kRelay, kNow + 10s).front().loads.empty());
}

Test(duty_ledger, only_changes_are_sent_and_all_again_to_a_receiver_that_has_restarted)
{
    ReportMark mark;
    const auto full = report("a", "z1", 5, 10);
    cr_assert(mark.changes(full) == full);
    mark.confirmed(full, {1, 0});
    cr_assert(mark.changes(full).windows.empty());
    auto more = full;
    more.windows[5][WorkspaceId("other")] = 1;
    cr_assert_eq(mark.changes(more).windows.at(5).size(), 1);
    mark.confirmed(mark.changes(more), {2, 0});
    cr_assert(mark.changes(more).windows.at(5).contains(kShop), "the receiver has restarted");
}

// Reports are lost, repeated and come through changing relays: never more than the truth, and the
// truth once each daemon's last total has passed.
Test(duty_ledger, totals_never_exceed_the_truth_and_reach_it)
{
    const bool holds = rc::check("totals", [] {
        std::vector<DutyLedger> relays(2);
        DutyLedger candidate;
        std::map<int, std::uint64_t> truth;
        std::uint64_t sum = 0;
        const auto tell = [&](int daemon, std::size_t relay) {
            relays[relay].take(report(("d" + std::to_string(daemon)).c_str(), "z1", 1, truth[daemon]), kNow);
        };
        const int steps = *rc::gen::inRange(1, 100);
        for (int i = 0; i < steps; ++i) {
            const int daemon = *rc::gen::inRange(0, 4);
            const auto relay = *rc::gen::inRange<std::size_t>(0, 2);
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                ++truth[daemon];
                ++sum;
                break;
            case 1:
                tell(daemon, relay);
                break;
            default:
                pass(relays[relay], candidate);
                break;
            }
            RC_ASSERT(candidate.totals(1)[kShop] <= sum);
        }
        for (int daemon = 0; daemon < 4; ++daemon) {
            tell(daemon, 0);
        }
        pass(relays[0], candidate);
        RC_ASSERT(candidate.totals(1)[kShop] == sum);
    });
    cr_assert(holds);
}

Test(true_time, a_jump_of_the_wall_clock_that_ends_does_not_count)
{
    TrueTime time;
    const WallTime wall(1000h);
    cr_assert(time.estimate(kNow, wall) == wall);
    cr_assert(time.estimate(kNow + 1s, wall + 6s) == wall + 1s);
    cr_assert(time.estimate(kNow + 40s, wall + 45s) == wall + 40s);
    cr_assert(time.estimate(kNow + 50s, wall + 50s) == wall + 50s);
    cr_assert(time.estimate(kNow + 51s, wall + 45s) == wall + 51s);
}

Test(true_time, a_jump_that_lasts_and_small_corrections_count)
{
    TrueTime time;
    const WallTime wall(1000h);
    cr_assert(time.estimate(kNow, wall) == wall);
    cr_assert(time.estimate(kNow + 1s, wall + 1050ms) == wall + 1050ms);
    cr_assert(time.estimate(kNow + 2s, wall + 9s) == wall + 2050ms);
    cr_assert(time.estimate(kNow + 200s, wall + 207s) == wall + 207s);
}
