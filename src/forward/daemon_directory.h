#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/endpoint.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace mimosahub
{

/// A daemon's entry in the store: how other daemons reach it, and its capacity.
struct DaemonEntry {
    InstanceId id;
    ZoneId zone;
    Address peers;
    std::uint64_t incarnation = 0; ///< Differs for each start of the daemon.
    double capacity = 1.0; ///< Relative to other daemons; above 0.
    bool leaving = false; ///< It will stop soon; it plans only if all other daemons are leaving too.

    friend bool operator==(const DaemonEntry &, const DaemonEntry &) = default;
};

struct DaemonDirectoryOptions {
    /// Interval of pings to a daemon that has work of this one and does not respond.
    Duration pingInterval = std::chrono::milliseconds(200);
    /// Time without a response, while work is in flight, after which a daemon is suspected.
    Duration suspicionTimeout = std::chrono::milliseconds(600);
    Duration firstRetryDelay = std::chrono::milliseconds(500); ///< Before a suspected daemon is pinged again; doubles.
    Duration maxRetryDelay = std::chrono::seconds(4);
    double minCapacityShare = 0.5; ///< Of the largest capacity; a daemon with less plans only if no other can.
};

/// Tracks the known daemons and which of them respond, and determines the one that
/// plans the calls of a service: the highest by weighted rendezvous hashing among the
/// responsive daemons of sufficient capacity.
/// Daemons that disagree for a moment plan for the same endpoints at once. That costs
/// time but is not incorrect.
class DaemonDirectory
{
public:
    DaemonDirectory(InstanceId self, const DaemonDirectoryOptions &options)
        : m_self(std::move(self)), m_options(options)
    {
    }

    void setDaemons(const std::vector<DaemonEntry> &daemons);

    /// The daemon that plans for \a key; this daemon's id if no other is known.
    [[nodiscard]] InstanceId ownerOf(std::string_view key) const;
    /// All listed daemons but this one.
    [[nodiscard]] std::vector<InstanceId> others() const;
    [[nodiscard]] std::optional<Address> addressOf(const InstanceId &daemon) const;
    /// Whether \a daemon is listed and not suspected.
    [[nodiscard]] bool isResponsive(const InstanceId &daemon) const;
    /// Records that work for this daemon began at \a daemon, or ended.
    void workStarted(const InstanceId &daemon, TimePoint now);
    void workEnded(const InstanceId &daemon);
    /// Records a response of \a daemon; it is no longer suspected.
    void recordResponse(const InstanceId &daemon, TimePoint now);
    /// Records that a call to \a daemon failed; it is suspected from now on.
    void recordFailure(const InstanceId &daemon, TimePoint now);
    /// Records that \a daemon reported that it no longer plans; its entry follows soon.
    void recordLeaving(const InstanceId &daemon);
    /// Daemons that are to be pinged now; records the pings as sent.
    [[nodiscard]] std::vector<InstanceId> takePings(TimePoint now);
    /// Daemons that have work of this one and have not responded for too long; they are
    /// suspected from now on.
    [[nodiscard]] std::vector<InstanceId> takeUnresponsive(TimePoint now);
    /// Whether any daemon must be monitored now.
    [[nodiscard]] bool needsMonitoring() const;

private:
    struct State {
        DaemonEntry entry;
        bool suspected = false;
        int failures = 0; ///< Consecutive failures.
        int inFlight = 0;
        TimePoint lastResponseAt; ///< Or the time at which work began while none was in flight.
        TimePoint lastPingAt;
        TimePoint nextPingAt; ///< Valid while suspected.
    };

    /// Order of preference of daemons for one key, the most significant member first.
    struct OwnerRank {
        bool staying = false;
        bool capable = false;
        double score = 0.0;

        friend bool operator>(const OwnerRank &a, const OwnerRank &b)
        {
            return std::tie(a.staying, a.capable, a.score) > std::tie(b.staying, b.capable, b.score);
        }
    };

    void suspect(State &state, TimePoint now);
    [[nodiscard]] InstanceId findOwner(std::string_view key) const;

    InstanceId m_self;
    DaemonDirectoryOptions m_options;
    std::map<InstanceId, State> m_daemons; ///< All daemons but this one.
    double m_capacity = 1.0; ///< Capacity of this daemon.
    bool m_leaving = false; ///< Whether this daemon is leaving.
    mutable std::map<std::string, InstanceId, std::less<>> m_owners; ///< Cache of owners by key.
};

} // namespace mimosahub
