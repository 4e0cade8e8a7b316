#pragma once

#include "forward/call_capacity.h"
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
#include <vector>

/// Which pieces of a service's stages go to which endpoint, when, and together
/// with which others.
namespace mimosahub
{

using PieceOrderId = Ordinal<struct PieceOrderTag>; ///< Names one order at the planner that has it.
using BatchCallId = Ordinal<struct BatchCallTag>; ///< Names one call at the planner that made it.

/// All pieces of one stage of one request.
struct PieceOrder {
    RequestId request;
    std::size_t stage = 0; ///< Index in the route.
    int pieces = 1;
    PieceKey key; ///< For stages that follow no other.
    std::vector<ResultHandle> inputs;
    /// Bytes of each piece that stay within a zone if it is made there, about: its
    /// inputs, and its result if its reader is known.
    std::map<ZoneId, std::uint64_t> localBytes;
    std::uint64_t resultBytes = 0; ///< Of each piece, about.
    TimePoint dueAt; ///< Done by then, the request can be on time.
    TimePoint expiresAt; ///< Of no use when done later.
    int rank = 0; ///< 0 is the most urgent.
};

/// What became of an order.
struct PieceOrderResult {
    PieceOutcome outcome = PieceOutcome::Failed; ///< Done if all pieces are.
    std::vector<ResultHandle> handles; ///< Of all pieces, in order, if Done.
};

/// An order that ended.
struct EndedOrder {
    PieceOrderId id;
    PieceOrderResult result;
};

/// One call of an endpoint.
struct BatchCall {
    BatchCallId id;
    ListedEndpoint endpoint;
    std::vector<BatchPiece> pieces;
    Duration timeout{}; ///< Longer than any sound endpoint takes.
};

/// How a call failed as a whole.
enum class BatchFailure {
    NotRun, ///< The endpoint did not run it, or no byte left.
    Unreachable, ///< No connection; no byte left.
    Lost, ///< It may have run.
};

struct BatchPlannerOptions {
    double timeoutFactor = 3.0; ///< Of the time that a call is expected to take.
    Duration timeoutSlack = std::chrono::milliseconds(400);
    int maxTries = 4; ///< Calls of one piece, those that its endpoint refused apart.
    Duration refusedPause = std::chrono::milliseconds(40); ///< Before an endpoint that refused a call gets another.
    Duration failedPause = std::chrono::milliseconds(300); ///< After a failed call; doubles with each in a row.
    Duration failedPauseMax = std::chrono::seconds(3);
    Duration queueCheckInterval =
        std::chrono::milliseconds(50); ///< Between two looks at a queue for which no slot is free.
    Duration rateWindow = std::chrono::seconds(1); ///< Over which the rate of pieces on time is taken.
    double minLateShare = 0.5; ///< Part of the endpoints' time that orders which are late may count on at least.
    std::uint64_t minCrossZoneBytes = 1'000'000; ///< An order waits for a zone only to save more than this.
    double latencyRatioWeight = 0.3; ///< Weight of a new sample of an endpoint's pace.
    ResultMemoryOptions memory;
};

/// What is known of a planner's load; for estimates.
struct BatchLoad {
    int queued = 0; ///< Pieces that wait.
    int endpoints = 0; ///< Endpoints that may work.
    Duration wait{}; ///< A piece that came now would begin after about this time.
    Duration call{}; ///< A call takes about this time.
};

/// Plans the calls of one service's endpoints. Pure: events and the time come in,
/// calls and ended orders go out. Each piece is in one call at a time; a piece
/// whose call was lost is produced again.
class BatchPlanner
{
public:
    BatchPlanner(const BatchRule &rule, const BatchPlannerOptions &options);

    void setRule(const BatchRule &rule);
    /// The endpoints that may get calls. Those that left finish what they have.
    void setEndpoints(const std::vector<ListedEndpoint> &endpoints);

    PieceOrderId add(PieceOrder order);
    /// Nobody wants the order any more; results of calls under way are dropped.
    void cancel(PieceOrderId id);
    /// \a call was answered; \a results are those of its pieces in order.
    void ended(BatchCallId call, const std::vector<PieceResult> &results, TimePoint now);
    void failed(BatchCallId call, BatchFailure failure, TimePoint now);
    /// Another planner takes over: ends, as moved, all orders of which nothing was begun.
    void handOff();
    /// Results are no longer needed; gives those that this planner doesn't know.
    [[nodiscard]] std::vector<ResultHandle> release(const std::vector<ResultHandle> &handles);

