#pragma once

#include "mimosahub/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace mimosahub
{

/// The units that a duration may be written in.
inline constexpr std::string_view kDurationUnits = "us, ms, s, min or h";

/// Reads a whole number with a unit, for example "250ms". Absent if \a text has
/// another form or is above a year.
[[nodiscard]] std::optional<Duration> parseDuration(std::string_view text);

/// Writes \a duration in its largest unit without a remainder, for example "1500ms".
[[nodiscard]] std::string formatDuration(Duration duration);

} // namespace mimosahub
