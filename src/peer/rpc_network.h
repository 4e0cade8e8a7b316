#pragma once

#include "http/socket_buffers.h"
#include "mimosahub/endpoint.h"
#include "mimosahub/error.h"
#include "mimosahub/ids.h"
#include "peer/packed_message_stream.h"

#include <absl/status/statusor.h>
#include <capnp/rpc-twoparty.h>
#include <capnp/rpc.h>
#include <kj/async-io.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <utility>

#include <sys/socket.h>

/// Connections for one Cap'n Proto interface between daemons. KJ's thread only,
/// unless stated otherwise.
namespace mimosahub
{

/// Posts a function to the thread that owns the daemon's state; any thread may call
/// it.
using RpcExecutor = std::function<void(std::function<void()>)>;

/// Receives the result of a call, on the executor's thread.
template<typename T>
using RpcCallback = std::function<void(absl::StatusOr<T>)>;

/// Identifies a call that can be canceled; each id is used once.
using RpcCallId = Ordinal<struct RpcCallTag>;

/// Limits of the connections between daemons.
struct RpcOptions {
    Address listen = {}; ///< Port 0 lets the system choose.
    Duration callTimeout = std::chrono::milliseconds(800); ///< A call fails after this time without an answer.
    std::size_t outstandingCalls = 4; ///< Maximum calls in flight to one peer; more fail at once.
    std::size_t maxMessageBytes = 1U << 20U; ///< Packed size; a larger message closes the connection.
    Duration idleTimeout = std::chrono::seconds(60); ///< A connection is closed after this time without a message.
    /// Maximum accepted connections. A further one replaces the oldest on which no message has come, or is closed.
    std::size_t maxConnections = 1024;
    std::uint64_t memoryBytes = UINT64_MAX; ///< Most bytes of messages that are received and not handled.
    http::MemoryObserver *memoryObserver = nullptr; ///< Of the memory of messages; null: none.
};

[[nodiscard]] inline capnp::ReaderOptions readerOptions(const RpcOptions &options)
{
    capnp::ReaderOptions reader;
    // Packing may encode up to 8 words in 2 bytes; real messages shrink far less.
    reader.traversalLimitInWords = 8 * options.maxMessageBytes / sizeof(capnp::word);
    return reader;
}

/// One accepted connection.
struct RpcServerSession {
    RpcServerSession(kj::Own<kj::AsyncIoStream> accepted, kj::Timer &timer, TrafficCounters &counters,
                     http::MemoryAccount &memory, const RpcOptions &options, capnp::Capability::Client protocol)
        : stream(kj::mv(accepted)),
          messages(*stream, timer, counters, memory, {options.maxMessageBytes, options.idleTimeout}),
          network(messages, capnp::rpc::twoparty::Side::SERVER, readerOptions(options)),
          rpc(capnp::makeRpcServer(network, kj::mv(protocol)))
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    PackedMessageStream messages;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

/// One opened connection.
template<typename Protocol>
struct RpcClientSession {
    RpcClientSession(kj::Own<kj::AsyncIoStream> opened, kj::Timer &timer, TrafficCounters &counters,
                     http::MemoryAccount &memory, const RpcOptions &options)
        : stream(kj::mv(opened)),
          messages(*stream, timer, counters, memory, {options.maxMessageBytes, options.idleTimeout}),
          network(messages, capnp::rpc::twoparty::Side::CLIENT, readerOptions(options)),
          rpc(capnp::makeRpcClient(network)),
          protocol(bootstrap())
    {
    }

    typename Protocol::Client bootstrap()
    {
        capnp::MallocMessageBuilder message;
        auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
        server.setSide(capnp::rpc::twoparty::Side::SERVER);
        return rpc.bootstrap(server).template castAs<Protocol>();
    }

    kj::Own<kj::AsyncIoStream> stream;
    PackedMessageStream messages;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    typename Protocol::Client protocol;
};

/// A connection to a peer that is being opened or is open. Calls in flight share it.
template<typename Protocol>
class RpcClientConnection : public kj::Refcounted
{
public:
    RpcClientConnection(kj::Network &network, kj::Timer &timer, TrafficCounters &counters, http::MemoryAccount &memory,
                        const RpcOptions &options, const Address &peer,
                        std::function<void(const RpcClientConnection *)> onClosed)
        : m_ready(
            network.parseAddress(peer.host, peer.port)
                .then([](kj::Own<kj::NetworkAddress> address) { return address->connect().attach(kj::mv(address)); })
                .then([this, &timer, &counters, &memory, &options](kj::Own<kj::AsyncIoStream> stream) {
                    m_session = kj::heap<RpcClientSession<Protocol>>(kj::mv(stream), timer, counters, memory, options);
                })
                .fork()),
          m_closed(ready()
                       .then([this]() { return m_session->network.onDisconnect(); })
                       .then([this, onClosed = std::move(onClosed)]() { onClosed(this); },
                             [](kj::Exception && /*exception*/) {})
                       .eagerlyEvaluate(nullptr))
    {
    }