    /// Calls to be made now.
    [[nodiscard]] std::vector<BatchCall> takeCalls(TimePoint now);
    /// Orders that ended since the last call.
    [[nodiscard]] std::vector<EndedOrder> takeEnded();
    /// Results to be dropped at their makers.
    [[nodiscard]] std::vector<ResultRelease> takeReleases()
    {
        return m_memory.takeReleases();
    }
    /// The maker of \a release has answered, or can't be reached.
    void releaseEnded(const ResultRelease &release)
    {
        m_memory.releaseEnded(release);
    }
    /// Endpoints to be asked for their memory, while orders wait.
    [[nodiscard]] std::vector<MemoryQuery> takeMemoryQueries(TimePoint now);
    /// \a endpoint has at most \a freeBytes left for results.
    void recordFreeMemory(const EndpointId &endpoint, std::uint64_t freeBytes)
    {
        m_memory.recordFreeBytes(endpoint, freeBytes);
    }
    /// When takeCalls() may give more without a new event; absent if never.
    [[nodiscard]] std::optional<TimePoint> nextWakeup(TimePoint now) const;
    [[nodiscard]] BatchLoad load(TimePoint now) const;
    /// Beliefs that changed since the last call.
    [[nodiscard]] std::vector<EndpointHealthChange> takeHealthChanges()
    {
        return m_healthLog.take();
    }

private:
    struct OpenOrder {
        PieceOrder order;
        std::vector<ResultHandle> handles;
        int missing = 0; ///< Pieces without a result.
    };
    struct ZoneWait {
        int endpoints = 0; ///< That may work.
        Duration earliest = Duration::max(); ///< Until one of them is free.
        int queued = 0; ///< Pieces that wait for this zone.
    };
    struct QueuedPiece {
        PieceOrderId order;
        int piece = 0;
        int tries = 0;
    };
    struct RunningCall {
        EndpointId endpoint;
        std::vector<QueuedPiece> pieces;
        TimePoint startedAt;
        Duration expected{};
        std::uint64_t bytes = 0; ///< Memory reserved for its results.
    };
    struct EndpointState {
        ListedEndpoint listed;
        bool usable = false; ///< Listed and not leaving.
        int running = 0;
        int failures = 0; ///< In a row.
        TimePoint pausedUntil;
        double latencyRatio = 1.0; ///< Time of its calls over the expected time.
        TimePoint freeAt; ///< When its running call is expected to end.
        EndpointHealth health = EndpointHealth::Healthy;
    };

    using Queue = std::vector<QueuedPiece>;

    [[nodiscard]] Duration expectedTime(std::size_t pieces) const;
    void dropExpired(TimePoint now);
    [[nodiscard]] std::vector<CallSlot> callSlots(TimePoint now) const;
    void dropInfeasible(TimePoint now);
    [[nodiscard]] bool isLate(const PieceOrder &order, TimePoint now) const;
    void recordOnTime(std::size_t pieces, TimePoint now);
    [[nodiscard]] double lateShare(const std::vector<CallSlot> &slots, TimePoint now) const;
    void sortQueue(TimePoint now);
    [[nodiscard]] std::vector<EndpointState *> idleEndpoints(TimePoint now);
    [[nodiscard]] bool worthUsing(const EndpointState &endpoint, TimePoint now) const;
    [[nodiscard]] static std::optional<ZoneId> preferredZoneOf(const PieceOrder &order, std::uint64_t threshold);
    [[nodiscard]] std::map<ZoneId, ZoneWait> zoneWaits(TimePoint now) const;
    [[nodiscard]] bool mayRunIn(const PieceOrder &order, const ZoneId &zone, const std::map<ZoneId, ZoneWait> &waits,
                                TimePoint now) const;
    [[nodiscard]] std::optional<BatchCall> fillCall(EndpointState &endpoint, const std::map<ZoneId, ZoneWait> &waits,
                                                    TimePoint now);
    [[nodiscard]] BatchCall beginCall(EndpointState &endpoint, RunningCall running, TimePoint now);
    [[nodiscard]] BatchPiece toBatchPiece(const QueuedPiece &piece, TimePoint now) const;
    void finishPiece(const QueuedPiece &piece, const PieceResult &result, const EndpointId &endpoint, TimePoint now);
    void retry(QueuedPiece piece, PieceOutcome outcome);
    void endOrder(PieceOrderId id, PieceOutcome outcome);
    void pause(EndpointState &endpoint, TimePoint now);
    void updateHealth(EndpointState &endpoint, TimePoint now);

    BatchRule m_rule;
    BatchPlannerOptions m_options;
    std::map<PieceOrderId, OpenOrder> m_orders;
    Queue m_queue; ///< Pieces of one order stand together once it is sorted.
    std::map<BatchCallId, RunningCall> m_calls;
    std::map<EndpointId, EndpointState> m_endpoints;
    ResultMemory m_memory;
    std::vector<EndedOrder> m_ended;
    EndpointHealthLog m_healthLog;
    PieceOrderId m_lastOrder;
    BatchCallId m_lastCall;
    double m_onTimePieces = 0.0; ///< Decayed count of pieces that were sent in time.
    TimePoint m_countedAt; ///< m_onTimePieces is of then.
    TimePoint m_queueCheckedAt; ///< The queue was sorted last, and what is hopeless dropped.
};

} // namespace mimosahub
