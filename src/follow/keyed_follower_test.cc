// Runs a follower against an in-memory store with scripted responses.

#include "follow/keyed_follower.h"

#include <absl/status/status.h>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

class ScriptedStore : public KeyedStore
{
public:
    std::deque<absl::StatusOr<KeyedPage>> pages;
    std::deque<KeyedReadResult> runs;
    bool hangs = false; ///< The next read gets no response.
    Duration readTime{}; ///< Until a read gets its response.
    std::function<void()> onHang;
    std::vector<StoreOffset> readFrom;
    std::vector<std::string> pagesAfter; ///< The key that each page was read after.
    std::function<void()> onExhausted;

    http::Awaitable<absl::StatusOr<KeyedPage>> newest(StoreTable, std::string afterKey) override
    {
        pagesAfter.push_back(std::move(afterKey));
        co_return take(pages, absl::StatusOr<KeyedPage>(absl::UnavailableError("none")));
    }
    http::Awaitable<KeyedReadResult> read(StoreTable, StoreOffset from, Duration) override
    {
        readFrom.push_back(from);
        if (std::exchange(hangs, false)) {
            onHang();
            boost::asio::steady_timer never(co_await boost::asio::this_coro::executor);
            co_await http::sleepOn(never);
            co_return absl::CancelledError("cancelled");
        }
        if (readTime > Duration::zero()) {
            boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, readTime);
            co_await timer.async_wait(http::kTuple);
        }
        co_return take(runs, KeyedReadResult(absl::UnavailableError("none")));
    }
    http::Awaitable<AppendResult> append(StoreTable, std::string, std::optional<std::string>,
                                         std::optional<StoreOffset>) override
    {
        co_return AppendResult::Refused;
    }

private:
    template<typename T>
    T take(std::deque<T> &from, T otherwise)
    {
        if (from.empty()) {
            onExhausted();
            return otherwise;
        }
        auto it = std::move(from.front());
        from.pop_front();
        return it;
    }
};

struct Recorder : KeyedFollower::Listener {
    std::vector<std::string> events;

    void tableChanged(StoreTable, std::vector<KeyedChange> changes, bool complete) override
    {
        std::string text = complete ? "all:" : "changes:";
        for (const auto &change : changes) {
            text += " " + change.key + "=" + change.value.value_or("-");
        }
        events.push_back(text);
    }
    void storeReached(StoreTable) override
    {
        events.emplace_back("reached");
    }
    void storeFailed(StoreTable, const absl::Status &) override
    {
        events.emplace_back("failed");
    }
};

/// Runs a follower until the store has no scripted response left.
void runWith(ScriptedStore &store, Recorder &recorder)
{
    boost::asio::io_context io(1);
    Random random(1);
    KeyedFollowerOptions options;
    options.backoff = {1ms, 1.0, 1ms, 0.0};
    KeyedFollower follower(io, store, recorder, random, options);
    store.onExhausted = [&] { follower.stop(); };
    store.onHang = [&] { boost::asio::post(io, [&] { follower.restartRead(); }); };
    follower.start();
    io.run();
}

Recorder run(ScriptedStore &store)
{
    Recorder recorder;
    runWith(store, recorder);
    return recorder;
}

/// The response that the records before \a firstKept were dropped.
KeyedReadResult dropped(std::uint64_t firstKept)
{
    return KeyedRun{{}, StoreOffset(firstKept), true};
}

KeyedPage page(const std::string &key, const std::string &value, std::uint64_t offset, std::uint64_t end)
{
    return {{{key, value, StoreOffset(offset)}}, false, StoreOffset(end), key};
}

} // namespace

Test(keyed_follower, reports_a_successful_read_before_its_changes)
{
    ScriptedStore store;
    store.pages = {page("a", "1", 3, 4)};
    store.runs = {absl::UnavailableError("down"), KeyedRun{{{"a", "2", StoreOffset(4)}}, StoreOffset(5)}};
    const auto recorder = run(store);
    const std::vector<std::string> expected = {"reached", "all: a=1", "failed", "reached", "changes: a=2"};
    cr_assert(recorder.events == expected);
    cr_assert(store.readFrom.front() == StoreOffset(4));
}

Test(keyed_follower, reads_all_keys_again_after_a_gap)
{
    ScriptedStore store;
    store.pages = {page("a", "1", 3, 4), page("a", "9", 90, 91)};
    store.runs = {KeyedRun{{}, StoreOffset(4)}, dropped(90)};
    const auto recorder = run(store);
    const std::vector<std::string> expected = {"reached", "all: a=1", "reached", "reached", "all: a=9"};
    cr_assert(recorder.events == expected);
}

