#pragma once

#include <span>
#include <string>
#include <string_view>

namespace mimosahub
{

/// Levenshtein distance of \a a and \a b in bytes.
[[nodiscard]] std::size_t editDistance(std::string_view a, std::string_view b);

/// The candidate that \a name was most likely meant to be, or an empty text if
/// none is near.
[[nodiscard]] std::string nearestName(std::string_view name, std::span<const std::string> candidates);

} // namespace mimosahub
