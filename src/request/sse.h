#pragma once

#include <absl/status/status.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahub
{

/// One server-sent event.
struct SseEvent {
    std::string event; ///< Empty means "message".
    std::string id; ///< Empty if the event carries none of its own.
    std::string data; ///< Lines are joined by "\n".

    friend bool operator==(const SseEvent &, const SseEvent &) = default;
};

/// Appends \a event to \a out in the wire format.
void writeSse(const SseEvent &event, std::string &out);

/// Reads server-sent events from bytes that are split anywhere.
class SseParser
{
public:
    /// \a maxEventBytes bounds the memory that one event can take.
    explicit SseParser(std::size_t maxEventBytes = std::size_t(1) << 20U) : m_maxEventBytes(maxEventBytes)
    {
    }

    /// Appends the events that \a bytes complete to \a events. Fails once an
    /// event exceeds the limit; the stream can't be read any further then.
    [[nodiscard]] absl::Status read(std::string_view bytes, std::vector<SseEvent> &events);

    /// True if an event was begun and not ended: at the end of the stream, its
    /// last event was cut off.
    [[nodiscard]] bool midEvent() const
    {
        return m_hasFields || !m_line.empty();
    }

private:
    void processLine(std::string_view line, std::vector<SseEvent> &events);

    std::size_t m_maxEventBytes;
    std::string m_line; ///< The begun line, without what the current read holds of it.
    SseEvent m_event;
    bool m_hasFields = false;
    bool m_hasData = false;
    bool m_afterCarriageReturn = false;
};

} // namespace mimosahub
