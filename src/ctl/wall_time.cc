// Times are UTC only: operators, daemons and the log sit in several time zones,
// and a due time must not shift with the shell that it was typed in.

#include "ctl/wall_time.h"

#include "config/duration.h"

#include <chrono>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace mimosahub::ctl
{

std::optional<WallTime> parseWallTime(const std::string &text, WallTime now)
{
    if (text == "now") {
        return now;
    }
    if (text.starts_with('+')) {
        const auto delay = parseDuration(std::string_view(text).substr(1));
        return delay ? std::optional(now + std::chrono::duration_cast<std::chrono::milliseconds>(*delay))
                     : std::nullopt;
    }
    std::tm parts{};
    std::istringstream in(text);
    in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    if (!in || in.peek() != std::istringstream::traits_type::eof()) {
        return std::nullopt;
    }
    const auto day = std::chrono::year(parts.tm_year + 1900) / (parts.tm_mon + 1) / parts.tm_mday;
    if (!day.ok()) {
        return std::nullopt;
    }
    return WallTime(std::chrono::sys_days(day)) + std::chrono::hours(parts.tm_hour) + std::chrono::minutes(parts.tm_min)
        + std::chrono::seconds(parts.tm_sec);
}

} // namespace mimosahub::ctl
