#pragma once

#include "control/log_follower.h"
#include "http/message.h"
#include "mimosahub/endpoint.h"
#include "mimosahub/ids.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

/// Interfaces of the platform's services. They are abstract classes because the
/// protocols differ between users' platforms.
namespace mimosahub
{

/// The result of an append, as far as it is known.
struct AppendAnswer {
    enum class Kind {
        Appended, ///< It was appended at offset.
        Refused, ///< It was not appended.
        Lost, ///< There was no usable response: it may have been appended.
    };
    Kind kind = Kind::Lost;
    Offset offset;
    std::optional<Duration> retryAfter; ///< For Refused.
    absl::Status status; ///< The error, unless Appended.
};

/// The result of a read.
struct ReadAnswer {
    absl::StatusOr<ReadResult> result; ///< Errors: Unavailable; InvalidArgument for a malformed response.
    std::optional<Duration> retryAfter; ///< For a failed read: the delay that the log asked for, if any.
};

/// The platform's append-only log.
class SharedLog
{
public:
    virtual ~SharedLog() = default;
    /// Appends \a data.
    virtual http::Awaitable<AppendAnswer> append(std::string data) = 0;
    /// Reads up to \a limit appends from \a from on.
    virtual http::Awaitable<ReadAnswer> read(Offset from, std::size_t limit) = 0;
};

/// The platform's list of instances. It may be out of date.
struct InstanceListing {
    std::vector<EndpointInfo> endpoints;
    std::vector<DaemonInfo> daemons;
};

/// Source of the instance list.
class InstanceList
{
public:
    virtual ~InstanceList() = default;
    /// The list that the platform currently reports. Errors: Unavailable; InvalidArgument
    /// for a malformed response.
    virtual http::Awaitable<absl::StatusOr<InstanceListing>> fetch() = 0;
};

} // namespace mimosahub
