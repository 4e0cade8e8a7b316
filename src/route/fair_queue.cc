// Start-time fair queueing (Goyal, Vin and Cheng, 1996): the virtual start time of an
// item is the virtual finish time of its workspace's previous item or the queue's
// virtual time, whichever is later; the item with the least start time is served
// first. The service per weight of two backlogged workspaces differs by at most one
// item each, although the queue's service rate is unknown. Only the first item of a
// workspace has a start tag, so removing an item from the middle changes no other.
//
// A call that can't start in time is rejected on arrival, not after its time has
// passed, so that the caller can still take another action.

#include "route/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace mimosahub
{

namespace
{

Duration secondsOf(double n)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(n, 86'400.0)));
}

} // namespace

void FairQueue::setShare(const WorkspaceId &workspace, const FlowShare &share)
{
    auto &flow = m_flows[workspace];
    if (!flow.items.empty()) {
        m_activeWeight += share.weight - flow.share.weight;
    }
    flow.share = share;
}

std::vector<QueueRefusal> FairQueue::enqueue(const QueueItem &item, TimePoint now)
{
    const auto flow = m_flows.try_emplace(item.workspace).first;
    const auto budget = item.latestStart() - now;
    if (budget < Duration::zero()) {
        return {{item.ticket, Reason::DeadlineTooShort, m_options.retryAfterMin}};
    }
    if (expectedWait(item.workspace) > budget) {
        return {refusal(item, flow->second, budget)};
    }
    if (flow->second.items.empty()) {
        activate(flow, std::max(m_virtualTime, flow->second.finish));
    }
    flow->second.items.push_back(item);
    flow->second.backlog += item.cost;
    m_workspaceOfTicket.emplace(item.ticket, item.workspace);
    m_latestStarts.emplace(item.latestStart(), item.ticket);
    if (m_workspaceOfTicket.size() <= m_options.maxItems) {
        return {};
    }
    const auto victim = mostOverShare();
    const auto dropped = removeAt(victim, victim->second.items.size() - 1);
    return {refusal(dropped, victim->second, Duration::zero())};
}

std::optional<QueueItem> FairQueue::dequeue(const MayStart &mayStart)
{
    std::vector<Flows::iterator> blocked;
    auto next = m_ready.begin();
    while (next != m_ready.end() && !mayStart(next->second)) {
        blocked.push_back(m_flows.find(next->second));
        ++next;
    }
    if (next == m_ready.end()) {
        return std::nullopt;
    }
    const auto flow = m_flows.find(next->second);
    const double start = flow->second.start;
    // A workspace gains no credit for the time that it spends at its cap.
    for (const auto &it : blocked) {
        m_ready.erase({it->second.start, it->first});
        it->second.start = std::max(it->second.start, start);
        m_ready.emplace(it->second.start, it->first);
    }
    m_virtualTime = std::max(m_virtualTime, start);
    flow->second.finish = start + flow->second.items.front().cost / flow->second.share.weight;
    m_lastFinish = std::max(m_lastFinish, flow->second.finish);
    auto item = removeAt(flow, 0);
    if (!flow->second.items.empty()) {
        m_ready.erase({flow->second.start, flow->first});
        flow->second.start = flow->second.finish;
        m_ready.emplace(flow->second.start, flow->first);
    } else if (m_ready.empty()) {
        // A new busy period begins, in which no workspace is ahead of or behind another.
        m_virtualTime = m_lastFinish;
    }
    return item;
}

bool FairQueue::remove(TicketId ticket)
{
    const auto place = m_workspaceOfTicket.find(ticket);
    if (place == m_workspaceOfTicket.end()) {
        return false;
    }
    const auto flow = m_flows.find(place->second);
    const auto &items = flow->second.items;
    const auto it = std::find_if(items.begin(), items.end(), [&](const auto &item) { return item.ticket == ticket; });
    removeAt(flow, static_cast<std::size_t>(it - items.begin()));
    return true;
}

std::vector<QueueRefusal> FairQueue::removeExpired(TimePoint now)
{
    std::vector<QueueRefusal> refusals;
    while (!m_latestStarts.empty() && m_latestStarts.begin()->first < now) {
        const auto ticket = m_latestStarts.begin()->second;
        const auto &flow = m_flows.at(m_workspaceOfTicket.at(ticket));
        QueueItem item;
        item.ticket = ticket;
        refusals.push_back(refusal(item, flow, Duration::zero()));
        remove(ticket);
    }
    return refusals;
}

std::size_t FairQueue::size(const WorkspaceId &workspace) const
{
    const auto it = m_flows.find(workspace);
    return it == m_flows.end() ? 0 : it->second.items.size();
}

Duration FairQueue::expectedWait(const WorkspaceId &workspace) const
{
    const auto it = m_flows.find(workspace);
    if (it == m_flows.end() || it->second.backlog <= 0.0) {
        return Duration::zero();
    }
    return secondsOf(it->second.backlog / serviceRate(it->second));
}

QueueItem FairQueue::removeAt(Flows::iterator flow, std::size_t index)
{
    auto &items = flow->second.items;
    const auto it = items.begin() + static_cast<std::ptrdiff_t>(index);
    auto item = std::move(*it);
    items.erase(it);
    flow->second.backlog = items.empty() ? 0.0 : flow->second.backlog - item.cost;
    m_workspaceOfTicket.erase(item.ticket);
    m_latestStarts.erase({item.latestStart(), item.ticket});
    if (items.empty()) {
        deactivate(flow);
    }
    return item;
}

void FairQueue::activate(Flows::iterator flow, double start)
{
    flow->second.start = start;
    m_ready.emplace(start, flow->first);
    m_activeWeight += flow->second.share.weight;
}

void FairQueue::deactivate(Flows::iterator flow)
{
    m_ready.erase({flow->second.start, flow->first});
    m_activeWeight = m_ready.empty() ? 0.0 : m_activeWeight - flow->second.share.weight;
}

FairQueue::Flows::iterator FairQueue::mostOverShare()
{
    const auto excess = [](const Flow &flow) { return static_cast<double>(flow.items.size()) / flow.share.weight; };
    return std::max_element(m_flows.begin(), m_flows.end(),
                            [&](const auto &a, const auto &b) { return excess(a.second) < excess(b.second); });
}

double FairQueue::serviceRate(const Flow &flow) const
{
    const double weights = m_activeWeight + (flow.items.empty() ? flow.share.weight : 0.0);
    const double byWeight = std::max(1, m_slots) * flow.share.weight / weights;
    return std::min<double>(byWeight, std::max(1, flow.share.cap));
}

bool FairQueue::isCapped(const Flow &flow) const
{
    return serviceRate(flow) >= std::max(1, flow.share.cap);
}

QueueRefusal FairQueue::refusal(const QueueItem &item, const Flow &flow, Duration budget) const
{
    const auto wait = flow.backlog <= 0.0 ? Duration::zero() : secondsOf(flow.backlog / serviceRate(flow));
    return {item.ticket, isCapped(flow) ? Reason::ShareExceeded : Reason::Overloaded,
            std::clamp(wait - budget, m_options.retryAfterMin, m_options.retryAfterMax)};
}

} // namespace mimosahub
