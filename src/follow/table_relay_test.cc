#include "follow/keyed_table.h"
#include "follow/table_relay.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const TimePoint kStart(1h);

KeyedRun runOf(std::vector<KeyedRecord> records, std::uint64_t next)
{
    return {std::move(records), StoreOffset(next), false, std::nullopt};
}

KeyedRecord record(const std::string &key, std::uint64_t offset)
{
    return {key, "v" + std::to_string(offset), StoreOffset(offset)};
}

} // namespace

Test(table_relay, returns_the_records_from_an_offset_that_it_covers)
{
    TableRelay relay;
    cr_assert(!relay.answer(StoreOffset(0), kStart));
    relay.add(StoreOffset(5), runOf({record("a", 5)}, 8), kStart);
    relay.add(StoreOffset(8), runOf({record("b", 9)}, 10), kStart + 1s);
    cr_assert(!relay.answer(StoreOffset(4), kStart + 1s)); // Before the covered range.
    cr_assert(!relay.answer(StoreOffset(11), kStart + 1s)); // The querying daemon has read further.
    const auto answer = relay.answer(StoreOffset(6), kStart + 1200ms);
    cr_assert(answer && answer->run.records == std::vector<KeyedRecord>{record("b", 9)});
    cr_assert(answer->run.next == StoreOffset(10) && answer->age == 200ms);
}

// The relay's records of a later era are of another log, though they have the offsets that were asked for.
Test(table_relay, tells_a_reader_of_an_earlier_era_that_there_is_a_later_one)
{
    const StoreEra era(2);
    TableRelay relay;
    relay.add(StoreOffset(5), runOf({record("a", 5)}, 8), kStart);
    KeyedRun run;
    run.next = StoreOffset(6, era);
    relay.add(StoreOffset(3, era), run, kStart);
    const auto answer = relay.answer(StoreOffset(5), kStart);
    cr_assert(answer && answer->run.dropped && answer->run.records.empty());
    cr_assert(answer->run.next.era() == era);
    cr_assert(relay.answer(StoreOffset(5, era), kStart)->run.next == StoreOffset(6, era));
    cr_assert(!relay.answer(StoreOffset(5, era.next()), kStart)); // The querying daemon knows a later era.
}

Test(table_relay, starts_a_new_range_after_a_read_from_another_offset)
{
    TableRelay relay;
    relay.add(StoreOffset(5), runOf({record("a", 5)}, 8), kStart);
    relay.add(StoreOffset(20), runOf({record("c", 20)}, 21), kStart);
    cr_assert(!relay.answer(StoreOffset(5), kStart));
    cr_assert(relay.answer(StoreOffset(20), kStart)->run.records.size() == 1);
}

Test(table_relay, drops_old_records_beyond_its_limit)
{
    TableRelay relay({3s, 2});
    relay.add(StoreOffset(0), runOf({record("a", 0), record("b", 1), record("c", 2)}, 3), kStart);
    cr_assert(!relay.answer(StoreOffset(0), kStart));
    cr_assert(relay.answer(StoreOffset(1), kStart)->run.records.size() == 2);
}

// Messages between daemons are limited: a longer one closes the connection, with the stages' orders on it.
Test(table_relay, drops_old_records_beyond_its_limit_of_bytes)
{
    TableRelay relay;
    StoreOffset next;
    constexpr std::size_t kMessageBytes = 1U << 20U;
    const KeyedRecord large{"odd", std::string(100'000, '['), {}};
    for (int i = 0; i < 20; ++i) {
        auto record = large;
        record.offset = next;
        relay.add(next, runOf({record}, next.value() + 1), kStart);
        next = next.next();
    }
    cr_assert(!relay.answer(StoreOffset(0), kStart));
    const auto answer = relay.answer(StoreOffset(18), kStart);
    cr_assert(answer && answer->run.records.size() == 2);
    for (std::uint64_t from = 0; from < 20; ++from) {
        const auto part = relay.answer(StoreOffset(from), kStart);
        cr_assert(!part || part->run.records.size() * 100'000 < kMessageBytes);
    }
    auto huge = large;
    huge.value = std::string(2 * kMessageBytes, '[');
    huge.offset = next;
    relay.add(next, runOf({huge}, next.value() + 1), kStart);
    cr_assert(!relay.answer(next, kStart) && relay.answer(next.next(), kStart));
}

Test(table_relay, reports_whether_there_were_recent_queries)
{
    TableRelay relay;
    cr_assert(!relay.hasRecentQueries(kStart));
    static_cast<void>(relay.answer(StoreOffset(0), kStart));
    cr_assert(relay.hasRecentQueries(kStart + 2s));
    cr_assert(!relay.hasRecentQueries(kStart + 3s));
}

// A daemon that reads in turn from the store and from a relay must end with the
// newest record of each key.
Test(table_relay, a_reader_misses_no_record_from_either_source)
{
    cr_assert(rc::check([] {
        std::vector<KeyedRecord> log;
        TableRelay relay({3s, 8});
        StoreOffset relayNext;
        KeyedTable reader;
        std::map<std::string, StoreOffset> known;
        const auto runFrom = [&](StoreOffset from) {
            KeyedRun run;
            run.records.assign(log.begin() + static_cast<std::ptrdiff_t>(from.value()), log.end());
            run.next = StoreOffset(log.size());
            return run;
        };
        for (int step = 0; step < 60; ++step) {
            const auto event = *rc::gen::inRange(0, 4);
            if (event == 0) {
                log.push_back(record(std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4))), log.size()));
            } else if (event == 1) {
                const auto run = runFrom(relayNext);
                relay.add(relayNext, run, kStart);
                relayNext = run.next;
            } else {
                const auto answer = event == 2 ? relay.answer(reader.next(), kStart) : std::nullopt;
                std::vector<KeyedChange> changes;
                reader.applyRun(answer ? answer->run : runFrom(reader.next()), changes);
                for (const auto &change : changes) {
                    known[change.key] = StoreOffset(std::stoull(change.value->substr(1)));
                }
                std::map<std::string, StoreOffset> expected;
                for (std::size_t i = 0; i < reader.next().value(); ++i) {
                    expected[log[i].key] = log[i].offset;
                }
                RC_ASSERT(known == expected);
            }
        }
    }));
}
