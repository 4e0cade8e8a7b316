// A call first tries to start at once, unless calls of its service wait already.
// Otherwise it joins the fair queue; each slot that is freed, and each tick, lets
// the queue's next calls try. The queue decides whose turn it is; the policy
// decides where the call goes.

#include "daemon/dispatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace mimosahub
{

namespace
{

/// Between tries of waiting calls when no slot is freed: leases and conditions change.
constexpr Duration kPumpInterval = std::chrono::milliseconds(10);

/// Least cost of a call in a fair queue, in seconds.
constexpr double kLeastCost = 1e-4;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

WorkspaceUse::WorkspaceUse(std::shared_ptr<WorkspaceCounters> counters, WorkspaceUseKey key)
    : m_counters(std::move(counters)), m_key(std::move(key))
{
    m_counters->addRunning(m_key, 1);
}

WorkspaceUse::~WorkspaceUse()
{
    if (m_counters) {
        m_counters->addRunning(m_key, -1);
    }
}

WorkspaceUse::WorkspaceUse(WorkspaceUse &&other) noexcept
    : m_counters(std::exchange(other.m_counters, nullptr)), m_key(std::move(other.m_key))
{
}

WorkspaceUse &WorkspaceUse::operator=(WorkspaceUse &&other) noexcept
{
    std::swap(m_counters, other.m_counters);
    std::swap(m_key, other.m_key);
    return *this;
}

namespace
{

/// Whether any endpoint of \a service would take one more call.
bool hasFreeSlot(const ServiceId &service, const TrafficView &view)
{
    for (const auto &group : view.endpoints.groups(service)) {
        for (const auto &row : group.rows) {
            if (group.zoneFactor > 0 && row.mayStartCall()) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

/// Takes a ticket out of its queue when its caller leaves.
class Dispatcher::QueuedTicket
{
public:
    QueuedTicket(Dispatcher &dispatcher, TicketId ticket, WorkspaceUseKey key)
        : m_dispatcher(dispatcher), m_ticket(ticket), m_key(std::move(key))
    {
        m_dispatcher.m_counters->addWaiting(m_key, 1);
    }
    ~QueuedTicket()
    {
        m_dispatcher.m_counters->addWaiting(m_key, -1);
        m_dispatcher.m_waiters.erase(m_ticket);
        const auto queue = m_dispatcher.m_queues.find(m_key.service);
        if (queue != m_dispatcher.m_queues.end()) {
            queue->second.remove(m_ticket);
        }
    }
    QueuedTicket(const QueuedTicket &) = delete;
    QueuedTicket &operator=(const QueuedTicket &) = delete;

private:
    Dispatcher &m_dispatcher;
    TicketId m_ticket;
    WorkspaceUseKey m_key;
};

Dispatcher::Dispatcher(boost::asio::io_context &io, const Clock &clock, const TrafficViews &views,
                       const FreshnessSignal &freshness, EndpointPolicy &policy,
                       std::shared_ptr<WorkspaceCounters> counters, Random &random)
    : m_io(io),
      m_clock(clock),
      m_views(views),
      m_freshness(freshness),
      m_policy(policy),
      m_counters(std::move(counters)),
      m_random(random)
{
}

bool Dispatcher::mayStart(const ServiceId &service, const WorkspaceId &workspace, const TrafficView &view) const
{
    const auto caps = view.shares.find({service, workspace});
    return caps == view.shares.end() || m_counters->running({service, workspace}) < caps->second.cap;
}

std::optional<DispatchResult> Dispatcher::tryNow(DispatchRequest &request, const TrafficView &view)
{
    // Both are looked at when the call is about to leave, not when its request
    // came: a call may have waited, or its daemon may have been paused.
    if (!m_freshness.fresh(m_clock.now())) {
        return NotDispatched{Reason::NotFresh, kNotFreshRetry};
    }
    const auto versions = view.versions.find(request.choice.service);
    request.choice.versions = versions == view.versions.end() ? std::vector<VersionWeight>() : versions->second;
    if (!mayStart(request.choice.service, request.workspace, view)) {
        return std::nullopt;
    }
    auto choice = m_policy.choose(view.endpoints, request.choice, m_clock.now(), m_random);
    if (auto *chosen = std::get_if<Chosen>(&choice)) {
        WorkspaceUse use(m_counters, {request.choice.service, request.workspace});
        return DispatchResult(Dispatched{std::move(*chosen), std::move(use)});
    }
    return std::nullopt;
}

/// Tells \a queue how many of its calls may run, from which it expects waits.
void Dispatcher::updateSlots(const ServiceId &service, FairQueue &queue, const TrafficView &view)
{
    int slots = 0;
    for (const auto &group : view.endpoints.groups(service)) {
        for (const auto &row : group.rows) {
            slots += row.callLimit();
        }
    }
    queue.setSlots(std::max(1, slots));
}

http::Awaitable<DispatchResult> Dispatcher::dispatch(DispatchRequest request)
{
    const auto view = m_views.load();
    const auto service = request.choice.service;
    auto &queue = m_queues.try_emplace(service, FairQueueOptions()).first->second;
    if (queue.size() == 0) {
        if (auto result = tryNow(request, *view)) {
            co_return std::move(*result);
        }
    }
    const auto now = m_clock.now();
    if (view->endpoints.capacity(service) == 0) {
        auto choice = m_policy.choose(view->endpoints, request.choice, now, m_random);
        const auto *none = std::get_if<NotChosen>(&choice);
        co_return NotDispatched{Reason::NoEndpoint, none != nullptr ? none->retryAfter : Duration(0)};
    }
    m_lastTicket = m_lastTicket.next();
    const auto ticket = m_lastTicket;
    const WorkspaceUseKey key{service, request.workspace};
    updateSlots(service, queue, *view);
    if (const auto share = view->shares.find(key); share != view->shares.end()) {
        queue.setShare(request.workspace, share->second);
    }
    QueueItem item;
    item.ticket = ticket;
    item.workspace = request.workspace;
    item.cost = std::max(kLeastCost, seconds(request.typical));
    item.deadline = request.giveUpAt;
    item.needs = request.needs;
    auto waiter = std::make_shared<Waiter>(Waiter{std::move(request), boost::asio::steady_timer(m_io), std::nullopt});
    m_waiters.emplace(ticket, waiter);
    const QueuedTicket queued(*this, ticket, key);
    refuse(queue.enqueue(item, now));
    if (!std::exchange(m_pumping, true)) {
        boost::asio::co_spawn(m_io, pumpLoop(), boost::asio::detached);
    }
    co_return co_await wait(waiter);
}

http::Awaitable<DispatchResult> Dispatcher::wait(const std::shared_ptr<Waiter> &waiter)
{
    while (!waiter->result) {
        co_await http::sleepOn(waiter->timer);
    }
    co_return std::move(*waiter->result);
}

void Dispatcher::slotFreed(const ServiceId &service)
{
    const auto queue = m_queues.find(service);
    if (queue != m_queues.end() && queue->second.size() > 0) {
        pump(service, queue->second);
    }
}

http::Awaitable<void> Dispatcher::pumpLoop()
{
    boost::asio::steady_timer timer(m_io);
    while (!m_waiters.empty()) {
        for (auto &[service, queue] : m_queues) {
            if (queue.size() > 0) {
                pump(service, queue);
            }
        }
        timer.expires_after(kPumpInterval);
        co_await timer.async_wait(http::kTuple);
    }
    m_pumping = false;
}

void Dispatcher::pump(const ServiceId &service, FairQueue &queue)
{
    const auto view = m_views.load();
    updateSlots(service, queue, *view);
    refuse(queue.removeExpired(m_clock.now()));
    const auto allowed = [&](const WorkspaceId &workspace) { return mayStart(service, workspace, *view); };
    while (hasFreeSlot(service, *view)) {
        const auto item = queue.dequeue(allowed);
        if (!item) {
            return;
        }
        const auto waiter = m_waiters.find(item->ticket);
        if (waiter == m_waiters.end()) {
            continue;
        }
        auto result = tryNow(waiter->second->request, *view);
        if (!result) {
            // The free slots are none that this call may use: it waits on.
            refuse(queue.enqueue(*item, m_clock.now()));
            return;
        }
        resolve(item->ticket, std::move(*result));
    }
}

void Dispatcher::refuse(const std::vector<QueueRefusal> &refusals)
{
    for (const auto &it : refusals) {
        resolve(it.ticket, NotDispatched{it.reason, it.retryAfter});
    }
}

void Dispatcher::resolve(TicketId ticket, DispatchResult result)
{
    const auto waiter = m_waiters.find(ticket);
    if (waiter == m_waiters.end()) {
        return;
    }
    waiter->second->result = std::move(result);
    waiter->second->timer.cancel();
}

} // namespace mimosahub
