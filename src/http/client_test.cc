// Answers of servers in trouble: bytes without end in each part of an answer, and
// bytes that come too slowly.

#include "http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <rapidcheck.h>

#include <absl/strings/str_cat.h>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace mimosahub::http;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

constexpr Duration kCallTimeout = 1s;
constexpr Duration kLongestCall = kCallTimeout + 1s; ///< With room for a busy machine.
constexpr auto kReadTime = 100ms; ///< In which a client reads what was sent.
constexpr auto kTestEnd = 5s; ///< A call that goes on until then is without a bound.
constexpr std::uint64_t kMaxBody = std::uint64_t(1) << 20U; ///< Bytes.
constexpr std::size_t kMaxTaken = std::size_t(16) << 20U; ///< Bytes; most of them wait in the sockets' buffers.

/// What a server sends after a request, whatever the request is.
struct Script {
    std::string begin; ///< Once.
    std::string repeated = {}; ///< Then this without end; empty: nothing more.
    std::chrono::milliseconds pause{0}; ///< Before each repetition.
    enum class End {
        Open,
        Closed,
        Reset
    } end = End::Open; ///< The connection after all that.
};

/// How a call ended.
struct CallEnd {
    bool ended = false;
    absl::StatusOr<Response> answer = absl::UnknownError("the call goes on");
    bool reusable = false;
    Duration time{0};
    std::size_t sent = 0; ///< Bytes that the server could send.
};

Awaitable<void> playScript(tcp::acceptor &acceptor, const Script &script, std::size_t &sent)
{
    auto [acceptError, socket] = co_await acceptor.async_accept(kTuple);
    std::string request;
    auto [ec, n] =
        co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", kTuple);
    std::tie(ec, n) = co_await boost::asio::async_write(socket, boost::asio::buffer(script.begin), kTuple);
    boost::asio::steady_timer timer(socket.get_executor());
    while (!ec && !script.repeated.empty()) {
        if (script.pause > 0ms) {
            timer.expires_after(script.pause);
            co_await timer.async_wait(kTuple);
        }
        std::tie(ec, n) = co_await boost::asio::async_write(socket, boost::asio::buffer(script.repeated), kTuple);
        sent += n;
    }
    if (script.end != Script::End::Open) {
        timer.expires_after(kReadTime);
        co_await timer.async_wait(kTuple);
        if (script.end == Script::End::Reset) {
            socket.set_option(asio::socket_base::linger(true, 0), ec);
        }
        socket.close(ec);
        co_return;
    }
    // A close here could reach the client before it has read what was sent.
    co_await socket.async_wait(tcp::socket::wait_read, kTuple);
}

Awaitable<void> callOnce(asio::io_context &io, std::uint16_t port, std::string body, CallEnd &end)
{
    ClientConnection connection(io, {"127.0.0.1", port});
    cr_assert((co_await connection.connect(kTestEnd)).ok());
    const SystemClock clock;
    const auto begin = clock.now();
    Request request(body.empty() ? beast::http::verb::get : beast::http::verb::post, "/", 11);
    request.body() = std::move(body);
    end.answer = co_await connection.call(std::move(request), kCallTimeout, kMaxBody);
    end.time = clock.now() - begin;
    end.reusable = connection.reusable();
    end.ended = true;
}

CallEnd endOfCall(const Script &script, std::string body = "")
{
    asio::io_context io(1);
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    CallEnd end;
    const auto rethrow = [](const std::exception_ptr &error) { cr_assert(!error); };
    asio::co_spawn(io, playScript(acceptor, script, end.sent), rethrow);
    asio::co_spawn(io, callOnce(io, acceptor.local_endpoint().port(), std::move(body), end), rethrow);
    io.run_for(kTestEnd);
    return end;
}

void checkRefused(const std::string &what, const Script &script, absl::StatusCode code)
{
    const auto end = endOfCall(script);
    const auto status = end.answer.status();
    cr_expect(end.ended && status.code() == code, "%s: %s", what.c_str(), describe(status).c_str());
    cr_expect(!end.ended || (stepOf(status) == "receive" && peerOf(status).starts_with("127.0.0.1:")), "%s",
              what.c_str());
    cr_expect(end.time < kLongestCall, "%s", what.c_str());
    cr_expect(end.sent < kMaxTaken, "%s: %zu bytes were taken", what.c_str(), end.sent);
    cr_expect(!end.reusable, "%s", what.c_str());
}

