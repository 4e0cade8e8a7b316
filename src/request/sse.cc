// Parses line by line: fields accumulate until an empty line ends the event. Only a
// line that is split between reads is copied before it is parsed. Lines end in LF,
// CR or CR LF. A CR at the end of the bytes is remembered, so that the LF at the
// start of the next read isn't mistaken for an empty line.

#include "request/sse.h"

#include "mimosahub/error.h"

#include <algorithm>
#include <utility>

namespace mimosahub
{

namespace
{

void writeField(std::string_view name, std::string_view value, std::string &out)
{
    out.append(name).append(": ").append(value).append("\n");
}

/// Index of the first LF or CR, or the size of \a bytes.
std::size_t lineEnd(std::string_view bytes)
{
    const auto it = std::find_if(bytes.begin(), bytes.end(), [](char c) { return c == '\n' || c == '\r'; });
    return static_cast<std::size_t>(it - bytes.begin());
}

} // namespace

void writeSse(const SseEvent &event, std::string &out)
{
    if (!event.event.empty()) {
        writeField("event", event.event, out);
    }
    if (!event.id.empty()) {
        writeField("id", event.id, out);
    }
    std::string_view rest = event.data;
    for (auto n = rest.find('\n'); n != std::string_view::npos; n = rest.find('\n')) {
        writeField("data", rest.substr(0, n), out);
        rest.remove_prefix(n + 1);
    }
    writeField("data", rest, out);
    out.append("\n");
}

absl::Status SseParser::read(std::string_view bytes, std::vector<SseEvent> &events)
{
    while (!bytes.empty()) {
        const bool pairedLineFeed = std::exchange(m_afterCarriageReturn, false) && bytes.front() == '\n';
        if (pairedLineFeed) {
            bytes.remove_prefix(1);
            continue;
        }
        const auto end = lineEnd(bytes);
        const auto line = bytes.substr(0, end);
        const auto capacity = m_maxEventBytes - m_line.size() - m_event.data.size();
        if (line.size() > capacity) {
            m_line.append(line.substr(0, capacity));
            return errorAt(absl::StatusCode::kResourceExhausted, Step::Receive, "", "an event exceeds the size limit");
        }
        if (end == bytes.size()) {
            m_line.append(line);
            return absl::OkStatus();
        }
        m_afterCarriageReturn = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        if (m_line.empty()) {
            processLine(line, events);
        } else {
            m_line.append(line);
            processLine(m_line, events);
            m_line.clear();
        }
    }
    return absl::OkStatus();
}

void SseParser::processLine(std::string_view line, std::vector<SseEvent> &events)
{
    if (line.empty()) {
        if (m_hasData) {
            events.push_back(std::move(m_event));
        }
        m_event = SseEvent();
        m_hasData = false;
        m_hasFields = false;
        return;
    }
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (name.empty()) {
        return; // A comment, used as a keep-alive.
    }
    m_hasFields = true;
    if (name == "data") {
        if (m_hasData) {
            m_event.data.push_back('\n');
        }
        m_event.data.append(value);
        m_hasData = true;
    } else if (name == "event") {
        m_event.event = value;
    } else if (name == "id") {
        m_event.id = value;
    }
}

} // namespace mimosahub
