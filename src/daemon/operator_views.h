#pragma once

#include "control/control_state.h"
#include "daemon/endpoint_monitor.h"
#include "daemon/request_metrics.h"
#include "daemon/rollout_summary.h"
#include "daemon/workspace_counters.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

/// What operators read of a daemon, as JSON (docs/OPERATOR-API.md). Pure.
namespace mimosahub
{

/// Tells whether the record at an offset is in force everywhere.
using InForce = std::function<bool(Offset)>;

/// What the views of load are made from, all of one moment.
struct OperatorSources {
    InstanceId instance; ///< The daemon that answers.
    const ControlState &state;
    const ZoneTraffic &zones;
    std::vector<EndpointSummary> endpoints;
    std::map<EndpointId, std::uint32_t> leasedSlots; ///< That this daemon may use now.
    std::map<WorkspaceUseKey, WorkspaceLoad> loads; ///< Calls at this daemon.
    std::map<WorkspaceId, WorkspaceActivity> activity; ///< Requests at this daemon.
    std::vector<RolloutSummary> rollouts; ///< Those under way, as this daemon judges them.
    TimePoint now;
    WallTime wallNow;
};

/// GET /v1/orders: open orders and the latest closed ones, by offset. Orders are
/// judged late against \a wallNow, or beforehand by what \a rollouts foresee.
[[nodiscard]] boost::json::object ordersView(const ControlState &state, const InForce &inForce, WallTime wallNow,
                                             const std::vector<RolloutSummary> &rollouts);

/// The list "late" of GET /v1/status: rollouts that are not done by their due
/// time or will not be, and why.
[[nodiscard]] boost::json::array lateRollouts(const ControlState &state, WallTime wallNow,
                                              const std::vector<RolloutSummary> &rollouts);

/// GET /v1/top: the present load of this daemon.
[[nodiscard]] boost::json::object topView(const OperatorSources &sources);

/// GET /v1/explain: why traffic goes where it goes. Absent if there is no such
/// service, endpoint or workspace.
[[nodiscard]] std::optional<boost::json::object> explainService(const OperatorSources &sources, const ServiceId &id);
[[nodiscard]] std::optional<boost::json::object> explainEndpoint(const OperatorSources &sources, const EndpointId &id);
[[nodiscard]] std::optional<boost::json::object> explainWorkspace(const OperatorSources &sources,
                                                                  const WorkspaceId &id);

} // namespace mimosahub
