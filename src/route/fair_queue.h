#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/configuration.h"
#include "mimosahub/ids.h"
#include "mimosahub/outcome.h"

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// Fair queue of the calls that wait at one daemon for one service.
namespace mimosahub
{

/// Identifies one waiting call within its queue.
using TicketId = Ordinal<struct TicketTag>;

/// A waiting call.
struct QueueItem {
    TicketId ticket;
    WorkspaceId workspace;
    double cost = 1.0; ///< Expected time on the endpoint in seconds; above 0.
    TimePoint deadline;
    Duration needs{}; ///< Processing time of the call and of the stages after it.

    /// Latest time at which it can start and still meet its deadline.
    [[nodiscard]] TimePoint latestStart() const
    {
        return deadline - needs;
    }
};

/// A call that the queue rejected. It has not run.
struct QueueRefusal {
    TicketId ticket;
    /// DeadlineTooShort: its latest start had passed on arrival. Otherwise its expected
    /// wait or actual wait was too long or the queue was full: ShareExceeded if the cap
    /// of its workspace limits its service rate, else Overloaded.
    Reason reason = Reason::Overloaded;
    Duration retryAfter{};
};

/// How the queue serves one workspace, whose waiting calls form one flow.
struct FlowShare {
    double weight = 1.0; ///< While backlogged, it is served in proportion to this; above 0.
    int cap = std::numeric_limits<int>::max(); ///< Maximum calls in flight at this daemon.
};

/// Limits of a queue.
struct FairQueueOptions {
    std::size_t maxItems = 2'000; ///< Maximum number of waiting calls over all workspaces.
    Duration retryAfterMin = 50ms;
    Duration retryAfterMax = 5s;
};

/// Start-time fair queueing by workspace: a backlogged workspace is served in
/// proportion to its weight, whatever load the others generate. Calls that can't
/// start in time are rejected immediately. Not thread-safe.
class FairQueue
{
public:
    /// Returns whether a workspace may start one more call now.
    using MayStart = std::function<bool(const WorkspaceId &)>;

    explicit FairQueue(const FairQueueOptions &options = {}) : m_options(options)
    {
    }

    /// Sets how \a workspace is served from now on.
    void setShare(const WorkspaceId &workspace, const FlowShare &share);
    /// Sets the number of calls that may be in flight at this daemon for all
    /// workspaces. Costs are endpoint seconds, so each slot serves a cost of one per second.
    void setSlots(int slots)
    {
        m_slots = slots;
    }

    /// Adds \a item, or rejects it. A full queue drops the newest call of the
    /// workspace that is furthest above its share, which may be \a item itself.
    /// Returns all calls rejected by this.
    [[nodiscard]] std::vector<QueueRefusal> enqueue(const QueueItem &item, TimePoint now);
    /// Removes and returns the next call whose workspace may start one. Call
    /// removeExpired() first.
    [[nodiscard]] std::optional<QueueItem> dequeue(const MayStart &mayStart);
    /// Removes a call whose caller disconnected. False if it no longer waits.
    bool remove(TicketId ticket);
    /// Removes and returns all calls that can no longer start in time.
    [[nodiscard]] std::vector<QueueRefusal> removeExpired(TimePoint now);

    [[nodiscard]] std::size_t size() const
    {
        return m_workspaceOfTicket.size();
    }
    [[nodiscard]] std::size_t size(const WorkspaceId &workspace) const;
    /// Expected wait of a call of \a workspace that arrives now.
    [[nodiscard]] Duration expectedWait(const WorkspaceId &workspace) const;

private:
    /// The waiting calls of one workspace.
    struct Flow {
        FlowShare share;
        double start = 0.0; ///< Virtual start time of the first item.
        double finish = 0.0; ///< Virtual finish time of the last item served.
        double backlog = 0.0; ///< Sum of the costs of all items.
        std::deque<QueueItem> items;
    };
    using Flows = std::map<WorkspaceId, Flow>;
    /// Service order: by virtual start time, then id.
    using Ready = std::set<std::pair<double, WorkspaceId>>;

    QueueItem removeAt(Flows::iterator flow, std::size_t index);
    void activate(Flows::iterator flow, double start);
    void deactivate(Flows::iterator flow);
    [[nodiscard]] Flows::iterator mostOverShare();
    /// Cost per second at which \a flow is served while backlogged.
    [[nodiscard]] double serviceRate(const Flow &flow) const;
    [[nodiscard]] bool isCapped(const Flow &flow) const;
    /// Rejection of \a item, which could have waited for \a budget.
    [[nodiscard]] QueueRefusal refusal(const QueueItem &item, const Flow &flow, Duration budget) const;

    FairQueueOptions m_options;
    int m_slots = 1;
    Flows m_flows;
    Ready m_ready; ///< Workspaces with items.
    double m_virtualTime = 0.0;
    double m_lastFinish = 0.0; ///< Greatest virtual finish time of any item served.
    double m_activeWeight = 0.0; ///< Sum of the weights of workspaces with items.
    std::map<TicketId, WorkspaceId> m_workspaceOfTicket; ///< Workspace of each waiting call.
    std::set<std::pair<TimePoint, TicketId>> m_latestStarts;
};

} // namespace mimosahub
