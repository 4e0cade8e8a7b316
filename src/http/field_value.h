#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace mimosahub::http
{

inline constexpr std::size_t kMaxFieldValueBytes = 4096; ///< Far below what one field may hold.

/// Whether \a text can be sent as a header's value: not empty, not too long, and
/// without control characters, of which a line break would begin another header.
[[nodiscard]] inline bool isFieldValue(std::string_view text)
{
    const auto isControl = [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; };
    return !text.empty() && text.size() <= kMaxFieldValueBytes && std::none_of(text.begin(), text.end(), isControl);
}

} // namespace mimosahub::http
