#pragma once

#include "mimosahub/record.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string_view>

namespace mimosahub
{

/// Finds the service of an endpoint in the instance list; empty if not listed.
using ServiceOfEndpoint = std::function<ServiceId(const EndpointId &)>;

/// What the instance list says of a rollout's new version.
using VersionIsListed = std::function<bool(const ServiceId &, const VersionId &)>;

/// Reads the body of POST /v1/publish. Error: InvalidArgument.
[[nodiscard]] absl::StatusOr<Record> readPublish(std::string_view body);
/// Reads the body of POST /v1/orders. Errors: InvalidArgument; NotFound for an
/// endpoint that is not listed; FailedPrecondition for a rollout to a version that
/// no listed endpoint has.
[[nodiscard]] absl::StatusOr<Record> readOrder(std::string_view body, const ServiceOfEndpoint &serviceOf,
                                               const VersionIsListed &versionIsListed);

} // namespace mimosahub
