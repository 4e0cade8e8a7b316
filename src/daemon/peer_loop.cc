// Glue between the pure cores of src/peer, the log, and the RPC service. Each
// tick makes the calls that the cores ask for; each message, request or reply
// alike, is fed to all of them in the same order.

#include "daemon/peer_loop.h"

#include "http/memory_shares.h"

#include "base/log.h"
#include "daemon/peer_records.h"
#include "daemon/peer_settings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr Duration kTick = std::chrono::milliseconds(50);
/// Calls for slots besides the heartbeats, to one owner, at most this often.
constexpr Duration kUrgentInterval = std::chrono::milliseconds(200);
constexpr Duration kProposalPatience = std::chrono::seconds(3);
/// Longest wait of a planned stop for the others to hear that its slots are free.
constexpr Duration kHandBackPatience = std::chrono::seconds(1);
constexpr Duration kMajorityPoll = std::chrono::milliseconds(10);
/// While the log's head was read within this time, missing records come from the
/// log and not from peers: several of its poll intervals.
constexpr Duration kLogReadRecent = std::chrono::milliseconds(500);

/// The service needs a handler and the loop needs the service's port: the
/// forwarder stands in until the loop exists.
class Forwarder : public PeerHandler
{
public:
    void setTarget(PeerHandler &target)
    {
        m_target = &target;
    }
    Heartbeat exchange(const Heartbeat &request) override
    {
        return m_target->exchange(request);
    }
    Offset pushRecords(const RecordRun &run) override
    {
        return m_target->pushRecords(run);
    }
    RecordRun fetchRecords(const RecordQuery &query) override
    {
        return m_target->fetchRecords(query);
    }

private:
    PeerHandler *m_target = nullptr;
};

} // namespace

absl::StatusOr<std::unique_ptr<PeerLoop>> PeerLoop::create(boost::asio::io_context &io, const Clock &clock,
                                                           const Settings &settings, LogLoop &log,
                                                           MetricRegistry &metrics, Incarnation incarnation)
{
    auto forwarder = std::make_unique<Forwarder>();
    PeerServiceOptions options;
    options.listen = settings.listen.peers;
    options.memoryBytes = http::MemoryShares::of(settings.limits.memoryMb).peers;
    auto memory = std::make_unique<http::MemoryMetrics>(clock, metrics, "peers", options.memoryBytes);
    options.memoryObserver = memory.get();
    auto service = PeerService::create(
        options, [&io](std::function<void()> work) { boost::asio::post(io, std::move(work)); }, *forwarder);
    if (!service.ok()) {
        return service.status();
    }
    const auto address = settings.listen.peersAdvertised.value_or((*service)->address());
    GroupMember self{settings.instance.id, incarnation, settings.instance.zone, address};
    std::unique_ptr<PeerLoop> loop(new PeerLoop(io, clock, settings, log, metrics, std::move(*service), self));
    forwarder->setTarget(*loop);
    loop->m_forwarder = std::move(forwarder);
    loop->m_messageMemory = std::move(memory);
    return loop;
}

PeerLoop::PeerLoop(boost::asio::io_context &io, const Clock &clock, const Settings &settings, LogLoop &log,
                   MetricRegistry &metrics, std::unique_ptr<PeerService> service, const GroupMember &self)
    : m_io(io),
      m_clock(clock),
      m_log(log),
      m_service(std::move(service)),
      m_catchUp(*m_service, log),
      m_membership(self, membershipOptionsOf(settings)),
      m_freshness(keyOf(self), freshnessOptionsOf(settings)),
      m_confirmations(keyOf(self), confirmationOptionsOf(settings)),
      m_slotOptions(slotLeaseOptionsOf(settings)),
      m_owner(keyOf(self), m_slotOptions),
      m_holder(keyOf(self), m_slotOptions),
      m_timer(io),
      m_membersGauge(metrics.gauge("mimosahub_members", "Daemons that are members by the log.")),
      m_freshGauge(metrics.gauge("mimosahub_fresh", "1 while this daemon may send new work.")),
      m_sentGauge(metrics.gauge("mimosahub_peer_sent_bytes", "Bytes sent to other daemons.")),
      m_receivedGauge(metrics.gauge("mimosahub_peer_received_bytes", "Bytes received from other daemons.")),
      m_failedCalls(metrics.counter("mimosahub_peer_failed_calls_total", "Calls of other daemons that failed."))
{
}

