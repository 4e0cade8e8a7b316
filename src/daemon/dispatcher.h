#pragma once

#include "daemon/freshness_signal.h"
#include "daemon/traffic_view.h"
#include "daemon/workspace_counters.h"
#include "http/message.h"
#include "route/endpoint_chooser.h"
#include "route/fair_queue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <variant>

namespace mimosahub
{

/// What a request asks the dispatcher for.
struct DispatchRequest {
    ChoiceRequest choice;
    WorkspaceId workspace;
    TimePoint giveUpAt; ///< The call must have ended by then.
    Duration typical{}; ///< Time that it takes, by median.
    Duration needs{}; ///< Time that it needs once it runs; it is refused when less is left.
};

/// Counts one call of a workspace in a service for as long as it lives.
class WorkspaceUse
{
public:
    WorkspaceUse() = default;
    WorkspaceUse(std::shared_ptr<WorkspaceCounters> counters, WorkspaceUseKey key);
    ~WorkspaceUse();
    WorkspaceUse(WorkspaceUse &&other) noexcept;
    WorkspaceUse &operator=(WorkspaceUse &&other) noexcept;

private:
    std::shared_ptr<WorkspaceCounters> m_counters;
    WorkspaceUseKey m_key;
};

/// An endpoint that a call may use until this is destroyed.
struct Dispatched {
    Chosen chosen;
    WorkspaceUse use;
};

/// Why there is none. Nothing has run.
struct NotDispatched {
    Reason reason = Reason::NoEndpoint;
    Duration retryAfter{};
};

using DispatchResult = std::variant<Dispatched, NotDispatched>;

/// Chooses endpoints for the calls of one traffic thread. Calls that find no
/// free slot wait in a fair queue for each service, by workspace; those that
/// can't start in time are refused at once.
class Dispatcher
{
public:
    /// All arguments must outlive the dispatcher. \a counters is shared by all threads.
    Dispatcher(boost::asio::io_context &io, const Clock &clock, const TrafficViews &views,
               const FreshnessSignal &freshness, EndpointPolicy &policy, std::shared_ptr<WorkspaceCounters> counters,
               Random &random);

    /// Chooses an endpoint, waiting for one until request.giveUpAt.
    http::Awaitable<DispatchResult> dispatch(DispatchRequest request);
    /// A slot has become free: waiting calls of \a service may start.
    void slotFreed(const ServiceId &service);
    /// Calls that wait now.
    [[nodiscard]] std::size_t waiting() const
    {
        return m_waiters.size();
    }

private:
    struct Waiter {
        DispatchRequest request;
        boost::asio::steady_timer timer;
        std::optional<DispatchResult> result;
    };
    class QueuedTicket;

    http::Awaitable<DispatchResult> wait(const std::shared_ptr<Waiter> &waiter);
    http::Awaitable<void> pumpLoop();
    void pump(const ServiceId &service, FairQueue &queue);
    std::optional<DispatchResult> tryNow(DispatchRequest &request, const TrafficView &view);
    void refuse(const std::vector<QueueRefusal> &refusals);
    void resolve(TicketId ticket, DispatchResult result);
    static void updateSlots(const ServiceId &service, FairQueue &queue, const TrafficView &view);
    [[nodiscard]] bool mayStart(const ServiceId &service, const WorkspaceId &workspace, const TrafficView &view) const;

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    const TrafficViews &m_views;
    const FreshnessSignal &m_freshness;
    EndpointPolicy &m_policy;
    std::shared_ptr<WorkspaceCounters> m_counters;
    Random &m_random;
    std::map<ServiceId, FairQueue> m_queues;
    std::map<TicketId, std::shared_ptr<Waiter>> m_waiters;
    TicketId m_lastTicket;
    bool m_pumping = false;
};

} // namespace mimosahub