const std::string kHead = "HTTP/1.1 200 OK\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

std::string chunked(const std::string &body, std::size_t piece)
{
    std::string bytes = kChunkedHead;
    for (std::size_t at = 0; at < body.size(); at += piece) {
        const auto data = body.substr(at, piece);
        absl::StrAppend(&bytes, absl::Hex(data.size()), "\r\n", data, "\r\n");
    }
    return bytes + "0\r\n\r\n";
}

} // namespace

Test(client, ends_a_call_whose_answer_has_no_end)
{
    const std::string block(4096, 'x');
    const Script scripts[] = {
        {"HTTP/1.1 200 ", block},
        {kHead, "X-Many: 1\r\n"},
        {kHead + "X-Long: ", block},
        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        {kChunkedHead, "1000\r\n" + block + "\r\n"},
        {kHead + "Content-Length: 99999999999\r\n\r\n", block},
        {kHead + "\r\n", block},
        {kChunkedHead + "1;", block},
        {kChunkedHead + "1\r\nx\r\n0\r\n", "X-Many: 1\r\n"},
    };
    for (const auto &script : scripts) {
        checkRefused(script.begin + "...", script, absl::StatusCode::kResourceExhausted);
    }
}

Test(client, ends_a_call_whose_answer_comes_byte_by_byte)
{
    const Script scripts[] = {
        {kHead, "x", 100ms},
        {kHead + "Content-Length: 1000\r\n\r\n", "x", 100ms},
        {kChunkedHead, "1\r\nx\r\n", 100ms},
        {kChunkedHead + "1;", "x", 100ms},
    };
    for (const auto &script : scripts) {
        checkRefused(script.begin + "...", script, absl::StatusCode::kDeadlineExceeded);
    }
}

Test(client, bytes_that_are_no_answer_end_a_call_at_once)
{
    for (const auto *begin : {"\r\n\r\n", "   ", "SSH-2.0-x\r\n", "\x16\x03\x01"}) {
        const auto end = endOfCall({begin, std::string(4096, '\n')});
        cr_expect(end.ended && !end.answer.ok() && end.time < kCallTimeout, "%s", begin);
    }
}

// Statuses that no final answer can have were passed on to callers, or taken for an interim answer
// after which another one was awaited.
Test(client, ends_a_call_whose_status_is_none_of_a_final_answer)
{
    for (const auto *status : {"000", "001", "099", "101", "600", "999", "20", "2000", "2x0", "-20", "+20"}) {
        const auto head = absl::StrCat("HTTP/1.1 ", status, " x\r\n");
        checkRefused(absl::StrCat("status ", status),
                     {.begin = head + "Content-Length: 1\r\n\r\nx", .end = Script::End::Closed},
                     absl::StatusCode::kUnavailable);
        checkRefused(absl::StrCat("status ", status, " before a final answer"),
                     {.begin = absl::StrCat(head, "\r\n", kHead, "Content-Length: 1\r\n\r\nx")},
                     absl::StatusCode::kUnavailable);
    }
    for (const auto *status : {"200", "204", "304", "599"}) {
        const auto end = endOfCall({.begin = absl::StrCat("HTTP/1.1 ", status, " x\r\nContent-Length: 0\r\n\r\n")});
        cr_expect(end.answer.ok() && end.answer->result_int() == static_cast<unsigned>(std::stoi(status)), "%s",
                  status);
    }
}

// An answer without a length ends with its connection. A part of it is no whole answer if the
// connection is reset, also where the write of the request is what meets the reset.
Test(client, a_reset_during_a_long_upload_gives_no_part_of_an_early_answer)
{
    for (const std::size_t length : {std::size_t(10), std::size_t(64) << 10U, std::size_t(16) << 20U}) {
        for (const auto end : {Script::End::Reset, Script::End::Closed}) {
            Script script{.begin = kHead + "\r\npart of the body", .end = end};
            const auto call = endOfCall(script, std::string(length, 'x'));
            cr_expect(call.ended && !call.reusable);
            const bool mayBeWhole = end == Script::End::Closed && length == 10;
            cr_expect(mayBeWhole || !call.answer.ok(), "%zu bytes, end %d", length, static_cast<int>(end));
        }
    }
}

