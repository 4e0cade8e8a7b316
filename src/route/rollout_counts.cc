// Sums over daemons decrease only if a daemon's counts were lost. Differences are then
// discarded, since the remaining counts could contain failures of a version without
// the calls to which they belong.

#include "route/rollout_counts.h"

#include <absl/strings/str_cat.h>

namespace mimosahub
{

std::string RouteKey::str() const
{
    return absl::StrCat(caller, " in zone ", zone.str());
}

VersionOutcomes &VersionOutcomes::operator+=(const VersionOutcomes &other)
{
    finished += other.finished;
    failed += other.failed;
    slow += other.slow;
    return *this;
}

RouteOutcomes &RouteOutcomes::operator+=(const RouteOutcomes &other)
{
    from += other.from;
    to += other.to;
    return *this;
}

VersionOutcomes difference(const VersionOutcomes &now, const VersionOutcomes &before)
{
    if (now.finished < before.finished || now.failed < before.failed || now.slow < before.slow) {
        return {};
    }
    return {now.finished - before.finished, now.failed - before.failed, now.slow - before.slow};
}

RouteOutcomes difference(const RouteOutcomes &now, const RouteOutcomes &before)
{
    return {difference(now.from, before.from), difference(now.to, before.to)};
}

} // namespace mimosahub
