#include "forward/event_splitter.h"
#include "request/sse.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace mimosahub;

// For any split of the stream into reads, the bytes pass unchanged and in whole events
// only, and the last id is the one that a full parser reads.
Test(event_splitter, passes_whole_events_unchanged)
{
    cr_assert(rc::check([] {
        std::string stream;
        std::string lastId;
        const auto count = *rc::gen::inRange(0, 6);
        for (int i = 0; i < count; ++i) {
            SseEvent event;
            event.data = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab:\n ")));
            if (*rc::gen::arbitrary<bool>()) {
                event.id = std::to_string(i);
                lastId = event.id;
            }
            writeSse(event, stream);
        }
        const std::string begun = "data: cut o";
        const auto whole = stream.size();
        stream += begun;
        EventSplitter splitter;
        std::string passed;
        for (std::size_t at = 0; at < stream.size();) {
            const auto n = *rc::gen::inRange<std::size_t>(1, stream.size() - at + 1);
            passed += splitter.take(std::string_view(stream).substr(at, n));
            at += n;
        }
        RC_ASSERT(passed == stream.substr(0, whole));
        RC_ASSERT(splitter.rest() == begun);
        RC_ASSERT(splitter.lastId() == lastId);
        RC_ASSERT(splitter.events() == static_cast<std::size_t>(count));
    }));
}

Test(event_splitter, accepts_carriage_returns_and_ids_without_a_space)
{
    EventSplitter splitter;
    cr_assert(splitter.take("id:7\r\ndata: x\r\n\r\nid: 8") == "id:7\r\ndata: x\r\n\r\n");
    cr_assert(splitter.lastId() == "7");
}

// An event without end took memory without bound, and each of its reads was
// searched from the event's begin.
Test(event_splitter, an_event_without_end_is_given_up_at_its_limit)
{
    constexpr std::size_t kLimit = std::size_t(1) << 20U;
    const std::string piece(1000, 'x');
    EventSplitter splitter;
    cr_assert(splitter.take("id: 1\ndata: whole\n\n") == "id: 1\ndata: whole\n\n");
    std::size_t taken = 0;
    while (!splitter.tooLong() && taken < 2 * kLimit) {
        cr_assert(splitter.take(piece).empty());
        taken += piece.size();
    }
    cr_assert(taken > kLimit - piece.size() && taken <= kLimit + piece.size(), "%zu", taken);
    cr_assert(splitter.take("\n\n").empty());
    cr_assert(splitter.rest().size() <= kLimit + piece.size() && splitter.lastId() == "1");
}

Test(event_splitter, many_events_in_one_read_are_not_too_long)
{
    std::string stream;
    for (int i = 0; i < 200'000; ++i) {
        stream += "data: token\n\n";
    }
    EventSplitter splitter;
    cr_assert(splitter.take(stream) == stream);
    cr_assert_not(splitter.tooLong());
}

// A stream that ends inside an event has been broken off.
Test(event_splitter, a_stream_cut_at_any_byte_is_whole_only_between_events)
{
    const std::string first = "id: 1\ndata: a\n\n";
    const std::string stream = first + "id: 2\ndata: b\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventSplitter splitter;
        const auto whole = splitter.take(stream.substr(0, cut));
        const bool between = cut == 0 || cut == first.size() || cut == stream.size();
        cr_expect(splitter.rest().empty() == between, "cut after %zu bytes", cut);
        cr_expect_eq(whole, cut < first.size() ? "" : cut < stream.size() ? first : stream);
    }
}

// Bytes of another answer on the connection of a stream are no event.
Test(event_splitter, an_answer_s_head_within_a_stream_is_not_passed_on)
{
    for (const auto *text :
         {"HTTP/1.1 500 x\r\nContent-Type: text/plain\r\n\r\n", "id: 3\nHTTP/1.0 503 Service Unavailable\r\n\r\n"}) {
        EventSplitter splitter;
        const auto events = splitter.take(std::string("id: 1\ndata: a\n\nid: 2\ndata: HTTP/1.1 in words\n\n") + text);
        cr_expect_eq(events, "id: 1\ndata: a\n\nid: 2\ndata: HTTP/1.1 in words\n\n");
        cr_expect(splitter.foreign());
        cr_expect_eq(splitter.lastId(), "2");
        cr_expect_eq(splitter.events(), 2);
        cr_expect(splitter.take("id: 4\ndata: b\n\n").empty());
    }
}

// Found by the fuzz target: all that came in the same read behind the head was kept.
Test(event_splitter, nothing_is_kept_of_what_follows_an_answer_s_head)
{
    constexpr std::size_t kLimit = 64;
    std::string bytes = "id: 1\ndata: a\n\nHTTP/1.1 500 x\r\n\r\n";
    bytes.append(4 * kLimit, 'x');
    EventSplitter splitter({}, kLimit);
    cr_expect_eq(splitter.take(bytes), "id: 1\ndata: a\n\n");
    cr_expect(splitter.foreign());
    cr_expect(splitter.rest().empty());
    cr_expect(splitter.take("data: b\n\n").empty());
    cr_expect(splitter.rest().empty());
}
