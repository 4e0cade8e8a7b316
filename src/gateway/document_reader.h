#pragma once

#include "forward/daemon_directory.h"
#include "forward/gateway_configuration.h"
#include "forward/listed_endpoint.h"
#include "forward/version_split.h"

#include <absl/status/statusor.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mimosahub
{

/// An operator wants a service's traffic moved to the endpoints of one version.
struct RolloutOrder {
    ServiceId service;
    VersionId target;
    Duration duration{}; ///< From the order to the time by which it must be done.

    friend bool operator==(const RolloutOrder &, const RolloutOrder &) = default;
};

/// How far a rollout is, as operators read it.
enum class RolloutStage {
    Running,
    Completed, ///< The platform stops the old endpoints at once.
    RolledBack, ///< The platform drains the new endpoints.
};

/// Status of a rollout as daemons write it.
struct RolloutReport {
    ServiceId service;
    VersionId target;
    RolloutStage stage = RolloutStage::Running;
    std::optional<RolloutRecord> order; ///< The order's record; absent in a status without one.

    friend bool operator==(const RolloutReport &, const RolloutReport &) = default;
};

/// What a key of the operators' documents names.
struct DocumentName {
    enum class Kind {
        Configuration,
        Evacuation, ///< Of zone \a name, for as long as the document stands.
        Rollout, ///< Of service \a name.
        Unknown,
    };
    Kind kind = Kind::Unknown;
    std::string name;
};

/// Reads and writes the store's documents. Errors: InvalidArgument with what is
/// wrong; nothing else is done with a document that can't be read.
class DocumentReader
{
public:
    virtual ~DocumentReader() = default;

    [[nodiscard]] virtual DocumentName documentName(std::string_view key) const = 0;
    [[nodiscard]] virtual absl::StatusOr<std::shared_ptr<const GatewayConfiguration>>
    configuration(std::string_view document) const = 0;
    [[nodiscard]] virtual absl::StatusOr<RolloutOrder> rollout(std::string_view document) const = 0;
    [[nodiscard]] virtual absl::StatusOr<ListedEndpoint> endpoint(std::string_view key,
                                                                  std::string_view document) const = 0;
    [[nodiscard]] virtual std::string statusKey(const ServiceId &service) const = 0;
    [[nodiscard]] virtual std::string statusDocument(const RolloutReport &status) const = 0;
    [[nodiscard]] virtual absl::StatusOr<RolloutReport> status(std::string_view key,
                                                               std::string_view document) const = 0;
};

} // namespace mimosahub
