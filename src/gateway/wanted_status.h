#pragma once

#include "gateway/document_reader.h"

namespace mimosahub
{

/// A status that is to be written.
struct WantedStatus {
    RolloutId rollout;
    RolloutStage stage = RolloutStage::Running;
    bool coordinator = false; ///< This daemon coordinates the rollout; the others write later.
};

} // namespace mimosahub
