#pragma once

#include "forward/retry_obstacle.h"
#include "forward/stream_position.h"
#include "gateway/answer_memory.h"
#include "http/awaitable.h"
#include "mimosahub/clock.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mimosahub
{

/// The stream of one endpoint's answer.
class StreamSource
{
public:
    virtual ~StreamSource() = default;
    /// Reads what has come next, or empty at the end of the answer. Errors: DeadlineExceeded if the endpoint
    /// stayed silent and is given up; any other if the answer broke off.
    virtual http::Awaitable<absl::StatusOr<std::string>> read() = 0;
    /// Gives the answer up: the endpoint sees the connection closed.
    virtual void close() = 0;
    /// Time until the request is given up.
    [[nodiscard]] virtual Duration left() const = 0;
};

/// The caller's side of a stream.
class StreamSink
{
public:
    virtual ~StreamSink() = default;
    /// Writes the header; false if the caller has left, as below.
    virtual http::Awaitable<bool> start() = 0;
    virtual http::Awaitable<bool> write(std::string_view events) = 0;
    virtual http::Awaitable<void> finish() = 0;
};

/// Is told how a stream goes on.
class StreamObserver
{
public:
    virtual ~StreamObserver() = default;
    /// Whole events were read and are passed on next.
    virtual void eventsCame() = 0;
    /// The stream is not read on, since there is no memory for the rest of an event.
    virtual void pauseBegan() = 0;
    /// After \a paused; \a goesOn: there is room now. Otherwise the stream is given up.
    virtual void pauseEnded(Duration paused, bool goesOn) = 0;
};

/// How the answer of one endpoint to a streamed request ended.
struct StreamEnd {
    SendLoss loss = SendLoss::None; ///< None: it came whole, and the caller has got its end.
    std::string why; ///< For the log.
};

/// The stream that one caller gets, from one endpoint after the other. Passes on whole events only, all that
/// were read, each once and in order; a further endpoint goes on behind the last event that was passed on.
/// The stream ends as complete only with an answer that came whole.
class ForwardedStream
{
public:
    /// Both must outlive this object.
    ForwardedStream(AnswerMemory &memory, StreamObserver &observer) : m_memory(memory), m_observer(observer)
    {
    }

    /// The caller has got the events up to \a id from an earlier request, and wants those behind it.
    void beginBehind(std::string id)
    {
        m_position = StreamPosition(std::move(id));
    }
    /// The request is sent to another endpoint: none of its events has come.
    void beginAnswer()
    {
        m_eventsOfAnswer = 0;
    }
    /// Passes on the events of \a source to \a sink. The header goes out with the first event: until then
    /// another endpoint may still answer.
    http::Awaitable<StreamEnd> relay(StreamSource &source, StreamSink &sink);
    /// The caller has got the header.
    [[nodiscard]] bool begun() const
    {
        return m_begun;
    }
    [[nodiscard]] const StreamPosition &position() const
    {
        return m_position;
    }
    /// Events that the last endpoint has sent.
    [[nodiscard]] std::size_t eventsOfAnswer() const
    {
        return m_eventsOfAnswer;
    }

private:
    http::Awaitable<bool> awaitRoom(StreamSource &source, std::uint64_t unfinished);
    http::Awaitable<StreamEnd> passOn(const WholeEvents &events, StreamSink &sink);
    [[nodiscard]] StreamEnd lost(SendLoss loss, std::string_view why) const;

    AnswerMemory &m_memory;
    StreamObserver &m_observer;
    StreamPosition m_position;
    std::size_t m_eventsOfAnswer = 0;
    bool m_begun = false;
};

} // namespace mimosahub
