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
