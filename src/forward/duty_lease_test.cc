// The lease against a model of the store: a log whose appends may be carried out late or without a
// response, and daemons that are paused at any point.

#include "forward/duty_lease.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

constexpr Duration kLease = 3s;
const TimePoint kStart{1h};

DutyLeaseOptions options(Duration quiet = Duration::zero())
{
    DutyLeaseOptions options;
    options.quiet = quiet;
    return options;
}

DutyLease leaseOf(const char *name, int rank)
{
    DutyLease lease(InstanceId(name), 1, options());
    lease.setRank(rank);
    return lease;
}

/// Lets \a lease write what it wants at \a now, successfully; absent if it wants nothing.
std::optional<DutyLeaseRecord> write(DutyLease &lease, TimePoint now)
{
    auto record = lease.nextWrite(now, 0);
    if (record) {
        lease.writeBegan(*record, now);
        lease.writeEnded(true, now);
    }
    return record;
}

/// An append that the store has not carried out yet.
struct Append {
    std::size_t daemon = 0;
    DutyLeaseRecord record;
    std::size_t expectedEnd = 0;
    TimePoint carriedOutAt;
};

struct Node {
    explicit Node(std::size_t index, Duration quiet)
        : name("d" + std::to_string(index)), lease(InstanceId(name), 1, options(quiet))
    {
        lease.setRank(static_cast<int>(index));
    }

    std::string name;
    DutyLease lease;
    std::size_t read = 0; ///< Records of the log that it has read.
    TimePoint pausedUntil;
    bool waiting = false; ///< For the response to its append.
};

struct Act {
    std::size_t daemon = 0;
    std::uint64_t token = 0;
    TimePoint at;
};

/// Runs a generated history and returns the calls that were sent.
std::vector<Act> runHistory(Duration quiet)
{
    std::vector<Node> nodes;
    const auto count = *rc::gen::inRange<std::size_t>(2, 4);
    for (std::size_t i = 0; i < count; ++i) {
        nodes.emplace_back(i, quiet);
    }
    std::vector<DutyLeaseRecord> log;
    std::vector<Append> appends;
    std::vector<Act> acts;
    auto now = kStart;
    for (auto &node : nodes) {
        node.lease.tableRead(now);
    }
    const int steps = *rc::gen::inRange(50, 400);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(1, 400));
        for (std::size_t i = 0; i < appends.size();) {
            auto append = appends[i];
            if (append.carriedOutAt > now) {
                ++i;
                continue;
            }
            appends.erase(appends.begin() + static_cast<std::ptrdiff_t>(i));
            const bool fits = append.expectedEnd == log.size();
            if (fits) {
                log.push_back(append.record);
            }
            auto &node = nodes[append.daemon];
            if (node.waiting) {
                node.waiting = false;
                const bool lost = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
                node.lease.writeEnded(fits && !lost, now);
            }
        }
        const auto index = *rc::gen::inRange<std::size_t>(0, count);
        auto &node = nodes[index];
        if (node.pausedUntil > now) {
            continue;
        }
        switch (*rc::gen::weightedElement<int>({{6, 0}, {8, 1}, {6, 2}, {1, 3}, {1, 4}})) {
        case 0:
            for (; node.read < log.size(); ++node.read) {
                node.lease.takeRecord(log[node.read], now);
            }
            break;
        case 1:
            if (const auto record = node.lease.nextWrite(now, 0)) {
                node.lease.writeBegan(*record, now);
                node.waiting = true;
                const auto delay = std::chrono::milliseconds(
                    *rc::gen::weightedOneOf<int>({{5, rc::gen::inRange(0, 50)}, {1, rc::gen::inRange(0, 8000)}}));
                appends.push_back({index, *record, node.read, now + delay});
            }
            break;
        case 2:
            if (node.lease.mayCall(now)) {
                acts.push_back({index, node.lease.token(), now});
            }
            break;
        case 3:
            node.pausedUntil = now + std::chrono::milliseconds(*rc::gen::inRange(0, 9000));
            break;
        default:
            if (node.waiting) { // The response times out; the append stays in flight.
                node.waiting = false;
                node.lease.writeEnded(false, now);
            }
            break;
        }
    }
    return acts;
}

} // namespace