Test(client, passes_over_interim_answers)
{
    const auto end = endOfCall({"HTTP/1.1 100 Continue\r\n\r\n"
                                "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                                ""});
    cr_assert(end.answer.ok(), "%s", describe(end.answer.status()).c_str());
    cr_assert(end.answer->result_int() == 200 && end.answer->body() == "ok");
    cr_assert(end.reusable);
}

Test(client, never_reuses_a_connection_with_bytes_after_the_answer)
{
    const auto end = endOfCall({kHead + "Content-Length: 2\r\n\r\nok", "more"});
    cr_assert(end.answer.ok() && end.answer->body() == "ok");
    cr_assert_not(end.reusable);
}

Test(client, reads_a_body_of_the_largest_size)
{
    const auto size = std::to_string(kMaxBody);
    const auto end = endOfCall({kHead + "Content-Length: " + size + "\r\n\r\n" + std::string(kMaxBody, 'x'), ""});
    cr_assert(end.answer.ok() && end.answer->body().size() == kMaxBody);
    cr_assert(end.reusable);
}

Test(client, an_answer_without_a_length_ends_with_its_connection)
{
    const auto end = endOfCall({.begin = kHead + "\r\nthe body", .end = Script::End::Closed});
    cr_assert(end.ended && end.answer.ok(), "%s", describe(end.answer.status()).c_str());
    cr_expect_eq(end.answer->body(), "the body");
    cr_expect(not end.reusable);
}

// Where the connection is the only mark of the end, a reset one marks none.
Test(client, an_answer_without_a_length_that_is_reset_is_not_complete)
{
    for (const auto *body : {"", "the body"}) {
        const auto end = endOfCall({.begin = kHead + "\r\n" + body, .end = Script::End::Reset});
        cr_expect(end.ended && absl::IsUnavailable(end.answer.status()), "%s", describe(end.answer.status()).c_str());
        cr_expect(not end.reusable);
    }
}

Test(client, an_answer_with_a_length_or_chunks_that_is_closed_early_is_not_complete)
{
    for (const auto &begin : {kHead + "Content-Length: 9\r\n\r\nthe body", kChunkedHead + "8\r\nthe body\r\n"}) {
        const auto end = endOfCall({.begin = begin, .end = Script::End::Closed});
        cr_expect(end.ended && absl::IsUnavailable(end.answer.status()), "%s", describe(end.answer.status()).c_str());
    }
}

// A caller would take what came for the whole answer.
Test(client, an_answer_that_ends_within_its_header_is_no_answer)
{
    const auto head = kHead + "X-Stamp: s\r\nContent-Length: 2\r\n\r\n";
    for (const auto end : {Script::End::Closed, Script::End::Reset}) {
        for (std::size_t cut = 1; cut < head.size(); cut += cut + 4 < head.size() ? 4 : 1) {
            const auto call = endOfCall({.begin = head.substr(0, cut), .end = end});
            cr_expect(call.ended && absl::IsUnavailable(call.answer.status()), "cut at %zu: %s", cut,
                      describe(call.answer.status()).c_str());
            cr_expect(not call.reusable);
        }
    }
}

// Whatever a server sends before it closes or resets, and wherever that is: a call ends with the
// whole answer or with none, and what follows the answer is part of no answer.
Test(client, an_answer_is_whole_or_none_wherever_the_connection_ends)
{
    const bool held = rc::check("whole or none", [] {
        const auto body = *rc::gen::container<std::string>(rc::gen::inRange('a', 'e'));
        const auto interim = *rc::gen::element<std::string>("", "HTTP/1.1 103 x\r\nLink: y\r\n\r\n");
        const bool inChunks = *rc::gen::arbitrary<bool>();
        const auto whole = interim
            + (inChunks ? chunked(body, *rc::gen::inRange<std::size_t>(1, 8))
                        : absl::StrCat(kHead, "Content-Length: ", body.size(), "\r\n\r\n", body));
        const auto more = *rc::gen::element<std::string>("", "x", kHead + "Content-Length: 1\r\n\r\nx");
        const auto bytes = whole + more;
        const auto sent = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
        const auto end = *rc::gen::element(Script::End::Closed, Script::End::Reset);
        const auto call = endOfCall({.begin = bytes.substr(0, sent), .end = end});
        RC_ASSERT(call.ended);
        RC_ASSERT(call.answer.ok() == (sent >= whole.size()));
        if (call.answer.ok()) {
            RC_ASSERT(call.answer->body() == body);
            RC_ASSERT(call.reusable == (sent == whole.size()));
        }
    });
    cr_assert(held);
}
