#pragma once

#include "follow/table_relay.h"
#include "forward/batch_planner.h"
#include "peer/rpc_network.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <vector>

/// Hands pieces of stages to the daemon that plans their service's calls, by
/// Cap'n Proto RPC. Every call into and out of this module happens on the
/// executor's thread.
namespace mimosahub
{

/// What is known of one service's load.
struct ServiceLoad {
    ServiceId service;
    BatchLoad load;
};

/// What came of an order that another daemon had.
struct RemoteResult {
    PieceOrderResult result;
    BatchLoad load; ///< Of the order's service, at its end.
};

/// An order of a peer while it is under way here; destroying it gives it up.
class PeerOrder
{
public:
    virtual ~PeerOrder() = default;
};

/// Answers the calls of peers.
class StageHandler
{
public:
    using OrderDone = std::function<void(const RemoteResult &)>;

    virtual ~StageHandler() = default;
    /// Begins \a order. \a done is called once, later, unless the result is
    /// destroyed before.
    virtual std::unique_ptr<PeerOrder> begin(const ServiceId &service, const PieceOrder &order, OrderDone done) = 0;
    /// Results are no longer needed.
    virtual void release(const ServiceId &service, const std::vector<ResultHandle> &handles) = 0;
    /// The load of each service for which this daemon plans.
    virtual std::vector<ServiceLoad> loads() = 0;
    /// What follows \a from in \a table, if this daemon knows.
    virtual std::optional<TableAnswer> readTable(StoreTable table, StoreOffset from) = 0;
};

/// Server and clients of the protocol.
class StageService
{
public:
    /// A call under way; destroying it drops the call and its callback.
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

    /// Has \a order made at \a peer. \a done is called once, later, unless the call is
    /// destroyed before. Errors as of RpcNetwork.
    [[nodiscard]] virtual std::unique_ptr<Call> run(const Address &peer, const ServiceId &service,
                                                    const PieceOrder &order, Duration timeout,
                                                    RpcCallback<RemoteResult> done) = 0;
    virtual void release(const Address &peer, const ServiceId &service, std::vector<ResultHandle> handles) = 0;
    virtual void ping(const Address &peer, RpcCallback<std::vector<ServiceLoad>> done) = 0;
    /// Asks \a peer for what follows \a from in \a table; absent if it doesn't know.
    virtual void readTable(const Address &peer, StoreTable table, StoreOffset from,
                           RpcCallback<std::optional<TableAnswer>> done) = 0;
    /// Where it listens, with the port that the system chose.
    [[nodiscard]] virtual Address address() const = 0;
    /// Closes all connections and ends the thread.
    virtual void stop() = 0;
};

} // namespace mimosahub
