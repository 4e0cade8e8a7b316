#pragma once

#include "logservice/log_service.h"
#include "peer/membership.h"

#include <map>
#include <set>
#include <vector>

namespace mimosahub
{

struct ListedDaemonsOptions {
    /// A member that the list lacks for so long has ended; longer than the list lags.
    Duration settle = std::chrono::seconds(5);
    /// Readings further apart than this don't count together: what the list named
    /// in between isn't known.
    Duration readingGap = std::chrono::seconds(2);
};

/// Tells which members have ended by the platform's list of instances. Pure.
class ListedDaemons
{
public:
    explicit ListedDaemons(ListedDaemonsOptions options = {});

    /// Takes a list that was read at \a now, and gives the members of \a view
    /// that have ended. A list without daemons says nothing.
    [[nodiscard]] std::vector<MemberKey> ended(const std::vector<DaemonInfo> &listed, const MembershipView &view,
                                               TimePoint now);
    /// Says that \a member has just been heard from: whatever the list says, it runs.
    void heard(const MemberKey &member);

private:
    ListedDaemonsOptions m_options;
    std::set<InstanceId> m_everListed;
    std::map<MemberKey, TimePoint> m_missingSince;
    TimePoint m_lastReading;
};

} // namespace mimosahub
