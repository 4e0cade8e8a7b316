// In a trial each daemon bounds the target's sends by a fraction of its own sends. Sums of
// such bounds over any set of daemons are bounded by the same fraction of the sum, so a
// daemon that is cut off can't exceed it, and neither can one that restarts. A trial uses
// little of the limit: what it leaves is the time for which all requests may go to the
// target before the deadline, and only that shows a fault under load.

#include "forward/version_split.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr double kTrialPart = 0.1; ///< Of the limit's share, for routes that are tried already.
constexpr std::uint64_t kMostTrialSends = 24; ///< Of one daemon, after which a route is tried in any case.
constexpr std::uint64_t kOldSendsPerTargetSend = 3; ///< On a route that is to be tried.
constexpr double kTryingDaemons = 8.0; ///< Expected number, of all, that may send a request of such a route.
constexpr double kLimitPart = 0.4; ///< Of the limit, before the load test.

} // namespace

std::string_view splitPhaseName(SplitPhase phase)
{
    switch (phase) {
    case SplitPhase::Paused:
        return "paused";
    case SplitPhase::Trial:
        return "trial";
    case SplitPhase::LoadTest:
        return "load-test";
    case SplitPhase::Completing:
        return "completing";
    case SplitPhase::Completed:
        return "completed";
    case SplitPhase::RolledBack:
        return "rolled-back";
    }
    return "";
}

void VersionSplit::setDaemons(int daemons)
{
    m_daemons = std::max(1, daemons);
}

bool VersionSplit::withinTrialLimit() const
{
    const ExposureLimit own{m_limit.share, m_limit.slack / m_daemons};
    const double limit = kLimitPart * own.allowed(static_cast<double>(m_sends.all()));
    return static_cast<double>(m_sends.target) + 1.0 <= limit + m_rounding;
}

bool VersionSplit::isTried(const RouteId &route, const SplitSends &sends) const
{
    return m_tried.contains(route) || sends.target >= kMostTrialSends;
}

// A quarter of a route's requests go to the target until the coordinator says that the route is
// tried. With many daemons only some of them send any.
bool VersionSplit::drawTrial(const RouteId &route, Random &random) const
{
    const auto it = m_routes.find(route);
    const auto sends = it == m_routes.end() ? SplitSends() : it->second;
    if (!isTried(route, sends)) {
        return kOldSendsPerTargetSend * sends.target <= sends.old && random.uniform() * m_daemons < kTryingDaemons;
    }
    // What untried routes have had counts towards the trial's share.
    const double share = kTrialPart * m_limit.share;
    return random.uniform() < share
        && static_cast<double>(m_sends.target) <= share * static_cast<double>(m_sends.all()) + 1.0;
}

bool VersionSplit::drawTarget(const RouteId &route, Random &random) const
{
    switch (m_phase) {
    case SplitPhase::Paused:
    case SplitPhase::RolledBack:
        return false;
    case SplitPhase::Trial:
        return withinTrialLimit() && drawTrial(route, random);
    case SplitPhase::LoadTest:
        return m_sends.target < m_targetCap;
    case SplitPhase::Completing:
    case SplitPhase::Completed:
        return true;
    }
    return false;
}

bool VersionSplit::mayUseTarget() const
{
    switch (m_phase) {
    case SplitPhase::RolledBack:
        return false;
    case SplitPhase::Paused:
    case SplitPhase::Trial:
        return withinTrialLimit();
    case SplitPhase::LoadTest:
        return m_sends.target < m_targetCap;
    case SplitPhase::Completing:
    case SplitPhase::Completed:
        return true;
    }
    return false;
}

} // namespace mimosahub
