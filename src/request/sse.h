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
    std::string id; ///< Empty if the event has none.
    std::string data; ///< Its lines, joined by "\n".

    friend bool operator==(const SseEvent &, const SseEvent &) = default;
};

/// Appends \a event to \a out in the wire format.
void writeSse(const SseEvent &event, std::string &out);

/// Parses server-sent events from bytes that may be split anywhere.
class SseParser
{
public:
    /// \a maxEventBytes bounds the memory that one event can take.
    explicit SseParser(std::size_t maxEventBytes = std::size_t(1) << 20U) : m_maxEventBytes(maxEventBytes)
    {
    }

    /// Parses \a bytes and appends the events that they complete to \a events.
    /// Errors: ResourceExhausted if an event exceeds the limit; the stream can't be
    /// read any further then.
    [[nodiscard]] absl::Status read(std::string_view bytes, std::vector<SseEvent> &events);

    /// Whether an event has begun and not ended. At the end of the stream this means
    /// that the last event was truncated.
    [[nodiscard]] bool midEvent() const
    {
        return m_hasFields || !m_line.empty();
    }

    /// Bytes of the event that has not ended.
    [[nodiscard]] std::size_t bufferedBytes() const
    {
        return m_line.size() + m_event.data.size();
    }

private:
    void processLine(std::string_view line, std::vector<SseEvent> &events);

    std::size_t m_maxEventBytes;
    std::string m_line; ///< Start of the current line, from earlier reads; the rest is in the caller's bytes.
    SseEvent m_event;
    bool m_hasFields = false;
    bool m_hasData = false;
    bool m_afterCarriageReturn = false;
};

} // namespace mimosahub
