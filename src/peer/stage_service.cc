// An order is one call that lasts until all its pieces are done. When the caller
// destroys the call, Cap'n Proto cancels it at the peer: the peer's promise is
// destroyed and with it the order.

#include "peer/stage_service.h"

#include "peer/duty_codec.h"
#include "peer/quarantine_codec.h"
#include "peer/rpc_thread.h"
#include "peer/stage_codec.h"
#include "peer/wire_values.h"

#include <utility>

namespace mimosahub
{

namespace
{

using Network = RpcNetwork<wire::StageProtocol>;

/// The server side of the protocol.
class StageProtocolServer final : public wire::StageProtocol::Server
{
public:
    StageProtocolServer(RpcExecutor executor, std::shared_ptr<bool> running, const Clock &clock, StageHandler &handler)
        : m_executor(std::move(executor)), m_running(std::move(running)), m_clock(clock), m_handler(handler)
    {
    }

protected:
    kj::Promise<void> run(RunContext context) override
    {
        context.allowCancellation();
        const auto params = context.getParams().getOrder();
        auto order = readOrder(params, m_clock.now());
        const ServiceId service(params.getService().cStr());
        // Accessed on the executor's thread only.
        auto openOrder = std::make_shared<std::unique_ptr<PeerOrder>>();
        auto completion = kj::newPromiseAndCrossThreadFulfiller<RemoteResult>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<RemoteResult>>>(kj::mv(completion.fulfiller));
        m_executor([this, running = m_running, openOrder, service, order = std::move(order), fulfiller]() {
            if (*running) {
                *openOrder = m_handler.begin(service, order, [fulfiller](const RemoteResult &result) {
                    (*fulfiller)->fulfill(RemoteResult(result));
                });
            }
        });
        return completion.promise
            .then([context, service](const RemoteResult &result) mutable {
                auto results = context.getResults();
                writeResult(result.result, results.initResult());
                writeLoad({service, result.load}, results.initLoad());
            })
            .attach(
                kj::defer([executor = m_executor, openOrder]() { executor([openOrder]() { openOrder->reset(); }); }));
    }

    kj::Promise<void> release(ReleaseContext context) override
    {
        const auto params = context.getParams();
        std::vector<ResultHandle> handles;
        for (const auto handle : params.getHandles()) {
            handles.emplace_back(handle.cStr());
        }
        m_executor([this, running = m_running, service = ServiceId(params.getService().cStr()),
                    handles = std::move(handles)]() {
            if (*running) {
                m_handler.release(service, handles);
            }
        });
        return kj::READY_NOW;
    }

    kj::Promise<void> ping(PingContext context) override
    {
        return runOnExecutor<std::vector<ServiceLoad>>(m_executor, m_running, [this]() { return m_handler.loads(); })
            .then([context](const std::vector<ServiceLoad> &loads) mutable {
                auto out = context.getResults().initLoads(static_cast<unsigned>(loads.size()));
                for (unsigned i = 0; i < loads.size(); ++i) {
                    writeLoad(loads[i], out[i]);
                }
            });
    }

    kj::Promise<void> readTable(ReadTableContext context) override
    {
        const auto params = context.getParams();
        const auto table = static_cast<StoreTable>(params.getTable());
        const StoreOffset from(params.getFrom(), StoreEra(params.getEra()));
        return runOnExecutor<std::optional<TableAnswer>>(
                   m_executor, m_running, [this, table, from]() { return m_handler.readTable(table, from); })
            .then([context](const std::optional<TableAnswer> &answer) mutable {
                if (answer) {
                    writeAnswer(*answer, context.getResults());
                }
            });
    }

    kj::Promise<void> reportSplit(ReportSplitContext context) override
    {
        auto report = readSplitReport(context.getParams().getReport());
        return runOnExecutor<std::optional<SplitDecision>>(
                   m_executor, m_running,
                   [this, report = std::move(report)]() { return m_handler.takeSplitReport(report); })
            .then([context](const std::optional<SplitDecision> &decision) mutable {
                if (decision) {
                    writeDecision(*decision, context.getResults());
                }
            });
    }

