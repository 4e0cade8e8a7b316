#pragma once

#include "config/problem.h"

#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace mimosahub
{

/// Largest document that is read, in bytes.
inline constexpr std::size_t kLargestDocument = 16U << 20U;

/// Parses JSON with comments and trailing commas. \a file is named in problems.
[[nodiscard]] Checked<boost::json::value> parseDocument(std::string_view file, std::string_view text);

/// Reads the whole of the file \a path.
[[nodiscard]] Checked<std::string> readTextFile(const std::string &path);

} // namespace mimosahub
