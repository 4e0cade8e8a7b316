// libFuzzer entry point. Checks that an engine's bytes yield the same events
// however they are split, that written events parse to the same events, and that
// an event over the limit yields an error with its step.

#include "mimosahub/error.h"
#include "request/sse.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace
{

/// Small, so that short inputs exceed it.
constexpr std::size_t kMaxEventBytes = 32;

struct ParseResult {
    std::vector<mimosahub::SseEvent> events;
    bool ok = true;
    bool midEvent = false;
};

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

/// Reads \a text in pieces of \a piece bytes.
ParseResult readInPieces(std::string_view text, std::size_t piece)
{
    ParseResult result;
    mimosahub::SseParser parser(kMaxEventBytes);
    while (!text.empty() && result.ok) {
        const auto status = parser.read(text.substr(0, piece), result.events);
        text.remove_prefix(std::min(piece, text.size()));
        result.ok = status.ok();
        require(status.ok() || mimosahub::stepOf(status) == "receive");
    }
    result.midEvent = parser.midEvent();
    return result;
}

} // namespace

// NOLINTBEGIN(readability-identifier-naming): libFuzzer calls it by this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    // The first byte determines the size of the pieces.
    const std::size_t piece = 1 + data[0] % 16;
    const std::string_view text(reinterpret_cast<const char *>(data) + 1, size - 1);
    const auto whole = readInPieces(text, text.size() + 1);
    const auto split = readInPieces(text, piece);
    require(whole.ok == split.ok && whole.events == split.events && whole.midEvent == split.midEvent);
    std::string written;
    for (const auto &it : whole.events) {
        require(it.data.size() <= kMaxEventBytes);
        mimosahub::writeSse(it, written);
    }
    std::vector<mimosahub::SseEvent> again;
    mimosahub::SseParser parser;
    require(parser.read(written, again).ok() && again == whole.events && !parser.midEvent());
    return 0;
}
// NOLINTEND(readability-identifier-naming)
