#pragma once

#include "forward/duty_ledger.h"

#include <algorithm>
#include <mutex>
#include <string>

namespace mimosahub
{

/// What the traffic thread and the control thread share of the duties. Any thread.
class DutyBoard
{
public:
    void take(const DutyReport &report, TimePoint now)
    {
        const std::lock_guard lock(m_mutex);
        m_ledger.take(report, now);
        m_token = std::max(m_token, report.token);
    }
    [[nodiscard]] std::vector<DutyReport> sums(const InstanceId &sender, TimePoint now) const
    {
        const std::lock_guard lock(m_mutex);
        return m_ledger.sums(sender, now);
    }
    [[nodiscard]] UsageCounts totals(UsageWindowNumber window) const
    {
        const std::lock_guard lock(m_mutex);
        return m_ledger.totals(window);
    }
    [[nodiscard]] ZoneLoads loads(TimePoint now) const
    {
        const std::lock_guard lock(m_mutex);
        return m_ledger.loads(now);
    }
    void dropBefore(UsageWindowNumber first)
    {
        const std::lock_guard lock(m_mutex);
        m_ledger.dropBefore(first);
    }
    void learnToken(std::uint64_t token)
    {
        const std::lock_guard lock(m_mutex);
        m_token = std::max(m_token, token);
    }
    [[nodiscard]] std::uint64_t token() const
    {
        const std::lock_guard lock(m_mutex);
        return m_token;
    }
    /// The answer of GET /duties: JSON.
    [[nodiscard]] std::string status() const
    {
        const std::lock_guard lock(m_mutex);
        return m_status;
    }
    void setStatus(std::string status)
    {
        const std::lock_guard lock(m_mutex);
        m_status = std::move(status);
    }

private:
    mutable std::mutex m_mutex;
    DutyLedger m_ledger;
    std::uint64_t m_token = 0; ///< Highest that is known.
    std::string m_status = R"({"duties": []})";
};

} // namespace mimosahub
