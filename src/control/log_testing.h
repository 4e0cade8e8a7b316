#pragma once

#include "base/random.h"
#include "control/log_follower.h"
#include "control/log_writer.h"
#include "control/snapshot_schedule.h"

#include <rapidcheck.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// A simulation of daemons that read and write a faulty log. Tests only.
namespace mimosahub
{

/// An append-only log that drops its oldest entries.
class FakeLog
{
public:
    explicit FakeLog(std::size_t retained) : m_retained(retained)
    {
    }
    Offset append(std::string data, TimePoint now)
    {
        m_all.push_back(std::move(data));
        m_appendTimes.push_back(now);
        return head();
    }
    [[nodiscard]] ReadResult read(const ReadRequest &request) const
    {
        ReadResult result{first(), head(), {}};
        for (auto n = std::max(request.from, first()); n <= head() && result.entries.size() < request.limit;
             n = n.next()) {
            result.entries.push_back({n, m_all.at(n.value() - 1)});
        }
        return result;
    }
    [[nodiscard]] Offset first() const
    {
        return Offset(m_all.size() > m_retained ? m_all.size() - m_retained + 1 : 1);
    }
    [[nodiscard]] Offset head() const
    {
        return Offset(m_all.size());
    }
    /// All appends, including those dropped since.
    [[nodiscard]] const std::vector<std::string> &all() const
    {
        return m_all;
    }
    /// True if everything appended before \a time is at or below \a applied.
    [[nodiscard]] bool coversAppendsBefore(TimePoint time, Offset applied) const
    {
        return applied >= head() || m_appendTimes.at(applied.value()) >= time;
    }

private:
    std::size_t m_retained;
    std::vector<std::string> m_all;
    std::vector<TimePoint> m_appendTimes;
};

/// Probabilities of faults, for each operation or, for restart and pause, each step.
struct FaultRates {
    double readFails = 0.0;
    double appendRefused = 0.0;
    double appendLost = 0.0; ///< Half of these are appended nevertheless, some of them late.
    double restart = 0.0;
    double pause = 0.0;
};

/// Runs daemons against one log, with faults and outages generated from a seed.
class LogSimulation
{
public:
    static constexpr Duration kStep = 5ms;