Test(duty_lease, the_first_candidate_takes_a_free_lease_after_the_lease_time)
{
    auto lease = leaseOf("a", 0);
    cr_assert(not lease.nextWrite(kStart, 0), "it has not read the table");
    lease.tableRead(kStart);
    cr_assert(not lease.nextWrite(kStart + kLease - 1ms, 0));
    cr_assert(write(lease, kStart + kLease));
    cr_assert(lease.mayCall(kStart + kLease));
    cr_assert_eq(lease.token(), 1);
}

Test(duty_lease, no_call_is_sent_close_to_the_end_of_the_lease_or_after_it)
{
    auto lease = leaseOf("a", 0);
    lease.tableRead(kStart);
    const auto at = kStart + kLease;
    cr_assert(write(lease, at));
    cr_assert(lease.mayCall(at + kLease - 600ms));
    cr_assert(not lease.mayCall(at + kLease - 400ms));
    cr_assert(not lease.mayCall(at + 1h), "the process was suspended");
}

Test(duty_lease, the_lease_counts_from_before_its_append)
{
    auto lease = leaseOf("a", 0);
    lease.tableRead(kStart);
    const auto at = kStart + kLease;
    const auto record = lease.nextWrite(at, 0);
    lease.writeBegan(*record, at);
    lease.writeEnded(true, at + 2s);
    cr_assert(lease.mayCall(at + 2s));
    cr_assert(not lease.mayCall(at + kLease));
}

Test(duty_lease, an_ended_lease_is_taken_anew_with_a_higher_token)
{
    auto lease = leaseOf("a", 0);
    lease.tableRead(kStart);
    const auto first = write(lease, kStart + kLease);
    const auto second = lease.nextWrite(kStart + 3 * kLease, 0);
    cr_assert(second && second->token == first->token + 1);
}

Test(duty_lease, a_token_is_never_lower_than_one_that_another_daemon_knows_or_than_the_floor)
{
    auto lease = leaseOf("a", 0);
    lease.tableRead(kStart);
    lease.learnToken(41);
    cr_assert_eq(lease.nextWrite(kStart + kLease, 0)->token, 42);
    cr_assert_eq(lease.nextWrite(kStart + kLease, 100)->token, 100);
}

Test(duty_lease, a_refused_token_is_never_used_again_even_if_a_renewal_succeeds)
{
    auto lease = leaseOf("a", 0);
    lease.tableRead(kStart);
    cr_assert(write(lease, kStart + kLease));
    const auto token = lease.token();
    const auto at = kStart + kLease + 1s;
    const auto renewal = lease.nextWrite(at, 0);
    cr_assert(renewal);
    lease.writeBegan(*renewal, at);
    lease.refused(at);
    lease.writeEnded(true, at + 10ms);
    cr_assert(not lease.mayCall(at + 10ms));
    cr_assert(not lease.nextWrite(at + 1s, 0));
    cr_assert(lease.nextWrite(at + 10ms + kLease, 0)->token > token);
}

Test(duty_lease, a_lease_that_was_given_up_is_left_to_others_for_a_while)
{
    auto lease = leaseOf("a", 0);
    lease.tableRead(kStart);
    cr_assert(write(lease, kStart + kLease));
    const auto token = lease.token();
    const auto at = kStart + kLease;
    lease.giveUp(at, 8s);
    cr_assert(not lease.mayCall(at));
    cr_assert(not lease.nextWrite(at + 8s - 1ms, 0));
    cr_assert(lease.nextWrite(at + 8s, 0)->token > token);
}

Test(duty_lease, a_daemon_that_leaves_sends_nothing_and_renews_nothing)
{
    auto lease = leaseOf("a", 0);
    lease.tableRead(kStart);
    cr_assert(write(lease, kStart + kLease));
    lease.setRank(std::nullopt);
    cr_assert(not lease.mayCall(kStart + kLease));
    cr_assert(not lease.nextWrite(kStart + kLease + 2s, 0));
}

