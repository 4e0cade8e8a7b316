#pragma once

#include "base/metrics.h"
#include "http/memory_account.h"

#include <array>
#include <string>

namespace mimosahub::http
{

/// Metrics and log lines of a memory account. The first refusal of each kind is logged, later ones
/// at most once in ten seconds, with their number. On the account's thread only.
class MemoryMetrics : public MemoryObserver
{
public:
    /// \a clock and \a registry must outlive this object. \a account names the account, in a label.
    MemoryMetrics(const Clock &clock, MetricRegistry &registry, std::string account, std::uint64_t budget);

    void heldChanged(std::uint64_t bytes) override;
    void refused(MemoryRefusal refusal, std::uint64_t bytes) override;

private:
    struct Kind {
        Counter *count = nullptr;
        std::uint64_t unlogged = 0;
        TimePoint loggedAt;
        bool logged = false;
    };

    const Clock &m_clock;
    std::string m_account;
    std::uint64_t m_budget;
    std::uint64_t m_held = 0;
    Gauge &m_heldBytes;
    std::array<Kind, kMemoryRefusals> m_kinds;
};

} // namespace mimosahub::http
