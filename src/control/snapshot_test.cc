#include "control/control_testing.h"
#include "control/snapshot.h"
#include "control/snapshot_schedule.h"

#include <criterion/criterion.h>

#include <deque>

using namespace mimosahub;

namespace
{

std::string append(const InstanceId &writer, std::uint64_t sequence, std::vector<Record> records)
{
    return encodeBatch({{writer, Incarnation(1), Sequence(sequence), {}}, std::move(records)});
}

/// A state with \a claims claims whose answers consist of two-byte characters.
ControlState stateWith(std::size_t claims)
{
    ControlState state;
    std::string body = "x";
    while (body.size() + 2 <= kMaxAnswerBytes) {
        body += "\xc3\xa9";
    }
    for (std::size_t i = 0; i < claims; ++i) {
        const Claim claim{WorkspaceId("w"), IdempotencyKey(std::to_string(i)), RecordedDigest(BodyDigest{0, i}),
                          WallTime(std::chrono::hours(1))};
        const RecordPosition position{Offset(i + 1), 0};
        const ClaimOutcome outcome{position, ClaimAnswer{Outcome::Ok, 200, body}};
        (void)state.apply(position.offset, append(InstanceId("d1"), i + 1, {claim, outcome}));
    }
    return state;
}

/// A log that retains its records for a limited time, as the schedule sees it.
struct TimedLog {
    static constexpr Duration kRetention = 40min;

    void append(std::uint64_t n, TimePoint now)
    {
        for (std::uint64_t i = 0; i < n; ++i) {
            written.push_back(now);
        }
        while (!written.empty() && written.front() < now - kRetention) {
            written.pop_front();
            ++dropped;
        }
    }
    [[nodiscard]] SnapshotView view() const
    {
        const Offset head(dropped + written.size());
        return {head, Offset(dropped + 1), head, newest};
    }

    std::deque<TimePoint> written;
    std::uint64_t dropped = 0;
    std::optional<CompleteSnapshot> newest;
};

} // namespace

Test(snapshot, parts_of_two_writers_complete_each_other)
{
    cr_assert(rc::check([] {
        const auto state = stateWith(*rc::gen::inRange<std::size_t>(1, 120));
        const auto parts = makeSnapshot(state);
        SnapshotCollector collector;
        for (const auto it : *rc::gen::arbitrary<std::vector<std::uint8_t>>()) {
            collector.add(append(InstanceId("d2"), 1, {parts[it % parts.size()]}));
        }
        for (const auto &it : parts) {
            RC_ASSERT(it.data.size() <= kMaxSnapshotPartBytes);
            const auto data = append(InstanceId("d3"), 1, {it});
            RC_ASSERT(data.size() <= kMaxBatchBytes);
            RC_ASSERT(!collector.newest(state.appliedOffset().next()));
            collector.add(data);
        }
        const auto restored = collector.newest(state.appliedOffset());
        RC_ASSERT(restored.has_value());
        RC_ASSERT(*restored == state);
    }));
}

Test(snapshot, an_invalid_snapshot_is_skipped_for_an_older_one)
{
    const auto older = stateWith(3);
    auto parts = makeSnapshot(stateWith(60));
    cr_assert(parts.size() > 2);
    parts[1].data.at(parts[1].data.find("\"x\xc3") + 1) = 'y'; // The text remains a readable state.
    SnapshotCollector collector;
    collector.add(append(InstanceId("d1"), 1, {makeSnapshot(older).at(0)}));
    for (const auto &it : parts) {
        collector.add(append(InstanceId("d1"), 1, {it}));
    }
    cr_assert(collector.newest(Offset(1)) == older);
}

// With bursts and idle periods and a log that retains 40 minutes, a daemon that
// starts at any time must find a complete snapshot and all appends after it, and
// few snapshots must be taken.
Test(snapshot_schedule, a_usable_snapshot_is_always_retained_and_few_are_taken)
{
    cr_assert(rc::check([](std::uint64_t seed) {
        constexpr std::uint64_t kParts = 3;
        constexpr std::uint64_t kHours = 6;
        Random random(seed);
        std::vector<SnapshotSchedule> daemons;
        for (std::uint64_t i = 0; i < 7; ++i) {
            daemons.emplace_back(SnapshotScheduleOptions{.maxAppends = 2000}, seed + i);
        }
        TimedLog log;
        std::uint64_t appends = 1;
        std::uint64_t snapshots = 0;
        std::uint64_t rate = 1;
        TimePoint now(std::chrono::hours(1));
        for (std::uint64_t second = 0; second < kHours * 3600; ++second) {
            now += 1s;
            if (random.uniform() < 0.002) {
                rate = random.uniform() < 0.5 ? 0 : random.below(20);
            }
            appends += rate;
            log.append(second == 0 ? 1 : rate, now);
            const auto view = log.view(); // Daemons see the log before the snapshots of this second.
            for (auto &it : daemons) {
                if (it.tick(view, now)) {
                    ++snapshots;
                    const auto first = log.view().head.next();
                    log.append(kParts, now);
                    log.newest = CompleteSnapshot{{view.applied, 1, kParts}, first};
                }
            }
            if (view.first > Offset(1)) {
                RC_ASSERT(log.newest.has_value());
                RC_ASSERT(view.first <= log.newest->id.through.next());
                RC_ASSERT(view.first <= log.newest->firstPart);
            }
        }
        // One is due after each 2000 appends and each 10 minutes (the default of maxAge).
        // The bound is twice that, since two daemons may append one at the same time.
        const auto needed = appends / 2000 + kHours * 6 + 1;
        RC_ASSERT(snapshots <= needed * 2);
    }));
}

Test(snapshot_schedule, many_appends_make_a_snapshot_due_but_its_own_parts_do_not)
{
    TimePoint now(std::chrono::hours(1));
    SnapshotSchedule schedule({.maxAppends = 10}, 1);
    SnapshotView view{Offset(103), Offset(101), Offset(103), CompleteSnapshot{{Offset(100), 1, 3}, Offset(101)}};
    const auto dueWithin10s = [&] {
        const bool due = schedule.tick(view, now);
        now += 10s;
        return due || schedule.tick(view, now);
    };
    cr_assert(!dueWithin10s(), "a snapshot's own parts must not make the next snapshot due");
    view = {Offset(113), Offset(1), Offset(113), view.newest};
    cr_assert(dueWithin10s());
}
