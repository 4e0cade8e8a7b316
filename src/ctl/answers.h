#pragma once

#include "config/configuration_codec.h"
#include "ctl/daemon_client.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

/// The answers of a daemon's operator API (docs/OPERATOR-API.md) as typed values.
namespace mimosahub::ctl
{

/// One published object.
struct PublishedObject {
    ObjectKey key;
    Offset version; ///< Offset of its last change.
    boost::json::value spec;
};

/// Answer to GET /v1/objects.
struct PublishedObjects {
    Offset applied;
    std::vector<PublishedObject> objects;
};

/// Verdict on a publish or an order.
enum class ChangeState {
    Accepted,
    Recorded, ///< In the log and valid, but not known to be held by a majority of the daemons.
    Rejected,
    NotAccepted,
};

/// Answer to POST /v1/publish and POST /v1/orders.
struct ChangeOutcome {
    ChangeState state = ChangeState::NotAccepted;
    std::optional<Offset> offset; ///< Absent if nothing was appended.
    std::string reason;
    std::string detail;
    std::vector<std::string> problems;
    std::optional<Duration> retryAfter;
};

/// How far one daemon has got.
struct MemberStatus {
    std::string instance;
    std::string state;
    Offset applied;
    std::string detail;
};

/// A rollout that is late, or will be.
struct LateRollout {
    Offset offset;
    std::string service;
    std::string to; ///< The new version.
    std::string detail; ///< Whether it is late or will be, and why.
};

/// Answer to GET /v1/status.
struct ChangeStatus {
    Offset offset;
    bool inForce = false;
    std::vector<MemberStatus> members;
    std::vector<LateRollout> late;
};

/// One order of GET /v1/orders.
struct OrderStatus {
    Offset offset;
    std::string operatorName;
    std::string summary; ///< The order with its fields.
    std::string state;
    std::string reason;
    std::string detail;

    [[nodiscard]] bool failed() const
    {
        return state == "taken-back" || state == "rejected" || state == "aborted";
    }
};

// Each fails with an error that names the daemon if it answered with an error or
// not in the documented form.
[[nodiscard]] absl::StatusOr<PublishedObjects> readObjects(const Reply &reply);
[[nodiscard]] absl::StatusOr<ChangeOutcome> readOutcome(const Reply &reply);
[[nodiscard]] absl::StatusOr<ChangeStatus> readStatus(const Reply &reply);
[[nodiscard]] absl::StatusOr<std::vector<OrderStatus>> readOrders(const Reply &reply);

/// The error that \a reply carries, or how it departs from the documented form.
[[nodiscard]] absl::Status answerError(const Reply &reply);

} // namespace mimosahub::ctl
