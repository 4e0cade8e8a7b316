#include "base/random.h"
#include "http/connection_pool.h"
#include "http/server.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <criterion/criterion.h>
#include <thread>

using namespace mimosahub;
using namespace mimosahub::http;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

/// A server on a thread of its own. "/slow" never answers, "/half" closes in the
/// middle of its answer; anything else is echoed.
class RunningServer
{
public:
    RunningServer()
    {
        ServerOptions options;
        options.maxHeaderBytes = 2048;
        options.maxBodyBytes = 4096;
        options.messageTimeout = 500ms;
        m_server =
            *Server::listen(m_io, {"127.0.0.1", 0}, options, [this](Exchange &exchange) { return handle(exchange); });
        m_server->start();
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~RunningServer()
    {
        m_io.stop();
        m_thread.join();
    }
    [[nodiscard]] std::uint16_t port() const
    {
        return m_server->port();
    }
    [[nodiscard]] const ServerCounters &counters() const
    {
        return m_server->counters();
    }

    std::atomic<int> cancelled{0};

private:
    Awaitable<void> handle(Exchange &exchange)
    {
        struct Guard {
            std::atomic<int> *cancelled;
            ~Guard()
            {
                if (cancelled != nullptr) {
                    ++*cancelled;
                }
            }
        };
        const auto path = fromBeast(exchange.request().target());
        if (path == "/slow") {
            const Guard guard{&cancelled};
            boost::asio::steady_timer timer(m_io, 1h);
            co_await timer.async_wait(boost::asio::use_awaitable);
        } else if (path == "/half") {
            static_cast<void>(co_await exchange.startStream(makeResponse(200, kJsonType, "")));
            static_cast<void>(co_await exchange.writeChunk("half"));
            exchange.closeAfterwards();
            co_return;
        } else if (path == "/throw") {
            throw std::runtime_error("a fault");
        } else if (path == "/pause") {
            static_cast<void>(co_await exchange.startStream(makeResponse(200, kJsonType, "")));
            static_cast<void>(co_await exchange.writeChunk("before"));
            boost::asio::steady_timer timer(m_io, 300ms);
            co_await timer.async_wait(boost::asio::use_awaitable);
            static_cast<void>(co_await exchange.writeChunk(" after"));
            static_cast<void>(co_await exchange.finishStream());
            co_return;
        }
        co_await exchange.answer(makeResponse(200, kJsonType, exchange.request().body()));
    }

    boost::asio::io_context m_io{1};
    std::shared_ptr<Server> m_server;
    std::thread m_thread;
};

/// Sends raw bytes, ends the sending side, and reads all that comes back. \a sent
/// tells whether all bytes were taken.
std::string sendRaw(std::uint16_t port, const std::string &bytes, bool *sent = nullptr)
{
    boost::asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect({boost::asio::ip::address_v4::loopback(), port}, ec);
    boost::asio::write(socket, boost::asio::buffer(bytes), ec);
    if (sent != nullptr) {
        *sent = !ec;
    }
    socket.shutdown(tcp::socket::shutdown_send, ec);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ec);
    return answer;
}

/// Runs \a body with a pool on the calling thread.
template<typename Body>
void runClient(Body body)
{
    boost::asio::io_context io(1);
    SystemClock clock;
    ConnectionPool pool(io, clock, {});
    std::exception_ptr failure;
    boost::asio::co_spawn(io, body(pool), [&](std::exception_ptr error) { failure = std::move(error); });
    io.run();
    cr_assert(!failure);
}

Request echoRequest(const std::string &target, const std::string &body)
{
    Request request(beast::http::verb::post, target, 11);
    request.body() = body;
    return request;
}

Awaitable<void> checkAlive(ConnectionPool &pool, Address address)
{
    const auto answer = co_await pool.call(address, echoRequest("/echo", "alive"), 5s);
    cr_assert(answer.ok());
    cr_assert(answer->body() == "alive");
}

Awaitable<void> leaveSlowCall(ConnectionPool &pool, Address address)
{
    const auto answer = co_await pool.call(address, echoRequest("/slow", ""), 100ms);
    cr_assert(absl::IsDeadlineExceeded(answer.status()));
}

