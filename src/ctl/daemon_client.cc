// A change is never sent twice by the tool: after the first byte only the log
// knows whether it stands there, so that a lost answer is reported as unknown.

#include "ctl/daemon_client.h"

#include "http/client.h"
#include "mimosahub/error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

namespace mimosahub::ctl
{

namespace
{

constexpr Duration kConnectTimeout = std::chrono::seconds(2);
// Longer than a daemon waits for the log to take an operator's record.
constexpr Duration kAnswerTimeout = std::chrono::seconds(15);
constexpr std::uint64_t kLargestAnswer = 64U << 20U; // bytes

// One call on a connection of its own, and whether any byte of it was sent.
struct Attempt {
    absl::StatusOr<http::Response> response;
    bool sent = false;
};

http::Awaitable<Attempt> attempt(boost::asio::io_context &io, Address daemon, http::Request request)
{
    http::ClientConnection connection(io, std::move(daemon));
    if (auto status = co_await connection.connect(kConnectTimeout); !status.ok()) {
        co_return Attempt{status};
    }
    if (auto status = co_await connection.send(request, kAnswerTimeout); !status.ok()) {
        co_return Attempt{status, true};
    }
    auto response = co_await connection.readHeader(kAnswerTimeout);
    if (!response.ok()) {
        co_return Attempt{response.status(), true};
    }
    auto body = co_await connection.readRest(kAnswerTimeout, kLargestAnswer);
    if (!body.ok()) {
        co_return Attempt{body.status(), true};
    }
    response->body() = std::move(*body);
    co_return Attempt{std::move(response), true};
}

Attempt runAttempt(const Address &daemon, const http::Request &request)
{
    boost::asio::io_context io(1);
    auto result = boost::asio::co_spawn(io, attempt(io, daemon, request), boost::asio::use_future);
    io.run();
    return result.get();
}

http::Request makeRequest(http::beast::http::verb verb, const std::string &target, const Address &daemon)
{
    http::Request request(verb, target, 11);
    request.set(http::beast::http::field::host, daemon.str());
    request.set(http::beast::http::field::user_agent, "mimosahubctl/" MIMOSAHUB_VERSION);
    return request;
}

Reply replyOf(const http::Response &response, const Address &daemon)
{
    boost::json::error_code ec;
    auto body = boost::json::parse(response.body(), ec);
    return {static_cast<int>(response.result_int()), ec ? boost::json::value() : std::move(body), daemon};
}

} // namespace

absl::StatusOr<Reply> DaemonClient::get(const std::string &target) const
{
    absl::Status last;
    for (const auto &daemon : m_daemons) {
        auto result = runAttempt(daemon, makeRequest(http::beast::http::verb::get, target, daemon));
        if (result.response.ok()) {
            return replyOf(*result.response, daemon);
        }
        last = result.response.status();
    }
    return errorAt(absl::StatusCode::kUnavailable, Step::Connect, peerOf(last), std::string(last.message()));
}

absl::StatusOr<Reply> DaemonClient::post(const std::string &target, const boost::json::value &body) const
{
    absl::Status last;
    for (const auto &daemon : m_daemons) {
        auto request = makeRequest(http::beast::http::verb::post, target, daemon);
        request.set(http::beast::http::field::content_type, http::toBeast(http::kJsonType));
        request.body() = boost::json::serialize(body);
        auto result = runAttempt(daemon, request);
        if (result.response.ok()) {
            return replyOf(*result.response, daemon);
        }
        last = result.response.status();
        if (result.sent) {
            return errorAt(absl::StatusCode::kUnknown, Step::Receive, daemon.str(), std::string(last.message()));
        }
    }
    return errorAt(absl::StatusCode::kUnavailable, Step::Connect, peerOf(last), std::string(last.message()));
}

} // namespace mimosahub::ctl
