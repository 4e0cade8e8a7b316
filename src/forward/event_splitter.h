#pragma once

#include "forward/whole_events.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace mimosahub
{

/// Splits a stream of server-sent events at event boundaries without changing a byte,
/// so that the forwarded stream never ends within an event. It knows what was read of one answer, not
/// what its caller has got: that is StreamPosition.
class EventSplitter
{
public:
    static constexpr std::size_t kMaxEventBytes = std::size_t(1) << 20U;

    /// \a maxEventBytes bounds the memory that one event can take.
    explicit EventSplitter(std::size_t maxEventBytes = kMaxEventBytes) : m_maxEventBytes(maxEventBytes)
    {
    }

    /// Appends \a bytes and returns all events that are now complete, unchanged.
    /// Returns none from an event on that is too long or holds the head of an HTTP answer.
    [[nodiscard]] WholeEvents take(std::string_view bytes);
    /// Whether an event exceeded the limit: the stream can't be read on.
    [[nodiscard]] bool tooLong() const
    {
        return m_tooLong;
    }
    /// Whether the head of an HTTP answer came where an event was due: a faulty endpoint, or
    /// something before it, answers on a connection that carries a stream.
    [[nodiscard]] bool foreign() const
    {
        return m_foreign;
    }
    /// The bytes of the last, incomplete event; none once another answer's head has come.
    [[nodiscard]] const std::string &rest() const
    {
        return m_rest;
    }

private:
    std::size_t m_maxEventBytes = kMaxEventBytes;
    std::string m_rest;
    std::size_t m_searched = 0; ///< No event of the rest ends before this position.
    bool m_tooLong = false;
    bool m_foreign = false;
};

} // namespace mimosahub