// The store dropped its history after the newest record in the pages. Reading the
// pages again brings no newer record, so the follower must continue at the first
// retained offset.
Test(keyed_follower, continues_at_the_first_retained_record_if_the_records_after_the_pages_were_dropped)
{
    ScriptedStore store;
    store.pages = {page("a", "1", 3, 40), page("a", "1", 3, 40)};
    store.runs = {dropped(40), KeyedRun{{{"a", "2", StoreOffset(40)}}, StoreOffset(41)}};
    const auto recorder = run(store);
    cr_assert_eq(store.readFrom.size(), 3);
    cr_assert(store.readFrom[0] == StoreOffset(4));
    cr_assert(store.readFrom[1] == StoreOffset(40));
    cr_assert(recorder.events.back() == "changes: a=2", "%s", recorder.events.back().c_str());
}

// A record was appended after the page was read and dropped before the follower
// could read it; only the pages still contain it. Seen on zhk-ops-grown, hunt-bd81-7.
Test(keyed_follower, reads_all_keys_again_if_records_after_the_pages_were_dropped)
{
    ScriptedStore store;
    store.pages = {page("a", "1", 3, 40), page("a", "9", 39, 40)};
    store.runs = {dropped(40), KeyedRun{{{"a", "10", StoreOffset(40)}}, StoreOffset(41)}};
    const auto recorder = run(store);
    const std::vector<std::string> expected = {"reached",  "all: a=1", "reached",
                                               "all: a=9", "reached",  "changes: a=10"};
    cr_assert(recorder.events == expected);
}

Test(keyed_follower, reports_the_changes_of_a_page_even_if_the_next_page_fails)
{
    ScriptedStore store;
    auto first = page("a", "1", 3, 4);
    first.more = true;
    store.pages = {first, absl::UnavailableError("down"), page("a", "1", 3, 4)};
    store.runs = {};
    const auto recorder = run(store);
    const std::vector<std::string> expected = {"failed", "changes: a=1", "reached", "all:"};
    cr_assert(recorder.events == expected);
}

// The store never responds to the read in flight, but responds to new calls.
Test(keyed_follower, a_read_without_response_can_be_cancelled)
{
    ScriptedStore store;
    store.pages = {page("a", "1", 3, 4)};
    store.runs = {KeyedRun{{{"a", "2", StoreOffset(4)}}, StoreOffset(5)}};
    store.hangs = true;
    const auto recorder = run(store);
    cr_assert(recorder.events.back() == "changes: a=2", "%s", recorder.events.back().c_str());
}

// An exception ended the loop without a sign: nothing was followed any more.
Test(keyed_follower, follows_on_after_a_listener_that_throws)
{
    struct ThrowingRecorder : Recorder {
        void tableChanged(StoreTable table, std::vector<KeyedChange> changes, bool complete) override
        {
            const bool isOdd = !changes.empty() && changes.front().key == "odd";
            Recorder::tableChanged(table, std::move(changes), complete);
            if (isOdd) {
                throw std::runtime_error("odd");
            }
        }
    };
    ScriptedStore store;
    // The second page lacks the odd key, so that its lapse throws, too.
    store.pages = {page("a", "1", 0, 1), page("a", "1", 0, 3), page("a", "1", 0, 3)};
    store.runs = {KeyedRun{{{"odd", "2", StoreOffset(1)}}, StoreOffset(2)},
                  KeyedRun{{{"b", "3", StoreOffset(3)}}, StoreOffset(4)}};
    ThrowingRecorder recorder;
    runWith(store, recorder);
    cr_assert(std::find(recorder.events.begin(), recorder.events.end(), "changes: b=3") != recorder.events.end());
}

// The keys on the pages behind such a page lapsed.
Test(keyed_follower, a_page_of_unreadable_items_is_not_the_end_of_the_table)
{
    ScriptedStore store;
    const KeyedPage odd = {{}, true, StoreOffset(91), "a"};
    store.pages = {page("b", "1", 3, 4), odd, page("b", "1", 3, 91)};
    store.runs = {dropped(90)};
    const auto recorder = run(store);
    const std::vector<std::string> expected = {"reached", "all: b=1", "reached", "all:"};
    cr_assert(recorder.events == expected);
    cr_assert(store.pagesAfter == (std::vector<std::string>{"", "", "a"}));
}

// The follower read the same page for ever and no new record.
Test(keyed_follower, follows_on_after_a_page_that_cannot_be_continued)
{
    auto repeated = page("b", "1", 3, 4);
    repeated.more = true;
    const KeyedPage keyless = {{}, true, StoreOffset(4), ""};
    for (const auto &odd : {repeated, keyless}) {
        ScriptedStore store;
        store.pages = {page("a", "1", 2, 3), odd, odd, odd};
        store.runs = {dropped(4), KeyedRun{{{"c", "2", StoreOffset(4)}}, StoreOffset(5)}};
        const auto recorder = run(store);
        const auto &events = recorder.events;
        cr_assert(std::find(events.begin(), events.end(), "changes: c=2") != events.end());
        const auto lapses = [](const std::string &event) { return event.find("a=-") != std::string::npos; };
        cr_assert(std::none_of(events.begin(), events.end(), lapses));
    }
}

