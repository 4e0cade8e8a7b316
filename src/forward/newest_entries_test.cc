// Entries of endpoints that arrive late or lack what they must tell.

#include "forward/newest_entries.h"

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

using Verdict = NewestEntries::Verdict;

constexpr std::int64_t kStart = 1'700'000'000'000;
const TimePoint kNow(1h);

ListedEndpoint entry(std::int64_t startedAtMs, std::uint64_t sequence, bool leaving = false)
{
    ListedEndpoint it;
    it.info.id = EndpointId("a");
    it.info.leaving = leaving;
    it.startedAtMs = startedAtMs;
    it.sequence = sequence;
    return it;
}

Verdict take(NewestEntries &entries, ListedEndpoint entry, TimePoint now)
{
    return entries.take(entry, now);
}

} // namespace

// A late heartbeat made a draining endpoint ready again.
Test(newest_entries, a_late_heartbeat_replaces_no_newer_one)
{
    NewestEntries entries;
    cr_assert(take(entries, entry(kStart, 7, true), kNow) == Verdict::Newer);
    cr_assert(take(entries, entry(kStart, 6), kNow + 3s) == Verdict::Older);
    cr_assert(take(entries, entry(kStart - 5000, 900), kNow + 3s) == Verdict::Older);
    cr_assert(take(entries, entry(kStart, 8), kNow + 3s) == Verdict::Newer);
    cr_assert(take(entries, entry(kStart + 5000, 1), kNow + 4s) == Verdict::Newer);
}

// An entry of another writer without a start counted as one of a new start, which had said nothing.
Test(newest_entries, an_entry_without_a_start_replaces_none_that_told_it)
{
    NewestEntries entries;
    cr_assert(take(entries, entry(kStart, 7, true), kNow) == Verdict::Newer);
    cr_assert(take(entries, entry(0, 8), kNow + 1s) == Verdict::Startless);
    cr_assert(take(entries, entry(0, 9), kNow + 1h) == Verdict::Startless);
}

// The endpoints of some deployments never tell their start.
Test(newest_entries, entries_that_never_tell_a_start_are_taken_as_they_come)
{
    NewestEntries entries;
    for (const std::uint64_t sequence : {5, 6, 1, 2}) { // The endpoint started anew after 6.
        cr_assert(take(entries, entry(0, sequence), kNow) == Verdict::Newer);
    }
}

Test(newest_entries, a_repetition_doesnt_take_back_that_its_start_is_leaving)
{
    NewestEntries entries;
    cr_assert(take(entries, entry(kStart, 7, true), kNow) == Verdict::Newer);
    auto same = entry(kStart, 7);
    cr_assert(entries.take(same, kNow + 1s) == Verdict::Newer);
    cr_assert(same.info.leaving);
}

// An entry with a wrong time or number must not lock out the endpoint.
Test(newest_entries, an_entry_that_is_too_old_to_be_late_is_taken)
{
    NewestEntries entries;
    cr_assert(take(entries, entry(kStart + 1'000'000'000, 1), kNow) == Verdict::Newer);
    cr_assert(take(entries, entry(kStart, 8), kNow + 2s) == Verdict::Older);
    cr_assert(take(entries, entry(kStart, 17), kNow + 11s) == Verdict::Newer);
    cr_assert(take(entries, entry(kStart, 18), kNow + 12s) == Verdict::Newer);
}

Test(newest_entries, a_late_heartbeat_after_the_end_replaces_nothing_and_is_forgotten_later)
{
    NewestEntries entries;
    cr_assert(take(entries, entry(kStart, 7, true), kNow) == Verdict::Newer);
    entries.remove(EndpointId("a"), kNow + 1s);
    cr_assert(take(entries, entry(kStart, 6), kNow + 2s) == Verdict::Older);
    entries.remove(EndpointId("b"), kNow + 30s);
    cr_assert(take(entries, entry(0, 1), kNow + 30s) == Verdict::Newer);
}
