// Feeds a request's bytes to the parser with which bodies are read: chunks, their extensions, trailers,
// and what pretends to be such. However the bytes are cut into reads, the same body must come, no longer
// than its limit and than the bytes that came. The first byte says where they are cut.

#include "http/request_framing.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace
{

namespace beast = boost::beast::http;

constexpr std::uint32_t kMaxHeaderBytes = 2048;
constexpr std::uint64_t kMaxBodyBytes = 1024;

const std::string kHeads[] = {
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;name=\"v\"\r\nhello\r\n",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Trailer: ",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: ",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: ",
    "",
};

struct Outcome {
    std::string body;
    bool done = false;
    bool failed = false;
};

/// Parses \a text in reads of \a piece bytes, as a connection's buffer would hold them.
Outcome parse(std::string_view text, std::size_t piece)
{
    beast::request_parser<beast::string_body> parser;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(kMaxBodyBytes);
    parser.eager(true);
    Outcome outcome;
    std::size_t begin = 0;
    for (std::size_t end = 0; end < text.size() && !parser.is_done() && !outcome.failed;) {
        end = std::min(text.size(), end + piece);
        boost::system::error_code ec;
        begin += parser.put(boost::asio::buffer(text.data() + begin, end - begin), ec);
        outcome.failed = ec && ec != beast::error::need_more;
    }
    if (parser.is_header_done() && mimosahub::http::hasUnknownEnd(parser.get())) {
        outcome.failed = true;
    }
    outcome.done = parser.is_done();
    outcome.body = parser.get().body();
    return outcome;
}

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer gives the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < 2) {
        return 0;
    }
    const auto &head = kHeads[data[0] % std::size(kHeads)];
    const std::string text = head + std::string(reinterpret_cast<const char *>(data) + 2, size - 2);
    const auto whole = parse(text, text.size());
    const auto cut = parse(text, 1 + data[1]);
    require(whole.body.size() <= kMaxBodyBytes && whole.body.size() <= text.size());
    require(cut.body.size() <= kMaxBodyBytes);
    if (whole.done && !whole.failed) {
        require(cut.done && !cut.failed && cut.body == whole.body);
    }
    return 0;
}
