#pragma once

#include "mimosahub/record.h"
#include "route/rollout_gate.h"

namespace mimosahub
{

/// How a rollout stands at this daemon, for operators.
struct RolloutSummary {
    ServiceId service;
    RecordPosition position; ///< Names the rollout.
    RolloutVerdict verdict;
    RolloutCounts outcomes; ///< Summed over all daemons, since this daemon's gate began.
};

} // namespace mimosahub
