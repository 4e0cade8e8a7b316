#pragma once

#include <string>
#include <string_view>

namespace mimosahub
{

/// \a text with each byte that isn't part of valid UTF-8 replaced by U+FFFD.
/// JSON must be UTF-8, and headers and paths of callers can hold any bytes.
[[nodiscard]] std::string validUtf8(std::string_view text);

} // namespace mimosahub
