// Two things are told apart: what was read of an endpoint's answer (EventSplitter, which ends with the answer)
// and what the caller has got (StreamPosition, which goes on over all answers). Only the second is resumed from.

#include "gateway/forwarded_stream.h"

#include "forward/event_splitter.h"

#include <absl/strings/str_cat.h>

namespace mimosahub
{

namespace
{

SendLoss lossOf(const absl::Status &status)
{
    return absl::IsDeadlineExceeded(status) ? SendLoss::Silence : SendLoss::BrokenOff;
}

} // namespace

http::Awaitable<StreamEnd> ForwardedStream::relay(StreamSource &source, StreamSink &sink)
{
    // What an earlier endpoint had begun of an event comes again as a whole.
    EventSplitter splitter;
    beginAnswer();
    const AnswerMemory::Reading reading(m_memory, [&source] { source.close(); });
    for (bool ended = false; !ended;) {
        if (!co_await awaitRoom(source, splitter.rest().size())) {
            source.close();
            co_return lost(SendLoss::NoMemory, "there is no memory for the next event");
        }
        const auto data = co_await source.read();
        if (!data.ok()) {
            const auto loss = m_memory.streamEnded() ? SendLoss::NoMemory : lossOf(data.status());
            co_return lost(loss, std::string_view(data.status().message().data(), data.status().message().size()));
        }
        ended = data->empty();
        const auto events = splitter.take(*data);
        m_memory.holdEvents(events.bytes.size() + splitter.rest().size());
        if (auto end = co_await passOn(events, sink); end.loss != SendLoss::None) {
            source.close();
            co_return end;
        }
        if (splitter.tooLong() || splitter.foreign()) {
            source.close();
            co_return lost(SendLoss::BrokenOff, "the next event is too long or another answer");
        }
    }
    if (!splitter.rest().empty()) {
        source.close();
        co_return lost(SendLoss::BrokenOff, "the stream ended within an event");
    }
    if (!m_begun) {
        m_begun = true;
        if (!co_await sink.start()) {
            co_return lost(SendLoss::CallerGone, "the caller doesn't read");
        }
    }
    co_await sink.finish();
    co_return StreamEnd{SendLoss::None, absl::StrCat(m_eventsOfAnswer, " events")};
}

/// Doesn't read on until there is room for the rest of an event of which \a unfinished bytes have come.
http::Awaitable<bool> ForwardedStream::awaitRoom(StreamSource &source, std::uint64_t unfinished)
{
    if (m_memory.tryTakeRoom(unfinished)) {
        co_return true;
    }
    if (m_memory.streamEnded()) {
        co_return false;
    }
    const auto begin = m_memory.clock().now();
    m_observer.pauseBegan();
    const bool goesOn = co_await m_memory.waitForRoom(unfinished, source.left());
    m_observer.pauseEnded(m_memory.clock().now() - begin, goesOn);
    co_return goesOn;
}

http::Awaitable<StreamEnd> ForwardedStream::passOn(const WholeEvents &events, StreamSink &sink)
{
    if (events.empty()) {
        co_return StreamEnd();
    }
    if (m_eventsOfAnswer == 0 && !m_position.isFollowedBy(events)) {
        co_return lost(SendLoss::BrokenOff, "the answer doesn't go on behind the event that it was to follow");
    }
    m_eventsOfAnswer += events.ids.size();
    m_observer.eventsCame();
    const AnswerMemory::Writing writing(m_memory);
    if (!m_begun) {
        m_begun = true;
        if (!co_await sink.start()) {
            co_return lost(SendLoss::CallerGone, "the caller doesn't read");
        }
    }
    if (!co_await sink.write(events.bytes)) {
        co_return lost(SendLoss::CallerGone, "the caller doesn't read");
    }
    m_position.recordPassedOn(events);
    co_return StreamEnd();
}

StreamEnd ForwardedStream::lost(SendLoss loss, std::string_view why) const
{
    return {loss, absl::StrCat("after ", m_eventsOfAnswer, " events: ", std::string(why))};
}

} // namespace mimosahub
