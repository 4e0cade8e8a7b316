// Small helpers over Beast's messages; query strings are parsed by Boost.URL.

#include "http/message.h"

#include <absl/strings/numbers.h>
#include <boost/url/parse.hpp>

namespace mimosahub::http
{

Response makeResponse(int status, std::string_view type, std::string body)
{
    Response response;
    response.version(11);
    response.result(static_cast<unsigned>(status));
    response.set(beast::http::field::content_type, toBeast(type));
    response.body() = std::move(body);
    return response;
}

std::optional<Duration> retryAfterOf(const Response &response)
{
    const auto text = header(response, "Retry-After");
    int seconds = 0;
    if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &seconds)) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string queryValue(std::string_view target, std::string_view name)
{
    const auto url = boost::urls::parse_origin_form({target.data(), target.size()});
    if (!url) {
        return {};
    }
    const auto params = url->params();
    const auto it = params.find({name.data(), name.size()});
    return it == params.end() ? std::string() : std::string((*it).value);
}

} // namespace mimosahub::http
