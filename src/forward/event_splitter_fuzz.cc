// libFuzzer entry point. Checks that an engine's bytes are split at the same events
// however they come, that no byte is changed, and that an event over the limit or
// another answer's head ends the stream.

#include "forward/event_splitter.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace
{

/// Small, so that short inputs exceed it.
constexpr std::size_t kMaxEventBytes = 32;

struct SplitResult {
    std::string passed;
    std::vector<std::optional<std::string>> ids;
    bool tooLong = false;
    bool foreign = false;

    bool operator==(const SplitResult &) const = default;
};

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

/// Reads \a text in pieces of \a piece bytes.
SplitResult splitInPieces(std::string_view text, std::size_t piece)
{
    mimosahub::EventSplitter splitter(kMaxEventBytes);
    SplitResult result;
    while (!text.empty()) {
        const auto events = splitter.take(text.substr(0, piece));
        result.passed += events.bytes;
        result.ids.insert(result.ids.end(), events.ids.begin(), events.ids.end());
        text.remove_prefix(std::min(piece, text.size()));
    }
    result.tooLong = splitter.tooLong();
    result.foreign = splitter.foreign();
    require(!result.foreign || splitter.rest().empty());
    require(result.tooLong || splitter.rest().size() <= kMaxEventBytes);
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
    const auto whole = splitInPieces(text, text.size() + 1);
    require(text.starts_with(whole.passed));
    require(whole == splitInPieces(text, piece));
    return 0;
}
// NOLINTEND(readability-identifier-naming)
