#pragma once

#include "base/metrics.h"
#include "config/settings.h"
#include "daemon/freshness_signal.h"
#include "daemon/listed_daemons.h"
#include "daemon/log_loop.h"
#include "daemon/peer_catch_up.h"
#include "http/memory_metrics.h"
#include "http/wake_timer.h"
#include "peer/confirmation.h"
#include "peer/freshness.h"
#include "peer/load_digest.h"
#include "peer/membership.h"
#include "peer/peer_service.h"
#include "peer/slot_holder.h"
#include "peer/slot_owner.h"

#include <atomic>
#include <memory>
#include <optional>
#include <set>

namespace mimosahub
{

/// What this daemon does together with the others: heartbeats, membership,
/// freshness, records passed on, slot leases and counters. Everything happens on
/// the control thread.
class PeerLoop : private PeerHandler
{
public:
    /// Starts the peer service. All arguments must outlive the loop.
    static absl::StatusOr<std::unique_ptr<PeerLoop>> create(boost::asio::io_context &io, const Clock &clock,
                                                            const Settings &settings, LogLoop &log,
                                                            MetricRegistry &metrics, Incarnation incarnation);

    void start();
    /// Asks to leave the members; left() tells when the leave was recorded.
    void leave();
    [[nodiscard]] bool left() const
    {
        return !joined();
    }
    /// Whether this process is a member by the log.
    [[nodiscard]] bool joined() const
    {
        return m_membership.joined();
    }
    void stop();

    /// Takes the daemons that the instance list names.
    void setListed(const std::vector<DaemonInfo> &daemons);
    /// Takes what the log has brought.
    void stateChanged(const FollowerStep &step);
    /// Takes the platform's list, each time it was read.
    void setListing(const InstanceListing &listing);

    [[nodiscard]] const MembershipView &view() const
    {
        return m_membership.view();
    }
    [[nodiscard]] const FreshnessSignal &freshness() const
    {
        return m_signal;
    }
    [[nodiscard]] ConfirmationTracker &confirmations()
    {
        return m_confirmations;
    }
    [[nodiscard]] SlotHolder &slotHolder()
    {
        return m_holder;
    }
    [[nodiscard]] SlotOwner &slotOwner()
    {
        return m_owner;
    }
    [[nodiscard]] LoadDigestSender &counters()
    {
        return m_digest;
    }
    [[nodiscard]] LoadDigestMerger &peerCounters()
    {
        return m_merger;
    }
    /// Waits until a majority holds the record at \a offset; false after \a patience.
    http::Awaitable<bool> acceptedByMajority(Offset offset, Duration patience);
    /// Where it listens, which need not be where others reach it.
    [[nodiscard]] Address listening() const
    {
        return m_service->address();
    }
    /// This process as the others know it.
    [[nodiscard]] const GroupMember &self() const
    {
        return m_membership.self();
    }

private:
    PeerLoop(boost::asio::io_context &io, const Clock &clock, const Settings &settings, LogLoop &log,
             MetricRegistry &metrics, std::unique_ptr<PeerService> service, const GroupMember &self);

    Heartbeat exchange(const Heartbeat &request) override;
    Offset pushRecords(const RecordRun &run) override;
    RecordRun fetchRecords(const RecordQuery &query) override;

    http::Awaitable<void> tickLoop();
    void tick(TimePoint now);
    void askOwnOwner(TimePoint now);
    void callPeer(const GroupMember &peer, TimePoint now);
    void take(const Heartbeat &heartbeat, TimePoint now);
    Heartbeat makeHeartbeat(const MemberKey &peer, HeartbeatKind kind, TimePoint now);
    void catchUpWith(const GroupMember &peer, TimePoint now);
    void pushOperatorRecords(const FollowerStep &step);
    void submitProposals(TimePoint now);
    void handBack(TimePoint now);
    [[nodiscard]] bool mayLeave(TimePoint now) const;
    void takeMemberships(const FollowerStep &step, TimePoint now);
    void setView(const MembershipView &view, TimePoint now);
    void takeSlotRequest(const MemberKey &holder, const SlotRequest &request, TimePoint now);
    void refreshSignal();
    [[nodiscard]] std::set<InstanceId> calleesNow(TimePoint now);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    LogLoop &m_log;
    std::unique_ptr<PeerHandler> m_forwarder;
    std::unique_ptr<http::MemoryMetrics> m_messageMemory; ///< Used by the service.
    std::unique_ptr<PeerService> m_service;
    PeerCatchUp m_catchUp;
    std::vector<Address> m_listed; ///< The other daemons' addresses.
    Membership m_membership;
    Freshness m_freshness;
    ConfirmationTracker m_confirmations;
    SlotLeaseOptions m_slotOptions;
    SlotOwner m_owner;
    SlotHolder m_holder;
    LoadDigestSender m_digest;
    LoadDigestMerger m_merger;
    FreshnessSignal m_signal;
    WakeTimer m_timer;
    ListedDaemons m_listedDaemons;
    std::map<MemberKey, SlotReply> m_slotReplies; ///< To each holder's last request, until sent.
    std::map<InstanceId, TimePoint> m_lastUrgentCall;
    TimePoint m_lastOwnAsk;
    std::set<InstanceId> m_fetching;
    bool m_leaving = false;
    TimePoint m_leaveAsked;
    bool m_handedBack = false; ///< Uses no slot and grants none any more.
    std::set<InstanceId> m_untold; ///< Peers that were sent so and have not answered.
    bool m_wasFresh = false;
    bool m_stopped = false;
    Gauge &m_membersGauge;
    Gauge &m_freshGauge;
    Gauge &m_sentGauge;
    Gauge &m_receivedGauge;
    Counter &m_failedCalls;
};

} // namespace mimosahub
