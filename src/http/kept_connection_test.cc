// Connections that callers keep for many requests, while the server's limits change
// and while it drains.

#include "http/server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace mimosahub::http;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

constexpr auto kTurn = 100ms; ///< Time for the server to serve what has come.
constexpr auto kSlow = 1s;
constexpr auto kUntilSlowEnds = 1300ms;

/// A server that runs only within run(). "/slow" is answered after kSlow, the answer of
/// "/stream" begins at once and ends after kSlow; anything else is answered at once.
class SteppedServer
{
public:
    explicit SteppedServer(Duration idleTimeout, std::size_t maxConnections = 100)
    {
        m_options.idleTimeout = idleTimeout;
        m_options.maxConnections = maxConnections;
        m_server =
            *Server::listen(m_io, {"127.0.0.1", 0}, m_options, [this](Exchange &exchange) { return handle(exchange); });
        m_server->start();
    }

    void run(Duration time)
    {
        m_io.run_for(time);
    }
    void setIdleTimeout(Duration idleTimeout)
    {
        m_options.idleTimeout = idleTimeout;
        m_server->setLimits(m_options);
    }
    void drain()
    {
        m_server->drain();
    }
    [[nodiscard]] std::uint16_t port() const
    {
        return m_server->port();
    }

private:
    Awaitable<void> handle(Exchange &exchange)
    {
        const auto path = fromBeast(exchange.request().target());
        if (path == "/stream") {
            static_cast<void>(co_await exchange.startStream(makeResponse(200, kJsonType, "")));
        }
        if (path == "/slow" || path == "/stream") {
            boost::asio::steady_timer timer(m_io, kSlow);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        if (path == "/stream") {
            static_cast<void>(co_await exchange.writeChunk("whole"));
            static_cast<void>(co_await exchange.finishStream());
        } else {
            co_await exchange.answer(makeResponse(200, kJsonType, "whole"));
        }
    }

    boost::asio::io_context m_io{1};
    ServerOptions m_options;
    std::shared_ptr<Server> m_server;
};

/// A caller with one connection; it reads what has come without waiting.
class KeptCaller
{
public:
    explicit KeptCaller(std::uint16_t port)
    {
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
        m_socket.non_blocking(true);
    }

    void send(const std::string &path)
    {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"), ec);
    }
    /// What came since the last call.
    std::string received()
    {
        std::string bytes;
        boost::system::error_code ec;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(bytes), ec);
        m_closed = m_closed || ec != boost::asio::error::would_block;
        return bytes;
    }
    /// Whether the server had closed the connection at the last received().
    [[nodiscard]] bool closed() const
    {
        return m_closed;
    }

private:
    boost::asio::io_context m_io{1};
    tcp::socket m_socket{m_io};
    bool m_closed = false;
};

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(kept_connection, stays_open_for_the_idle_limit_that_was_raised_while_it_waited)
{
    SteppedServer server(1s);
    KeptCaller caller(server.port());
    caller.send("/");
    server.run(kTurn);
    cr_assert(contains(caller.received(), "whole"));
    server.setIdleTimeout(10s);
    server.run(1500ms);
    caller.send("/");
    server.run(kTurn);
    const auto answer = caller.received();
    cr_assert(answer.starts_with("HTTP/1.1 200") && !caller.closed(), "%s", answer.c_str());
}

Test(kept_connection, closes_once_it_was_idle_for_the_limit)
{
    SteppedServer server(1s);
    KeptCaller caller(server.port());
    for (int i = 0; i < 3; ++i) { // Each request begins the limit anew.
        caller.send("/");
        server.run(500ms);
        cr_assert(contains(caller.received(), "whole"));
        cr_assert_not(caller.closed());
    }
    server.run(1500ms);
    cr_assert(caller.received().empty());
    cr_assert(caller.closed());
}

Test(kept_connection, is_said_to_close_by_an_answer_that_begins_after_the_drain)
{
    SteppedServer server(10s);
    KeptCaller caller(server.port());
    caller.send("/slow");
    server.run(kTurn);
    server.drain();
    server.run(kUntilSlowEnds);
    const auto answer = caller.received();
    cr_assert(contains(answer, "whole") && caller.closed(), "%s", answer.c_str());
    cr_assert(contains(answer, "Connection: close"), "%s", answer.c_str());
}

Test(kept_connection, answers_the_next_request_where_the_drain_began_within_an_answer)
{
    for (const bool pipelined : {true, false}) {
        SteppedServer server(10s);
        KeptCaller caller(server.port());
        caller.send("/stream");
        server.run(kTurn);
        cr_assert_not(contains(caller.received(), "Connection: close"));
        server.drain();
        if (pipelined) {
            caller.send("/next");
        }
        server.run(kUntilSlowEnds);
        if (!pipelined) {
            cr_assert(contains(caller.received(), "0\r\n\r\n"));
            caller.send("/next");
            server.run(kTurn);
        }
        const auto next = caller.received();
        cr_assert(contains(next, "HTTP/1.1 200"), "pipelined %d: %s", int(pipelined), next.c_str());
        cr_assert(contains(next, "Connection: close") && caller.closed(), "%s", next.c_str());
    }
}

// At the limit, each further connection was closed at once, while others stood idle.
Test(kept_connection, gives_up_the_longest_idle_connection_for_a_new_one_at_the_limit)
{
    SteppedServer server(10s, 2);
    KeptCaller oldest(server.port());
    KeptCaller second(server.port());
    for (auto *caller : {&oldest, &second}) {
        caller->send("/");
        server.run(kTurn);
        cr_assert(contains(caller->received(), "whole"));
    }
    KeptCaller third(server.port());
    third.send("/");
    server.run(kTurn);
    cr_assert(contains(third.received(), "whole"));
    cr_assert(oldest.received().empty() && oldest.closed());
    cr_assert(second.received().empty() && !second.closed());
}

// A caller whose request has begun to arrive can't know whether it ran if its connection is closed.
Test(kept_connection, gives_up_no_connection_on_which_a_request_runs_or_begins_to_arrive)
{
    SteppedServer server(10s, 2);
    KeptCaller first(server.port());
    KeptCaller second(server.port());
    for (auto *caller : {&first, &second}) {
        caller->send("/");
        server.run(kTurn);
        cr_assert(contains(caller->received(), "whole"));
    }
    // Both come before the server's next turn.
    KeptCaller third(server.port());
    third.send("/");
    first.send("/");
    second.send("/slow");
    server.run(kTurn);
    cr_assert(contains(first.received(), "whole") && !first.closed());
    server.run(kUntilSlowEnds);
    cr_assert(contains(second.received(), "whole") && !second.closed());
}