    kj::Promise<void> ready()
    {
        return m_ready.addBranch();
    }
    [[nodiscard]] bool isOpen() const
    {
        return m_session.get() != nullptr;
    }
    RpcClientSession<Protocol> &session()
    {
        return *m_session;
    }

private:
    kj::Own<RpcClientSession<Protocol>> m_session;
    kj::ForkedPromise<void> m_ready;
    kj::Promise<void> m_closed; ///< Detects a close by the peer; last, since it uses the session.
};

/// Listens for peers and calls them, over one connection for each peer's address.
/// After a call that fails or times out the connection is not used again: a device
/// between the two ends may have lost its state of it, so the next call opens a new
/// one.
template<typename Protocol>
class RpcNetwork : private kj::TaskSet::ErrorHandler
{
public:
    using Client = typename Protocol::Client;

    /// \a running is read on the executor's thread: once false, no result is reported.
    RpcNetwork(kj::AsyncIoContext &io, const RpcOptions &options, RpcExecutor executor, std::shared_ptr<bool> running,
               TrafficCounters &counters, http::MemoryAccount &memory, capnp::Capability::Client server)
        : m_io(io),
          m_options(options),
          m_executor(std::move(executor)),
          m_running(std::move(running)),
          m_counters(counters),
          m_memory(memory),
          m_protocol(kj::mv(server)),
          m_tasks(*this)
    {
    }