Awaitable<void> checkReuse(ConnectionPool &pool, Address address, const ServerCounters &counters)
{
    for (int i = 0; i < 5; ++i) {
        cr_assert((co_await pool.call(address, echoRequest("/echo", "x"), 5s)).ok());
    }
    cr_assert_eq(counters.accepted.load(), 1);
    const auto cut = co_await pool.call(address, echoRequest("/half", ""), 5s);
    cr_assert(!cut.ok());
    cr_assert((co_await pool.call(address, echoRequest("/echo", "x"), 5s)).ok());
    cr_assert_eq(counters.accepted.load(), 2);
}

Awaitable<void> checkFailure(ConnectionPool &pool, Address address)
{
    const auto answer = co_await pool.call(address, echoRequest("/throw", ""), 5s);
    cr_assert(answer.ok(), "%s", std::string(answer.status().message()).c_str());
    cr_assert_eq(answer->result_int(), 500);
    cr_assert(header(*answer, "Mimosahub-Outcome") == "unknown");
}

Awaitable<void> checkUnused(ConnectionPool &pool, Address address, const ServerCounters &counters)
{
    for (int i = 0; i < 3; ++i) {
        auto connection = co_await pool.acquire(address, false);
        cr_assert(connection.ok());
        pool.release(std::move(*connection));
    }
    cr_assert((co_await pool.call(address, echoRequest("/echo", "x"), 5s)).ok());
    cr_assert_eq(counters.accepted.load(), 1);
}

Awaitable<void> checkSilence(ConnectionPool &pool, Address address)
{
    auto connection = co_await pool.acquire(address, false);
    cr_assert(connection.ok());
    auto &it = **connection;
    const auto begin = std::chrono::steady_clock::now();
    cr_assert(!co_await it.waitReadable(20ms));
    cr_assert(std::chrono::steady_clock::now() - begin >= 20ms);
    auto request = echoRequest("/pause", "");
    cr_assert((co_await it.send(request, 5s)).ok());
    cr_assert(co_await it.waitReadable(5s));
    cr_assert((co_await it.readHeader(5s)).ok());
    std::string body;
    int silences = 0;
    while (true) {
        const auto data = co_await it.readSomeWithin(50ms);
        cr_assert(data.ok());
        if (!*data) {
            ++silences;
            cr_assert(it.idleAndOpen());
            continue;
        }
        if ((*data)->empty()) {
            break;
        }
        body += **data;
    }
    cr_assert(body == "before after", "%s", body.c_str());
    cr_assert_gt(silences, 0);
    cr_assert(it.reusable());
}

constexpr int kChunks = 200;
constexpr std::string_view kToken = "data: token\n\n";

/// Answers one call with kChunks chunks, all in one write; \a end follows them.
Awaitable<void> answerInChunks(tcp::acceptor &acceptor, std::string end)
{
    auto socket = co_await acceptor.async_accept(boost::asio::use_awaitable);
    std::string request;
    co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                           boost::asio::use_awaitable);
    std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < kChunks; ++i) {
        answer.append("d\r\n").append(kToken).append("\r\n");
    }
    answer += end;
    co_await boost::asio::async_write(socket, boost::asio::buffer(answer), boost::asio::use_awaitable);
}

/// What a client read piece by piece.
struct Pieces {
    std::string body;
    int reads = 0;
    absl::Status status;
};

Awaitable<void> readInPieces(boost::asio::io_context &io, std::uint16_t port, Pieces &pieces)
{
    ClientConnection connection(io, {"127.0.0.1", port});
    cr_assert((co_await connection.connect(5s)).ok());
    auto request = echoRequest("/", "");
    cr_assert((co_await connection.send(request, 5s)).ok());
    cr_assert((co_await connection.readHeader(5s)).ok());
    while (true) {
        const auto data = co_await connection.readSome(5s);
        ++pieces.reads;
        pieces.status = data.status();
        if (!data.ok() || data->empty()) {
            co_return;
        }
        pieces.body += *data;
    }
}

Pieces piecesOfAnswer(const std::string &end)
{
    boost::asio::io_context io(1);
    tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
    Pieces pieces;
    const auto rethrow = [](const std::exception_ptr &error) { cr_assert(!error); };
    boost::asio::co_spawn(io, answerInChunks(acceptor, end), rethrow);
    boost::asio::co_spawn(io, readInPieces(io, acceptor.local_endpoint().port(), pieces), rethrow);
    io.run();
    return pieces;
}

