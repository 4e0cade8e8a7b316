// Properties of a group of daemons over generated histories, in which messages are
// lost, delayed and duplicated, links and the log are cut, and daemons pause, restart
// and are evicted. A small loop takes the place of the network and the log and drives
// the parts of each daemon that do no I/O.

#include "base/random.h"
#include "peer/confirmation.h"
#include "peer/freshness.h"
#include "peer/slot_holder.h"
#include "peer/slot_owner.h"

#include <rapidcheck.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kDaemons = 5;
constexpr std::size_t kSteps = 700;
constexpr Duration kStep = 100ms;
constexpr std::uint32_t kLimit = 2;
const ResourceKey kCold = endpointSlots(EndpointId("cold"));
const SlotLeaseOptions kLeases{.lease = 2s, .maxCallDuration = 2s};

enum class Fault {
    Pause,
    CutLinks,
    CutLog,
    Isolate,
    Restart,
    Evict,
    Append
};

/// A fault of \a daemon, or of the daemons in the bit set \a mask, for \a length steps.
struct FaultEvent {
    Fault fault;
    std::size_t step;
    std::size_t daemon;
    unsigned mask;
    std::size_t length;

    friend std::ostream &operator<<(std::ostream &out, const FaultEvent &event)
    {
        return out << "{fault " << static_cast<int>(event.fault) << " step " << event.step << " daemon " << event.daemon
                   << " mask " << event.mask << " length " << event.length << "}";
    }
};

rc::Gen<FaultEvent> genFault()
{
    return rc::gen::construct<FaultEvent>(
        rc::gen::element(Fault::Pause, Fault::CutLinks, Fault::CutLog, Fault::Isolate, Fault::Isolate, Fault::Restart,
                         Fault::Evict, Fault::Evict, Fault::Append),
        rc::gen::inRange<std::size_t>(0, kSteps), rc::gen::inRange<std::size_t>(0, kDaemons),
        rc::gen::inRange<unsigned>(1, 1U << kDaemons), rc::gen::inRange<std::size_t>(5, 150));
}

struct Daemon {
    Daemon(std::size_t index, std::uint64_t incarnation)
        : self{InstanceId("d" + std::to_string(index)), Incarnation(incarnation), ZoneId("z"), Address{}},
          membership(self),
          freshness(keyOf(self)),
          tracker(keyOf(self)),
          owner(keyOf(self), kLeases),
          holder(keyOf(self), kLeases),
          slotCounter(holder.slotCounter(kCold))
    {
        owner.setLimit(kCold, {kLimit, kLimit, true});
        holder.setDemand(kCold, {3, true, SlotFallback::None, kLimit});
    }

    void setView(const MembershipView &view, TimePoint now)
    {
        membership.setView(view, now);
        freshness.setView(view);
        tracker.addView(view, now);
        owner.setView(view);
        holder.setView(view);
    }

    void receive(const Heartbeat &heartbeat, TimePoint now)
    {
        const MemberKey sender{heartbeat.sender, heartbeat.incarnation};
        for (const auto &evidence : membership.received(heartbeat, now)) {
            freshness.reported(evidence);
            tracker.reported(evidence.member, evidence.appliedAtLeast, now);
        }
        owner.setAccepted(tracker.accepted(), now);
        if (heartbeat.slotReply) {
            holder.received(sender, *heartbeat.slotReply, now);
        }
        if (heartbeat.slotRequest) {
            replies[sender.id] = owner.handle(sender, *heartbeat.slotRequest, now, freshness.freshUntil());
        }
    }

    Heartbeat messageTo(const InstanceId &peer, HeartbeatKind kind, TimePoint now)
    {
        auto heartbeat = membership.heartbeatTo(peer, kind, applied, now);
        heartbeat.slotReply = std::exchange(replies[peer], std::nullopt);
        heartbeat.slotRequest = holder.requestTo(peer, now);
        return heartbeat;
    }

    GroupMember self;
    Membership membership;
    Freshness freshness;
    ConfirmationTracker tracker;
    SlotOwner owner;
    SlotHolder holder;
    std::shared_ptr<SlotCounter> slotCounter;
    std::map<InstanceId, std::optional<SlotReply>> replies;
    Offset applied;
};

struct Message {
    TimePoint due;
    std::size_t from;
    std::size_t to;
    HeartbeatKind kind;
    Heartbeat heartbeat;
};

struct RunningCall {
    std::shared_ptr<SlotCounter> slotCounter;
    TimePoint end;
    std::size_t daemon;
};

/// Counts of what happened in a history, to detect a property that holds only because
/// nothing happened.
struct Statistics {
    std::size_t calls = 0;
    std::size_t atLimit = 0;
    std::size_t inForce = 0;
    std::size_t stale = 0; ///< Number of times that a fresh daemon lacked the log's last record.
    std::size_t epochs = 0;
};

