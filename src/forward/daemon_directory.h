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

/// Where a daemon can be reached by the others, as it wrote to the store.
struct DaemonEntry {
    InstanceId id;
    ZoneId zone;
    Address peers;
    std::uint64_t incarnation = 0; ///< Tells its starts apart.
    double capacity = 1.0; ///< Relative to other daemons; above 0.
    bool leaving = false; ///< It stops soon; it plans only if all others leave too.

    friend bool operator==(const DaemonEntry &, const DaemonEntry &) = default;
};

struct DaemonDirectoryOptions {
    Duration pingInterval = std::chrono::milliseconds(200); ///< To a daemon that has work of ours and is silent.
    Duration suspicionTimeout =
        std::chrono::milliseconds(600); ///< Silence, with work under way, after which it is avoided.
    Duration firstRetryDelay = std::chrono::milliseconds(500); ///< Before an avoided daemon is asked again; doubles.
    Duration maxRetryDelay = std::chrono::seconds(4);
    double minCapacityShare = 0.5; ///< Of the largest capacity; a daemon that has less plans only if no other can.
};

/// Which daemons there are, which of them answer, and which one plans the calls of
/// a service: the highest by weighted rendezvous hashing among the strong ones
/// that answer.
/// Daemons that disagree for a moment plan for the same endpoints at once, which
/// costs time but breaks nothing.
class DaemonDirectory
{
public:
    DaemonDirectory(InstanceId self, const DaemonDirectoryOptions &options)
        : m_self(std::move(self)), m_options(options)
    {
    }

    void setDaemons(const std::vector<DaemonEntry> &daemons);

    /// The daemon that plans for \a key; this one's id if no other is known.
    [[nodiscard]] InstanceId ownerOf(std::string_view key) const;
    [[nodiscard]] std::optional<Address> addressOf(const InstanceId &daemon) const;
    /// Whether \a daemon is listed and has not fallen silent.
    [[nodiscard]] bool isResponsive(const InstanceId &daemon) const;
    /// Work was handed to \a daemon at \a now, or has ended.
    void workStarted(const InstanceId &daemon, TimePoint now);
    void ended(const InstanceId &daemon);
    /// It answered.
    void recordResponse(const InstanceId &daemon, TimePoint now);
    /// A call to it failed.
    void failed(const InstanceId &daemon, TimePoint now);
    /// It says that it no longer plans; its entry will say so soon.
    void recordLeaving(const InstanceId &daemon);
    /// Daemons to be asked now whether they answer; counts them as asked.
    [[nodiscard]] std::vector<InstanceId> takePings(TimePoint now);
    /// Daemons that have been silent for too long with work of ours; they are
    /// avoided from now on.
    [[nodiscard]] std::vector<InstanceId> takeUnresponsive(TimePoint now);
    /// Whether any daemon needs to be watched now.
    [[nodiscard]] bool needsMonitoring() const;

private:
    struct State {
        DaemonEntry entry;
        bool suspected = false;
        int failures = 0; ///< In a row.
        int inFlight = 0;
        TimePoint lastResponseAt; ///< Or when work began after none was under way.
        TimePoint lastPingAt;
        TimePoint nextPingAt; ///< While avoided.
    };

    /// What decides between two daemons for one key, the most telling first.
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
    std::map<InstanceId, State> m_daemons; ///< The others.
    double m_capacity = 1.0; ///< This one's.
    bool m_leaving = false; ///< This one leaves.
    mutable std::map<std::string, InstanceId, std::less<>> m_owners; ///< Found before, by key.
};

} // namespace mimosahub
