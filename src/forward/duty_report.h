#pragma once

#include "mimosahub/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// What daemons tell each other for the duties of the deployment.
namespace mimosahub
{

/// Index of a window of true time since the start of 1970.
using UsageWindowNumber = std::int64_t;

/// Requests by workspace.
using UsageCounts = std::map<WorkspaceId, std::uint64_t>;

/// Requests in flight, by service and zone of their endpoint.
using ZoneLoads = std::map<std::pair<ServiceId, ZoneId>, std::uint64_t>;

/// Totals of one daemon, or sums over the daemons of one zone. Counts are totals of their windows,
/// so that a report can be repeated; workspaces that did not change may be left out.
struct DutyReport {
    InstanceId source; ///< The daemon that sends it.
    ZoneId zone; ///< Of the daemons whose requests it counts.
    std::uint64_t incarnation = 0; ///< Of the daemon that sends it.
    bool summed = false;
    std::map<UsageWindowNumber, UsageCounts> windows;
    ZoneLoads loads;
    std::uint64_t token = 0; ///< Highest fencing token that the sender knows.

    friend bool operator==(const DutyReport &, const DutyReport &) = default;
};

/// Response to a report.
struct DutyReportAnswer {
    std::uint64_t incarnation = 0; ///< Of the receiver: one that has restarted knows no counts.
    std::uint64_t token = 0; ///< Highest fencing token that the receiver knows.
};

} // namespace mimosahub
