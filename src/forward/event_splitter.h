#pragma once

#include <string>
#include <string_view>

namespace mimosahub
{

/// Splits a stream of server-sent events at event boundaries without changing a byte,
/// so that the forwarded stream never ends within an event.
class EventSplitter
{
public:
    EventSplitter() = default;
    /// Continues a stream after the event with id \a lastId.
    explicit EventSplitter(std::string lastId) : m_lastId(std::move(lastId))
    {
    }

    /// Appends \a bytes and returns all events that are now complete, unchanged.
    [[nodiscard]] std::string take(std::string_view bytes);
    /// The bytes of the last, incomplete event.
    [[nodiscard]] const std::string &rest() const
    {
        return m_rest;
    }
    /// Number of complete events so far.
    [[nodiscard]] std::size_t events() const
    {
        return m_events;
    }
    /// The id of the last complete event that had one; empty if none had.
    [[nodiscard]] const std::string &lastId() const
    {
        return m_lastId;
    }

private:
    void recordEvent(std::string_view event);

    std::string m_rest;
    std::string m_lastId;
    std::size_t m_events = 0;
};

} // namespace mimosahub
