#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

/// The configuration that operators publish, as typed values. The daemons of
/// src/daemon read it from the platform's log; the gateway daemons of src/gateway
/// read it from a table of a store instead (src/follow/keyed_store.h). All daemons
/// hold the same configuration; it is distinct from a daemon's own settings
/// (src/config/settings.h), which name its addresses and limits.
namespace mimosahub
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// How a service's traffic moves to a new version.
struct VersionPolicy {
    double firstShare = 0.01; ///< Share of traffic for a version without enough outcomes, in (0, 0.05].
    /// Outcomes needed on each route (a call, or a stage of a pipeline) before the rollout raises the new version's
    /// share by its next step.
    int gateOutcomes = 50;
    double maxFailureIncrease = 0.02; ///< Increase over the old version's failure rate that counts as a fault.
    double maxSlowdown = 1.5; ///< Ratio of latency to the old version's that counts as a fault.
};

/// How a service's traffic moves between availability zones.
struct ZonePolicy {
    bool preferNear = true; ///< Prefer endpoints of the daemon's own zone.
    Duration ramp = 20s; ///< Time over which the share of a zone that is back in service grows to its full value.
};

/// A named set of rules that services and pipelines refer to.
struct Profile {
    ProfileId id;
    /// Fraction of each service's capacity (concurrent calls of all its endpoints) for each workspace; the sum is at
    /// most 1.
    std::map<WorkspaceId, double> shares;
    double defaultShare = 0.05; ///< Fraction for each workspace that shares doesn't name.
    Duration deadline = 8s; ///< End-to-end deadline of a request.
    VersionPolicy versions;
    ZonePolicy zones;

    /// Fraction of each service's capacity for \a workspace.
    [[nodiscard]] double shareOf(const WorkspaceId &workspace) const
    {
        const auto it = shares.find(workspace);
        return it == shares.end() ? defaultShare : it->second;
    }
};

/// The kind of endpoint that a service has.
enum class ServiceKind {
    Engine, ///< Model engine: streams tokens, caches prefixes, honours priorities, resumes.
    Plain, ///< Plain HTTP service.
};

/// One operation of a plain HTTP service.
struct Call {
    std::string name; ///< The last segment of the request path.
    bool idempotent = true; ///< False for calls that must run at most once.
};

/// A group of endpoints that serve the same operations.
struct Service {
    ServiceId id;
    ServiceKind kind = ServiceKind::Plain;
    ProfileId profile;
    std::vector<Call> calls; ///< Empty for engines.
    int warmLimit = 16; ///< Concurrent calls that a warm endpoint accepts.
    int coldLimit = 1; ///< Concurrent calls that an endpoint in cold start accepts.
    Duration typicalTime = 50ms; ///< Expected time of one execution until quantiles are measured.
    VersionId version; ///< The version that serves until a rollout replaces it; empty: any.
    bool checksFencing = false; ///< Endpoints refuse orders with an outdated fencing number.
};

/// One step of a pipeline.
struct Stage {
    StageId id;
    ServiceId service;
    std::string call; ///< The service's call; empty for engines.
    bool idempotent = true;
};

/// A named sequence of stages that share one deadline.
struct Pipeline {
    PipelineId id;
    ProfileId profile; ///< The profile whose deadline applies.
    std::vector<Stage> stages;
};

/// A customer that shares the pool.
struct Workspace {
    WorkspaceId id;
    int priority = 0; ///< Passed on to engines; higher values are served first.
};

/// An availability zone.
struct Zone {
    ZoneId id;
    RegionId region;
};

/// Everything that operators publish.
struct Configuration {
    std::map<ZoneId, Zone> zones;
    std::map<WorkspaceId, Workspace> workspaces;
    std::map<ProfileId, Profile> profiles;
    std::map<ServiceId, Service> services;
    std::map<PipelineId, Pipeline> pipelines;

    /// Time in which a zone that is back in service regains its full share of \a service; 0 without a profile.
    [[nodiscard]] Duration zoneRamp(const Service &service) const
    {
        const auto profile = profiles.find(service.profile);
        return profile == profiles.end() ? Duration(0) : profile->second.zones.ramp;
    }
};

} // namespace mimosahub
