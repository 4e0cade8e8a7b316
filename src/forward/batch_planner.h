#pragma once

#include "forward/call_capacity.h"
#include "forward/call_fill.h"
#include "forward/endpoint_health.h"
#include "forward/gateway_configuration.h"
#include "forward/listed_endpoint.h"
#include "forward/piece.h"
#include "forward/result_memory.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Planning of batches: which pieces of a service's stages go to which endpoint, when
/// and in which call. A piece is one unit of work of a stage (see piece.h); an order is a
/// request's demand for all pieces of one stage, not an order of an operator.
namespace mimosahub
{

using PieceOrderId = Ordinal<struct PieceOrderTag>; ///< Identifies an order at its planner.
using BatchCallId = Ordinal<struct BatchCallTag>; ///< Identifies a call at its planner.

/// All pieces of one stage of one request.
struct PieceOrder {
    RequestId request;
    std::size_t stage = 0; ///< Index in the route.
    int pieces = 1;
    PieceKey key; ///< Identifies the input of a stage that depends on no other; for others, see inputs.
    std::vector<ResultHandle> inputs;
    /// Approximate bytes per piece that need not cross zones if the piece is made in the
    /// given zone: its inputs, and its result if the reader of that is known.
    std::map<ZoneId, std::uint64_t> localBytes;
    std::uint64_t resultBytes = 0; ///< Approximate bytes of the result of each piece.
    TimePoint dueAt; ///< The request can be on time if the order is done by then.
    TimePoint expiresAt; ///< The results are useless after this time.
    int rank = 0; ///< 0 is the most urgent.
};

/// The result of an order.
struct PieceOrderResult {
    PieceOutcome outcome = PieceOutcome::Failed; ///< Done if all pieces are done.
    std::vector<ResultHandle> handles; ///< Results of all pieces, in their order; empty unless Done.
};

/// An order that ended, with its result.
struct EndedOrder {
    PieceOrderId id;
    PieceOrderResult result;
};

/// A call to an endpoint with a batch of pieces.
struct BatchCall {
    BatchCallId id;
    ListedEndpoint endpoint;
    std::vector<BatchPiece> pieces;
    Duration timeout{}; ///< Until all its results are useless.
    Duration expected{}; ///< Time that it probably takes at its endpoint.
};

/// How a call failed as a whole.
enum class BatchFailure {
    NotRun, ///< The endpoint responded that it did not run it.
    Unreachable, ///< No byte was sent: no connection could be made, or it closed before.
    Lost, ///< The call may have run.
    BrokenOff, ///< The same, since its connection broke: it may have crashed its endpoint.
};

struct BatchPlannerOptions {
    double overdueFactor = 3.0; ///< Of the expected time of a call, after which it is overdue, without overdueSlack.
    Duration overdueSlack = std::chrono::milliseconds(400); ///< Added for each call.
    /// Calls of an order that broke off, after which it ends. From the first one on, its pieces
    /// are in calls of their own: if they crash endpoints, no other order is hit again.
    int maxBrokenCalls = 3;
    int maxTries = 4; ///< Calls per piece, not counting those that an endpoint refused.
    Duration refusedPause = std::chrono::milliseconds(40); ///< Pause of an endpoint after it refused a call.
    Duration failedPause = std::chrono::milliseconds(300); ///< After a failed call; doubles with each further one.
    Duration failedPauseMax = std::chrono::seconds(3);
    Duration queueCheckInterval = std::chrono::milliseconds(50); ///< Of checks of a queue while no slot is free.
    /// Time constant of the rate of pieces sent on time. The endpoints' time that these
    /// leave is the share counted for orders that are late, which can't be done by dueAt.
    Duration rateWindow = std::chrono::seconds(1);
    double minLateShare = 0.5; ///< Minimum share of the endpoints' time that is counted for late orders.
    /// An order waits for an endpoint in its preferred zone only if the localBytes of all
    /// its pieces are more than this.
    std::uint64_t minCrossZoneBytes = 1'000'000;
    double latencyRatioWeight = 0.3; ///< Weight of a new sample in an endpoint's latency ratio.
    CallFillOptions fill;
    ResultMemoryOptions memory;
};

/// The load of a planner, for estimates.
struct BatchLoad {
    int queued = 0; ///< Pieces in the queue.
    int endpoints = 0; ///< Endpoints that may get calls.
    Duration wait{}; ///< Estimated time until a piece that is added now is started.
    Duration call{}; ///< Expected time of a full call.
    Duration rest{}; ///< Until the first of its endpoints may be called, if all have asked for a rest.
};

/// Plans the calls to the endpoints of one service. It does no I/O and reads no clock:
/// events and the time come in, calls and ended orders go out. Each piece is in at
/// most one call at a time; a piece whose call was lost is computed again.
class BatchPlanner
{
public:
    BatchPlanner(const BatchRule &rule, const BatchPlannerOptions &options);