    LogSimulation(std::uint64_t seed, std::size_t daemons, std::size_t retained)
        : m_random(seed), m_log(retained), m_daemons(daemons), m_maxAppends(m_random.below(2) == 0 ? 60 : 100000)
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            start(i);
        }
        const ObjectKey profile{ObjectKind::Profile, "p"};
        const ObjectKey service{ObjectKind::Service, "s"};
        const Publish publish{
            "op",
            {{profile, Offset(), R"({"deadline":"8s"})"}, {service, Offset(), R"({"kind":"engine","profile":"p"})"}}};
        enqueue(0, publish, "", TimePoint::max());
    }

    /// Runs \a steps. Each daemon writes an order with probability \a load in each step, and snapshots if \a snapshots.
    void run(int steps, const FaultRates &rates, double load, bool snapshots)
    {
        m_snapshots = snapshots;
        for (int i = 0; i < steps; ++i) {
            m_now += kStep;
            m_rates = rates;
            if (m_outageSteps > 0) {
                --m_outageSteps;
            } else if (rates.readFails > 0 && m_random.uniform() < 0.002) {
                m_outageSteps = static_cast<int>(m_random.below(400));
            }
            runDue();
            for (std::size_t n = 0; n < m_daemons.size(); ++n) {
                stepDaemon(n, load);
            }
        }
    }
    /// Checks, once faults have stopped, that all daemons agree and each order ended as reported to its writer.
    void checkConverged()
    {
        ControlState reference;
        std::vector<MembershipTable> memberships;
        std::map<std::string, int> accepted;
        std::map<std::string, int> rejected;
        for (std::size_t i = 0; i < m_log.all().size(); ++i) {
            const auto epoch = reference.membershipEpoch();
            const auto applied = reference.apply(Offset(i + 1), m_log.all()[i]);
            RC_ASSERT(applied.ok());
            countOrders(m_log.all()[i], *applied, accepted, rejected);
            if (reference.membershipEpoch() != epoch) {
                memberships.push_back(reference.membership());
            }
        }
        std::map<std::string, int> orders;
        for (const auto &[position, order] : reference.endpointOrders()) {
            ++orders[order.order.argument];
        }
        RC_ASSERT(orders.size() == accepted.size());
        for (const auto &daemon : m_daemons) {
            RC_ASSERT(daemon->writer.pending() == 0U);
            RC_ASSERT(daemon->follower.ready());
            RC_ASSERT((daemon->state.encode() == reference.encode()));
            RC_ASSERT(daemon->tickets.empty());
            // Each epoch since its start or last restore was reported once, in order.
            RC_ASSERT(daemon->memberships.size() <= memberships.size());
            RC_ASSERT(daemon->restored || daemon->memberships.size() == memberships.size());
            RC_ASSERT(std::equal(daemon->memberships.rbegin(), daemon->memberships.rend(), memberships.rbegin()));
        }
        for (const auto &[argument, resolution] : m_resolutions) {
            const auto times = std::pair(accepted[argument], rejected[argument]);
            switch (resolution) {
            case AppendResolution::Accepted:
                RC_ASSERT(times.first == 1); // A late duplicate may be rejected as stale.
                break;
            case AppendResolution::Rejected:
                RC_ASSERT(times.first == 0);
                RC_ASSERT(times.second > 0);
                break;
            case AppendResolution::VerdictLost:
                RC_ASSERT(times.first == 1 || times.second > 0); // Before the first publish orders are rejected.
                break;
            case AppendResolution::NotAppended:
                RC_ASSERT(times == std::pair(0, 0));
                break;
            }
        }
        for (const auto &[argument, n] : orders) {
            RC_ASSERT(n <= 1); // Also for orders whose writer died.
        }
    }
    /// Counts the accepted and rejected orders of an append; duplicates are ignored.
    static void countOrders(const std::string &data, const AppliedBatch &applied, std::map<std::string, int> &accepted,
                            std::map<std::string, int> &rejected)
    {
        const auto batch = decodeBatch(data);
        for (std::size_t n = 0; batch.ok() && n < batch->records.size() && !applied.verdicts.empty(); ++n) {
            const auto &record = batch->records[n];
            const auto *order = record.ok() ? std::get_if<EndpointOrder>(&*record) : nullptr;
            if (order != nullptr) {
                const auto &verdict = applied.verdicts.at(std::min(n, applied.verdicts.size() - 1));
                ++(verdict.accepted() ? accepted : rejected)[order->argument];
            }
        }
    }
    [[nodiscard]] std::size_t count(AppendResolution resolution) const
    {
        return static_cast<std::size_t>(std::count_if(m_resolutions.begin(), m_resolutions.end(),
                                                      [&](const auto &it) { return it.second == resolution; }));
    }
    [[nodiscard]] const FakeLog &log() const
    {
        return m_log;
    }
    [[nodiscard]] int restores() const
    {
        return m_restores;
    }

