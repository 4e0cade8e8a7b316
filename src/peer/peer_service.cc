// The calls between daemons, made on KJ's thread; see peer/rpc_thread.h for the
// communication between the two threads.

#include "peer/peer_service.h"

#include "mimosahub/error.h"
#include "peer/peer_codec.h"
#include "peer/rpc_thread.h"

#include <utility>

namespace mimosahub
{

namespace
{

using Thread = RpcThread<wire::PeerProtocol>;

/// The server side of the protocol.
class PeerProtocolServer final : public wire::PeerProtocol::Server
{
public:
    PeerProtocolServer(RpcExecutor executor, std::shared_ptr<bool> running, PeerHandler &handler)
        : m_executor(std::move(executor)), m_running(std::move(running)), m_handler(handler)
    {
    }

protected:
    kj::Promise<void> exchange(ExchangeContext context) override
    {
        auto request = readHeartbeat(context.getParams().getHeartbeat());
        if (!request.ok()) {
            return KJ_EXCEPTION(FAILED, "malformed heartbeat in the request");
        }
        return run<Heartbeat>([this, request = *std::move(request)]() { return m_handler.exchange(request); })
            .then([context](const Heartbeat &reply) mutable {
                writeHeartbeat(reply, context.getResults().initHeartbeat());
            });
    }

    kj::Promise<void> pushRecords(PushRecordsContext context) override
    {
        auto records = readRecordRun(context.getParams().getRun());
        return run<Offset>([this, records = std::move(records)]() { return m_handler.pushRecords(records); })
            .then([context](Offset applied) mutable { context.getResults().setApplied(applied.value()); });
    }

    kj::Promise<void> fetchRecords(FetchRecordsContext context) override
    {
        const auto params = context.getParams();
        const RecordQuery query{Offset(params.getFirst()), params.getLimit()};
        return run<RecordRun>([this, query]() { return m_handler.fetchRecords(query); })
            .then([context](const RecordRun &run) mutable { writeRecordRun(run, context.getResults().initRun()); });
    }

private:
    template<typename T>
    kj::Promise<T> run(std::function<T()> function)
    {
        return runOnExecutor<T>(m_executor, m_running, std::move(function));
    }

    RpcExecutor m_executor;
    std::shared_ptr<bool> m_running; ///< Control thread only.
    PeerHandler &m_handler;
};

class KjPeerService : public PeerService
{
public:
    KjPeerService(RpcOptions options, RpcExecutor executor, PeerHandler &handler)
        : m_thread(std::move(options), std::move(executor), [this, &handler]() -> capnp::Capability::Client {
              return kj::heap<PeerProtocolServer>(m_thread.executor(), m_thread.running(), handler);
          })
    {
    }

    ~KjPeerService() noexcept override
    {
        KjPeerService::stop();
    }

    absl::Status start()
    {
        return m_thread.start();
    }

    [[nodiscard]] Address address() const override
    {
        return m_thread.address();
    }

    void exchange(const Address &peer, Heartbeat request, Callback<Heartbeat> done) override
    {
        const auto send = [request = std::move(request)](wire::PeerProtocol::Client &protocol) {
            auto call = protocol.exchangeRequest();
            writeHeartbeat(request, call.initHeartbeat());
            return call.send().then([](auto response) {
                auto reply = readHeartbeat(response.getHeartbeat());
                if (!reply.ok()) {
                    kj::throwFatalException(KJ_EXCEPTION(FAILED, "malformed heartbeat in the reply"));
                }
                return *std::move(reply);
            });
        };
        m_thread.call<Heartbeat>(peer, send, std::move(done));
    }

    void pushRecords(const Address &peer, RecordRun run, Callback<Offset> done) override
    {
        const auto send = [run = std::move(run)](wire::PeerProtocol::Client &protocol) {
            auto call = protocol.pushRecordsRequest();
            writeRecordRun(run, call.initRun());
            return call.send().then([](auto response) { return Offset(response.getApplied()); });
        };
        m_thread.call<Offset>(peer, send, std::move(done));
    }

    void fetchRecords(const Address &peer, RecordQuery query, Callback<RecordRun> done) override
    {
        const auto send = [query](wire::PeerProtocol::Client &protocol) {
            auto call = protocol.fetchRecordsRequest();
            call.setFirst(query.first.value());
            call.setLimit(query.limit);
            return call.send().then([](auto response) { return readRecordRun(response.getRun()); });
        };
        m_thread.call<RecordRun>(peer, send, std::move(done));
    }

    [[nodiscard]] PeerTraffic traffic() const override
    {
        const auto &counters = m_thread.counters();
        return {counters.bytesSent, counters.bytesReceived, counters.messagesSent, counters.messagesReceived};
    }

    void stop() override
    {
        m_thread.stop();
    }

private:
    Thread m_thread;
};

} // namespace

absl::StatusOr<std::unique_ptr<PeerService>> PeerService::create(PeerServiceOptions options, Executor executor,
                                                                 PeerHandler &handler)
{
    auto service = std::make_unique<KjPeerService>(std::move(options), std::move(executor), handler);
    if (auto status = service->start(); !status.ok()) {
        return status;
    }
    return service;
}

} // namespace mimosahub