    void setRule(const BatchRule &rule);
    /// Replaces the endpoints that may get calls. Endpoints that left finish their calls.
    void setEndpoints(const std::vector<ListedEndpoint> &endpoints);

    PieceOrderId add(PieceOrder order);
    /// Records that \a endpoint gets nothing until \a until, since it wants a rest. A later start
    /// of it is not meant.
    void recordRest(const EndpointStart &endpoint, TimePoint until);
    /// Cancels the order; results of its calls in flight are dropped.
    void cancel(PieceOrderId id);
    /// Records the response to \a call; \a results are those of its pieces, in their order.
    void ended(BatchCallId call, const std::vector<PieceResult> &results, TimePoint now);
    void failed(BatchCallId call, BatchFailure failure, TimePoint now);
    /// Calls in flight that take longer than usual and that are to be given up, since
    /// another endpoint has a slot and memory for their pieces or nobody needs them. An
    /// endpoint that is silent for a while may be healthy, so other overdue calls go on.
    [[nodiscard]] std::vector<BatchCallId> callsToGiveUp(TimePoint now) const;
    /// Another planner takes over: ends all orders of which no piece was started, with
    /// PieceOutcome::Moved.
    void handOff();
    /// Drops results that are no longer needed; returns those that this planner does not know.
    [[nodiscard]] std::vector<ResultHandle> release(const std::vector<ResultHandle> &handles);

    /// Calls that are to be made now.
    [[nodiscard]] std::vector<BatchCall> takeCalls(TimePoint now);
    /// Orders that ended since the last call.
    [[nodiscard]] std::vector<EndedOrder> takeEnded();
    /// Results that are to be dropped now at the endpoints that made them.
    [[nodiscard]] std::vector<ResultRelease> takeReleases(TimePoint now);
    /// The endpoint of \a release has responded or is unreachable.
    void releaseEnded(const ResultRelease &release)
    {
        m_memory.releaseEnded(release);
    }
    /// Endpoints whose free memory is to be queried now; none while no order waits.
    [[nodiscard]] std::vector<MemoryQuery> takeMemoryQueries(TimePoint now);
    /// Records that \a endpoint reported \a freeBytes of free memory for results; it may
    /// have less by now.
    void recordFreeMemory(const EndpointId &endpoint, std::uint64_t freeBytes)
    {
        m_memory.recordFreeBytes(endpoint, freeBytes);
    }
    /// The time at which takeCalls() may return calls without a new event; absent if never.
    [[nodiscard]] std::optional<TimePoint> nextWakeup(TimePoint now) const;
    [[nodiscard]] BatchLoad load(TimePoint now) const;
    /// How long pieces waited to fill calls since the last call, while an endpoint was free.
    [[nodiscard]] Duration takeFillWait()
    {
        return std::exchange(m_fillWait, Duration::zero());
    }
    /// Changes of endpoint health since the last call.
    [[nodiscard]] std::vector<EndpointHealthChange> takeHealthChanges()
    {
        return m_healthLog.take();
    }

private:
    struct OpenOrder {
        PieceOrder order;
        std::vector<ResultHandle> handles;
        int missing = 0; ///< Pieces without a result.
        int brokenCalls = 0; ///< Calls with its pieces that broke off.
    };
    struct ZoneWait {
        int endpoints = 0; ///< Endpoints of the zone that may get calls.
        Duration earliest = Duration::max(); ///< Time until the first of them has a free slot.
        int queued = 0; ///< Queued pieces that prefer this zone.
    };
    struct QueuedPiece {
        PieceOrderId order;
        int piece = 0;
        int tries = 0;
    };
    struct RunningCall {
        EndpointId endpoint;
        std::int64_t endpointStartedAtMs = 0;
        std::vector<QueuedPiece> pieces;
        TimePoint startedAt;
        TimePoint overdueAt; ///< From then on its endpoint counts as silent.
        Duration expected{};
        std::uint64_t bytes = 0; ///< Memory reserved for its results.
    };
    struct EndpointState {
        ListedEndpoint listed;
        bool usable = false; ///< It is listed and not leaving.
        int running = 0;
        int failures = 0; ///< Consecutive failed calls.
        TimePoint pausedUntil;
        TimePoint restsUntil; ///< It wants nothing from this daemon before; pausedUntil isn't sooner.
        double latencyRatio = 1.0; ///< Moving average of the time of its calls over their expected time.
        TimePoint freeAt; ///< Expected end of its last call.
        EndpointHealth health = EndpointHealth::Healthy;
    };

