#pragma once

#include "base/random.h"
#include "forward/gateway_configuration.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <map>
#include <string_view>

/// Split of one service's requests between the version of a rollout and the others.
namespace mimosahub
{

/// Position of a rollout order among the operators' documents, which tells apart
/// orders for one version.
using RolloutRecord = Ordinal<struct RolloutRecordTag>;

/// One rollout order.
struct RolloutId {
    ServiceId service;
    VersionId target; ///< The version to which the service's traffic is to move.
    RolloutRecord record;

    friend bool operator==(const RolloutId &, const RolloutId &) = default;
};

/// How a service's requests are split. All versions but the target count as old.
enum class SplitPhase : std::uint8_t {
    Paused, ///< Only the old versions, until news come from the coordinator.
    Trial, ///< A small share goes to the target.
    LoadTest, ///< All requests go to the target as far as the exposure limit allows.
    Moving, ///< All requests go to the target, so that the old endpoints run empty.
    Completed, ///< The target has taken over.
    RolledBack, ///< The target gets nothing any more.
};

/// The name of \a phase in log messages, such as "load-test".
[[nodiscard]] std::string_view splitPhaseName(SplitPhase phase);

/// Whether \a phase is final for its order.
[[nodiscard]] constexpr bool isSettled(SplitPhase phase)
{
    return phase == SplitPhase::Completed || phase == SplitPhase::RolledBack;
}

/// Limit on the requests that a version may get while it is unsettled, over all daemons.
struct ExposureLimit {
    double share = 0.1; ///< Of the service's requests.
    double slack = 50.0; ///< Requests besides.
};

/// Decides for each send whether it goes to the target of a rollout. A daemon never
/// sends the target more than its part of the exposure limit, so that the limit holds
/// over all daemons without a message. Not thread-safe.
class VersionSplit
{
public:
    explicit VersionSplit(const ExposureLimit &limit) : m_limit(limit)
    {
    }

    void setPhase(SplitPhase phase)
    {
        m_phase = phase;
    }
    [[nodiscard]] SplitPhase phase() const
    {
        return m_phase;
    }
    /// The number of daemons among which the limit's slack is divided, at least 1.
    void setDaemons(int daemons);

    /// Whether the next send of a request of \a route goes to the target.
    [[nodiscard]] bool drawTarget(const RouteId &route, Random &random) const;
    /// Whether a send may go to the target if no old endpoint can take it.
    [[nodiscard]] bool mayUseTarget() const;

    /// Records a send of a request of \a route to the target; to be called before it is made.
    void recordTargetSend(const RouteId &route)
    {
        ++m_targetSends;
        ++m_routes[route].target;
    }
    /// Records that a send of a request of \a route has reached an old endpoint.
    void recordOldSend(const RouteId &route)
    {
        ++m_oldSends;
        ++m_routes[route].old;
    }
    [[nodiscard]] std::uint64_t targetSends() const
    {
        return m_targetSends;
    }
    [[nodiscard]] std::uint64_t oldSends() const
    {
        return m_oldSends;
    }

private:
    struct RouteSends {
        std::uint64_t target = 0;
        std::uint64_t old = 0;
    };

    [[nodiscard]] bool withinLimit() const;
    /// drawTarget() in a trial, within the limit.
    [[nodiscard]] bool drawTrial(const RouteId &route, Random &random) const;

    ExposureLimit m_limit;
    SplitPhase m_phase = SplitPhase::Paused;
    int m_daemons = 1;
    std::uint64_t m_targetSends = 0;
    std::uint64_t m_oldSends = 0;
    std::map<RouteId, RouteSends> m_routes;
};

} // namespace mimosahub
