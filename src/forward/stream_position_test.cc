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
