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

} // namespace

std::string EventSplitter::take(std::string_view bytes)
{
    if (m_tooLong || m_foreign) {
        return {};
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
        recordEvent(event);
        begin = end;
    }
    std::string whole = m_rest.substr(0, begin);
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

void EventSplitter::recordEvent(std::string_view event)
{
    ++m_events;
    constexpr std::string_view kIdField = "id:";
    std::size_t begin = 0;
    while (begin < event.size()) {
        const auto end = event.find('\n', begin);
        auto line = event.substr(begin, end - begin);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.starts_with(kIdField)) {
            line.remove_prefix(kIdField.size());
            m_lastId = line.starts_with(' ') ? line.substr(1) : line;
        }
        begin = end == std::string_view::npos ? event.size() : end + 1;
    }
}

} // namespace mimosahub
