// Estimates are cached for a short time: every stage of every request reads the
// estimates of all later stages, and computing a quantile visits all buckets.

#include "request/service_history.h"

namespace mimosahub
{

namespace
{

constexpr Duration kMaxEstimateAge = std::chrono::milliseconds(10);

} // namespace

void ServiceHistory::recordTime(Duration duration, TimePoint now)
{
    m_latency.record(duration, now);
}

StageEstimate ServiceHistory::estimate(const BudgetOptions &options, Duration typicalTime, TimePoint now)
{
    if (!m_cached || m_cached->typicalTime != typicalTime || now - m_cached->madeAt >= kMaxEstimateAge) {
        m_cached = CachedEstimate{estimateStage(options, m_latency, typicalTime, now), now, typicalTime};
    }
    return m_cached->estimate;
}

ServiceHistory &ServiceHistories::of(const ServiceId &service, const std::string &call)
{
    return m_services[service].try_emplace(call, m_retries).first->second;
}

} // namespace mimosahub
