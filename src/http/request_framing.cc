#include "http/request_framing.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

namespace mimosahub::http
{

bool hasUnknownEnd(const boost::beast::http::fields &request)
{
    using boost::beast::http::field;
    if (request.count(field::transfer_encoding) == 0) {
        return request.count(field::content_length) > 1;
    }
    const auto coding = request[field::transfer_encoding];
    const absl::string_view text(coding.data(), coding.size());
    return request.count(field::transfer_encoding) > 1 || request.count(field::content_length) > 0
        || !absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(text), "chunked");
}

} // namespace mimosahub::http
