#include "forward/event_splitter.h"
#include "forward/stream_position.h"

#include <criterion/criterion.h>

using namespace mimosahub;

namespace
{

WholeEvents eventsOf(std::vector<std::optional<std::string>> ids)
{
    return {"events", std::move(ids)};
}

StreamPosition behind(std::vector<std::optional<std::string>> ids)
{
    StreamPosition position;
    position.recordPassedOn(eventsOf(std::move(ids)));
    return position;
}

} // namespace

// Guards against a resumption behind events that were read and not passed on.
Test(stream_position, reading_events_moves_nothing)
{
    EventSplitter splitter;
    StreamPosition position;
    const auto first = splitter.take("id: 1\ndata: a\n\n");
    position.recordPassedOn(first);
    const auto second = splitter.take("id: 2\ndata: b\n\n");
    cr_expect(second.ids.size() == 1 && position.lastId() == "1");
    position.recordPassedOn(second);
    cr_expect(position.lastId() == "2");
}

// Guards against events that come twice: an endpoint asked for what follows an earlier id makes them again.
Test(stream_position, a_stream_whose_last_event_has_no_id_of_its_own_is_not_resumed)
{
    cr_expect(StreamPosition().resumable());
    cr_expect(behind({"1", "2"}).resumable());
    cr_expect(!behind({"1", std::nullopt}).resumable());
    cr_expect(!behind({"1", ""}).resumable());
    cr_expect(!behind({"1", "1"}).resumable());
    cr_expect(!behind({"1", "1", "2"}).resumable(), "ids don't tell events apart");
    cr_expect(!behind({std::string(StreamPosition::kMaxIdBytes + 1, '1')}).resumable());
    cr_expect(!behind({"1\n2"}).resumable());
    cr_expect(behind({std::nullopt, "2"}).resumable());
}

// A caller that goes on with an earlier stream gets its own id's successors from a second endpoint too.
Test(stream_position, a_caller_s_own_id_holds_until_an_event_is_passed_on)
{
    StreamPosition position("7");
    cr_expect(!position.begun() && position.resumable() && position.lastId() == "7");
    cr_expect(!position.isFollowedBy(eventsOf({"7"})) && !position.isFollowedBy(eventsOf({"1"})));
    cr_expect(position.isFollowedBy(eventsOf({"8"})) && position.isFollowedBy(eventsOf({"12"})));
    position.recordPassedOn(eventsOf({"8"}));
    cr_expect(position.begun() && position.lastId() == "8");
}

// Endpoints that begin again, or leave events out, are faulty: what they send doesn't continue the stream.
Test(stream_position, an_answer_that_repeats_or_leaves_out_an_event_does_not_follow)
{
    const auto numbered = behind({"1", "2", "3"});
    cr_expect(numbered.isFollowedBy(eventsOf({"4"})));
    cr_expect(numbered.isFollowedBy(eventsOf({})));
    cr_expect(numbered.isFollowedBy(eventsOf({std::nullopt})));
    cr_expect(numbered.isFollowedBy(eventsOf({"x"})));
    cr_expect(!numbered.isFollowedBy(eventsOf({"3", "4"})));
    cr_expect(!numbered.isFollowedBy(eventsOf({"1"})));
    cr_expect(!numbered.isFollowedBy(eventsOf({"5"})));
    const auto spaced = behind({"5", "10"});
    cr_expect(spaced.isFollowedBy(eventsOf({"15"})) && spaced.isFollowedBy(eventsOf({"11"})));
    cr_expect(!spaced.isFollowedBy(eventsOf({"10"})));
    const auto named = behind({"a", "b"});
    cr_expect(named.isFollowedBy(eventsOf({"c"})) && !named.isFollowedBy(eventsOf({"b"})));
}
