#pragma once

#include "base/random.h"
#include "forward/exposure_budget.h"
#include "forward/gateway_configuration.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

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
    LoadTest, ///< All requests go to the target, up to the cap that the coordinator grants.
    Completing, ///< All requests go to the target while the verdict for it is written to the store.
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

/// Decides for each send whether it goes to the target of a rollout. In a trial a daemon
/// keeps to its own part of the exposure limit, so that the sum over all daemons needs no
/// message; in a load test it keeps to the cap that the coordinator has granted it. Not
/// thread-safe.
class VersionSplit
{
public:
    /// \a rounding: random for each daemon, in [0, 1), so that of many daemons that may send less than one
    /// request each, some send one.
    VersionSplit(const ExposureLimit &limit, double rounding) : m_limit(limit), m_rounding(rounding)
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
    /// Routes of which the target has had enough in the trial, at all daemons together.
    void setTriedRoutes(const std::vector<RouteId> &routes)
    {
        m_tried = {routes.begin(), routes.end()};
    }
    /// The total number of sends up to which a load test may use the target.
    void setTargetCap(std::uint64_t sends)
    {
        m_targetCap = sends;
    }

    /// Whether the next send of a request of \a route goes to the target.
    [[nodiscard]] bool drawTarget(const RouteId &route, Random &random) const;
    /// Whether a send may go to the target if no old endpoint can take it.
    [[nodiscard]] bool mayUseTarget() const;

    /// Records a send of a request of \a route to the target; to be called before it is made.
    void recordTargetSend(const RouteId &route)
    {
        ++m_sends.target;
        ++m_routes[route].target;
    }
    /// Records that a send of a request of \a route has reached an old endpoint.
    void recordOldSend(const RouteId &route)
    {
        ++m_sends.old;
        ++m_routes[route].old;
    }
    [[nodiscard]] const SplitSends &sends() const
    {
        return m_sends;
    }

private:
    [[nodiscard]] bool withinTrialLimit() const;
    [[nodiscard]] bool isTried(const RouteId &route, const SplitSends &sends) const;
    /// drawTarget() in a trial, within the limit.
    [[nodiscard]] bool drawTrial(const RouteId &route, Random &random) const;

    ExposureLimit m_limit;
    double m_rounding;
    SplitPhase m_phase = SplitPhase::Paused;
    int m_daemons = 1;
    std::uint64_t m_targetCap = 0;
    SplitSends m_sends;
    std::set<RouteId> m_tried;
    std::map<RouteId, SplitSends> m_routes;
};

} // namespace mimosahub
