#pragma once

#include "mimosahub/endpoint.h"
#include "peer/heartbeat.h"
#include "peer/rpc_network.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Sends messages between daemons by Cap'n Proto RPC. KJ's event loop runs on its
/// own thread; all calls into this module and its callbacks run on the control
/// thread.
namespace mimosahub
{

/// Consecutive records of the log that a peer relays.
struct RecordRun {
    Offset first; ///< Offset of the first record; the others follow without gaps.
    std::vector<std::string> records; ///< Bytes of each record as in the log.
    Offset head; ///< Highest offset that the sender has applied.

    friend bool operator==(const RecordRun &, const RecordRun &) = default;
};

/// Query for the records from \a first on.
struct RecordQuery {
    Offset first;
    std::uint32_t limit = 0; ///< Maximum number of records in the answer.
};

/// Handles the calls of peers. Called on the control thread only.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;

    virtual Heartbeat exchange(const Heartbeat &request) = 0;
    /// Takes \a run and returns the highest offset applied afterwards.
    virtual Offset pushRecords(const RecordRun &run) = 0;
    virtual RecordRun fetchRecords(const RecordQuery &query) = 0;
};

using PeerServiceOptions = RpcOptions;

/// Traffic on the connections between daemons, as written to and read from TCP.
struct PeerTraffic {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
};

/// Server and clients of the protocol between daemons.
class PeerService
{
public:
    /// Runs a function on the control thread, later; any thread may call it.
    using Executor = RpcExecutor;
    template<typename T>
    using Callback = RpcCallback<T>;

    /// Starts the thread and listens. \a handler must outlive the service.
    /// Errors carry the step "listen".
    static absl::StatusOr<std::unique_ptr<PeerService>> create(PeerServiceOptions options, Executor executor,
                                                               PeerHandler &handler);
    virtual ~PeerService() = default;

    /// Address on which the service listens, with the port chosen by the system.
    [[nodiscard]] virtual Address address() const = 0;

    /// Calls the peer at \a peer. \a done runs on the control thread, exactly once
    /// unless the service is stopped first. Errors carry the step "exchange" or
    /// "connect" and the peer's address; DEADLINE_EXCEEDED after callTimeout,
    /// RESOURCE_EXHAUSTED above outstandingCalls, UNAVAILABLE if the connection
    /// broke. A connection on which a call failed is closed; the next call opens
    /// a new one.
    virtual void exchange(const Address &peer, Heartbeat request, Callback<Heartbeat> done) = 0;
    virtual void pushRecords(const Address &peer, RecordRun run, Callback<Offset> done) = 0;
    virtual void fetchRecords(const Address &peer, RecordQuery query, Callback<RecordRun> done) = 0;

    /// Bytes and messages since the start. Any thread.
    [[nodiscard]] virtual PeerTraffic traffic() const = 0;

    /// Closes all connections and ends the thread. No callback and no call of the
    /// handler starts afterwards on behalf of this service. Control thread only.
    virtual void stop() = 0;
};

} // namespace mimosahub
