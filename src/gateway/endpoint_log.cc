#include "gateway/endpoint_log.h"

#include "base/log.h"

namespace mimosahub
{

void logEndpointHealthChanges(const std::vector<EndpointHealthChange> &changes)
{
    for (const auto &it : changes) {
        logEvent(LogLevel::Info, "endpoint-belief")
            .with("endpoint", it.endpoint)
            .with("belief", endpointHealthName(it.health))
            .with("failures", it.failures)
            .with("pace", it.latencyRatio);
    }
}

} // namespace mimosahub
