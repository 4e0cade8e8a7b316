// Tests several services in one process, each with its own control thread, which runs
// an Asio loop.

#include "mimosahub/error.h"
#include "peer/peer_service.h"

#include <boost/asio.hpp>

#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace mimosahub;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

constexpr std::size_t kRecords = 300;

Heartbeat heartbeatOf(const std::string &sender, std::uint64_t sequence)
{
    Heartbeat heartbeat;
    heartbeat.sender = InstanceId(sender);
    heartbeat.incarnation = Incarnation(1);
    heartbeat.sequence = Sequence(sequence);
    return heartbeat;
}

constexpr Duration kCallTimeout = 20s; ///< Call timeout in tests that don't test timeouts.

/// One daemon's control thread and service.
class Node : public PeerHandler
{
public:
    explicit Node(std::string name, PeerServiceOptions options = {.callTimeout = kCallTimeout})
        : m_name(std::move(name)), m_work(boost::asio::make_work_guard(m_io)), m_thread([this]() { m_io.run(); })
    {
        if (options.listen.host.empty()) {
            options.listen = {"127.0.0.1", 0};
        }
        auto created = PeerService::create(
            options, [this](std::function<void()> work) { boost::asio::post(m_io, std::move(work)); }, *this);
        cr_assert(created.ok(), "%s", created.status().ToString().c_str());
        service = std::move(*created);
    }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    ~Node() override
    {
        stop();
        m_work.reset();
        m_thread.join();
    }

    /// Stops the service from the control thread, as the daemon does.
    void stop()
    {
        onControlThread([this]() { service->stop(); });
    }

    absl::StatusOr<Heartbeat> exchange(const Address &peer, std::uint64_t sequence)
    {
        return call<Heartbeat>(
            [&](auto done) { service->exchange(peer, heartbeatOf(m_name, sequence), std::move(done)); });
    }

    template<typename T>
    absl::StatusOr<T> call(const std::function<void(PeerService::Callback<T>)> &start)
    {
        std::promise<absl::StatusOr<T>> result;
        const auto thread = m_thread.get_id();
        onControlThread([&]() {
            start([&, thread](absl::StatusOr<T> value) {
                cr_assert(std::this_thread::get_id() == thread);
                result.set_value(std::move(value));
            });
        });
        return result.get_future().get();
    }

    Heartbeat exchange(const Heartbeat &request) override
    {
        cr_assert(std::this_thread::get_id() == m_thread.get_id());
        auto reply = heartbeatOf(m_name, request.sequence.value() + 1000);
        reply.echo = request.sequence;
        return reply;
    }
    Offset pushRecords(const RecordRun &run) override
    {
        return Offset(run.first.value() + run.records.size() - 1);
    }
    RecordRun fetchRecords(const RecordQuery &query) override
    {
        RecordRun run{query.first, {}, Offset(kRecords)};
        for (auto n = query.first.value(); n <= kRecords && run.records.size() < query.limit; ++n) {
            run.records.emplace_back(n, static_cast<char>(n));
        }
        return run;
    }

    std::unique_ptr<PeerService> service;

private:
    void onControlThread(const std::function<void()> &work)
    {
        std::promise<void> done;
        boost::asio::post(m_io, [&]() {
            work();
            done.set_value();
        });
        done.get_future().get();
    }

    std::string m_name;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

/// Proxy between two daemons that behaves like a firewall that loses its state of a
/// connection: after forget(), bytes on existing connections are dropped without an
/// error at either end.
class ForgetfulProxy
{
public:
    explicit ForgetfulProxy(Address target)
        : m_target(std::move(target)), m_acceptor(m_io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
        m_thread = std::thread([this]() { m_io.run(); });
    }
    ~ForgetfulProxy()
    {
        m_io.stop();
        m_thread.join();
    }

    Address address()
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }
    void forget()
    {
        m_forgotten = m_accepted.load();
    }
    [[nodiscard]] int accepted() const
    {
        return m_accepted;
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket client) {
            if (ec) {
                return;
            }
            const int number = ++m_accepted;
            auto front = std::make_shared<tcp::socket>(std::move(client));
            auto back = std::make_shared<tcp::socket>(m_io);
            back->connect({boost::asio::ip::make_address(m_target.host), m_target.port});
            copy(number, front, back, std::make_shared<std::array<char, 4096>>());
            copy(number, back, front, std::make_shared<std::array<char, 4096>>());
            accept();
        });
    }

    using Socket = std::shared_ptr<tcp::socket>;
    using Buffer = std::shared_ptr<std::array<char, 4096>>;

    void copy(int number, const Socket &from, const Socket &to, const Buffer &buf)
    {
        from->async_read_some(boost::asio::buffer(*buf),
                              [this, number, from, to, buf](boost::system::error_code ec, std::size_t n) {
                                  if (ec) {
                                      return;
                                  }
                                  if (number > m_forgotten) {
                                      boost::asio::write(*to, boost::asio::buffer(*buf, n), ec);
                                  }
                                  copy(number, from, to, buf);
                              });
    }

    Address m_target;
    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::atomic<int> m_accepted{0};
    std::atomic<int> m_forgotten{0};
    std::thread m_thread;
};

