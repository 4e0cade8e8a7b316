#include "peer/confirmation.h"
#include "peer/freshness.h"
#include "peer/membership.h"
#include "peer/peer_codec.h"

#include <absl/strings/str_format.h>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <kj/io.h>

#include <set>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

constexpr Offset kHead{1'000'000};
constexpr std::uint64_t kIncarnation = 1'790'000'000'000; // As large as a time since 1970 in milliseconds.

std::size_t packedSize(const Heartbeat &heartbeat)
{
    capnp::MallocMessageBuilder message;
    writeHeartbeat(heartbeat, message.initRoot<wire::Heartbeat>());
    kj::VectorOutputStream out;
    capnp::writePackedMessage(static_cast<kj::BufferedOutputStream &>(out), message);
    return out.getArray().size();
}

/// Daemons on one clock whose exchanges take no time.
class SimulatedGroup
{
public:
    explicit SimulatedGroup(std::size_t n)
    {
        MembershipView view{kHead, {}};
        for (std::size_t i = 0; i < n; ++i) {
            view.members.push_back({InstanceId(absl::StrFormat("d%03d", i)), Incarnation(kIncarnation), ZoneId("z1"),
                                    Address{"10.0.0.1", 7400}});
        }
        for (std::size_t i = 0; i < n; ++i) {
            daemons.emplace_back(view.members[i]);
            daemons.back().setView(view, m_clock.now());
            freshness.emplace_back(keyOf(view.members[i]), FreshnessOptions{n > 8 ? Duration(8s) : 2500ms});
            freshness.back().setView(view);
            freshness.back().setApplied(kHead);
        }
    }

    void run(Duration time)
    {
        for (const auto end = now() + time; now() < end; m_clock.advance(50ms)) {
            for (std::size_t i = 0; i < daemons.size(); ++i) {
                for (const auto &member :
                     unresponsive.contains(i) ? std::vector<GroupMember>() : daemons[i].dueCalls(now())) {
                    exchange(i, std::stoul(member.id.str().substr(1)));
                }
            }
        }
    }

    [[nodiscard]] TimePoint now() const
    {
        return m_clock.now();
    }

    std::vector<Membership> daemons;
    std::vector<Freshness> freshness;
    std::set<std::size_t> unresponsive;
    std::size_t exchanges = 0;
    std::size_t bytes = 0; ///< Packed bytes of requests and replies, without the RPC's frames.

private:
    void exchange(std::size_t from, std::size_t to)
    {
        const auto request = daemons[from].heartbeatTo(daemons[to].self().id, HeartbeatKind::Request, kHead, now());
        if (unresponsive.contains(to)) {
            return;
        }
        ++exchanges;
        deliver(to, request);
        deliver(from, daemons[to].heartbeatTo(daemons[from].self().id, HeartbeatKind::Reply, kHead, now()));
    }

    void deliver(std::size_t to, const Heartbeat &heartbeat)
    {
        bytes += packedSize(heartbeat);
        for (const auto &evidence : daemons[to].received(heartbeat, now())) {
            freshness[to].reported(evidence);
        }
    }

    ManualClock m_clock;
};

} // namespace

Test(membership, a_pair_makes_one_call_a_second)
{
    SimulatedGroup group(7);
    group.run(20s);
    cr_assert(group.exchanges <= std::size_t{21} * 20, "%zu exchanges", group.exchanges);
    for (std::size_t i = 0; i < 7; ++i) {
        cr_assert(group.daemons[i].suspects(group.now()).empty());
        cr_assert(group.freshness[i].fresh(group.now()));
    }
}

Test(membership, a_majority_evicts_unresponsive_members_and_a_minority_evicts_none)
{
    SimulatedGroup group(7);
    group.run(5s);
    group.unresponsive = {2, 5};
    group.run(8s);
    std::size_t evictions = 0;
    for (std::size_t i = 0; i < 7; ++i) {
        const auto proposals = group.daemons[i].proposals(group.now(), false);
        for (const auto &proposal : proposals) {
            cr_assert(proposal.kind == MembershipProposal::Kind::Evict);
            cr_assert(proposal.member.id == InstanceId("d002") || proposal.member.id == InstanceId("d005"));
        }
        cr_assert(!group.unresponsive.contains(i) || proposals.empty());
        cr_assert(group.freshness[i].fresh(group.now()) == !group.unresponsive.contains(i));
        evictions += proposals.size();
    }
    cr_assert(evictions >= 2);
}

Test(membership, a_daemon_proposes_to_join_again_after_its_eviction_and_to_leave_on_a_stop)
{
    SimulatedGroup group(3);
    auto view = group.daemons[0].view();
    view.epoch = kHead.next();
    view.members.erase(view.members.begin());
    cr_assert(group.daemons[0].proposals(group.now(), true).at(0).kind == MembershipProposal::Kind::Leave);
    group.run(6s);
    group.daemons[0].setView(view, group.now());
    cr_assert(group.daemons[0].proposals(group.now(), false).at(0).kind == MembershipProposal::Kind::Join);
    cr_assert(group.daemons[0].proposals(group.now(), false).empty(), "proposed again at once");
}

Test(membership, messages_of_an_older_incarnation_give_no_evidence)
{
    SimulatedGroup group(3);
    group.run(3s);
    auto heartbeat = group.daemons[1].heartbeatTo(InstanceId("d000"), HeartbeatKind::Request, kHead, group.now());
    heartbeat.incarnation = Incarnation(kIncarnation + 1);
    cr_assert(!group.daemons[0].received(heartbeat, group.now()).empty());
    const MemberKey earlier{InstanceId("d001"), Incarnation(kIncarnation)};
    cr_assert(group.daemons[0].ended().at(0) == earlier);
    heartbeat.incarnation = Incarnation(kIncarnation);
    cr_assert(group.daemons[0].received(heartbeat, group.now()).empty());
}

// Limits the bytes that a daemon sends and receives per second, without the RPC's
// frames. Small group: 2 (n - 1) messages a second of at most kBase + n / 2 bytes.
// Large group: every 600 ms 2 requests of kBase and 2 replies of kBase + n / 2 bytes.
// Packing adds one byte for every 8.
ParameterizedTestParameters(membership, traffic_stays_within_the_budget)
{
    static std::size_t sizes[] = {7, 14, 28, 350};
    return cr_make_param_array(std::size_t, sizes, 4);
}

ParameterizedTest(std::size_t *param, membership, traffic_stays_within_the_budget)
{
    constexpr std::size_t kBase = 70;
    const auto n = *param;
    SimulatedGroup group(n);
    group.run(12s);
    group.bytes = 0;
    Duration slack = 1h;
    for (int second = 0; second < 12; ++second) {
        group.run(1s);
        for (std::size_t i = 0; i < n; ++i) {
            cr_assert(group.daemons[i].suspects(group.now()).empty());
            slack = std::min(slack, group.freshness[i].freshUntil() - group.now());
        }
    }
    // Each message counts at both ends.
    const auto perDaemon = 2 * group.bytes / 12 / n;
    const auto ages = (n / 2) * 9 / 8 + 2;
    const auto formula = n <= 8 ? 2 * (n - 1) * (kBase + ages) : (4 * kBase + 2 * ages) * 10 / 6;
    cr_log_info("%zu members: %zu bytes/s per daemon, limit %zu, minimum remaining freshness %lld ms", n, perDaemon,
                formula, static_cast<long long>(slack / 1ms));
    cr_assert(perDaemon <= formula && formula <= 2000);
    cr_assert(slack > 0s, "a daemon was not fresh");
}