class Group
{
public:
    Group(std::uint64_t seed, std::vector<FaultEvent> faults) : m_random(seed), m_faults(std::move(faults))
    {
        for (std::size_t i = 0; i < kDaemons; ++i) {
            m_daemons.push_back(std::make_unique<Daemon>(i, 1));
            append(MembershipProposal{MembershipProposal::Kind::Join, m_daemons[i]->self});
        }
    }

    void step(std::size_t index)
    {
        m_clock.advance(kStep);
        for (const auto &event : m_faults) {
            if (event.step == index) {
                injectFault(event);
            }
        }
        std::erase_if(m_calls, [&](const RunningCall &call) { return endCall(call); });
        deliver();
        for (std::size_t i = 0; i < kDaemons; ++i) {
            if (now() >= m_pausedUntil[i]) {
                tick(i);
            }
        }
    }

    void checkSlots()
    {
        const auto running =
            std::count_if(m_calls.begin(), m_calls.end(), [&](const RunningCall &call) { return now() < call.end; });
        RC_ASSERT(running <= static_cast<std::ptrdiff_t>(kLimit));
        statistics.atLimit += running == kLimit ? 1 : 0;
    }

    // Once any daemon reports a record as in force, every fresh member must have
    // applied it. A daemon outside its own view may lack it for one lease (see
    // freshness.cc).
    void checkInForce()
    {
        Offset inForce;
        for (const auto &daemon : m_daemons) {
            for (auto offset = inForce.next(); offset <= daemon->tracker.accepted(); offset = offset.next()) {
                inForce = daemon->tracker.inForce(offset, now()) ? offset : inForce;
            }
        }
        for (const auto &daemon : m_daemons) {
            if (daemon->membership.joined() && daemon->freshness.fresh(now())) {
                RC_ASSERT(daemon->applied >= inForce);
                statistics.stale += daemon->applied < head() ? 1 : 0;
            }
        }
        statistics.inForce += inForce == head() ? 1 : 0;
        statistics.epochs = m_views.size();
    }

    Statistics statistics;

private:
    [[nodiscard]] TimePoint now() const
    {
        return m_clock.now();
    }
    [[nodiscard]] Offset head() const
    {
        return Offset(m_views.size());
    }

    void append(const std::optional<MembershipProposal> &change)
    {
        auto view = m_views.empty() ? MembershipView{} : m_views.back();
        if (change) {
            view.epoch = head().next();
            std::erase_if(view.members, [&](const GroupMember &member) { return member.id == change->member.id; });
            if (change->kind == MembershipProposal::Kind::Join) {
                view.members.push_back(change->member);
                std::sort(view.members.begin(), view.members.end(),
                          [](const GroupMember &a, const GroupMember &b) { return a.id < b.id; });
            }
        }
        m_views.push_back(std::move(view));
    }

    void injectFault(const FaultEvent &event)
    {
        const auto until = now() + event.length * kStep;
        auto &daemon = m_daemons[event.daemon];
        switch (event.fault) {
        case Fault::Pause:
            m_pausedUntil[event.daemon] = until;
            break;
        case Fault::CutLinks:
            m_partition = event.mask;
            m_partitionUntil = until;
            break;
        case Fault::CutLog:
            m_logCut = event.mask;
            m_logCutUntil = until;
            break;
        case Fault::Isolate:
            m_partition = m_logCut = event.mask;
            m_partitionUntil = m_logCutUntil = until;
            break;
        case Fault::Restart:
            daemon = std::make_unique<Daemon>(event.daemon, daemon->self.incarnation.next().value());
            loadSnapshot(*daemon, Offset(m_random.below(head().value() + 1)));
            break;
        case Fault::Evict:
            append(MembershipProposal{MembershipProposal::Kind::Evict, daemon->self});
            break;
        case Fault::Append:
            append(std::nullopt);
            break;
        }
    }

    bool endCall(const RunningCall &call)
    {
        if (now() < call.end || now() < m_pausedUntil[call.daemon]) {
            return false;
        }
        call.slotCounter->release();
        return true;
    }

    [[nodiscard]] bool linked(std::size_t a, std::size_t b) const
    {
        return now() >= m_partitionUntil || ((m_partition >> a) & 1U) == ((m_partition >> b) & 1U);
    }
    [[nodiscard]] bool reachesLog(std::size_t i) const
    {
        return now() >= m_logCutUntil || ((m_logCut >> i) & 1U) == 0;
    }

    void send(std::size_t from, std::size_t to, HeartbeatKind kind)
    {
        auto heartbeat = m_daemons[from]->messageTo(m_daemons[to]->self.id, kind, now());
        const auto copies = m_random.below(20) == 0 ? 2 : m_random.below(20) == 0 ? 0 : 1;
        for (int i = 0; i < copies; ++i) {
            const auto delay = m_random.below(15) == 0 ? m_random.below(60) : m_random.below(2);
            m_messages.push_back({now() + delay * kStep, from, to, kind, heartbeat});
        }
    }

