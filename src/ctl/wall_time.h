#pragma once

#include "mimosahub/clock.h"

#include <optional>
#include <string>

namespace mimosahub::ctl
{

/// Reads "now", a delay such as "+30min", or a time such as "2026-12-05T06:00:00Z".
[[nodiscard]] std::optional<WallTime> parseWallTime(const std::string &text, WallTime now);

} // namespace mimosahub::ctl