std::string allTokens()
{
    std::string tokens;
    for (int i = 0; i < kChunks; ++i) {
        tokens += kToken;
    }
    return tokens;
}

Awaitable<void> answerAlways(Exchange &exchange)
{
    co_await exchange.answer(makeResponse(200, kJsonType, "{}"));
}

/// A valid request damaged in one of several ways.
std::string damaged(Random &random)
{
    std::string text = "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
    switch (random.below(6)) {
    case 0: {
        const auto bytes = 1 + random.below(8);
        for (std::uint64_t i = 0; i < bytes; ++i) {
            text[random.below(text.size())] = static_cast<char>(random.below(256));
        }
        return text;
    }
    case 1:
        return text.substr(0, random.below(text.size()));
    case 2:
        return "POST /echo HTTP/1.1\r\nX-Long: " + std::string(4096 + random.below(8192), 'x') + "\r\n\r\n";
    case 3:
        return "POST /echo HTTP/1.1\r\nContent-Length: 999999\r\n\r\n" + std::string(random.below(9000), 'b');
    case 4:
        return "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + std::to_string(random.below(1U << 30U))
            + "\r\nzz";
    default: {
        std::string noise(random.below(600), ' ');
        for (auto &byte : noise) {
            byte = static_cast<char>(random.below(256));
        }
        return noise;
    }
    }
}

} // namespace

Test(server, survives_300_damaged_requests_with_typed_errors)
{
    RunningServer server;
    Random random(20261204);
    for (int i = 0; i < 300; ++i) {
        const auto answer = sendRaw(server.port(), damaged(random));
        const bool typed = answer.find("\"reason\":\"") != std::string::npos;
        const bool ok = answer.starts_with("HTTP/1.1 200");
        cr_assert(answer.empty() || typed || ok, "answer %d: %s", i, answer.c_str());
    }
    cr_assert_gt(server.counters().malformed.load(), 100);
    runClient([&](ConnectionPool &pool) { return checkAlive(pool, {"127.0.0.1", server.port()}); });
}

