#pragma once

#include <boost/beast/http/fields.hpp>

namespace mimosahub::http
{

/// Whether \a request has a body whose end can't be told: codings of its transfer of which the
/// last isn't "chunked", several such headers, or a length beside them (RFC 9112, 6.1 and 6.3).
/// What would follow its header would be taken for a further request.
[[nodiscard]] bool hasUnknownEnd(const boost::beast::http::fields &request);

} // namespace mimosahub::http
