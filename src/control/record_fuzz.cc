// libFuzzer entry: records of any batch that can be decoded must encode and
// decode to the same records, and ControlState must apply any bytes without a
// fault.

#include "control/control_state.h"
#include "mimosahub/record.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace mimosahub;

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer gives the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    ControlState state;
    if (!state.apply(Offset(1), text).ok()) {
        std::abort();
    }
    const auto restored = ControlState::decode(state.encode());
    if (!restored.ok() || !(*restored == state)) {
        std::abort();
    }
    const auto batch = decodeBatch(text);
    if (!batch.ok()) {
        return 0;
    }
    for (const auto &it : batch->records) {
        if (!it.ok()) {
            continue;
        }
        const auto again = decodeRecord(encodeRecord(*it));
        if (!again.ok() || !(*again == *it)) {
            std::abort();
        }
    }
    return 0;
}
