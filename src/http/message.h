#pragma once

#include "http/awaitable.h"
#include "mimosahub/clock.h"

#include <boost/beast/http.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// HTTP messages and names that server and client share.
namespace mimosahub::http
{

namespace beast = boost::beast;
namespace asio = boost::asio;

using Request = beast::http::request<beast::http::string_body>;
using Response = beast::http::response<beast::http::string_body>;
using Fields = beast::http::fields;

/// Headers of this project's contract. Endpoints echo the first three.
constexpr std::string_view kRequestHeader = "Mimosahub-Request";
constexpr std::string_view kStageHeader = "Mimosahub-Stage";
constexpr std::string_view kAttemptHeader = "Mimosahub-Attempt";
constexpr std::string_view kOutcomeHeader = "Mimosahub-Outcome";
constexpr std::string_view kWorkspaceHeader = "Mimosahub-Workspace";
constexpr std::string_view kDeadlineHeader = "Mimosahub-Deadline-Ms";
constexpr std::string_view kPriorityHeader = "Mimosahub-Priority";
/// Set by an endpoint that refused a call before running any of it.
constexpr std::string_view kNotRunHeader = "Mimosahub-Not-Run";

constexpr std::string_view kJsonType = "application/json";
constexpr std::string_view kEventStreamType = "text/event-stream";

/// Converts for Beast, which has a string_view of its own.
[[nodiscard]] inline beast::string_view toBeast(std::string_view text)
{
    return {text.data(), text.size()};
}
[[nodiscard]] inline std::string_view fromBeast(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// The value of header \a name, or empty.
template<typename Message>
[[nodiscard]] std::string_view header(const Message &message, std::string_view name)
{
    const auto it = message.find(toBeast(name));
    return it == message.end() ? std::string_view() : fromBeast(it->value());
}

/// The delay that an answer asks for in Retry-After, if it does in whole seconds.
[[nodiscard]] std::optional<Duration> retryAfterOf(const Response &response);

/// An answer with a body.
[[nodiscard]] Response makeResponse(int status, std::string_view type, std::string body);

/// The path of \a target without its query.
[[nodiscard]] std::string_view pathOf(std::string_view target);
/// The value of query parameter \a name in \a target, or empty.
[[nodiscard]] std::string queryValue(std::string_view target, std::string_view name);

} // namespace mimosahub::http
