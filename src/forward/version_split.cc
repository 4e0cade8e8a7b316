// Each daemon bounds the target's sends by a fraction of its own sends. Sums of such
// bounds over any set of daemons are bounded by the same fraction of the sum, so a
// daemon that is cut off can't exceed the limit, and neither can one that restarts.
// The fraction is below the limit's, since requests that were sent before the order was
// read aren't counted.

#include "forward/version_split.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr double kTrialPart = 0.5; ///< Of the limit's share that a trial uses.
constexpr std::uint64_t kTrialSends = 8; ///< After which a route is tried, over all daemons.
constexpr double kSharePart = 0.8; ///< Of the limit's share that is ever used.
constexpr double kSlackPart = 0.4; ///< Of the limit's slack that is ever used.

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
    case SplitPhase::Moving:
        return "moving";
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

bool VersionSplit::withinLimit() const
{
    const auto all = static_cast<double>(m_targetSends + m_oldSends);
    const double limit = kSharePart * m_limit.share * all + kSlackPart * m_limit.slack / m_daemons;
    return static_cast<double>(m_targetSends) + 1.0 <= limit;
}

// Every other request of a route goes to the target until the route is tried there.
bool VersionSplit::drawTrial(const RouteId &route, Random &random) const
{
    const auto it = m_routes.find(route);
    const auto sends = it == m_routes.end() ? RouteSends() : it->second;
    if (sends.target * static_cast<std::uint64_t>(m_daemons) < kTrialSends) {
        return sends.target <= sends.old;
    }
    // What untried routes have had counts towards the trial's share.
    const double share = kTrialPart * m_limit.share;
    const auto all = static_cast<double>(m_targetSends + m_oldSends);
    return random.uniform() < share && static_cast<double>(m_targetSends) <= share * all + 1.0;
}

bool VersionSplit::drawTarget(const RouteId &route, Random &random) const
{
    switch (m_phase) {
    case SplitPhase::Paused:
    case SplitPhase::RolledBack:
        return false;
    case SplitPhase::Trial:
        return withinLimit() && drawTrial(route, random);
    case SplitPhase::LoadTest:
        return withinLimit();
    case SplitPhase::Moving:
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
    case SplitPhase::LoadTest:
        return withinLimit();
    case SplitPhase::Moving:
    case SplitPhase::Completed:
        return true;
    }
    return false;
}

} // namespace mimosahub
