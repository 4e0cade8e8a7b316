#pragma once

#include "daemon/published.h"
#include "daemon/workspace_counters.h"
#include "mimosahub/configuration.h"
#include "mimosahub/ids.h"
#include "route/endpoint_chooser.h"
#include "route/endpoint_table.h"
#include "route/fair_queue.h"

#include <map>
#include <memory>
#include <vector>

namespace mimosahub
{

/// What traffic threads read of the control state; immutable once published.
struct TrafficView {
    std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
    Offset applied; ///< The last offset of the log that it holds.
    EndpointTable endpoints;
    std::map<ServiceId, std::vector<VersionWeight>> versions; ///< Services with a rollout or a version taken back.
    std::map<WorkspaceUseKey, FlowShare> shares; ///< Weight and cap of each workspace in each service.
};

using TrafficViews = Published<TrafficView>;

} // namespace mimosahub
