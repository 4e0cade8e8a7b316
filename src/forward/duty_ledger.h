#pragma once

#include "forward/duty_report.h"
#include "mimosahub/clock.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace mimosahub
{

/// What a daemon knows of usage and load: the reports of daemons, which it sums for its zone, and
/// the sums of zones. Sums of one zone that come from two daemons don't add up: of each count, the
/// larger one holds.
class DutyLedger
{
public:
    void take(const DutyReport &report, TimePoint now);
    /// The sums of the reports of daemons, one for each of their zones, as reports of \a sender.
    [[nodiscard]] std::vector<DutyReport> sums(const InstanceId &sender, TimePoint now) const;
    /// Counts of \a window over all zones.
    [[nodiscard]] UsageCounts totals(UsageWindowNumber window) const;
    /// Requests in flight over all zones, as reported lately.
    [[nodiscard]] ZoneLoads loads(TimePoint now) const;
    /// Drops windows before \a first.
    void dropBefore(UsageWindowNumber first);

private:
    using Windows = std::map<UsageWindowNumber, UsageCounts>;
    struct Loads {
        ZoneLoads loads;
        TimePoint at;
    };

    struct Zone {
        std::map<std::pair<InstanceId, std::uint64_t>, Windows> daemons; ///< By id and incarnation.
        std::map<InstanceId, Loads> loads; ///< Of its daemons.
    };

    std::map<ZoneId, Zone> m_reported; ///< By daemons.
    std::map<ZoneId, Windows> m_summed;
    std::map<ZoneId, Loads> m_summedLoads;
};

/// What one receiver of reports has confirmed, so that only changes are sent.
class ReportMark
{
public:
    /// \a full without the counts that the receiver has confirmed.
    [[nodiscard]] DutyReport changes(const DutyReport &full) const;
    /// The receiver confirmed \a sent. One that has restarted since its last answer gets all again.
    void confirmed(const DutyReport &sent, const DutyReportAnswer &answer);
    void dropBefore(UsageWindowNumber first);

private:
    std::optional<std::uint64_t> m_incarnation;
    std::map<UsageWindowNumber, UsageCounts> m_confirmed;
};

} // namespace mimosahub
