// Ids are the endpoints' own texts.

#include "forward/stream_position.h"

#include <algorithm>
#include <string_view>

namespace mimosahub
{

namespace
{

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
    m_repeats = m_repeats || (m_begun && id && id == m_lastId);
    m_begun = true;
    m_lastId = id && isFit(*id) && !m_repeats ? id : std::nullopt;
}

} // namespace mimosahub
