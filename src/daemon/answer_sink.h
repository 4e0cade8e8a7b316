#pragma once

#include "daemon/caller_request.h"
#include "http/server.h"
#include "mimosahub/outcome.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace mimosahub
{

/// Carries a request's answer from its decisions to its caller's connection,
/// with back pressure.
class AnswerSink
{
public:
    explicit AnswerSink(boost::asio::io_context &io);

    /// Adds events of a streamed answer.
    void pushEvents(std::string_view events);
    /// Ends a streamed answer with its end mark.
    void finishStream();
    /// Ends a streamed answer with an error event.
    void failStream(const Refusal &refusal, const RequestId &id);
    /// Gives a whole answer, whose body \a memory holds, if not null.
    void finishWhole(http::Response response, std::shared_ptr<http::MemoryHold> memory = nullptr);

    /// Whether the caller reads too slowly to take more now.
    [[nodiscard]] bool full() const;
    /// Waits until there is room, or the caller has left.
    http::Awaitable<void> waitForRoom();
    /// The caller has left: nothing more is wanted.
    void close();

    /// Writes everything to \a exchange until the answer is complete. False if
    /// the caller left.
    http::Awaitable<bool> writeTo(http::Exchange &exchange, const RequestId &id);

private:
    enum class End {
        None,
        Whole,
        Stream,
    };

    boost::asio::steady_timer m_wake; ///< Wakes the writer.
    boost::asio::steady_timer m_room; ///< Wakes those who wait for room.
    std::string m_events;
    std::optional<http::Response> m_whole;
    std::shared_ptr<http::MemoryHold> m_memory; ///< Of m_whole.
    End m_end = End::None;
    bool m_closed = false;
};

/// The answer that carries \a refusal.
[[nodiscard]] http::Response refusalResponse(const Refusal &refusal, const RequestId &id);

} // namespace mimosahub
