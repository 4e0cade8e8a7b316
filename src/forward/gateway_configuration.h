#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The configuration of forwarded traffic, which operators write as one document.
namespace mimosahub
{

using RouteId = Id<struct RouteTag>; ///< Name of a route.
using ConfigurationVersion = Ordinal<struct ConfigurationVersionTag>; ///< Increases with each configuration.

/// Share of a route's requests that goes to one service.
struct ServiceShare {
    ServiceId service;
    double weight = 1.0; ///< Relative to the route's other shares.

    friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

/// A stage of work that precedes the requests of a route.
struct StageRule {
    ServiceId service;
    std::vector<std::size_t> after; ///< Stages whose results it needs, by index.
    std::uint64_t resultBytes = 0; ///< Approximate size of one result.

    friend bool operator==(const StageRule &, const StageRule &) = default;
};

/// Destination and limits of requests with one host and path prefix.
struct RouteRule {
    RouteId id;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    bool idempotent = false; ///< May run more than once.
    bool streaming = false; ///< The response is a stream of server-sent events.
    bool resumable = false; ///< The stream may continue at another endpoint.
    bool sticky = false; ///< Requests carry prompts that endpoints cache.
    bool open = false; ///< Served without an API key.
    Duration timeout{}; ///< Maximum time that a request may wait for its response.
    Duration target{}; ///< Response time, or time to the first event, that counts as on time.
    /// Callers leave if a stream has not begun within this time; 0 if they wait for their deadline.
    Duration maxStartWait{};
    Duration targetGap{}; ///< Longest gap between two events that counts as on time.
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< Endpoints to which one request may be sent.
    std::vector<ServiceShare> services; ///< At least one.
    std::vector<StageRule> stages; ///< Stages that precede the request itself.

    /// Whether a request may be sent again after it may have run.
    [[nodiscard]] bool repeatable() const
    {
        return streaming ? resumable : idempotent;
    }
    friend bool operator==(const RouteRule &, const RouteRule &) = default;
};

/// Limits of a model engine of a service.
struct EngineRule {
    int slots = 1; ///< Requests that run at once.
    std::uint64_t cacheTokens = 0; ///< Memory for running requests and cached prefixes, in tokens.

    friend bool operator==(const EngineRule &, const EngineRule &) = default;
};

/// How endpoints of a stage's service process batches.
struct BatchRule {
    int slots = 1; ///< Calls that one endpoint runs at once.
    int queue = 0; ///< Calls that may wait at one endpoint.
    int maxPieces = 1; ///< Maximum number of pieces per call.
    Duration callTime{}; ///< Fixed time of a call.
    Duration pieceTime{}; ///< Approximate time that each piece adds.
    std::uint64_t resultBytes = 0; ///< Memory for results at one endpoint, in bytes.
    Duration resultLifetime{}; ///< Time after a call at which its results are dropped.

    friend bool operator==(const BatchRule &, const BatchRule &) = default;
};

/// Bounds of the number of a service's endpoints in each zone, which the deployment orders itself.
struct ScaleRule {
    int min = 0;
    int max = 0; ///< At least min.
    Duration bootTime{}; ///< From an order until a new endpoint serves.

    friend bool operator==(const ScaleRule &, const ScaleRule &) = default;
};

/// A service and the limits of its endpoints.
struct ServiceRule {
    ServiceId id;
    int maxConnections = 0; ///< Connections to one endpoint from all callers; 0 if unknown.
    Duration coldTime{}; ///< Time after its start for which an endpoint is cold.
    double coldRate = 0.0; ///< Requests per second that a cold endpoint accepts; 0 if unlimited.
    std::optional<EngineRule> engine; ///< Present for model engines.
    std::optional<BatchRule> batch; ///< Present for services of stages.
    std::optional<ScaleRule> scale; ///< Present if the number of endpoints is ordered.

    friend bool operator==(const ServiceRule &, const ServiceRule &) = default;
};

/// A workspace and its priority.
struct WorkspaceRule {
    WorkspaceId id;
    std::optional<int> priority; ///< Overrides the priority of the route.

    friend bool operator==(const WorkspaceRule &, const WorkspaceRule &) = default;
};

/// Limits on what callers may send.
struct CallerLimits {
    std::uint32_t headerBytes = 16U << 10U;
    std::uint64_t bodyBytes = 4U << 20U;
    Duration headerTimeout = std::chrono::seconds(3); ///< From the first byte of a request to the end of its header.
    Duration idleTimeout = std::chrono::seconds(15); ///< Between two requests on one connection.

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// One version of the configuration; immutable once it is published.
class GatewayConfiguration
{
public:
    struct Parts {
        ConfigurationVersion version;
        std::vector<RouteRule> routes;
        std::vector<ServiceRule> services;
        std::vector<WorkspaceRule> workspaces;
        std::map<std::string, WorkspaceId, std::less<>> apiKeys;
        CallerLimits limits;
    };

    GatewayConfiguration() = default;
    explicit GatewayConfiguration(Parts parts);
    GatewayConfiguration(const GatewayConfiguration &) = delete;
    GatewayConfiguration &operator=(const GatewayConfiguration &) = delete;

    [[nodiscard]] ConfigurationVersion version() const
    {
        return m_parts.version;
    }
    /// The route of \a host with the longest prefix of \a path; null if there is none.
    /// \a host may contain a port and is compared without regard to case.
    [[nodiscard]] const RouteRule *findRoute(std::string_view host, std::string_view path) const;
    [[nodiscard]] const ServiceRule *findService(const ServiceId &service) const;
    /// The workspace that holds \a apiKey; null if none does.
    [[nodiscard]] const WorkspaceRule *findWorkspace(std::string_view apiKey) const;
    /// Whether requests need an API key, except those of open routes.
    [[nodiscard]] bool needsKeys() const
    {
        return !m_parts.workspaces.empty();
    }
    [[nodiscard]] const Parts &parts() const
    {
        return m_parts;
    }

private:
    Parts m_parts;
    std::map<std::string, std::vector<const RouteRule *>, std::less<>> m_byHost; ///< Longest prefix first.
    std::map<ServiceId, const ServiceRule *> m_services;
    std::map<WorkspaceId, const WorkspaceRule *> m_workspaces;
};

} // namespace mimosahub