    /// Whether an overdue call may be given up.
    enum class GiveUp {
        No,
        Yes, ///< Nobody needs its pieces.
        ForAnotherEndpoint, ///< If another endpoint can take its pieces now.
    };

    using Queue = std::vector<QueuedPiece>;

    [[nodiscard]] Duration expectedTime(std::size_t pieces) const;
    void dropExpired(TimePoint now);
    [[nodiscard]] std::set<EndpointId> restingEndpoints(TimePoint now) const;
    [[nodiscard]] std::vector<CallSlot> callSlots(TimePoint now) const;
    void dropInfeasible(TimePoint now);
    [[nodiscard]] bool isLate(const PieceOrder &order, TimePoint now) const;
    void recordOnTime(std::size_t pieces, TimePoint now);
    [[nodiscard]] double lateShare(const std::vector<CallSlot> &slots, TimePoint now) const;
    void sortQueue(TimePoint now);
    [[nodiscard]] std::vector<EndpointState *> idleEndpoints(TimePoint now);
    [[nodiscard]] CallFillState fillState(const std::vector<EndpointState *> &idle, TimePoint now) const;
    [[nodiscard]] bool holdsCalls(const std::vector<EndpointState *> &idle, TimePoint now);
    [[nodiscard]] bool worthUsing(const EndpointState &endpoint, TimePoint now) const;
    [[nodiscard]] static std::optional<ZoneId> preferredZoneOf(const PieceOrder &order, std::uint64_t threshold);
    [[nodiscard]] std::map<ZoneId, ZoneWait> zoneWaits(TimePoint now) const;
    [[nodiscard]] bool mayRunIn(const PieceOrder &order, const ZoneId &zone, const std::map<ZoneId, ZoneWait> &waits,
                                TimePoint now) const;
    [[nodiscard]] std::optional<BatchCall> fillCall(EndpointState &endpoint, const std::map<ZoneId, ZoneWait> &waits,
                                                    TimePoint now);
    [[nodiscard]] BatchCall beginCall(EndpointState &endpoint, RunningCall running, TimePoint now);
    [[nodiscard]] BatchPiece toBatchPiece(const QueuedPiece &piece, TimePoint now) const;
    [[nodiscard]] std::map<EndpointId, int> spareSlots(TimePoint now) const;
    [[nodiscard]] bool takeSlot(std::map<EndpointId, int> &slots, const RunningCall &call, TimePoint now) const;
    [[nodiscard]] GiveUp mayGiveUp(const RunningCall &call, TimePoint now) const;
    void recordBrokenCall(const Queue &pieces);
    [[nodiscard]] bool mayShareCall(PieceOrderId order, const Queue &pieces) const;
    void finishPiece(const QueuedPiece &piece, const PieceResult &result, const EndpointId &endpoint, TimePoint now);
    void retry(QueuedPiece piece, PieceOutcome outcome);
    void endOrder(PieceOrderId id, PieceOutcome outcome);
    [[nodiscard]] const EndpointState *endpointOf(const RunningCall &call) const;
    [[nodiscard]] EndpointState *endpointOf(const RunningCall &call);
    [[nodiscard]] Duration restOfAll(TimePoint now) const;
    void pause(EndpointState &endpoint, TimePoint now);
    void updateHealth(EndpointState &endpoint, TimePoint now);

    BatchRule m_rule;
    BatchPlannerOptions m_options;
    std::map<PieceOrderId, OpenOrder> m_orders;
    Queue m_queue; ///< Pieces of one order are adjacent once it is sorted.
    std::map<BatchCallId, RunningCall> m_calls;
    std::map<EndpointId, EndpointState> m_endpoints;
    ResultMemory m_memory;
    CallFill m_fill;
    std::size_t m_arrived = 0; ///< Pieces that were added since the last takeCalls().
    std::optional<TimePoint> m_heldUntil; ///< Until then the queue waits to fill a call.
    Duration m_fillWait{}; ///< Since the last takeFillWait().
    std::vector<EndedOrder> m_ended;
    EndpointHealthLog m_healthLog;
    PieceOrderId m_lastOrder;
    BatchCallId m_lastCall;
    double m_onTimePieces = 0.0; ///< Decayed count of pieces that were sent on time.
    TimePoint m_countedAt; ///< Time of the last update of m_onTimePieces.
    TimePoint m_queueCheckedAt; ///< When the queue was last sorted and infeasible orders dropped.
};

} // namespace mimosahub
