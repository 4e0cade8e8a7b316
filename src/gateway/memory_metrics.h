#pragma once

#include "base/metrics.h"
#include "http/memory_account.h"

#include <array>

namespace mimosahub
{

/// Metrics and log lines of a memory account. The first refusal of each kind is logged, later ones
/// at most once in ten seconds, with their number. Traffic thread only.
class MemoryMetrics : public http::MemoryObserver
{
public:
    /// \a clock and \a registry must outlive this object.
    MemoryMetrics(const Clock &clock, MetricRegistry &registry, std::uint64_t budget);

    void heldChanged(std::uint64_t bytes) override;
    void refused(http::MemoryRefusal refusal, std::uint64_t bytes) override;

private:
    struct Kind {
        Counter *count = nullptr;
        std::uint64_t unlogged = 0;
        TimePoint loggedAt;
        bool logged = false;
    };

    const Clock &m_clock;
    std::uint64_t m_budget;
    std::uint64_t m_held = 0;
    Gauge &m_heldBytes;
    std::array<Kind, http::kMemoryRefusals> m_kinds;
};

} // namespace mimosahub
