// The decision core knows no settings, so that it can be tested without them; here
// they become its options.

#include "daemon/request_settings.h"

namespace mimosahub
{

RequestOptions requestOptionsOf(const Settings &settings)
{
    RequestOptions options;
    options.streamStallTimeout = settings.timeouts.stageProgress;
    return options;
}

IdempotencyOptions idempotencyOptionsOf(const Settings &settings)
{
    IdempotencyOptions options;
    options.clockSkew = settings.timeouts.clockSkew;
    return options;
}

} // namespace mimosahub
