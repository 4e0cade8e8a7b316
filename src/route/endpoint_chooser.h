#pragma once

#include "base/random.h"
#include "mimosahub/outcome.h"
#include "route/cache_hints.h"
#include "route/endpoint_table.h"

#include <variant>

/// Selection of an endpoint for one call.
namespace mimosahub
{

/// Share of a service's traffic that goes to one version.
struct VersionWeight {
    VersionId version;
    double weight = 0.0;
};

/// The call for which a policy chooses an endpoint.
struct ChoiceRequest {
    ServiceId service;
    std::vector<VersionWeight> versions; ///< Weights sum to 1; empty: any version.
    std::optional<std::uint64_t> prefixHash; ///< Hash of the prompt's reusable prefix.
    Duration prefixSaving{}; ///< Time saved if the prefix is cached.
    ZoneId zone; ///< This daemon's zone.
    std::vector<EndpointId> exclude; ///< Endpoints already tried for this request.
    bool mayProbe = false; ///< The call is idempotent and may be retried elsewhere.
};

/// The chosen endpoint; its slot counts as a call in flight until destroyed.
struct Chosen {
    EndpointInfo endpoint;
    InFlightSlot slot;
    bool probe = false; ///< The endpoint is failing, and this call is its probe.
    Duration expectedWait{};
};

/// No endpoint accepts the call now.
struct NotChosen {
    Reason reason = Reason::NoEndpoint; ///< NoEndpoint or Overloaded.
    Duration retryAfter{};
};

using Choice = std::variant<Chosen, NotChosen>;

/// Algorithm that chooses endpoints. Traffic threads share it; implementations take
/// no locks and have no mutable state except atomics.
class EndpointPolicy
{
public:
    virtual ~EndpointPolicy() = default;
    [[nodiscard]] virtual Choice choose(const EndpointTable &table, const ChoiceRequest &request, TimePoint now,
                                        Random &random) = 0;
};

/// Constants of LeastWaitPolicy.
struct LeastWaitOptions {
    Duration crossZoneCost = 2ms; ///< Extra expected wait at which the local zone is still preferred.
    double boundedLoad = 1.25; ///< Prefix affinity is ignored above this multiple of the group's mean load.
    Duration retryAfterMin = 50ms;
    Duration retryAfterMax = 5s;
    Duration noEndpointRetryAfter = 2s;
};

/// The policy used in production: local zone first, the shorter expected wait of two
/// random endpoints, prefix affinity with bounded load, never above an endpoint's limit.
class LeastWaitPolicy : public EndpointPolicy
{
public:
    /// \a hints may be null; otherwise it outlives the policy.
    explicit LeastWaitPolicy(const LeastWaitOptions &options = {}, const CacheHints *hints = nullptr)
        : m_options(options), m_hints(hints)
    {
    }
    [[nodiscard]] Choice choose(const EndpointTable &table, const ChoiceRequest &request, TimePoint now,
                                Random &random) override;

private:
    LeastWaitOptions m_options;
    const CacheHints *m_hints;
};

/// Reference policy for experiments: round robin over all listed endpoints of the
/// service, without limits, conditions, zones or version weights.
class RoundRobinPolicy : public EndpointPolicy
{
public:
    [[nodiscard]] Choice choose(const EndpointTable &table, const ChoiceRequest &request, TimePoint now,
                                Random &random) override;

private:
    std::atomic<std::size_t> m_next = 0;
};

/// Expected wait of one more call at \a row: the number of calls ahead of it, divided
/// by the rate at which the endpoint finishes them. The weight of a report of other
/// daemons' calls decays with its age, as those calls end.
[[nodiscard]] Duration expectedWait(const EndpointRow &row, TimePoint now);

} // namespace mimosahub
