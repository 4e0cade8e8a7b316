#pragma once

#include "mimosahub/clock.h"

#include <algorithm>
#include <capnp/blob.h>
#include <cstdint>
#include <string>
#include <string_view>

/// Values that several messages between daemons hold.
namespace mimosahub
{

[[nodiscard]] inline std::int64_t toMicroseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

/// \a us as a duration of at most an hour, in either direction.
[[nodiscard]] inline Duration fromMicroseconds(std::int64_t us)
{
    constexpr std::int64_t kMaxSpanUs = 3'600'000'000;
    return std::chrono::microseconds(std::clamp(us, -kMaxSpanUs, kMaxSpanUs));
}

template<typename TextId>
[[nodiscard]] TextId readId(capnp::Text::Reader text)
{
    return TextId(std::string_view(text.cStr(), text.size()));
}

} // namespace mimosahub
