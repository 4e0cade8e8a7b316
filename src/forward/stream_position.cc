// Ids are the endpoints' own texts. Where they are numbers they also tell whether a resumed answer
// repeats an event; whether it leaves one out only if all before were numbered without gaps.

#include "forward/stream_position.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace mimosahub
{

namespace
{

std::optional<std::uint64_t> numberOf(const std::optional<std::string> &id)
{
    if (!id) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const auto *end = id->data() + id->size();
    const auto [last, ec] = std::from_chars(id->data(), end, number);
    return ec == std::errc() && last == end ? std::optional(number) : std::nullopt;
}

/// Whether a header of a call can carry \a id.
bool isFit(std::string_view id)
{
    constexpr char kFirstPrintable = ' ';
    constexpr char kDelete = 0x7f;
    const auto isControl = [](char c) { return (c >= 0 && c < kFirstPrintable) || c == kDelete; };
    return !id.empty() && id.size() <= StreamPosition::kMaxIdBytes && std::none_of(id.begin(), id.end(), isControl);
}

} // namespace

void StreamPosition::recordPassedOn(const WholeEvents &events)
{
    for (const auto &id : events.ids) {
        recordEvent(id);
    }
}

void StreamPosition::recordEvent(const std::optional<std::string> &id)
{
    const auto before = numberOf(m_lastId);
    const auto now = numberOf(id);
    if (m_begun && before && now) {
        ++m_steps;
        m_stepsByOne = m_stepsByOne && *now == *before + 1;
    }
    m_repeats = m_repeats || (m_begun && id && id == m_lastId);
    m_begun = true;
    m_lastId = id && isFit(*id) && !m_repeats ? id : std::nullopt;
}

bool StreamPosition::isFollowedBy(const WholeEvents &events) const
{
    if (!m_lastId || events.ids.empty() || !events.ids.front()) {
        return true;
    }
    const auto &next = events.ids.front();
    const auto last = numberOf(m_lastId);
    const auto number = numberOf(next);
    if (!last || !number) {
        return next != m_lastId;
    }
    const bool leavesOut = m_steps > 0 && m_stepsByOne && *number > *last + 1;
    return *number > *last && !leavesOut;
}

} // namespace mimosahub