    kj::Promise<void> exchangeQuarantines(ExchangeQuarantinesContext context) override
    {
        auto message = readQuarantines(context.getParams().getMessage(), m_clock.now());
        return runOnExecutor<QuarantineMessage>(
                   m_executor, m_running,
                   [this, message = std::move(message)]() { return m_handler.takeQuarantines(message); })
            .then([this, context](const QuarantineMessage &answer) mutable {
                writeQuarantines(answer, m_clock.now(), context.getResults().initMessage());
            });
    }

    kj::Promise<void> tellLeaving(TellLeavingContext context) override
    {
        std::vector<EndpointStart> endpoints;
        for (const auto endpoint : context.getParams().getEndpoints()) {
            endpoints.push_back({readId<EndpointId>(endpoint.getEndpoint()), endpoint.getStartedAtMs()});
        }
        m_executor([this, running = m_running, endpoints = std::move(endpoints)]() {
            if (*running) {
                m_handler.takeLeaving(endpoints);
            }
        });
        return kj::READY_NOW;
    }

    kj::Promise<void> reportDuties(ReportDutiesContext context) override
    {
        auto report = readDutyReport(context.getParams().getReport());
        return runOnExecutor<DutyReportAnswer>(
                   m_executor, m_running,
                   [this, report = std::move(report)]() { return m_handler.takeDutyReport(report); })
            .then([context](const DutyReportAnswer &answer) mutable {
                auto out = context.getResults();
                out.setIncarnation(answer.incarnation);
                out.setToken(answer.token);
            });
    }

private:
    RpcExecutor m_executor;
    std::shared_ptr<bool> m_running; ///< Executor's thread only.
    const Clock &m_clock;
    StageHandler &m_handler;
};

class KjStageService : public StageService
{
public:
    KjStageService(RpcOptions options, RpcExecutor executor, const Clock &clock, StageHandler &handler)
        : m_clock(clock),
          m_thread(std::move(options), std::move(executor), [this, &handler]() -> capnp::Capability::Client {
              return kj::heap<StageProtocolServer>(m_thread.executor(), m_thread.running(), m_clock, handler);
          })
    {
    }
    ~KjStageService() noexcept override
    {
        KjStageService::stop();
    }

    absl::Status start()
    {
        return m_thread.start();
    }

    std::unique_ptr<Call> run(const Address &peer, const ServiceId &service, const PieceOrder &order, Duration timeout,
                              RpcCallback<RemoteResult> done) override
    {
        const auto id = m_lastCall = m_lastCall.next();
        auto active = std::make_shared<bool>(true);
        const auto send = [service, order, now = m_clock.now()](wire::StageProtocol::Client &protocol) {
            auto call = protocol.runRequest();
            writeOrder(service, order, now, call.initOrder());
            return call.send().then([](auto response) {
                return RemoteResult{readResult(response.getResult()), readLoad(response.getLoad()).load};
            });
        };
        const RpcCallback<RemoteResult> report = [active, done = std::move(done)](absl::StatusOr<RemoteResult> result) {
            if (std::exchange(*active, false)) {
                done(std::move(result));
            }
        };
        m_thread.post([id, peer, send, report, timeout](Network &network) {
            network.callWithin<RemoteResult>(id, peer, send, report, timeout);
        });
        return std::make_unique<OpenCall>(*this, id, std::move(active));
    }

    void release(const Address &peer, const ServiceId &service, std::vector<ResultHandle> handles) override
    {
        const auto send = [service, handles = std::move(handles)](wire::StageProtocol::Client &protocol) {
            auto call = protocol.releaseRequest();
            call.setService(service.str());
            auto out = call.initHandles(static_cast<unsigned>(handles.size()));
            for (unsigned i = 0; i < handles.size(); ++i) {
                out.set(i, handles[i].str());
            }
            return call.send().then([](auto /*response*/) { return true; });
        };
        // No error handling: results that aren't released are dropped by their maker after a time.
        m_thread.call<bool>(peer, send, [](const absl::StatusOr<bool> & /*result*/) {});
    }

    void ping(const Address &peer, RpcCallback<std::vector<ServiceLoad>> done) override
    {
        const auto send = [](wire::StageProtocol::Client &protocol) {
            return protocol.pingRequest().send().then([](auto response) {
                std::vector<ServiceLoad> loads;
                for (const auto load : response.getLoads()) {
                    loads.push_back(readLoad(load));
                }
                return loads;
            });
        };
        m_thread.call<std::vector<ServiceLoad>>(peer, send, std::move(done));
    }