void PeerLoop::start()
{
    boost::asio::co_spawn(m_io, tickLoop(), boost::asio::detached);
}

void PeerLoop::leave()
{
    m_leaving = true;
    m_leaveAsked = m_clock.now();
    m_holder.releaseAll();
    m_timer.wake();
}

void PeerLoop::stop()
{
    m_stopped = true;
    m_timer.wake();
    m_service->stop();
}

http::Awaitable<void> PeerLoop::tickLoop()
{
    while (!m_stopped) {
        tick(m_clock.now());
        co_await m_timer.sleep(m_clock.now(), std::nullopt, kTick);
    }
}

void PeerLoop::tick(TimePoint now)
{
    handBack(now);
    if (m_log.follower().ready()) {
        submitProposals(now);
    }
    m_catchUp.tick(m_listed);
    m_holder.refresh(now);
    askOwnOwner(now);
    for (const auto &id : calleesNow(now)) {
        if (const auto *peer = findMember(m_membership.view(), id)) {
            callPeer(*peer, now);
        }
    }
    for (const auto &key : m_membership.ended()) {
        m_confirmations.ended(key, now);
    }
    refreshSignal();
    const auto traffic = m_service->traffic();
    m_sentGauge.set(static_cast<double>(traffic.bytesSent));
    m_receivedGauge.set(static_cast<double>(traffic.bytesReceived));
}

void PeerLoop::setListed(const std::vector<DaemonInfo> &daemons)
{
    m_listed.clear();
    for (const auto &daemon : daemons) {
        if (daemon.id != self().id) {
            m_listed.push_back(daemon.peerAddress);
        }
    }
}

/// Peers whose heartbeat is due, and owners that this daemon needs slots from.
std::set<InstanceId> PeerLoop::calleesNow(TimePoint now)
{
    std::set<InstanceId> result;
    for (const auto &peer : m_membership.dueCalls(now)) {
        result.insert(peer.id);
    }
    for (const auto &owner : m_holder.urgentOwners(now)) {
        auto &last = m_lastUrgentCall[owner];
        if (owner != self().id && now - last >= kUrgentInterval) {
            last = now;
            result.insert(owner);
        }
    }
    return result;
}

/// Slots of resources that this daemon owns itself need no message.
void PeerLoop::askOwnOwner(TimePoint now)
{
    if (now - m_lastOwnAsk < kUrgentInterval) {
        return;
    }
    m_lastOwnAsk = now;
    const auto request = m_holder.requestTo(self().id, now);
    if (!request) {
        return;
    }
    if (const auto reply = m_owner.handle(keyOf(self()), *request, now, m_freshness.freshUntil())) {
        m_holder.received(keyOf(self()), *reply, now);
    }
}

Heartbeat PeerLoop::makeHeartbeat(const MemberKey &peer, HeartbeatKind kind, TimePoint now)
{
    auto heartbeat = m_membership.heartbeatTo(peer.id, kind, m_log.state().appliedOffset(), now);
    heartbeat.leaving = m_handedBack;
    heartbeat.load = m_digest.digestFor(peer.id, peer.incarnation, heartbeat.sequence);
    // The reply goes only to the process that asked: the echo names it.
    if (auto reply = m_slotReplies.extract({peer.id, heartbeat.echoIncarnation})) {
        heartbeat.slotReply = std::move(reply.mapped());
    }
    heartbeat.slotRequest = m_holder.requestTo(peer.id, now);
    return heartbeat;
}

void PeerLoop::callPeer(const GroupMember &peer, TimePoint now)
{
    auto request = makeHeartbeat(keyOf(peer), HeartbeatKind::Request, now);
    const bool tells = request.leaving;
    m_service->exchange(peer.address, std::move(request),
                        [this, tells, id = peer.id](const absl::StatusOr<Heartbeat> &reply) {
                            if (tells) {
                                m_untold.erase(id);
                            }
                            if (reply.ok()) {
                                take(*reply, m_clock.now());
                            } else {
                                m_failedCalls.add();
                            }
                        });
}