template<typename T>
void assertOk(const absl::StatusOr<T> &result)
{
    cr_assert(result.ok(), "%s", result.status().ToString().c_str());
}

} // namespace

Test(peer_service, three_services_call_each_other)
{
    Node a("a");
    Node b("b");
    Node c("c");
    for (std::uint64_t n = 1; n <= 20; ++n) {
        for (auto *caller : {&a, &b, &c}) {
            for (auto *callee : {&a, &b, &c}) {
                const auto reply = caller->exchange(callee->service->address(), n);
                cr_assert(reply.ok(), "%s", describe(reply.status()).c_str());
                cr_assert(reply->echo == Sequence(n));
            }
        }
    }
    const auto run = a.call<RecordRun>([&](auto done) {
        a.service->fetchRecords(b.service->address(), {Offset(5), 256}, std::move(done));
    });
    cr_assert(run.ok());
    cr_assert(*run == b.fetchRecords({Offset(5), 256}));
    const auto applied =
        a.call<Offset>([&](auto done) { a.service->pushRecords(c.service->address(), *run, std::move(done)); });
    cr_assert(applied.ok() && *applied == Offset(260));
    const auto traffic = a.service->traffic();
    cr_assert(traffic.bytesSent > 0 && traffic.bytesReceived > 0 && traffic.messagesReceived > 0);
}

Test(peer_service, an_unresponsive_connection_is_replaced)
{
    Node a("a", {.callTimeout = 300ms});
    Node b("b");
    ForgetfulProxy proxy(b.service->address());
    assertOk(a.exchange(proxy.address(), 1));
    proxy.forget();
    const auto unresponsiveCall = a.exchange(proxy.address(), 2);
    cr_assert(unresponsiveCall.status().code() == absl::StatusCode::kDeadlineExceeded);
    cr_assert(stepOf(unresponsiveCall.status()) == "exchange");
    cr_assert(peerOf(unresponsiveCall.status()) == proxy.address().str());
    assertOk(a.exchange(proxy.address(), 3));
    cr_assert(proxy.accepted() == 2);
}

Test(peer_service, calls_to_a_peer_that_never_answers_time_out)
{
    Node a("a", {.callTimeout = 200ms, .outstandingCalls = 2});
    boost::asio::io_context io;
    tcp::acceptor unresponsive(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    const Address address{"127.0.0.1", unresponsive.local_endpoint().port()};
    std::promise<absl::StatusCode> rejected;
    const auto timedOut = a.call<Heartbeat>([&](auto done) {
        a.service->exchange(address, heartbeatOf("a", 1), std::move(done));
        a.service->exchange(address, heartbeatOf("a", 2), [](const auto &) {});
        a.service->exchange(address, heartbeatOf("a", 3),
                            [&](const auto &reply) { rejected.set_value(reply.status().code()); });
    });
    cr_assert(timedOut.status().code() == absl::StatusCode::kDeadlineExceeded);
    cr_assert(rejected.get_future().get() == absl::StatusCode::kResourceExhausted);
}

Test(peer_service, calls_to_a_stopped_peer_fail_and_calls_to_a_restarted_one_succeed)
{
    Node a("a");
    auto b = std::make_unique<Node>("b");
    const auto address = b->service->address();
    assertOk(a.exchange(address, 1));
    b.reset();
    // The first call may still use the old connection; the next opens a new one.
    (void)a.exchange(address, 2);
    const auto refused = a.exchange(address, 3);
    cr_assert(refused.status().code() == absl::StatusCode::kUnavailable);
    cr_assert(stepOf(refused.status()) == "connect");
    Node again("b", {.listen = address, .callTimeout = kCallTimeout});
    assertOk(a.exchange(address, 4));
}

Test(peer_service, closes_a_connection_that_sends_invalid_bytes)
{
    Node a("a");
    Node b("b");
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), b.service->address().port});
    boost::asio::write(socket, boost::asio::buffer(std::string(64, '\xff')));
    boost::system::error_code ec;
    std::array<char, 256> buf{};
    while (!ec) {
        socket.read_some(boost::asio::buffer(buf), ec);
    }
    assertOk(a.exchange(b.service->address(), 1));
}

Test(peer_service, an_address_in_use_is_a_listen_error)
{
    Node a("a");
    boost::asio::io_context io;
    const auto second = PeerService::create(
        {.listen = a.service->address()}, [&](std::function<void()> work) { boost::asio::post(io, work); }, a);
    cr_assert(!second.ok());
    cr_assert(stepOf(second.status()) == "listen");
}