    void readTable(const Address &peer, StoreTable table, StoreOffset from,
                   RpcCallback<std::optional<TableAnswer>> done) override
    {
        const auto send = [table, from](wire::StageProtocol::Client &protocol) {
            auto call = protocol.readTableRequest();
            call.setTable(static_cast<std::uint8_t>(table));
            call.setFrom(from.value());
            call.setEra(from.era().value());
            return call.send().then([](auto response) { return readAnswer(response); });
        };
        m_thread.call<std::optional<TableAnswer>>(peer, send, std::move(done));
    }

    void reportSplit(const Address &peer, SplitReport report, RpcCallback<std::optional<SplitDecision>> done) override
    {
        const auto send = [report = std::move(report)](wire::StageProtocol::Client &protocol) {
            auto call = protocol.reportSplitRequest();
            writeSplitReport(report, call.initReport());
            return call.send().then([](auto response) { return readDecision(response); });
        };
        m_thread.call<std::optional<SplitDecision>>(peer, send, std::move(done));
    }

    void exchangeQuarantines(const Address &peer, QuarantineMessage message,
                             RpcCallback<QuarantineMessage> done) override
    {
        const auto send = [this, message = std::move(message)](wire::StageProtocol::Client &protocol) {
            auto call = protocol.exchangeQuarantinesRequest();
            writeQuarantines(message, m_clock.now(), call.initMessage());
            return call.send().then(
                [this](auto response) { return readQuarantines(response.getMessage(), m_clock.now()); });
        };
        m_thread.call<QuarantineMessage>(peer, send, std::move(done));
    }

    void tellLeaving(const Address &peer, std::vector<EndpointStart> endpoints) override
    {
        const auto send = [endpoints = std::move(endpoints)](wire::StageProtocol::Client &protocol) {
            auto call = protocol.tellLeavingRequest();
            auto out = call.initEndpoints(static_cast<unsigned>(endpoints.size()));
            for (unsigned i = 0; i < endpoints.size(); ++i) {
                out[i].setEndpoint(endpoints[i].endpoint.str());
                out[i].setStartedAtMs(endpoints[i].startedAtMs);
            }
            return call.send().then([](auto /*response*/) { return true; });
        };
        // No error handling: a daemon that isn't told learns it from the store or from the endpoint.
        m_thread.call<bool>(peer, send, [](const absl::StatusOr<bool> & /*result*/) {});
    }

    void reportDuties(const Address &peer, DutyReport report, RpcCallback<DutyReportAnswer> done) override
    {
        const auto send = [report = std::move(report)](wire::StageProtocol::Client &protocol) {
            auto call = protocol.reportDutiesRequest();
            writeDutyReport(report, call.initReport());
            return call.send().then([](auto response) {
                return DutyReportAnswer{response.getIncarnation(), response.getToken()};
            });
        };
        m_thread.call<DutyReportAnswer>(peer, send, std::move(done));
    }

    [[nodiscard]] Address address() const override
    {
        return m_thread.address();
    }

    void stop() override
    {
        m_thread.stop();
    }

private:
    class OpenCall : public Call
    {
    public:
        OpenCall(KjStageService &service, RpcCallId id, std::shared_ptr<bool> active)
            : m_service(service), m_id(id), m_active(std::move(active))
        {
        }
        ~OpenCall() override
        {
            if (std::exchange(*m_active, false)) {
                m_service.m_thread.post([id = m_id](Network &network) { network.cancel(id); });
            }
        }
        OpenCall(const OpenCall &) = delete;
        OpenCall &operator=(const OpenCall &) = delete;

    private:
        KjStageService &m_service;
        RpcCallId m_id;
        std::shared_ptr<bool> m_active; ///< Executor's thread only.
    };

    const Clock &m_clock;
    RpcCallId m_lastCall;
    RpcThread<wire::StageProtocol> m_thread;
};

} // namespace

absl::StatusOr<std::unique_ptr<StageService>> StageService::create(RpcOptions options, RpcExecutor executor,
                                                                   const Clock &clock, StageHandler &handler)
{
    auto service = std::make_unique<KjStageService>(std::move(options), std::move(executor), clock, handler);
    if (auto status = service->start(); !status.ok()) {
        return status;
    }
    return service;
}

} // namespace mimosahub
