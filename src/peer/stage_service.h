#pragma once

#include "follow/table_relay.h"
#include "forward/batch_planner.h"
#include "forward/duty_report.h"
#include "forward/quarantine_news.h"
#include "forward/split_judge.h"
#include "peer/rpc_network.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <vector>

/// Hands off pieces of stages to the planner of their service by Cap'n Proto RPC. All
/// calls into this module and its callbacks run on the executor's thread.
namespace mimosahub
{

/// Load of one service.
struct ServiceLoad {
    ServiceId service;
    BatchLoad load;
};

/// Result of an order that was handed off to another daemon.
struct RemoteResult {
    PieceOrderResult result;
    BatchLoad load; ///< Load of the order's service when the order ended.
};

/// A peer's order that is in flight on this daemon; destroying it cancels the order.
class PeerOrder
{
public:
    virtual ~PeerOrder() = default;
};

/// Handles the calls of peers.
class StageHandler
{
public:
    using OrderDone = std::function<void(const RemoteResult &)>;

    virtual ~StageHandler() = default;
    /// Starts \a order. \a done is called asynchronously, exactly once, unless the
    /// returned object is destroyed first.
    virtual std::unique_ptr<PeerOrder> begin(const ServiceId &service, const PieceOrder &order, OrderDone done) = 0;
    /// Releases the results of \a handles, which are no longer needed.
    virtual void release(const ServiceId &service, const std::vector<ResultHandle> &handles) = 0;
    /// The load of each service for which this daemon is the planner.
    virtual std::vector<ServiceLoad> loads() = 0;
    /// The records from \a from on in \a table; absent if this daemon doesn't have them.
    virtual std::optional<TableAnswer> readTable(StoreTable table, StoreOffset from) = 0;
    /// Takes the counts of a peer on a rollout. Absent: this daemon knows no such order.
    virtual std::optional<SplitDecision> takeSplitReport(const SplitReport &report) = 0;
    /// Takes what a peer knows of quarantines; returns what this daemon knows.
    virtual QuarantineMessage takeQuarantines(const QuarantineMessage &message) = 0;
    /// Takes endpoints that have said that they are leaving.
    virtual void takeLeaving(const std::vector<EndpointStart> &endpoints) = 0;
    /// Takes a report for the duties of the deployment.
    virtual DutyReportAnswer takeDutyReport(const DutyReport &report) = 0;
};

/// Server and clients of the stage protocol.
class StageService
{
public:
    /// A call in flight; destroying it cancels the call and its callback.
    class Call
    {
    public:
        virtual ~Call() = default;
    };

    /// Starts the thread and listens. \a clock and \a handler must outlive the service.
    /// Errors carry the step "listen".
    static absl::StatusOr<std::unique_ptr<StageService>> create(RpcOptions options, RpcExecutor executor,
                                                                const Clock &clock, StageHandler &handler);
    virtual ~StageService() = default;

    /// Runs \a order on \a peer. \a done is called asynchronously, exactly once, unless the
    /// call is destroyed first. Errors as for RpcNetwork.
    [[nodiscard]] virtual std::unique_ptr<Call> run(const Address &peer, const ServiceId &service,
                                                    const PieceOrder &order, Duration timeout,
                                                    RpcCallback<RemoteResult> done) = 0;
    virtual void release(const Address &peer, const ServiceId &service, std::vector<ResultHandle> handles) = 0;
    virtual void ping(const Address &peer, RpcCallback<std::vector<ServiceLoad>> done) = 0;
    /// Queries \a peer for the records from \a from on in \a table; absent if it doesn't
    /// have them.
    virtual void readTable(const Address &peer, StoreTable table, StoreOffset from,
                           RpcCallback<std::optional<TableAnswer>> done) = 0;
    /// Reports to \a peer, which coordinates the rollout; absent if it knows no such order.
    virtual void reportSplit(const Address &peer, SplitReport report,
                             RpcCallback<std::optional<SplitDecision>> done) = 0;
    /// Tells \a peer what this daemon knows of quarantines; the result is what \a peer knows.
    virtual void exchangeQuarantines(const Address &peer, QuarantineMessage message,
                                     RpcCallback<QuarantineMessage> done) = 0;
    /// Tells \a peer of endpoints that have said that they are leaving.
    virtual void tellLeaving(const Address &peer, std::vector<EndpointStart> endpoints) = 0;
    /// Reports to \a peer for the duties of the deployment.
    virtual void reportDuties(const Address &peer, DutyReport report, RpcCallback<DutyReportAnswer> done) = 0;
    /// Address on which the service listens, with the port chosen by the system.
    [[nodiscard]] virtual Address address() const = 0;
    /// Closes all connections and ends the thread.
    virtual void stop() = 0;
};

} // namespace mimosahub
