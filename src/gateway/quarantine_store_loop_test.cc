// The loop before a store that records what is written and answers no read.

#include "gateway/quarantine_store_loop.h"

#include "gateway/quarantine_document.h"

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

/// An append as the store got it.
struct Append {
    std::string key;
    std::optional<std::string> value;
    std::optional<StoreOffset> expectedEnd;
};

class RecordingStore : public KeyedStore
{
public:
    http::Awaitable<absl::StatusOr<KeyedPage>> newest(StoreTable /*table*/, std::string /*afterKey*/) override
    {
        boost::asio::steady_timer never(co_await boost::asio::this_coro::executor);
        co_await http::sleepOn(never);
        co_return absl::CancelledError("cancelled");
    }
    http::Awaitable<KeyedReadResult> read(StoreTable /*table*/, StoreOffset /*from*/, Duration /*wait*/) override
    {
        co_return absl::UnavailableError("no read comes so far");
    }
    http::Awaitable<AppendResult> append(StoreTable /*table*/, std::string key, std::optional<std::string> value,
                                         std::optional<StoreOffset> expectedEnd) override
    {
        appends.push_back({std::move(key), std::move(value), expectedEnd});
        co_return AppendResult::Appended;
    }

    std::vector<Append> appends;
};

class Listener : public KeyedFollower::Listener
{
public:
    void tableChanged(StoreTable /*table*/, std::vector<KeyedChange> /*changes*/, bool /*complete*/) override
    {
    }
    void storeReached(StoreTable /*table*/) override
    {
    }
    void storeFailed(StoreTable /*table*/, const absl::Status & /*status*/) override
    {
    }
};

struct Fixture {
    Fixture() : loop(io, clock, store, listener, random, [](const std::vector<Quarantine> & /*stored*/) {})
    {
    }
    ~Fixture()
    {
        loop.stop();
        io.poll();
    }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    /// Has the loop read a quarantine that changed \a age ago.
    void stored(const std::string &id, bool ended, Duration age)
    {
        Quarantine quarantine;
        quarantine.content = {ServiceId("engine"), id};
        quarantine.ended = ended;
        quarantine.since = clock.now() - age;
        quarantine.changedAt = clock.now() - age;
        KeyedChange change;
        change.key = quarantineKey(quarantine.content);
        change.value = writeQuarantineDocument(quarantine, clock);
        loop.takeChanges({change}, false);
    }
    void run()
    {
        loop.start();
        io.run_for(200ms);
    }
    /// Until a write that is due after two seconds.
    void runAgain()
    {
        for (int i = 0; i < 40 && store.appends.empty(); ++i) {
            io.run_for(100ms);
        }
    }

    boost::asio::io_context io{1};
    ManualClock clock{TimePoint(100h)};
    RecordingStore store;
    Listener listener;
    Random random{1};
    QuarantineStoreLoop loop;
};

} // namespace

// The store kept a record of each content that was ever quarantined.
Test(quarantine_store_loop, what_ended_long_ago_is_dropped)
{
    Fixture it;
    it.stored("long-ago", /*ended=*/true, 2h);
    it.stored("just-now", /*ended=*/true, 1min);
    it.stored("active", /*ended=*/false, 50h);
    it.run();
    cr_assert_eq(it.store.appends.size(), 1);
    const auto &append = it.store.appends.front();
    cr_expect_eq(append.key, quarantineKey({ServiceId("engine"), "long-ago"}));
    cr_expect(not append.value.has_value());
    cr_expect(append.expectedEnd.has_value(), "a quarantine that begins anew meanwhile must stay");
}

Test(quarantine_store_loop, daemons_take_turns_in_dropping)
{
    Fixture it;
    it.loop.setRank(40);
    it.stored("long-ago", /*ended=*/true, 1h + 1s);
    it.run();
    cr_expect(it.store.appends.empty());
}

Test(quarantine_store_loop, what_another_daemon_has_dropped_is_not_dropped_again)
{
    Fixture it;
    it.stored("long-ago", /*ended=*/true, 2h);
    KeyedChange dropped;
    dropped.key = quarantineKey({ServiceId("engine"), "long-ago"});
    it.loop.takeChanges({dropped}, false);
    it.run();
    cr_expect(it.store.appends.empty());
}

// The store came back from a copy without it; daemons that start later read it only there.
Test(quarantine_store_loop, what_the_store_has_lost_is_written_again)
{
    Fixture it;
    it.stored("dead", /*ended=*/false, 1min);
    KeyedChange lost;
    lost.key = quarantineKey({ServiceId("engine"), "dead"});
    lost.lapsed = true;
    lost.lost = true;
    it.loop.takeChanges({lost}, true);
    it.run();
    cr_expect(it.store.appends.empty(), "daemons take turns");
    it.clock.advance(3s);
    it.loop.setRank(0);
    it.loop.takeChanges({}, false);
    it.runAgain();
    cr_assert_eq(it.store.appends.size(), 1);
    cr_expect_eq(it.store.appends.front().key, lost.key);
    cr_expect(it.store.appends.front().value.has_value());
}
