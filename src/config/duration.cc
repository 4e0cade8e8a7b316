// Durations are whole numbers with a unit: a bare number would leave the unit
// to be guessed, and fractions would make two spellings of one value.

#include "config/duration.h"

#include <array>
#include <charconv>

namespace mimosahub
{

namespace
{

struct Unit {
    std::string_view name;
    Duration length;
};

// From the largest to the smallest, as formatDuration() tries them.
constexpr std::array kUnits = {
    Unit{"h", std::chrono::hours(1)},         Unit{"min", std::chrono::minutes(1)},
    Unit{"s", std::chrono::seconds(1)},       Unit{"ms", std::chrono::milliseconds(1)},
    Unit{"us", std::chrono::microseconds(1)},
};

constexpr Duration kLongest = std::chrono::hours(24 * 366);

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    std::int64_t count = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (ec != std::errc() || count < 0) {
        return std::nullopt;
    }
    const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const auto &unit : kUnits) {
        if (unit.name == suffix && count <= kLongest / unit.length) {
            return unit.length * count;
        }
    }
    return std::nullopt;
}

std::string formatDuration(Duration duration)
{
    for (const auto &unit : kUnits) {
        if (duration != Duration::zero() && duration % unit.length == Duration::zero()) {
            return std::to_string(duration / unit.length) + std::string(unit.name);
        }
    }
    return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(duration).count()) + "us";
}

} // namespace mimosahub
