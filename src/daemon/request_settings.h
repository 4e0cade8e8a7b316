#pragma once

#include "config/settings.h"
#include "request/idempotency.h"
#include "request/request_core.h"

namespace mimosahub
{

/// The options of requests that \a settings decide.
[[nodiscard]] RequestOptions requestOptionsOf(const Settings &settings);
/// The options of idempotency keys that \a settings decide.
[[nodiscard]] IdempotencyOptions idempotencyOptionsOf(const Settings &settings);

} // namespace mimosahub
