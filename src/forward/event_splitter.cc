// An event ends with an empty line. Lines end with a line feed, with or without a
// carriage return before it; a carriage return alone, which the standard allows
// too, would only delay an event until the next line feed.

#include "forward/event_splitter.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

/// The position after the first event in \a text; npos if none is complete. The
/// search begins at \a from, which is set to where it continues once more has come.
std::size_t eventEnd(std::string_view text, std::size_t &from)
{
    while (true) {
        const auto feed = text.find('\n', from);
        if (feed == std::string_view::npos) {
            from = text.size();
            return feed;
        }
        auto next = feed + 1;
        if (next < text.size() && text[next] == '\r') {
            ++next;
        }
        if (next == text.size()) {
            from = feed;
            return std::string_view::npos;
        }
        if (text[next] == '\n') {
            from = next + 1;
            return from;
        }
        from = feed + 1;
    }
}

/// Whether a line of \a event begins like the head of an HTTP answer, as no field of an event does.
bool holdsAnswerHead(std::string_view event)
{
    constexpr std::string_view kLine = "\nHTTP/1.";
    return event.starts_with(kLine.substr(1)) || event.find(kLine) != std::string_view::npos;
}

/// The first line of \a text, which it is taken from: up to a line feed, a carriage return, or both.
std::string_view takeLine(std::string_view &text)
{
    const auto end = std::min(text.find_first_of("\r\n"), text.size());
    const auto line = text.substr(0, end);
    text.remove_prefix(end);
    text.remove_prefix(text.starts_with("\r\n") ? 2 : std::min<std::size_t>(1, text.size()));
    return line;
}

/// The value of \a line if it is one of the field \a name.
std::optional<std::string_view> fieldValue(std::string_view line, std::string_view name)
{
    if (!line.starts_with(name) || (line.size() > name.size() && line[name.size()] != ':')) {
        return std::nullopt;
    }
    line.remove_prefix(std::min(name.size() + 1, line.size()));
    line.remove_prefix(line.starts_with(' ') ? 1 : 0);
    return line;
}

/// Adds the id of \a event to \a ids, unless it holds neither an id nor data.
void recordEvent(std::string_view event, std::vector<std::optional<std::string>> &ids)
{
    std::optional<std::string> id;
    bool hasData = false;
    while (!event.empty()) {
        const auto line = takeLine(event);
        if (const auto value = fieldValue(line, "id")) {
            id = *value;
        }
        hasData = hasData || fieldValue(line, "data");
    }
    if (id || hasData) {
        ids.push_back(std::move(id));
    }
}

} // namespace

WholeEvents EventSplitter::take(std::string_view bytes)
{
    WholeEvents whole;
    if (m_tooLong || m_foreign) {
        return whole;
    }
    m_rest += bytes;
    std::size_t begin = 0;
    while (true) {
        const auto end = eventEnd(m_rest, m_searched);
        m_tooLong = std::min(end, m_rest.size()) - begin > m_maxEventBytes;
        if (end == std::string::npos || m_tooLong) {
            break;
        }
        const auto event = std::string_view(m_rest).substr(begin, end - begin);
        m_foreign = holdsAnswerHead(event);
        if (m_foreign) {
            break;
        }
        recordEvent(event, whole.ids);
        begin = end;
    }
    whole.bytes = m_rest.substr(0, begin);
    if (m_foreign) {
        // What follows isn't the stream's, however long: an endpoint may send it all in one read.
        m_rest.clear();
        m_searched = 0;
        return whole;
    }
    m_rest.erase(0, begin);
    m_searched -= begin;
    return whole;
}

} // namespace mimosahub
