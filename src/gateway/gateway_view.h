#pragma once

#include "daemon/published.h"
#include "gateway/document_reader.h"

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace mimosahub
{

/// What the traffic thread reads of the control state; immutable once published.
struct GatewayView {
    /// The newest rollout order of a service.
    struct Rollout {
        RolloutId id;
        Duration duration{}; ///< From the order to the time by which it must be settled.
        std::optional<RolloutStage> status; ///< Of this order, as the store holds it.
        /// An order known by an earlier record, written again after the store came back from a copy.
        bool rewritten = false;
    };

    std::shared_ptr<const GatewayConfiguration> configuration; ///< Null until one was read.
    std::vector<ListedEndpoint> endpoints;
    std::set<ZoneId> closedZones; ///< Operators have taken them out.
    std::vector<DaemonEntry> daemons; ///< By id; this one included.
    std::vector<Rollout> rollouts; ///< One for each service at most.
    Duration storeTime{}; ///< Of the store's answer to the newest read that was measured.
};

using GatewayViews = Published<GatewayView>;

} // namespace mimosahub