Test(duty_lease, after_a_take_over_nothing_is_called_for_the_quiet_time)
{
    DutyLease lease(InstanceId("b"), 1, options(kLease));
    lease.setRank(0);
    lease.takeRecord({InstanceId("a"), 1, 5, 1}, kStart);
    cr_assert(write(lease, kStart + kLease));
    cr_assert(not lease.mayCall(kStart + kLease + 1s));
    for (auto at = kStart + kLease + 1s; at <= kStart + 2 * kLease; at += 1s) {
        cr_assert(write(lease, at));
    }
    cr_assert(lease.mayCall(kStart + 2 * kLease));
}

Test(duty_lease, a_record_that_the_store_has_lost_is_written_again_with_the_same_token)
{
    auto lease = leaseOf("b", 0);
    lease.takeRecord({InstanceId("a"), 1, 5, 1}, kStart);
    cr_assert(write(lease, kStart + kLease));
    lease.takeRecord({InstanceId("a"), 1, 5, 1}, kStart + kLease + 100ms);
    const auto again = lease.nextWrite(kStart + kLease + 100ms, 0);
    cr_assert(again && again->token == 6);
}

Test(duty_lease, two_holders_never_share_a_token_and_tokens_never_come_down)
{
    const bool holds = rc::check("tokens", [] {
        std::map<std::uint64_t, std::size_t> holders;
        std::uint64_t highest = 0;
        for (const auto &act : runHistory(Duration::zero())) {
            RC_ASSERT(holders.emplace(act.token, act.daemon).first->second == act.daemon);
            RC_ASSERT(act.token >= highest);
            highest = act.token;
        }
    });
    cr_assert(holds);
}

Test(duty_lease, a_holder_never_acts_again_within_a_lease_of_its_act_if_another_has_acted_between)
{
    const bool holds = rc::check("no A, B, A", [] {
        const auto acts = runHistory(Duration::zero());
        for (std::size_t i = 0; i < acts.size(); ++i) {
            bool other = false;
            for (std::size_t k = i + 1; k < acts.size() && acts[k].at - acts[i].at < kLease; ++k) {
                RC_ASSERT(!other || acts[k].daemon != acts[i].daemon);
                other = other || acts[k].daemon != acts[i].daemon;
            }
        }
    });
    cr_assert(holds);
}

Test(duty_lease, holders_act_at_a_distance_of_the_quiet_time)
{
    const bool holds = rc::check("quiet", [] {
        const auto acts = runHistory(kLease);
        for (std::size_t i = 1; i < acts.size(); ++i) {
            RC_ASSERT(acts[i].daemon == acts[i - 1].daemon || acts[i].at - acts[i - 1].at >= kLease);
        }
    });
    cr_assert(holds);
}

Test(duty_lease, histories_have_changes_of_holder)
{
    std::size_t changes = 0;
    rc::check("changes", [&changes] {
        std::set<std::uint64_t> tokens;
        for (const auto &act : runHistory(Duration::zero())) {
            tokens.insert(act.token);
        }
        changes += tokens.size() > 1 ? 1 : 0;
    });
    cr_assert(changes > 5, "only %zu of the histories exercise the lease", changes);
}

Test(duty_lease, candidates_stay_and_are_strong)
{
    std::vector<DaemonEntry> daemons;
    daemons.reserve(10);
    for (int i = 0; i < 10; ++i) {
        daemons.push_back({InstanceId("d" + std::to_string(i)), ZoneId("z"), {"h", 1}, 1, i < 5 ? 1.0 : 0.2, i == 0});
    }
    const auto candidates = dutyCandidates(daemons);
    cr_assert_eq(candidates.size(), 9);
    for (std::size_t i = 0; i < 4; ++i) {
        cr_assert_eq(candidates[i].capacity, 1.0);
    }
    std::reverse(daemons.begin(), daemons.end());
    cr_assert(candidates == dutyCandidates(daemons), "the order of entries matters");
}