Test(server, tells_a_caller_that_sends_all_of_a_large_request_before_it_reads)
{
    RunningServer server;
    const std::string body(std::size_t(16) << 20U, 'x'); // More than the sockets' buffers take.
    bool sent = false;
    const auto answer =
        sendRaw(server.port(),
                "POST /echo HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, &sent);
    cr_assert(sent);
    cr_assert(answer.find("\"reason\":\"too-large\"") != std::string::npos, "%s", answer.c_str());
}

Test(server, cancels_the_handler_when_the_caller_leaves)
{
    RunningServer server;
    runClient([&](ConnectionPool &pool) { return leaveSlowCall(pool, {"127.0.0.1", server.port()}); });
    for (int i = 0; i < 500 && server.cancelled == 0; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    cr_assert_eq(server.cancelled.load(), 1);
}

Test(server, answers_those_who_had_connected_before_it_stopped_accepting)
{
    boost::asio::io_context io(1);
    const auto server = *Server::listen(io, {"127.0.0.1", 0}, {}, answerAlways);
    server->start();
    boost::asio::io_context callerIo;
    std::vector<std::unique_ptr<tcp::socket>> callers;
    for (int i = 0; i < 8; ++i) {
        callers.push_back(std::make_unique<tcp::socket>(callerIo));
        callers.back()->connect({boost::asio::ip::address_v4::loopback(), server->port()});
        boost::asio::write(*callers.back(), boost::asio::buffer(std::string("GET / HTTP/1.0\r\n\r\n")));
    }
    server->stopAccepting();
    io.run_for(5s);
    for (auto &caller : callers) {
        std::string answer;
        boost::system::error_code ec;
        boost::asio::read(*caller, boost::asio::dynamic_buffer(answer), ec);
        cr_assert(answer.starts_with("HTTP/1.0 200") || answer.starts_with("HTTP/1.1 200"), "%s %s",
                  ec.message().c_str(), answer.c_str());
    }
}

// A caller must not take a fault of the daemon for a connection that broke.
Test(server, answers_a_request_whose_handler_fails)
{
    RunningServer server;
    const Address address{"127.0.0.1", server.port()};
    runClient([&](ConnectionPool &pool) { return checkFailure(pool, address); });
    cr_assert_eq(server.counters().failed.load(), 1);
}

Test(client, reuses_a_connection_after_a_whole_answer_and_never_after_a_cut_one)
{
    RunningServer server;
    const Address address{"127.0.0.1", server.port()};
    runClient([&](ConnectionPool &pool) { return checkReuse(pool, address, server.counters()); });
}

// A pause within an answer must not cost the connection.
Test(client, goes_on_with_an_answer_after_silence)
{
    RunningServer server;
    const Address address{"127.0.0.1", server.port()};
    runClient([&](ConnectionPool &pool) { return checkSilence(pool, address); });
}

Test(client, keeps_a_connection_that_was_not_used)
{
    RunningServer server;
    const Address address{"127.0.0.1", server.port()};
    runClient([&](ConnectionPool &pool) { return checkUnused(pool, address, server.counters()); });
}

Test(client, takes_all_chunks_that_came_together_in_one_read)
{
    const auto pieces = piecesOfAnswer("0\r\n\r\n");
    cr_assert(pieces.status.ok());
    cr_assert(pieces.body == allTokens());
    cr_assert_lt(pieces.reads, kChunks / 10, "%d reads of %d chunks", pieces.reads, kChunks);
}

Test(client, gives_what_came_before_the_answer_is_cut_or_malformed)
{
    for (const auto *end : {"", "5\r\nda", "5\r\n", "\r\n", "zz\r\n", "0\r\nno field\r\n\r\n"}) {
        const auto pieces = piecesOfAnswer(end);
        cr_assert(!pieces.status.ok(), "after '%s'", end);
        cr_assert(pieces.body.starts_with(allTokens()), "after '%s'", end);
    }
}

// The header of a chunk, or the trailer, was kept without a bound until the
// request's time was over.
Test(server, rejects_a_chunked_request_whose_framing_has_no_end)
{
    RunningServer server;
    const std::string head = "POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string trailer = "1\r\nx\r\n0\r\n";
    for (int i = 0; i < 100'000; ++i) {
        trailer += "X-Many: 1\r\n";
    }
    for (const auto &framing : {"1;" + std::string(std::size_t(1) << 20U, 'x'), trailer}) {
        const auto answer = sendRaw(server.port(), head + framing);
        cr_expect(answer.find("\"reason\":\"header-too-large\"") != std::string::npos, "%.9s...: %s", framing.c_str(),
                  answer.c_str());
    }
    runClient([&](ConnectionPool &pool) { return checkAlive(pool, {"127.0.0.1", server.port()}); });
}

// The body was taken for a further request, which ran: callers that send the bodies of others
// on one connection got answers to requests that nobody had made.
Test(server, rejects_a_request_whose_end_cannot_be_told)
{
    RunningServer server;
    const std::string head = "POST /echo HTTP/1.1\r\nHost: x\r\n";
    const std::string inner = head + "Content-Length: 5\r\n\r\ninner";
    const auto length = absl::StrCat("Content-Length: ", inner.size(), "\r\n");
    const auto coding = [](const std::string &name) { return absl::StrCat("Transfer-Encoding: ", name, "\r\n"); };
    for (const auto &framing :
         {coding("gzip"), coding("chunked, identity"), coding("xchunked"), coding("gzip, chunked"), coding("identity"),
          coding(""), absl::StrCat(coding("chunked"), coding("identity")),
          absl::StrCat(coding("identity"), coding("chunked")), absl::StrCat(coding("gzip"), length),
          absl::StrCat(length, coding("chunked")), absl::StrCat(length, "Content-Length: 1\r\n")}) {
        const auto answer = sendRaw(server.port(), absl::StrCat(head, framing, "\r\n", inner));
        cr_expect(answer.starts_with("HTTP/1.1 400 "), "%s: %s", framing.c_str(), answer.c_str());
        cr_expect_eq(answer.find("\r\n\r\ninner"), std::string::npos, "%s: %s", framing.c_str(), answer.c_str());
        cr_expect_neq(answer.find("Connection: close"), std::string::npos, "%s: %s", framing.c_str(), answer.c_str());
    }
    const auto whole = sendRaw(server.port(), absl::StrCat(head, coding(" Chunked "), "\r\n5\r\nwhole\r\n0\r\n\r\n"));
    cr_expect(whole.starts_with("HTTP/1.1 200 ") && whole.ends_with("whole"), "%s", whole.c_str());
}
