#pragma once

#include "forward/whole_events.h"

#include <cstddef>
#include <optional>
#include <string>

namespace mimosahub
{

/// How far the caller of a stream has got: the events that were passed on to it, from whichever
/// endpoints they came. A stream is resumed from here only; what was merely read of an endpoint moves nothing.
class StreamPosition
{
public:
    /// Longest id that a call can name, in bytes.
    static constexpr std::size_t kMaxIdBytes = 256;

    StreamPosition() = default;
    /// \a callersId: of the last event that the caller has from an earlier request, if any.
    explicit StreamPosition(std::optional<std::string> callersId) : m_lastId(std::move(callersId))
    {
    }

    /// Moves behind \a events, which the caller has got.
    void recordPassedOn(const WholeEvents &events);
    /// Whether an event was passed on.
    [[nodiscard]] bool begun() const
    {
        return m_begun;
    }
    /// Whether an endpoint can be told where to go on: the last event has an id that stands for it alone.
    [[nodiscard]] bool resumable() const
    {
        return !m_begun || m_lastId.has_value();
    }
    /// The id behind which the next endpoint is to go on; absent: it is to begin at the start.
    [[nodiscard]] const std::optional<std::string> &lastId() const
    {
        return m_lastId;
    }
    /// Whether \a events, the first of another endpoint's answer, go on here: none of them was passed on
    /// before, and none is left out. True where their ids don't tell.
    [[nodiscard]] bool isFollowedBy(const WholeEvents &events) const;

private:
    void recordEvent(const std::optional<std::string> &id);

    std::optional<std::string> m_lastId; ///< Of the last event, if it is fit to resume from.
    bool m_begun = false;
    bool m_repeats = false; ///< An id came twice in a row: ids don't tell events apart.
    int m_steps = 0; ///< Between numbered events.
    bool m_stepsByOne = true; ///< Each of these was by one.
};

} // namespace mimosahub
