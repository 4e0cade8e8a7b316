#pragma once

#include <string>
#include <string_view>

namespace mimosahub
{

/// Splits a stream of server-sent events into whole events without changing a
/// byte, so that what is passed on never ends within an event.
class EventSplitter
{
public:
    EventSplitter() = default;
    /// Goes on behind the event with id \a lastId.
    explicit EventSplitter(std::string lastId) : m_lastId(std::move(lastId))
    {
    }

    /// Takes \a bytes and returns all whole events that they complete, as they came.
    [[nodiscard]] std::string take(std::string_view bytes);
    /// The bytes of an event that was begun and not completed.
    [[nodiscard]] const std::string &rest() const
    {
        return m_rest;
    }
    /// Whole events taken so far.
    [[nodiscard]] std::size_t events() const
    {
        return m_events;
    }
    /// The id of the last whole event that had one; empty if none had.
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