    /// Starts listening and returns the port; throws on failure.
    std::uint16_t listen(kj::WaitScope &waitScope)
    {
        auto &network = m_io.provider->getNetwork();
        auto address = network.parseAddress(m_options.listen.host, m_options.listen.port).wait(waitScope);
        m_listener = address->listen();
        const int receiveBytes = http::kPeerReceiveBytes; // Holds for the connections that are accepted.
        m_listener->setsockopt(SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        m_tasks.add(acceptNext());
        return static_cast<std::uint16_t>(m_listener->getPort());
    }

    /// Calls \a peer by \a send; \a done receives the result on the executor's thread.
    template<typename T>
    void call(const Address &peer, std::function<kj::Promise<T>(Client &)> send, RpcCallback<T> done)
    {
        m_tasks.add(start<T>(peer, std::move(send), std::move(done), m_options.callTimeout));
    }

    /// Like call(), but with its own \a timeout and cancelable by cancel() with \a id.
    template<typename T>
    void callWithin(RpcCallId id, const Address &peer, std::function<kj::Promise<T>(Client &)> send,
                    RpcCallback<T> done, Duration timeout)
    {
        auto canceler = kj::heap<kj::Canceler>();
        auto call = canceler->wrap(start<T>(peer, std::move(send), std::move(done), timeout));
        m_cancelers.emplace(id, kj::mv(canceler));
        // Erased in a later turn of the event loop: a canceler can't be destroyed by its own
        // promise.
        m_tasks.add(call.then([]() {}, [](kj::Exception && /*dropped*/) {}).then([this, id]() {
            return kj::evalLater([this, id]() { m_cancelers.erase(id); });
        }));
    }
    /// Cancels a call; its callback will not be called.
    void cancel(RpcCallId id)
    {
        const auto it = m_cancelers.find(id);
        if (it != m_cancelers.end()) {
            it->second->cancel("canceled by the caller");
        }
    }

private:
    using Connection = RpcClientConnection<Protocol>;
    struct PeerState {
        kj::Own<Connection> connection;
        std::size_t outstanding = 0;
    };

    template<typename T>
    kj::Promise<void> start(const Address &peer, std::function<kj::Promise<T>(Client &)> send, RpcCallback<T> done,
                            Duration timeout)
    {
        auto &state = m_peers[peer];
        if (state.outstanding >= m_options.outstandingCalls) {
            postResult<T>(done,
                          errorAt(absl::StatusCode::kResourceExhausted, Step::Exchange, peer.str(),
                                  "too many calls to this peer are in flight"));
            return kj::READY_NOW;
        }
        if (state.connection.get() == nullptr) {
            state.connection = connect(peer);
        }
        ++state.outstanding;
        auto connection = kj::addRef(*state.connection);
        auto *raw = connection.get();
        auto answer = raw->ready().then([raw, send = std::move(send)]() { return send(raw->session().protocol); });
        auto timedOut = timer().afterDelay(timeout.count() * kj::NANOSECONDS).then([]() -> kj::Promise<T> {
            return KJ_EXCEPTION(OVERLOADED, "no answer before the timeout");
        });
        return answer.exclusiveJoin(kj::mv(timedOut))
            .then([this, done](T result) { postResult<T>(done, std::move(result)); },
                  [this, peer, done, raw](kj::Exception &&exception) {
                      const auto status = statusOf(exception, raw->isOpen(), peer);
                      discardConnection(peer, raw);
                      postResult<T>(done, status);
                  })
            .attach(kj::mv(connection), kj::defer([this, peer]() { onCallEnded(peer); }));
    }

    kj::Timer &timer()
    {
        return m_io.provider->getTimer();
    }

    kj::Own<Connection> connect(const Address &peer)
    {
        // Discarded in a separate task: a connection can't be destroyed by its own event.
        const auto onClosed = [this, peer](const Connection *closed) {
            m_tasks.add(kj::evalLater([this, peer, closed]() { discardConnection(peer, closed); }));
        };
        return kj::refcounted<Connection>(m_io.provider->getNetwork(), timer(), m_counters, m_memory, m_options, peer,
                                          onClosed);
    }

    static absl::Status statusOf(const kj::Exception &exception, bool open, const Address &peer)
    {
        auto code = absl::StatusCode::kUnavailable;
        if (exception.getType() == kj::Exception::Type::OVERLOADED) {
            code = absl::StatusCode::kDeadlineExceeded;
        } else if (open && exception.getType() == kj::Exception::Type::FAILED) {
            code = absl::StatusCode::kInternal;
        }
        return errorAt(code, open ? Step::Exchange : Step::Connect, peer.str(), exception.getDescription().cStr());
    }

    /// Updates the count of calls in flight after a call to \a peer has ended.
    void onCallEnded(const Address &peer)
    {
        auto &state = m_peers[peer];
        --state.outstanding;
        eraseIfUnused(peer, state);
    }

    /// Stops using \a connection for further calls to \a peer.
    void discardConnection(const Address &peer, const Connection *connection)
    {
        auto &state = m_peers[peer];
        if (state.connection.get() == connection) {
            state.connection = nullptr;
        }
        eraseIfUnused(peer, state);
    }

    void eraseIfUnused(const Address &peer, const PeerState &state)
    {
        if (state.connection.get() == nullptr && state.outstanding == 0) {
            m_peers.erase(peer);
        }
    }

    template<typename T>
    void postResult(const RpcCallback<T> &done, absl::StatusOr<T> result)
    {
        m_executor([done, result = std::move(result), running = m_running]() {
            if (*running) {
                done(result);
            }
        });
    }

    kj::Promise<void> acceptNext()
    {
        return m_listener->accept().then(
            [this](kj::Own<kj::AsyncIoStream> stream) {
                serve(kj::mv(stream));
                return acceptNext();
            },
            [this](kj::Exception && /*exception*/) {
                // Most likely out of file descriptors; retrying at once would spin.
                constexpr auto kAcceptRetry = 100 * kj::MILLISECONDS;
                return timer().afterDelay(kAcceptRetry).then([this]() { return acceptNext(); });
            });
    }

    /// An accepted connection, and what ends it.
    struct Accepted {
        Accepted(kj::Own<kj::AsyncIoStream> stream, kj::Timer &timer, TrafficCounters &counters,
                 http::MemoryAccount &memory, const RpcOptions &options, capnp::Capability::Client protocol)
            : session(kj::mv(stream), timer, counters, memory, options, kj::mv(protocol))
        {
        }
        RpcServerSession session;
        kj::Canceler ending;
    };

    void serve(kj::Own<kj::AsyncIoStream> stream)
    {
        if (m_accepted.size() >= m_options.maxConnections && !replaceSilent()) {
            return;
        }
        auto accepted = kj::heap<Accepted>(kj::mv(stream), timer(), m_counters, m_memory, m_options, m_protocol);
        auto closed = accepted->ending.wrap(accepted->session.network.onDisconnect());
        const auto place = m_accepted.insert(m_accepted.end(), accepted.get());
        m_tasks.add(closed.attach(kj::mv(accepted), kj::defer([this, place]() { m_accepted.erase(place); })));
    }
    /// Closes the oldest accepted connection on which no message has come; false if there is none.
    bool replaceSilent()
    {
        for (auto *it : m_accepted) {
            if (!it->session.messages.hasReceived() && !it->ending.isEmpty()) {
                it->ending.cancel("replaced by a new connection");
                return true;
            }
        }
        return false;
    }

    void taskFailed(kj::Exception && /*exception*/) override
    {
        // A connection of a peer ended with an error; its calls have received their errors.
    }

    kj::AsyncIoContext &m_io;
    const RpcOptions &m_options;
    RpcExecutor m_executor;
    std::shared_ptr<bool> m_running;
    TrafficCounters &m_counters;
    http::MemoryAccount &m_memory;
    capnp::Capability::Client m_protocol;
    kj::Own<kj::ConnectionReceiver> m_listener;
    std::map<Address, PeerState> m_peers;
    std::list<Accepted *> m_accepted; ///< The oldest first.
    std::map<RpcCallId, kj::Own<kj::Canceler>> m_cancelers;
    kj::TaskSet m_tasks; // Last: its tasks use the others.
};

} // namespace mimosahub
