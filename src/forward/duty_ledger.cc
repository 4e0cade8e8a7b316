#include "forward/duty_ledger.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr Duration kLoadLifetime = std::chrono::seconds(3); ///< Of a load that is not reported again.

template<typename Key, typename Loads>
ZoneLoads sumLoads(const std::map<Key, Loads> &all, TimePoint now)
{
    ZoneLoads sum;
    for (const auto &[source, reported] : all) {
        if (now - reported.at <= kLoadLifetime) {
            for (const auto &[place, inFlight] : reported.loads) {
                sum[place] += inFlight;
            }
        }
    }
    return sum;
}

} // namespace

void DutyLedger::take(const DutyReport &report, TimePoint now)
{
    auto &windows =
        report.summed ? m_summed[report.zone] : m_reported[report.zone].daemons[{report.source, report.incarnation}];
    for (const auto &[number, counts] : report.windows) {
        auto &known = windows[number];
        for (const auto &[workspace, count] : counts) {
            auto &value = known[workspace];
            value = std::max(value, count);
        }
    }
    auto &loads = report.summed ? m_summedLoads[report.zone] : m_reported[report.zone].loads[report.source];
    loads = {report.loads, now};
}

std::vector<DutyReport> DutyLedger::sums(const InstanceId &sender, TimePoint now) const
{
    std::vector<DutyReport> reports;
    for (const auto &[zone, reported] : m_reported) {
        DutyReport report;
        report.source = sender;
        report.zone = zone;
        report.summed = true;
        for (const auto &[daemon, windows] : reported.daemons) {
            for (const auto &[number, counts] : windows) {
                auto &sums = report.windows[number];
                for (const auto &[workspace, count] : counts) {
                    sums[workspace] += count;
                }
            }
        }
        report.loads = sumLoads(reported.loads, now);
        reports.push_back(std::move(report));
    }
    return reports;
}

UsageCounts DutyLedger::totals(UsageWindowNumber window) const
{
    UsageCounts totals;
    for (const auto &[zone, windows] : m_summed) {
        const auto it = windows.find(window);
        if (it != windows.end()) {
            for (const auto &[workspace, count] : it->second) {
                totals[workspace] += count;
            }
        }
    }
    return totals;
}

ZoneLoads DutyLedger::loads(TimePoint now) const
{
    return sumLoads(m_summedLoads, now);
}

void DutyLedger::dropBefore(UsageWindowNumber first)
{
    for (auto &[zone, reported] : m_reported) {
        for (auto &[daemon, windows] : reported.daemons) {
            windows.erase(windows.begin(), windows.lower_bound(first));
        }
        std::erase_if(reported.daemons, [](const auto &daemon) { return daemon.second.empty(); });
    }
    for (auto &[zone, windows] : m_summed) {
        windows.erase(windows.begin(), windows.lower_bound(first));
    }
}

DutyReport ReportMark::changes(const DutyReport &full) const
{
    auto changed = full;
    for (const auto &[number, confirmed] : m_confirmed) {
        const auto window = changed.windows.find(number);
        if (window == changed.windows.end()) {
            continue;
        }
        std::erase_if(window->second, [&confirmed = confirmed](const auto &entry) {
            const auto it = confirmed.find(entry.first);
            return it != confirmed.end() && it->second == entry.second;
        });
        if (window->second.empty()) {
            changed.windows.erase(window);
        }
    }
    return changed;
}

void ReportMark::confirmed(const DutyReport &sent, const DutyReportAnswer &answer)
{
    if (m_incarnation != answer.incarnation) {
        m_confirmed.clear();
        m_incarnation = answer.incarnation;
    }
    for (const auto &[number, counts] : sent.windows) {
        for (const auto &[workspace, count] : counts) {
            m_confirmed[number][workspace] = count;
        }
    }
}

void ReportMark::dropBefore(UsageWindowNumber first)
{
    m_confirmed.erase(m_confirmed.begin(), m_confirmed.lower_bound(first));
}

} // namespace mimosahub
