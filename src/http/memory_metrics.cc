#include "http/memory_metrics.h"

#include "base/log.h"

#include <chrono>

namespace mimosahub::http
{

namespace
{

constexpr Duration kLogInterval = std::chrono::seconds(10);

} // namespace

MemoryMetrics::MemoryMetrics(const Clock &clock, MetricRegistry &registry, std::string account, std::uint64_t budget)
    : m_clock(clock),
      m_account(std::move(account)),
      m_budget(budget),
      m_heldBytes(registry.gauge("mimosahub_buffer_bytes", "Bytes that an account of memory holds at the moment.",
                                 {{"account", m_account}}))
{
    registry
        .gauge("mimosahub_buffer_budget_bytes", "Most bytes that an account of memory may hold.",
               {{"account", m_account}})
        .set(static_cast<double>(budget));
    for (std::size_t i = 0; i < m_kinds.size(); ++i) {
        const auto name = memoryRefusalName(static_cast<MemoryRefusal>(i));
        m_kinds.at(i).count = &registry.counter("mimosahub_buffer_refusals_total",
                                                "What was refused or given up to bound the memory, by reason.",
                                                {{"account", m_account}, {"reason", std::string(name)}});
    }
}

void MemoryMetrics::heldChanged(std::uint64_t bytes)
{
    m_held = bytes;
    m_heldBytes.set(static_cast<double>(bytes));
}

void MemoryMetrics::refused(MemoryRefusal refusal, std::uint64_t bytes)
{
    auto &kind = m_kinds.at(static_cast<std::size_t>(refusal));
    kind.count->add();
    ++kind.unlogged;
    const auto now = m_clock.now();
    if (kind.logged && now - kind.loggedAt < kLogInterval) {
        return;
    }
    logEvent(LogLevel::Warning, "memory-refused")
        .with("account", std::string_view(m_account))
        .with("reason", memoryRefusalName(refusal))
        .with("bytes", bytes)
        .with("held", m_held)
        .with("budget", m_budget)
        .with("count", kind.unlogged);
    kind.logged = true;
    kind.loggedAt = now;
    kind.unlogged = 0;
}

} // namespace mimosahub::http
