// Idle connections to servers that have ended.

#include "http/connection_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <filesystem>
#include <iterator>
#include <vector>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace mimosahub::http;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

constexpr auto kConnectTime = 100ms;
constexpr auto kSweepTime = 400ms; ///< With several sweeps.

/// A server that accepts and says nothing.
class SilentServer
{
public:
    explicit SilentServer(asio::io_context &io) : m_acceptor(io, {asio::ip::address_v4::loopback(), 0})
    {
    }
    [[nodiscard]] Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }
    /// Accepts all that have connected.
    void acceptAll()
    {
        boost::system::error_code ec;
        m_acceptor.non_blocking(true, ec);
        while (!ec) {
            auto socket = m_acceptor.accept(ec);
            if (!ec) {
                m_sockets.push_back(std::move(socket));
            }
        }
    }
    /// Closes all connections and accepts no more.
    void end()
    {
        m_sockets.clear();
        m_acceptor.close();
    }

private:
    tcp::acceptor m_acceptor;
    std::vector<tcp::socket> m_sockets;
};

Awaitable<void> open(ConnectionPool &pool, Address peer)
{
    cr_assert((co_await pool.open(peer)).ok());
}

void openMany(asio::io_context &io, ConnectionPool &pool, const Address &peer, int count)
{
    for (int i = 0; i < count; ++i) {
        asio::co_spawn(io, open(pool, peer), [](const std::exception_ptr &error) { cr_assert(!error); });
    }
    io.restart();
    io.run_for(kConnectTime);
}

std::ptrdiff_t openDescriptors()
{
    const std::filesystem::directory_iterator descriptors("/proc/self/fd");
    return std::distance(begin(descriptors), end(descriptors));
}

PoolOptions sweptOften()
{
    PoolOptions options;
    options.maxIdle = 1h;
    options.sweepInterval = 20ms;
    options.maxLooksPerSweep = 10;
    return options;
}

} // namespace

// Each server that had ended left up to maxIdlePerPeer descriptors behind, until a daemon
// that had met some 60 of them could open none any more.
Test(connection_pool, closes_the_idle_connections_of_servers_that_have_ended)
{
    asio::io_context io(1);
    const SystemClock clock;
    ConnectionPool pool(io, clock, sweptOften());
    pool.startSweeping();
    SilentServer staying(io);
    openMany(io, pool, staying.address(), 5);
    staying.acceptAll();
    const auto before = openDescriptors();
    for (int i = 0; i < 5; ++i) {
        SilentServer server(io);
        openMany(io, pool, server.address(), 20);
        server.acceptAll();
        server.end();
        io.restart();
        io.run_for(kSweepTime);
        cr_assert_eq(openDescriptors(), before);
    }
    cr_assert_eq(pool.idleCount(), std::size_t(5));
}

// A link that fails closes nothing: connections to a server behind it only grow old.
Test(connection_pool, closes_connections_that_have_been_idle_for_long)
{
    asio::io_context io(1);
    const SystemClock clock;
    auto options = sweptOften();
    options.maxIdle = 200ms;
    ConnectionPool pool(io, clock, options);
    pool.startSweeping();
    SilentServer server(io);
    openMany(io, pool, server.address(), 20);
    cr_assert_eq(pool.idleCount(), std::size_t(20));
    io.restart();
    io.run_for(kSweepTime);
    cr_assert_eq(pool.idleCount(), std::size_t(0));
}

Test(connection_pool, keeps_idle_connections_within_the_limit_over_all_peers)
{
    asio::io_context io(1);
    const SystemClock clock;
    auto options = sweptOften();
    options.maxIdleTotal = 8;
    ConnectionPool pool(io, clock, options);
    SilentServer first(io);
    SilentServer second(io);
    const auto before = openDescriptors();
    openMany(io, pool, first.address(), 6);
    openMany(io, pool, second.address(), 6);
    cr_assert_eq(pool.idleCount(), std::size_t(8));
    cr_assert_eq(openDescriptors(), before + 8);
    pool.retain({second.address()});
    cr_assert_eq(pool.idleCount(), std::size_t(6));
    pool.clear();
    cr_assert_eq(openDescriptors(), before);
}
