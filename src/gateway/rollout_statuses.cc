// A status is written on the condition that the table ends where this daemon has read
// it to, so that what was decided on is the newest status: a writer that was paused, or
// whose call arrives late, finds another end. A final status is never replaced for the
// same order. The coordinator writes first; the other daemons, which know the decision,
// write one after the other if the status still lacks it.

#include "gateway/rollout_statuses.h"

namespace mimosahub
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration kFirstDelay = 2s; ///< Until a daemon writes that isn't the coordinator.
constexpr Duration kDelayStep = 250ms; ///< Between the writes of two such daemons.
constexpr Duration kWantedAge = 1s; ///< A wish that wasn't repeated for so long is stale.

} // namespace

void RolloutStatuses::takeOrder(const RolloutOrder &order, RolloutRecord record, bool rewritten)
{
    const RolloutId id{order.service, order.target, record};
    auto &service = m_services[order.service];
    if (rewritten && service.order.target == order.target) {
        service.rewritten = true;
        service.order = id;
    } else if (service.order != id) {
        service = {id, order.duration, std::nullopt};
    }
}

std::vector<ServiceId> RolloutStatuses::reported() const
{
    std::vector<ServiceId> services;
    for (const auto &[service, report] : m_reports) {
        services.push_back(service);
    }
    return services;
}

void RolloutStatuses::takeStatus(const RolloutReport &report)
{
    m_reports[report.service] = report;
}

std::optional<RolloutStage> RolloutStatuses::statusOf(const RolloutId &order) const
{
    const auto it = m_reports.find(order.service);
    if (!m_complete || it == m_reports.end() || it->second.target != order.target) {
        return std::nullopt;
    }
    if (it->second.order && *it->second.order != order.record) {
        return std::nullopt;
    }
    return it->second.stage;
}

void RolloutStatuses::want(const WantedStatus &wanted, TimePoint now)
{
    const auto it = m_services.find(wanted.rollout.service);
    if (it == m_services.end() || it->second.order != wanted.rollout) {
        return;
    }
    auto &known = it->second.wanted;
    if (!known || known->stage != wanted.stage) {
        known = Wanted{wanted.stage, wanted.coordinator, now, now};
    }
    known->coordinator = wanted.coordinator;
    known->renewedAt = now;
}

std::optional<RolloutReport> RolloutStatuses::nextWrite(TimePoint now) const
{
    if (!m_complete) {
        return std::nullopt;
    }
    for (const auto &[id, service] : m_services) {
        const auto &wanted = service.wanted;
        if (!wanted || now - wanted->renewedAt > kWantedAge) {
            continue;
        }
        const auto status = statusOf(service.order);
        const bool pending = !status || (*status == RolloutStage::Running && wanted->stage != RolloutStage::Running);
        const auto turn =
            wanted->coordinator ? wanted->since : TimePoint(wanted->since + kFirstDelay + m_rank * kDelayStep);
        if (pending && now >= turn) {
            return RolloutReport{id, service.order.target, wanted->stage, service.order.record};
        }
    }
    return std::nullopt;
}

std::vector<GatewayView::Rollout> RolloutStatuses::list() const
{
    std::vector<GatewayView::Rollout> rollouts;
    for (const auto &[id, service] : m_services) {
        rollouts.push_back({service.order, service.duration, statusOf(service.order), service.rewritten});
    }
    return rollouts;
}

} // namespace mimosahub
