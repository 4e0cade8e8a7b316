#include "request/sse.h"
#include "request/stream_relay.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>
#include <numeric>

using namespace mimosahub;

namespace
{

using Tokens = std::vector<int>;

// Splits \a text at random positions.
std::vector<std::string> pieces(const std::string &text)
{
    std::vector<std::string> result;
    for (std::size_t at = 0; at < text.size();) {
        const auto n = *rc::gen::inRange<std::size_t>(1, text.size() - at + 1);
        result.push_back(text.substr(at, n));
        at += n;
    }
    return result;
}

} // namespace

// The engine is interrupted and resumed at random offsets, starts over, skips tokens
// or ends early. The forwarded tokens must always be a prefix of the true stream, and
// all of it if the stream is reported complete.
Test(stream_relay, forwards_a_prefix_and_completes_only_with_all_tokens)
{
    cr_assert(rc::check([](const Tokens &truth) {
        StreamRelay relay;
        Tokens passed;
        for (int i = 0; i < 20 && !relay.complete(); ++i) {
            const auto from = *rc::gen::inRange<std::size_t>(0, truth.size() + 1);
            const auto to = *rc::gen::inRange<std::size_t>(from, truth.size() + 1);
            const auto before = relay.next();
            const auto step = relay.take(from, to - from, to == truth.size());
            if (step.action == RelayAction::Broken) {
                RC_ASSERT(from > before);
                continue;
            }
            RC_ASSERT(from <= before);
            passed.insert(passed.end(), truth.begin() + static_cast<std::ptrdiff_t>(step.offset),
                          truth.begin() + static_cast<std::ptrdiff_t>(step.offset + step.count));
            RC_ASSERT(std::equal(passed.begin(), passed.end(), truth.begin()));
            RC_ASSERT(relay.next() == passed.size());
            RC_ASSERT((step.action == RelayAction::Complete) == (to == truth.size()));
        }
        RC_ASSERT(!relay.complete() || passed == truth);
    }));
}

Test(stream_relay, an_end_before_a_forwarded_token_is_broken)
{
    StreamRelay relay;
    cr_assert(relay.take(0, 5, false).action == RelayAction::Relay);
    cr_assert(relay.take(0, 4, true).action == RelayAction::Broken);
    cr_assert(!relay.complete());
}

Test(sse, any_split_gives_the_events_that_were_written)
{
    cr_assert(rc::check([] {
        const auto text = rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab: \nd")));
        const auto name = rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab:")));
        const auto written = *rc::gen::container<std::vector<SseEvent>>(
            rc::gen::build<SseEvent>(rc::gen::set(&SseEvent::event, name), rc::gen::set(&SseEvent::id, name),
                                     rc::gen::set(&SseEvent::data, text)));
        std::string wire;
        for (const auto &event : written) {
            wire += *rc::gen::element<std::string>("", ": keep-alive\n");
            writeSse(event, wire);
        }
        const bool cutOff = !wire.empty() && *rc::gen::arbitrary<bool>();
        const auto end = *rc::gen::element<std::string>("\n", "\r\n", "\r");
        std::string sent;
        for (const char c : wire) {
            sent += c == '\n' ? end : std::string(1, c);
        }
        if (cutOff) {
            sent.resize(sent.size() - end.size());
        }
        SseParser parser;
        std::vector<SseEvent> events;
        for (const auto &piece : pieces(sent)) {
            RC_ASSERT(parser.read(piece, events).ok());
        }
        RC_ASSERT(parser.midEvent() == cutOff);
        const auto whole = cutOff ? written.size() - 1 : written.size();
        RC_ASSERT(events
                  == std::vector<SseEvent>(written.begin(), written.begin() + static_cast<std::ptrdiff_t>(whole)));
    }));
}

Test(sse, an_oversized_event_is_refused)
{
    SseParser parser(16);
    std::vector<SseEvent> events;
    cr_assert(parser.read("data: 123\ndata: 456\n\n", events).ok());
    const auto status = parser.read("data: 123456\ndata: 123456\n", events);
    cr_assert(status.code() == absl::StatusCode::kResourceExhausted);
}

Test(sse, an_oversized_event_leaves_the_same_state_however_it_is_split)
{
    const std::string_view text = "data: 1\n\ndata: 12345678901234567890";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        SseParser parser(16);
        std::vector<SseEvent> events;
        auto status = absl::OkStatus();
        for (std::size_t at = 0; at < text.size() && status.ok(); at += piece) {
            status = parser.read(text.substr(at, piece), events);
        }
        cr_assert(status.code() == absl::StatusCode::kResourceExhausted, "pieces of %zu", piece);
        cr_assert(events == std::vector<SseEvent>({{"", "", "1"}}), "pieces of %zu", piece);
        cr_assert(parser.midEvent(), "pieces of %zu", piece);
    }
}
