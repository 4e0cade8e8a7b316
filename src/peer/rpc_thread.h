#pragma once

#include "peer/kj_mailbox.h"
#include "peer/rpc_network.h"

#include <future>
#include <thread>

namespace mimosahub
{

/// Runs KJ's event loop with the connections of one interface on its own thread.
/// Calls reach it through a mailbox. Neither thread waits for the other while the
/// service runs, so a slow thread delays messages but can't block the other.
template<typename Protocol>
class RpcThread
{
public:
    /// Creates the server of the interface, on KJ's thread.
    using MakeServer = std::function<capnp::Capability::Client()>;

    RpcThread(RpcOptions options, RpcExecutor executor, MakeServer makeServer)
        : m_options(std::move(options)), m_executor(std::move(executor)), m_makeServer(std::move(makeServer))
    {
    }
    ~RpcThread()
    {
        stop();
    }
    RpcThread(const RpcThread &) = delete;
    RpcThread &operator=(const RpcThread &) = delete;

    /// Starts the thread and listens. Errors carry the step "listen".
    absl::Status start()
    {
        std::promise<absl::StatusOr<std::uint16_t>> listening;
        auto result = listening.get_future();
        m_thread = std::thread([this, &listening]() { run(listening); });
        auto port = result.get();
        if (!port.ok()) {
            m_thread.join();
            return port.status();
        }
        m_address = {m_options.listen.host, *port};
        return absl::OkStatus();
    }
    /// Closes all connections and ends the thread. Executor's thread only.
    void stop()
    {
        *m_running = false;
        m_mailbox.close();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /// Runs \a task on KJ's thread with the network. Any thread.
    void post(std::function<void(RpcNetwork<Protocol> &)> task)
    {
        m_mailbox.post([this, task = std::move(task)]() { task(*m_network); });
    }
    /// Calls \a peer; see RpcNetwork::call(). Any thread.
    template<typename T>
    void call(const Address &peer, std::function<kj::Promise<T>(typename Protocol::Client &)> send, RpcCallback<T> done)
    {
        post([peer, send = std::move(send), done = std::move(done)](RpcNetwork<Protocol> &network) {
            network.template call<T>(peer, send, done);
        });
    }
    [[nodiscard]] const Address &address() const
    {
        return m_address;
    }
    [[nodiscard]] const RpcExecutor &executor() const
    {
        return m_executor;
    }
    /// False once stopped. Executor's thread only.
    [[nodiscard]] const std::shared_ptr<bool> &running() const
    {
        return m_running;
    }
    /// Any thread.
    [[nodiscard]] const TrafficCounters &counters() const
    {
        return m_counters;
    }

private:
    void run(std::promise<absl::StatusOr<std::uint16_t>> &listening)
    {
        SystemClock clock;
        http::MemoryAccount memory(clock, {.budget = m_options.memoryBytes});
        memory.setObserver(m_options.memoryObserver);
        auto io = kj::setupAsyncIo();
        RpcNetwork<Protocol> network(io, m_options, m_executor, m_running, m_counters, memory, m_makeServer());
        m_network = &network;
        std::uint16_t port = 0;
        KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&]() { port = network.listen(io.waitScope); })) {
            listening.set_value(errorAt(absl::StatusCode::kUnavailable, Step::Listen, m_options.listen.str(),
                                        exception->getDescription().cStr()));
            return;
        }
        listening.set_value(port);
        m_mailbox.run().wait(io.waitScope);
    }

    RpcOptions m_options;
    RpcExecutor m_executor;
    MakeServer m_makeServer;
    std::shared_ptr<bool> m_running = std::make_shared<bool>(true);
    TrafficCounters m_counters;
    KjMailbox m_mailbox;
    RpcNetwork<Protocol> *m_network = nullptr; ///< KJ's thread only.
    Address m_address;
    std::thread m_thread;
};

/// Runs \a function on the executor's thread and passes its result to KJ's thread.
/// Once \a running is false the promise is never fulfilled.
template<typename T>
kj::Promise<T> runOnExecutor(const RpcExecutor &executor, const std::shared_ptr<bool> &running,
                             std::function<T()> function)
{
    auto result = kj::newPromiseAndCrossThreadFulfiller<T>();
    // std::function must be copyable, but the fulfiller can't be copied.
    auto fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<T>>>(kj::mv(result.fulfiller));
    executor([function = std::move(function), fulfiller, running]() {
        if (*running) {
            (*fulfiller)->fulfill(function());
        }
    });
    return kj::mv(result.promise);
}

} // namespace mimosahub