/// Feeds a message, request or reply, to all cores.
void PeerLoop::take(const Heartbeat &heartbeat, TimePoint now)
{
    const MemberKey sender{heartbeat.sender, heartbeat.incarnation};
    m_listedDaemons.heard(sender);
    for (const auto &evidence : m_membership.received(heartbeat, now)) {
        m_freshness.reported(evidence);
        m_confirmations.reported(evidence.member, evidence.appliedAtLeast, now);
    }
    m_owner.setAccepted(m_confirmations.accepted(), now);
    m_merger.merge(heartbeat.sender, heartbeat.incarnation, heartbeat.load);
    if (heartbeat.echoIncarnation == self().incarnation) {
        m_digest.acknowledged(heartbeat.sender, heartbeat.incarnation, heartbeat.echo);
        if (heartbeat.slotReply) {
            m_holder.received(sender, *heartbeat.slotReply, now);
        }
    }
    if (heartbeat.leaving && m_owner.recordLeave(sender)) {
        logEvent(LogLevel::Info, "slots-taken-back").with("peer", sender.id);
    }
    if (heartbeat.slotRequest && !m_handedBack) {
        takeSlotRequest(sender, *heartbeat.slotRequest, now);
    }
    if (heartbeat.applied > m_log.state().appliedOffset()) {
        if (const auto *peer = findMember(m_membership.view(), heartbeat.sender)) {
            catchUpWith(*peer, now);
        }
    }
    refreshSignal();
}

/// The answer waits for the next message to \a holder: the reply to this one
/// if it is a request, or else this daemon's next request.
void PeerLoop::takeSlotRequest(const MemberKey &holder, const SlotRequest &request, TimePoint now)
{
    if (auto reply = m_owner.handle(holder, request, now, m_freshness.freshUntil())) {
        m_slotReplies.insert_or_assign(holder, *std::move(reply));
    }
}

Heartbeat PeerLoop::exchange(const Heartbeat &request)
{
    const auto now = m_clock.now();
    take(request, now);
    return makeHeartbeat({request.sender, request.incarnation}, HeartbeatKind::Reply, now);
}

Offset PeerLoop::pushRecords(const RecordRun &run)
{
    m_log.takePeerEntries(entriesOf(run), run.head, std::nullopt);
    if (m_log.state().appliedOffset() < run.head) {
        m_log.wake();
    }
    return m_log.state().appliedOffset();
}

RecordRun PeerLoop::fetchRecords(const RecordQuery &query)
{
    RecordRun run;
    run.first = query.first;
    run.head = m_log.state().appliedOffset();
    for (auto &entry : m_log.recent(query.first, std::min(query.limit, kFetchLimit))) {
        run.records.push_back(std::move(entry.data));
    }
    return run;
}

/// Reads the log for what \a peer is ahead by, and asks the peer as well unless the log answers.
void PeerLoop::catchUpWith(const GroupMember &peer, TimePoint now)
{
    m_log.wake();
    const auto readAt = m_log.follower().freshAsOf();
    const bool logAnswers = readAt && now - *readAt < kLogReadRecent;
    if (logAnswers || !m_fetching.insert(peer.id).second) {
        return;
    }
    const RecordQuery query{m_log.state().appliedOffset().next(), kFetchLimit};
    m_service->fetchRecords(peer.address, query, [this, id = peer.id](const absl::StatusOr<RecordRun> &run) {
        m_fetching.erase(id);
        if (run.ok()) {
            pushRecords(*run);
        } else {
            m_failedCalls.add();
        }
    });
}

void PeerLoop::stateChanged(const FollowerStep &step)
{
    const auto now = m_clock.now();
    const auto applied = m_log.state().appliedOffset();
    takeMemberships(step, now);
    m_freshness.setApplied(applied);
    if (step.headReadStarted) {
        m_freshness.logHeadRead(*step.headReadStarted, applied);
    }
    m_confirmations.reported(keyOf(self()), applied, now);
    m_owner.setAccepted(m_confirmations.accepted(), now);
    pushOperatorRecords(step);
    refreshSignal();
}

void PeerLoop::takeMemberships(const FollowerStep &step, TimePoint now)
{
    // A restored state may skip epochs, whose owners this daemon can't know.
    if (step.restored && !step.memberships.empty()) {
        m_owner = SlotOwner(keyOf(self()), m_slotOptions);
    }
    for (const auto &membership : step.memberships) {
        setView(viewOf(membership), now);
    }
}

