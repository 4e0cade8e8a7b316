#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The configuration of forwarded traffic, as operators write it as a whole.
namespace mimosahub
{

using RouteId = Id<struct RouteTag>; ///< Name of a route.
using ConfigurationVersion = Ordinal<struct ConfigurationVersionTag>; ///< Grows with each configuration.

/// Part of a route's requests that goes to one service.
struct ServiceShare {
    ServiceId service;
    double weight = 1.0; ///< Relative to the route's other shares.

    friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

/// Work that must be done before a request of a route can run.
struct StageRule {
    ServiceId service;
    std::vector<std::size_t> after; ///< Stages whose results it needs, by index.
    std::uint64_t resultBytes = 0; ///< Approximate size of one result.

    friend bool operator==(const StageRule &, const StageRule &) = default;
};

/// Where requests of one host and path prefix go, and what they may cost.
struct RouteRule {
    RouteId id;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    bool idempotent = false; ///< May run more than once.
    bool streaming = false; ///< Answered by a stream of events.
    bool resumable = false; ///< The stream may go on at another endpoint.
    bool sticky = false; ///< Requests carry prompts that endpoints cache.
    bool open = false; ///< Served without an API key.
    Duration timeout{}; ///< Longest time that a request may be kept waiting.
    Duration target{}; ///< Response time, or time to the first event, that counts as on time.
    Duration
        maxStartWait{}; ///< Callers leave if a stream has not begun within this time; 0: they wait for their deadline.
    Duration targetGap{}; ///< Longest pause between two events that counts as on time.
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< Endpoints to which one request may be sent.
    std::vector<ServiceShare> services; ///< At least one.
    std::vector<StageRule> stages; ///< Before the request itself.

    /// Whether a request may be sent again after it may have run.
    [[nodiscard]] bool repeatable() const
    {
        return streaming ? resumable : idempotent;
    }
    friend bool operator==(const RouteRule &, const RouteRule &) = default;
};

/// What a model engine of a service bears.
struct EngineRule {
    int slots = 1; ///< Requests that run at once.
    std::uint64_t cacheTokens = 0; ///< Memory for running requests and cached prefixes.

    friend bool operator==(const EngineRule &, const EngineRule &) = default;
};

/// How endpoints of a stage's service work on batches.
struct BatchRule {
    int slots = 1; ///< Calls under way at one endpoint.
    int queue = 0; ///< Calls that may wait there.
    int maxPieces = 1; ///< In one call.
    Duration callTime{}; ///< Fixed part of a call's time.
    Duration pieceTime{}; ///< Added by each piece, about.
    std::uint64_t resultBytes = 0; ///< Memory for results at one endpoint.
    Duration resultLifetime{}; ///< Results are dropped so long after their call.

    friend bool operator==(const BatchRule &, const BatchRule &) = default;
};

/// One service and what its endpoints bear.
struct ServiceRule {
    ServiceId id;
    int maxConnections = 0; ///< Of one endpoint, from all callers; 0 if unknown.
    Duration coldTime{}; ///< An endpoint is cold for so long after its start.
    double coldRate = 0.0; ///< Requests a second that a cold endpoint bears; 0 if unlimited.
    std::optional<EngineRule> engine; ///< Present for model engines.
    std::optional<BatchRule> batch; ///< Present for services of stages.

    friend bool operator==(const ServiceRule &, const ServiceRule &) = default;
};

/// A workspace and its rank.
struct WorkspaceRule {
    WorkspaceId id;
    std::optional<int> priority; ///< Goes before the route's.

    friend bool operator==(const WorkspaceRule &, const WorkspaceRule &) = default;
};

/// Bounds on what callers may send.
struct CallerLimits {
    std::uint32_t headerBytes = 16U << 10U;
    std::uint64_t bodyBytes = 4U << 20U;
    Duration headerTimeout = std::chrono::seconds(3); ///< From the first byte of a request to the end of its header.
    Duration idleTimeout = std::chrono::seconds(15); ///< Between two requests of one connection.

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
    /// The route of \a host whose prefix is the longest that begins \a path; null
    /// if there is none. \a host may carry a port and any case.
    [[nodiscard]] const RouteRule *findRoute(std::string_view host, std::string_view path) const;
    [[nodiscard]] const ServiceRule *findService(const ServiceId &service) const;
    /// The workspace that holds \a apiKey; null if none does.
    [[nodiscard]] const WorkspaceRule *findWorkspace(std::string_view apiKey) const;
    /// Whether requests need an API key, but for those of open routes.
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