// After a cut, word came each second that records were missing, and each time cancelled the read
// that it had caused: the follower was as many seconds behind as its waits were long.
Test(keyed_follower, a_restart_during_the_wait_after_a_failure_brings_the_next_read_forward)
{
    boost::asio::io_context io(1);
    Random random(1);
    ScriptedStore store;
    store.pages = {page("a", "1", 3, 4)};
    store.runs = {absl::UnavailableError("cut off"), KeyedRun{{{"a", "2", StoreOffset(4)}}, StoreOffset(5)}};
    store.readTime = 5ms;
    Recorder recorder;
    KeyedFollowerOptions options;
    options.backoff = {1h, 1.0, 1h, 0.0};
    KeyedFollower follower(io, store, recorder, random, options);
    store.onExhausted = [&] { follower.stop(); };
    follower.start();
    const auto reaches = [&](const std::string &event) {
        for (int i = 0; i < 100 && (recorder.events.empty() || recorder.events.back() != event); ++i) {
            io.run_for(20ms);
        }
        return recorder.events.back() == event;
    };
    cr_assert(reaches("failed"));
    follower.restartRead();
    cr_expect(reaches("changes: a=2"), "%s", recorder.events.back().c_str());
    follower.stop();
    io.run_for(100ms);
}

// The store came back from a copy and answers 410, which continues before the offset that was asked for.
Test(keyed_follower, reads_all_keys_again_in_a_new_era)
{
    const StoreEra era(1);
    ScriptedStore store;
    const KeyedPage copy = {{{"a", "1", StoreOffset(3, era)}}, false, StoreOffset(4, era), "a"};
    store.pages = {page("a", "1", 3, 40), copy};
    store.runs = {KeyedRun{{{"b", "2", StoreOffset(40)}}, StoreOffset(41)}, KeyedRun{{}, StoreOffset(0, era), true},
                  KeyedRun{{{"c", "3", StoreOffset(4, era)}}, StoreOffset(5, era)}};
    const auto recorder = run(store);
    const std::vector<std::string> expected = {"reached", "all: a=1", "reached", "changes: b=2",
                                               "reached", "all: b=-", "reached", "changes: c=3"};
    cr_assert(recorder.events == expected);
    cr_assert(store.readFrom[2] == StoreOffset(4, era));
}

// The copy is still short: the store has fewer records than it said.
Test(keyed_follower, recovers_from_a_position_that_a_store_with_eras_does_not_have)
{
    const StoreEra era(1);
    ScriptedStore store;
    const auto copy = [&](std::uint64_t offset) {
        return KeyedPage{{{"a", "1", StoreOffset(offset, era)}}, false, StoreOffset(offset + 1, era), "a"};
    };
    store.pages = {copy(3), copy(1)};
    store.runs = {KeyedRun{{}, StoreOffset(0, era), true},
                  KeyedRun{{{"c", "3", StoreOffset(2, era)}}, StoreOffset(3, era)}};
    const auto recorder = run(store);
    cr_assert(recorder.events.back() == "changes: c=3", "%s", recorder.events.back().c_str());
}

// A page of the era before arrives after another table met the new one: it must not be applied.
Test(keyed_follower, drops_a_page_of_an_earlier_era)
{
    const StoreEra era(2);
    ScriptedStore store;
    const KeyedPage late = {{{"a", "7", StoreOffset(9, StoreEra(1))}}, false, StoreOffset(10, StoreEra(1)), "a"};
    const KeyedPage sound = {{{"a", "8", StoreOffset(3, era)}}, false, StoreOffset(4, era), "a"};
    store.pages = {page("a", "1", 3, 4), late, sound};
    store.runs = {KeyedRun{{}, StoreOffset(0, era), true}};
    const auto recorder = run(store);
    const std::vector<std::string> expected = {"reached", "all: a=1", "changes:", "failed", "reached", "all: a=8"};
    cr_assert(recorder.events == expected);
}

// The read in flight waits for a record that the store no longer has: it would end only with its wait.
Test(keyed_follower, a_waiting_read_ends_when_another_table_meets_a_new_era)
{
    const StoreEra era(1);
    boost::asio::io_context io(1);
    Random random(1);
    ScriptedStore store;
    store.pages = {page("a", "1", 3, 4), KeyedPage{{{"a", "2", StoreOffset(3, era)}}, false, StoreOffset(4, era), "a"}};
    store.hangs = true;
    Recorder recorder;
    KeyedFollower follower(io, store, recorder, random, {});
    store.onExhausted = [&] { follower.stop(); };
    store.onHang = [&] { boost::asio::post(io, [&] { follower.learnEra(era); }); };
    follower.start();
    io.run_for(2s);
    const std::vector<std::string> expected = {"reached", "all: a=1", "reached", "all: a=2"};
    cr_assert(recorder.events.size() >= expected.size());
    cr_assert(std::vector(recorder.events.begin(), recorder.events.begin() + 4) == expected);
    follower.learnEra(era); // No news.
    cr_assert(follower.next().era() == era);
}