void PeerLoop::setView(const MembershipView &view, TimePoint now)
{
    m_membership.setView(view, now);
    m_freshness.setView(view);
    if (!view.members.empty()) {
        // Nobody holds records for a group without members.
        m_confirmations.addView(view, now);
    }
    m_owner.setView(view);
    m_holder.setView(view);
    std::erase_if(m_slotReplies, [&](const auto &item) { return !isMember(view, item.first); });
    m_membersGauge.set(static_cast<double>(view.members.size()));
    logEvent(LogLevel::Info, "membership-changed").with("epoch", view.epoch).with("members", view.members.size());
}

void PeerLoop::setListing(const InstanceListing &listing)
{
    const auto now = m_clock.now();
    for (const auto &key : m_listedDaemons.ended(listing.daemons, m_membership.view(), now)) {
        m_confirmations.ended(key, now);
    }
    m_owner.setAccepted(m_confirmations.accepted(), now);
}

/// Passes on records that operators wait for, at once, if this daemon wrote them.
void PeerLoop::pushOperatorRecords(const FollowerStep &step)
{
    for (const auto &batch : step.applied) {
        if (!batch.header || batch.header->writer != self().id || batch.firstOffset) {
            continue;
        }
        const auto entries = m_log.recent(batch.offset, 1);
        if (entries.empty() || !carriesOperatorRecord(entries.front().data)) {
            continue;
        }
        for (const auto &peer : m_membership.view().members) {
            if (peer.id == self().id) {
                continue;
            }
            const RecordRun run{batch.offset, {entries.front().data}, m_log.state().appliedOffset()};
            m_service->pushRecords(peer.address, run, [this, key = keyOf(peer)](const absl::StatusOr<Offset> &applied) {
                if (applied.ok()) {
                    m_confirmations.reported(key, *applied, m_clock.now());
                } else {
                    m_failedCalls.add();
                }
            });
        }
    }
}

void PeerLoop::submitProposals(TimePoint now)
{
    for (const auto &proposal : m_membership.proposals(now, mayLeave(now))) {
        logEvent(LogLevel::Info, "membership-proposed")
            .with("kind", static_cast<int>(proposal.kind))
            .with("instance", proposal.member.id);
        m_log.submit(recordOf(proposal), now + kProposalPatience, Urgency::Normal,
                     [](const absl::StatusOr<TicketOutcome> &) {});
    }
}

/// Tells all others, once no call runs, that their slots are free again.
void PeerLoop::handBack(TimePoint now)
{
    if (!m_leaving || m_handedBack || m_holder.inUse() > 0) {
        return;
    }
    m_handedBack = true;
    m_slotReplies.clear();
    for (const auto &peer : m_membership.view().members) {
        if (peer.id != self().id) {
            m_untold.insert(peer.id);
            callPeer(peer, now);
        }
    }
    logEvent(LogLevel::Info, "slots-handed-back").with("told", m_untold.size());
}

/// Leaving comes after handing back: a process outside the view is not heard.
bool PeerLoop::mayLeave(TimePoint now) const
{
    if (!m_leaving || !joined()) {
        return m_leaving;
    }
    return (m_handedBack && m_untold.empty()) || now - m_leaveAsked >= kHandBackPatience;
}

void PeerLoop::refreshSignal()
{
    m_signal.set(m_freshness.freshUntil());
    const bool fresh = m_freshness.fresh(m_clock.now());
    m_freshGauge.set(fresh ? 1 : 0);
    if (fresh != m_wasFresh) {
        m_wasFresh = fresh;
        logEvent(fresh ? LogLevel::Info : LogLevel::Warning, fresh ? "fresh" : "not-fresh")
            .with("applied", m_log.state().appliedOffset());
    }
}

http::Awaitable<bool> PeerLoop::acceptedByMajority(Offset offset, Duration patience)
{
    const auto until = m_clock.now() + patience;
    while (m_confirmations.accepted() < offset) {
        if (m_clock.now() >= until || m_stopped) {
            co_return false;
        }
        boost::asio::steady_timer timer(m_io, kMajorityPoll);
        co_await timer.async_wait(http::kTuple);
    }
    co_return true;
}

} // namespace mimosahub