    void deliver()
    {
        auto messages = std::exchange(m_messages, {});
        for (const auto &message : messages) {
            if (now() < message.due || now() < m_pausedUntil[message.to]) {
                m_messages.push_back(message);
            } else if (linked(message.from, message.to)) {
                m_daemons[message.to]->receive(message.heartbeat, now());
                relayRecords(message.from, message.to);
                if (message.kind == HeartbeatKind::Request) {
                    send(message.to, message.from, HeartbeatKind::Reply);
                }
            }
        }
    }

    void relayRecords(std::size_t from, std::size_t to)
    {
        if (m_random.below(4) == 0) {
            applyThrough(*m_daemons[to], m_daemons[from]->applied);
        }
    }

    void applyThrough(Daemon &daemon, Offset offset)
    {
        while (daemon.applied < offset) {
            daemon.applied = daemon.applied.next();
            const auto &view = m_views[daemon.applied.value() - 1];
            if (view.epoch == daemon.applied) {
                daemon.setView(view, now());
            }
        }
        daemon.freshness.setApplied(daemon.applied);
        daemon.tracker.reported(keyOf(daemon.self), daemon.applied, now());
    }

    // A snapshot contains the views for the tracker; the other parts start from the last
    // view.
    void loadSnapshot(Daemon &daemon, Offset offset)
    {
        for (std::size_t i = 0; i < offset.value(); ++i) {
            daemon.tracker.addView(m_views[i], now());
        }
        if (offset > Offset()) {
            daemon.setView(m_views[offset.value() - 1], now());
            daemon.applied = offset;
        }
    }

    void tick(std::size_t i)
    {
        auto &daemon = *m_daemons[i];
        if (reachesLog(i) && m_random.below(5) == 0) {
            daemon.freshness.logHeadRead(now(), head());
            applyThrough(daemon, head());
            for (const auto &proposal : daemon.membership.proposals(now(), false)) {
                append(proposal);
            }
        }
        daemon.owner.setAccepted(daemon.tracker.accepted(), now());
        for (const auto &member : daemon.membership.dueCalls(now())) {
            send(i, static_cast<std::size_t>(member.id.str()[1] - '0'), HeartbeatKind::Request);
        }
        // The daemon that owns the resource sends its request to itself.
        if (const auto request = daemon.holder.requestTo(daemon.self.id, now())) {
            const auto reply = daemon.owner.handle(keyOf(daemon.self), *request, now(), daemon.freshness.freshUntil());
            if (reply) {
                daemon.holder.received(keyOf(daemon.self), *reply, now());
            }
        }
        daemon.holder.refresh(now());
        if (daemon.freshness.fresh(now()) && daemon.slotCounter->tryAcquire(m_clock)) {
            const auto length =
                Duration(1 + m_random.below(static_cast<std::uint64_t>(kLeases.maxCallDuration.count())));
            m_calls.push_back({daemon.slotCounter, now() + length, i});
            ++statistics.calls;
        }
    }

    ManualClock m_clock;
    Random m_random;
    std::vector<FaultEvent> m_faults;
    std::vector<MembershipView> m_views; ///< The view after each record of the log.
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<Message> m_messages;
    std::vector<RunningCall> m_calls;
    std::array<TimePoint, kDaemons> m_pausedUntil{};
    unsigned m_partition = 0;
    TimePoint m_partitionUntil;
    unsigned m_logCut = 0;
    TimePoint m_logCutUntil;
};

void runHistory(Group group, const std::function<void(Group &)> &check, Statistics &sum)
{
    for (std::size_t i = 0; i < kSteps; ++i) {
        group.step(i);
        check(group);
    }
    sum.calls += group.statistics.calls;
    sum.atLimit += group.statistics.atLimit;
    sum.inForce += group.statistics.inForce;
    sum.stale += group.statistics.stale;
    sum.epochs += group.statistics.epochs;
}

/// Runs \a seeds histories for each generated list of faults.
Statistics runHistories(const std::function<void(Group &)> &check, std::uint64_t seeds)
{
    Statistics sum;
    cr_assert(rc::check([&](std::uint64_t seed) {
        const auto faults = *rc::gen::resize(60, rc::gen::container<std::vector<FaultEvent>>(genFault()));
        for (std::uint64_t i = 0; i < seeds; ++i) {
            runHistory(Group(seed + i, faults), check, sum);
        }
    }));
    return sum;
}

} // namespace

Test(group, slots_in_use_never_exceed_the_limit)
{
    const auto sum = runHistories([](Group &group) { group.checkSlots(); }, 5);
    cr_log_info("calls %zu, steps at the limit %zu", sum.calls, sum.atLimit);
    cr_assert(sum.calls > 1000 && sum.atLimit > 1000);
}

Test(group, every_fresh_member_has_applied_the_records_in_force)
{
    const auto sum = runHistories([](Group &group) { group.checkInForce(); }, 1);
    cr_log_info("steps in force %zu, fresh without the last record %zu, epochs %zu", sum.inForce, sum.stale,
                sum.epochs);
    cr_assert(sum.inForce > 1000 && sum.stale > 1000);
}
