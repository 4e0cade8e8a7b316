#include "forward/event_splitter.h"
#include "request/sse.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace mimosahub;

namespace
{

using Ids = std::vector<std::optional<std::string>>;

} // namespace

// For any split of the stream into reads, the bytes pass unchanged and in whole events
// only, each with the id that it was written with.
Test(event_splitter, passes_whole_events_unchanged)
{
    cr_assert(rc::check([] {
        std::string stream;
        Ids ids;
        const auto count = *rc::gen::inRange(0, 6);
        for (int i = 0; i < count; ++i) {
            SseEvent event;
            event.data = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab:\n ")));
            ids.emplace_back();
            if (*rc::gen::arbitrary<bool>()) {
                event.id = std::to_string(i);
                ids.back() = event.id;
            }
            writeSse(event, stream);
        }
        const std::string begun = "data: cut o";
        const auto whole = stream.size();
        stream += begun;
        EventSplitter splitter;
        std::string passed;
        Ids passedIds;
        for (std::size_t at = 0; at < stream.size();) {
            const auto n = *rc::gen::inRange<std::size_t>(1, stream.size() - at + 1);
            const auto events = splitter.take(std::string_view(stream).substr(at, n));
            passed += events.bytes;
            passedIds.insert(passedIds.end(), events.ids.begin(), events.ids.end());
            at += n;
        }
        RC_ASSERT(passed == stream.substr(0, whole));
        RC_ASSERT(splitter.rest() == begun);
        RC_ASSERT(passedIds == ids);
    }));
}

Test(event_splitter, accepts_carriage_returns_and_ids_without_a_space)
{
    EventSplitter splitter;
    const auto events = splitter.take("id:7\r\ndata: x\r\n\r\nid: 8");
    cr_assert(events.bytes == "id:7\r\ndata: x\r\n\r\n");
    cr_assert((events.ids == Ids{"7"}));
}

// An event without end took memory without bound, and each of its reads was
// searched from the event's begin.
Test(event_splitter, an_event_without_end_is_given_up_at_its_limit)
{
    constexpr std::size_t kLimit = std::size_t(1) << 20U;
    const std::string piece(1000, 'x');
    EventSplitter splitter;
    const auto first = splitter.take("id: 1\ndata: whole\n\n");
    cr_assert((first.bytes == "id: 1\ndata: whole\n\n" && first.ids == Ids{"1"}));
    std::size_t taken = 0;
    while (!splitter.tooLong() && taken < 2 * kLimit) {
        cr_assert(splitter.take(piece).empty());
        taken += piece.size();
    }
    cr_assert(taken > kLimit - piece.size() && taken <= kLimit + piece.size(), "%zu", taken);
    cr_assert(splitter.take("\n\n").empty());
    cr_assert(splitter.rest().size() <= kLimit + piece.size());
}

Test(event_splitter, many_events_in_one_read_are_not_too_long)
{
    std::string stream;
    for (int i = 0; i < 200'000; ++i) {
        stream += "data: token\n\n";
    }
    EventSplitter splitter;
    cr_assert(splitter.take(stream).bytes == stream);
    cr_assert_not(splitter.tooLong());
}

// A stream that ends inside an event has been broken off.
Test(event_splitter, a_stream_cut_at_any_byte_is_whole_only_between_events)
{
    const std::string first = "id: 1\ndata: a\n\n";
    const std::string stream = first + "id: 2\ndata: b\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventSplitter splitter;
        const auto whole = splitter.take(stream.substr(0, cut)).bytes;
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
        cr_expect_eq(events.bytes, "id: 1\ndata: a\n\nid: 2\ndata: HTTP/1.1 in words\n\n");
        cr_expect(splitter.foreign());
        cr_expect((events.ids == Ids{"1", "2"}));
        cr_expect(splitter.take("id: 4\ndata: b\n\n").empty());
    }
}

// Found by the fuzz target: all that came in the same read behind the head was kept.
Test(event_splitter, nothing_is_kept_of_what_follows_an_answer_s_head)
{
    constexpr std::size_t kLimit = 64;
    std::string bytes = "id: 1\ndata: a\n\nHTTP/1.1 500 x\r\n\r\n";
    bytes.append(4 * kLimit, 'x');
    EventSplitter splitter(kLimit);
    cr_expect_eq(splitter.take(bytes).bytes, "id: 1\ndata: a\n\n");
    cr_expect(splitter.foreign());
    cr_expect(splitter.rest().empty());
    cr_expect(splitter.take("data: b\n\n").empty());
    cr_expect(splitter.rest().empty());
}

// Only the events' own ids count: an event without one has none, and a line may end with a carriage return alone.
Test(event_splitter, ids_are_read_as_the_standard_says)
{
    EventSplitter splitter;
    const auto events = splitter.take("id: 1\ndata: a\n\n"
                                      ": comment\n\n"
                                      "data: b\n\n"
                                      "id\ndata: c\n\n"
                                      "idle: 4\ndata: d\n\n"
                                      "id: 5\rdata: e\r\n\n"
                                      "event: ping\n\n");
    cr_expect((events.ids == Ids{"1", std::nullopt, "", std::nullopt, "5"}));
}
