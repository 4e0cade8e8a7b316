#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace mimosahub
{

/// One stage of a request, as declared in the configuration.
struct StagePlan {
    StageId stage;
    ServiceId service;
    std::string call; ///< The service's call; empty for engines.
    bool idempotent = true; ///< If false, the call is sent at most once.
    bool streaming = false; ///< Relay the answer while it is produced, if the stage is the last one and idempotent.
    bool resumable = false; ///< The engine can resume an interrupted stream at an offset.
    Duration typicalTime = std::chrono::milliseconds(50); ///< Expected time until quantiles are measured.
};

/// The stages and limits of one request, fixed at its arrival.
struct RequestPlan {
    RequestId request;
    WorkspaceId workspace;
    std::vector<StagePlan> stages; ///< At least one.
    std::optional<IdempotencyKey> key; ///< Present if a claim is needed before non-idempotent stages run.
    TimePoint deadline;
    TimePoint keyValidUntil = TimePoint::max(); ///< No non-idempotent call is sent from then on; see keyValidUntil().
};

/// Identifies one call. It is sent with the call and echoed by the endpoint, which
/// reveals an answer that belongs to another call.
struct CallIdentity {
    RequestId request;
    StageId stage;
    AttemptId attempt;

    friend bool operator==(const CallIdentity &, const CallIdentity &) = default;
};

} // namespace mimosahub
