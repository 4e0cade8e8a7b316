// An append without a usable response may have taken effect, so it counts as lost
// unless the log refused it or the request was never sent. The daemon that sent a lost
// append finds out by reading the log.

#include "logservice/http_log_service.h"

#include "config/address.h"
#include "mimosahub/error.h"

#include <boost/json.hpp>

namespace mimosahub
{

namespace
{

namespace json = boost::json;
using http::beast::http::status;
using http::beast::http::verb;

constexpr std::string_view kInvalidFormat = "the platform's response does not have the documented format";

http::Request makeRequest(verb method, const std::string &target, std::string body = {})
{
    http::Request request(method, target, 11);
    request.body() = std::move(body);
    return request;
}

absl::Status invalidResponse(std::string_view what)
{
    return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "platform", what);
}

absl::Status httpError(Step step, const Address &peer, const http::Response &response)
{
    return errorAt(absl::StatusCode::kUnavailable, step, peer.str(),
                   "HTTP status " + std::to_string(response.result_int()));
}

std::string textOf(const json::object &object, std::string_view key)
{
    return json::value_to<std::string>(object.at({key.data(), key.size()}));
}

EndpointInfo readEndpoint(const json::object &entry)
{
    EndpointInfo info;
    info.id = EndpointId(textOf(entry, "id"));
    info.service = ServiceId(textOf(entry, "service"));
    info.zone = ZoneId(textOf(entry, "zone"));
    info.version = VersionId(textOf(entry, "version"));
    info.address = parseAddress(textOf(entry, "address")).value();
    info.leaving = entry.at("leaving").as_bool();
    return info;
}

DaemonInfo readDaemon(const json::object &entry)
{
    DaemonInfo info;
    info.id = InstanceId(textOf(entry, "id"));
    info.zone = ZoneId(textOf(entry, "zone"));
    info.peerAddress = parseAddress(textOf(entry, "address")).value();
    info.leaving = entry.at("leaving").as_bool();
    return info;
}

} // namespace

absl::StatusOr<ReadResult> parseReadResult(std::string_view body)
{
    try {
        const auto value = json::parse({body.data(), body.size()});
        ReadResult page;
        page.first = Offset(value.at("first").to_number<std::uint64_t>());
        page.head = Offset(value.at("head").to_number<std::uint64_t>());
        for (const auto &entry : value.at("records").as_array()) {
            page.entries.push_back(
                {Offset(entry.at("offset").to_number<std::uint64_t>()), json::value_to<std::string>(entry.at("data"))});
        }
        return page;
    } catch (const std::exception &) {
        return invalidResponse(kInvalidFormat);
    }
}

absl::StatusOr<InstanceListing> parseInstanceListing(std::string_view body)
{
    try {
        const auto value = json::parse({body.data(), body.size()});
        InstanceListing listing;
        for (const auto &entry : value.at("instances").as_array()) {
            const auto &object = entry.as_object();
            if (textOf(object, "role") == "daemon") {
                listing.daemons.push_back(readDaemon(object));
            } else {
                listing.endpoints.push_back(readEndpoint(object));
            }
        }
        return listing;
    } catch (const std::exception &) {
        return invalidResponse(kInvalidFormat);
    }
}

HttpSharedLog::HttpSharedLog(http::ConnectionPool &pool, Address address, Duration timeout)
    : m_pool(pool), m_address(std::move(address)), m_timeout(timeout)
{
}

http::Awaitable<AppendAnswer> HttpSharedLog::append(std::string data)
{
    auto request = makeRequest(verb::post, "/log/append", std::move(data));
    const auto response = co_await m_pool.call(m_address, std::move(request), m_timeout);
    AppendAnswer answer;
    if (!response.ok()) {
        const bool notSent = stepOf(response.status()) == stepName(Step::Connect);
        answer.kind = notSent ? AppendAnswer::Kind::Refused : AppendAnswer::Kind::Lost;
        answer.status = response.status();
        co_return answer;
    }
    if (response->result() != status::ok) {
        answer.kind = AppendAnswer::Kind::Refused;
        answer.retryAfter = http::retryAfterOf(*response);
        answer.status = httpError(Step::Append, m_address, *response);
        co_return answer;
    }
    json::error_code ec;
    const auto body = json::parse(response->body(), ec);
    if (ec || !body.is_object() || !body.get_object().contains("offset")) {
        answer.status = invalidResponse(kInvalidFormat);
        co_return answer;
    }
    answer.kind = AppendAnswer::Kind::Appended;
    answer.offset = Offset(body.at("offset").to_number<std::uint64_t>(ec));
    co_return answer;
}

http::Awaitable<ReadAnswer> HttpSharedLog::read(Offset from, std::size_t limit)
{
    const auto target = "/log/read?from=" + std::to_string(from.value()) + "&limit=" + std::to_string(limit);
    const auto response = co_await m_pool.call(m_address, makeRequest(verb::get, target), m_timeout);
    if (!response.ok()) {
        co_return ReadAnswer{response.status(), std::nullopt};
    }
    if (response->result() != status::ok) {
        co_return ReadAnswer{httpError(Step::ReadLog, m_address, *response), http::retryAfterOf(*response)};
    }
    co_return ReadAnswer{parseReadResult(response->body()), std::nullopt};
}

HttpInstanceList::HttpInstanceList(http::ConnectionPool &pool, Address address, Duration timeout)
    : m_pool(pool), m_address(std::move(address)), m_timeout(timeout)
{
}

http::Awaitable<absl::StatusOr<InstanceListing>> HttpInstanceList::fetch()
{
    const auto response = co_await m_pool.call(m_address, makeRequest(verb::get, "/instances"), m_timeout);
    if (!response.ok()) {
        co_return response.status();
    }
    if (response->result() != status::ok) {
        co_return httpError(Step::Receive, m_address, *response);
    }
    co_return parseInstanceListing(response->body());
}

} // namespace mimosahub
