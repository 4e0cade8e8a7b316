#pragma once

#include "forward/endpoint_health.h"

#include <vector>

namespace mimosahub
{

/// Writes a line for each belief about an endpoint that changed.
void logEndpointHealthChanges(const std::vector<EndpointHealthChange> &changes);

} // namespace mimosahub