private:
    struct Daemon {
        Daemon(const LogFollowerOptions &follower, const LogWriterOptions &writer, std::uint64_t maxAppends,
               std::uint64_t seed)
            : follower(follower, state, seed),
              writer(writer, seed + 1),
              schedule({.maxAppends = maxAppends, .maxAge = 10min, .spread = 200ms, .retryAfter = 1s}, seed + 2)
        {
        }

        ControlState state;
        LogFollower follower;
        LogWriter writer;
        SnapshotSchedule schedule;
        Offset headAtStart;
        Offset lastApplied;
        std::vector<MembershipTable> memberships; ///< Reported since the start or the last restore.
        bool restored = false;
        std::map<Ticket, std::string> tickets; ///< Arguments of the orders that are not resolved yet.
        int pausedSteps = 0;
    };
    using Event = std::function<void()>;

    void start(std::size_t n)
    {
        ++m_incarnation;
        LogWriterOptions writer;
        writer.writer = InstanceId("d" + std::to_string(n));
        writer.incarnation = Incarnation(m_incarnation);
        writer.appendsPerSecond = 100;
        LogFollowerOptions follower;
        follower.readLimit = 40;
        follower.firstScanWindow = 16;
        m_daemons[n] = std::make_unique<Daemon>(follower, writer, m_maxAppends, m_random.below(1U << 30U));
        m_daemons[n]->headAtStart = m_log.head();
    }
    void stepDaemon(std::size_t n, double load)
    {
        if (m_random.uniform() < m_rates.restart) {
            start(n);
        }
        auto &daemon = *m_daemons[n];
        if (daemon.pausedSteps > 0) {
            --daemon.pausedSteps;
            return;
        }
        if (m_random.uniform() < m_rates.pause) {
            daemon.pausedSteps = static_cast<int>(m_random.below(600));
        }
        if (m_random.uniform() < load) {
            const auto argument = std::to_string(++m_orders);
            const EndpointOrder order{EndpointId("e"), ServiceId("s"), EndpointAction::LoadModel, argument, "op"};
            enqueue(n, order, argument, m_now + 1ms * m_random.below(200));
        }
        if (m_random.uniform() < load / 4) {
            const auto join = m_random.below(2) == 0;
            enqueue(n, join ? Record(MemberJoin{ZoneId("z"), Address{}}) : Record(MemberLeave{}), "", m_now + 200ms);
        }
        relayFromPeer(daemon);
        if (m_snapshots && daemon.follower.ready()
            && daemon.schedule.tick({daemon.state.appliedOffset(), daemon.follower.firstRetained(),
                                     daemon.follower.head(), daemon.state.newestSnapshot()},
                                    m_now)) {
            for (auto &part : makeSnapshot(daemon.state)) {
                (void)daemon.writer.enqueue(std::move(part), m_now + 5s, m_now, Urgency::Background);
            }
        }
        if (const auto read = daemon.follower.tick(m_now)) {
            sendRead(n, *read);
        }
        recordResolutions(daemon, daemon.writer.expire(m_now));
        if (auto append = daemon.writer.tick(m_now, WallTime(std::chrono::hours(1)))) {
            sendAppend(n, *std::move(append));
        }
        checkDaemon(daemon);
    }
    /// Sometimes delivers records or the state of another daemon.
    void relayFromPeer(Daemon &daemon)
    {
        if (m_rates.readFails == 0.0 || m_random.uniform() > 0.01) {
            return;
        }
        const auto &peer = *m_daemons[m_random.below(m_daemons.size())];
        if (m_random.uniform() < 0.3) {
            handle(daemon, daemon.follower.onPeerState(peer.state));
            return;
        }
        auto entries = m_log.read({daemon.state.appliedOffset().next(), 30}).entries;
        std::erase_if(entries, [&](const auto &it) { return it.offset > peer.state.appliedOffset(); });
        handle(daemon, daemon.follower.onPeerEntries(entries, peer.state.appliedOffset(), peer.follower.freshAsOf()));
    }
    void enqueue(std::size_t n, const Record &record, const std::string &argument, TimePoint deadline)
    {
        auto &daemon = *m_daemons[n];
        const auto ticket = daemon.writer.enqueue(record, deadline, m_now);
        if (ticket.ok() && !argument.empty()) {
            daemon.tickets[*ticket] = argument;
        }
    }
    void sendRead(std::size_t n, const ReadRequest &request)
    {
        if (m_outageSteps > 0 || m_random.uniform() < m_rates.readFails) {
            runWithin(n, 10, [this, n] { m_daemons[n]->follower.onReadFailed(m_now); });
            return;
        }
        // Both the request and the response take some steps.
        runWithin(n, 3, [this, n, request] {
            auto result = m_log.read(request);
            runWithin(n, 3, [this, n, result = std::move(result)] {
                handle(*m_daemons[n], m_daemons[n]->follower.onRead(result, m_now));
            });
        });
    }
    void sendAppend(std::size_t n, AppendRequest request)
    {
        const auto sequence = request.sequence;
        if (m_random.uniform() < m_rates.appendRefused) {
            runWithin(n, 3, [this, n, sequence] { m_daemons[n]->writer.onAppendRefused(sequence, m_now); });
            return;
        }
        if (m_outageSteps > 0 || m_random.uniform() < m_rates.appendLost) {
            if (m_random.uniform() < 0.5) {
                appendWithin(60, std::move(request.data), nullptr); // Perhaps after the batch was appended again.
            }
            runWithin(n, 10, [this, n, sequence] { m_daemons[n]->writer.onAppendLost(sequence, m_now); });
            return;
        }
        appendWithin(2, std::move(request.data), [this, n, sequence, daemon = m_daemons[n].get()](Offset offset) {
            if (m_daemons[n].get() == daemon) {
                runWithin(n, 2, [this, n, sequence, offset] {
                    m_daemons[n]->writer.onAppended(sequence, offset);
                    m_daemons[n]->follower.wake();
                });
            }
        });
    }
    /// Appends \a data to the log within \a steps, even if its writer restarts.
    void appendWithin(std::uint64_t steps, std::string data, std::function<void(Offset)> then)
    {
        const auto due = m_now + kStep * (1 + m_random.below(steps));
        m_due.emplace(due, [this, data = std::move(data), then = std::move(then)] {
            const auto offset = m_log.append(data, m_now);
            if (then) {
                then(offset);
            }
        });
    }
    /// Runs \a event within \a steps, unless the daemon has been restarted by then.
    void runWithin(std::size_t n, std::uint64_t steps, Event event)
    {
        const auto due = m_now + kStep * (1 + m_random.below(steps));
        const auto incarnation = m_daemons[n]->headAtStart;
        const auto *daemon = m_daemons[n].get();
        m_due.emplace(due, [this, n, daemon, incarnation, event = std::move(event)] {
            if (m_daemons[n].get() == daemon && m_daemons[n]->headAtStart == incarnation) {
                event();
            }
        });
    }
    void runDue()
    {
        while (!m_due.empty() && m_due.begin()->first <= m_now) {
            const auto event = std::move(m_due.begin()->second);
            m_due.erase(m_due.begin());
            event();
        }
    }
    void handle(Daemon &daemon, const FollowerStep &step)
    {
        m_restores += step.restored ? 1 : 0;
        if (step.restored) {
            daemon.restored = true;
            if (!step.memberships.empty()) {
                daemon.memberships.clear();
            }
            recordResolutions(daemon, daemon.writer.onRestored(daemon.state, m_now));
        }
        daemon.memberships.insert(daemon.memberships.end(), step.memberships.begin(), step.memberships.end());
        for (const auto &it : step.applied) {
            recordResolutions(daemon, daemon.writer.onApplied(it, m_now));
        }
        if (step.headReadStarted) {
            daemon.writer.onHeadRead(*step.headReadStarted);
        }
    }
    void recordResolutions(Daemon &daemon, const std::vector<TicketOutcome> &outcomes)
    {
        for (const auto &it : outcomes) {
            if (it.resolution == AppendResolution::Accepted) {
                RC_ASSERT(it.verdict.position.offset <= daemon.state.appliedOffset());
            }
            if (const auto ticket = daemon.tickets.find(it.ticket); ticket != daemon.tickets.end()) {
                m_resolutions[ticket->second] = it.resolution;
                daemon.tickets.erase(ticket);
            }
        }
    }
    void checkDaemon(Daemon &daemon)
    {
        const auto applied = daemon.state.appliedOffset();
        RC_ASSERT(applied >= daemon.lastApplied);
        daemon.lastApplied = applied;
        if (daemon.follower.ready()) {
            RC_ASSERT(applied >= daemon.headAtStart);
        }
        if (const auto asOf = daemon.follower.freshAsOf()) {
            RC_ASSERT(m_log.coversAppendsBefore(*asOf, applied));
        }
    }

    Random m_random;
    FakeLog m_log;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::uint64_t m_maxAppends; ///< Appends until a snapshot is due; if large, retention makes it due earlier.
    std::multimap<TimePoint, Event> m_due;
    TimePoint m_now{std::chrono::hours(1)};
    FaultRates m_rates;
    bool m_snapshots = true;
    int m_outageSteps = 0;
    std::uint64_t m_incarnation = 0;
    int m_orders = 0;
    int m_restores = 0;
    std::map<std::string, AppendResolution> m_resolutions;
};

} // namespace mimosahub
