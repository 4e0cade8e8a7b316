#pragma once

#include "mimosahub/ids.h"
#include "request/latency_histogram.h"
#include "request/retry_budget.h"
#include "request/stage_budget.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace mimosahub
{

/// Latencies and retry budget of one operation of a service, as seen by one of the
/// daemon's threads that handle requests.
class ServiceHistory
{
public:
    explicit ServiceHistory(const RetryBudgetOptions &retries = {}) : m_retries(retries)
    {
    }

    /// Records the time of a call that was answered, or the time that an abandoned
    /// call had taken so far. Omitting abandoned calls would underestimate the
    /// latency of a slow service.
    void recordTime(Duration duration, TimePoint now);
    /// Expected time of a stage that uses this operation, as of \a now or a few milliseconds
    /// earlier. \a typicalTime is the configured time, used until there are enough samples.
    [[nodiscard]] StageEstimate estimate(const BudgetOptions &options, Duration typicalTime, TimePoint now);
    [[nodiscard]] const LatencyHistogram &latency() const
    {
        return m_latency;
    }
    [[nodiscard]] RetryBudget &retries()
    {
        return m_retries;
    }

private:
    struct CachedEstimate {
        StageEstimate estimate;
        TimePoint madeAt;
        Duration typicalTime{};
    };

    LatencyHistogram m_latency;
    RetryBudget m_retries;
    std::optional<CachedEstimate> m_cached;
};

/// The histories of all operations, by service and name.
class ServiceHistories
{
public:
    explicit ServiceHistories(const RetryBudgetOptions &retries = {}) : m_retries(retries)
    {
    }

    /// The history of operation \a call of \a service; valid for the lifetime of this object.
    [[nodiscard]] ServiceHistory &of(const ServiceId &service, const std::string &call);

private:
    using Calls = std::unordered_map<std::string, ServiceHistory>;

    RetryBudgetOptions m_retries; // For each new history.
    std::unordered_map<ServiceId, Calls> m_services;
};

} // namespace mimosahub
