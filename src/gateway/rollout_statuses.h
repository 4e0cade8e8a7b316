#pragma once

#include "gateway/gateway_view.h"
#include "gateway/wanted_status.h"

#include <map>
#include <optional>
#include <vector>

namespace mimosahub
{

/// Rollout orders and their status as the store holds them, and the status to write next.
/// Does no I/O and reads no clock. Control thread only.
class RolloutStatuses
{
public:
    /// \a rank: this daemon's index among all, by which daemons that don't coordinate a
    /// rollout take turns.
    void setRank(int rank)
    {
        m_rank = rank;
    }
    /// An order was read, the \a record of the operators' documents. \a rewritten: it is the order known so far,
    /// which the operator wrote again after the store came back from a copy.
    void takeOrder(const RolloutOrder &order, RolloutRecord record, bool rewritten = false);
    /// A status was read.
    void takeStatus(const RolloutReport &report);
    /// The store has lost the status of \a service, which is written again while it is wanted.
    void forgetStatus(const ServiceId &service)
    {
        m_reports.erase(service);
    }
    /// The services whose status was read.
    [[nodiscard]] std::vector<ServiceId> reported() const;
    /// All statuses in the store were read.
    void setComplete()
    {
        m_complete = true;
    }
    [[nodiscard]] bool hasOrders() const
    {
        return !m_services.empty();
    }
    /// The traffic thread wants a status to be written; repeated while it does.
    void want(const WantedStatus &wanted, TimePoint now);
    /// The status to write now, if the table of statuses still ends where it was read to.
    [[nodiscard]] std::optional<RolloutReport> nextWrite(TimePoint now) const;

    [[nodiscard]] std::vector<GatewayView::Rollout> list() const;

private:
    struct Wanted {
        RolloutStage stage = RolloutStage::Running;
        bool coordinator = false;
        TimePoint since;
        TimePoint renewedAt;
    };
    struct Service {
        RolloutId order;
        Duration duration{};
        std::optional<Wanted> wanted;
        bool rewritten = false;
    };

    [[nodiscard]] std::optional<RolloutStage> statusOf(const RolloutId &order) const;

    std::map<ServiceId, Service> m_services;
    std::map<ServiceId, RolloutReport> m_reports;
    int m_rank = 0;
    bool m_complete = false;
};

} // namespace mimosahub
