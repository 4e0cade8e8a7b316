#include "base/random.h"
#include "follow/table_evidence.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const TimePoint kStart(1h);
const TableEvidenceOptions kOptions = {0ms, 20s, 2s, 200ms};

MarkBoard::Heard heard(std::uint64_t end, TimePoint provenAt, TimePoint now)
{
    return {StoreOffset(end), provenAt, now};
}

} // namespace

Test(table_evidence, reads_do_not_wait_while_no_other_daemon_vouches)
{
    TableEvidence evidence(kOptions);
    evidence.readNothing(kStart);
    cr_assert(evidence.wait(kStart + 100ms) == 0ms);
}

Test(table_evidence, a_read_waits_long_while_another_daemon_vouches)
{
    TableEvidence evidence(kOptions);
    evidence.compare(StoreOffset(7), heard(7, kStart, kStart), kStart);
    cr_assert(evidence.wait(kStart + 1s) == 20s);
    cr_assert(!evidence.needsRead(kStart + 1s));
    cr_assert(evidence.needsRead(kStart + 2s)); // Nobody has said anything since.
    cr_assert(evidence.wait(kStart + 2s) == 0ms);
}

Test(table_evidence, an_old_proof_does_not_become_younger_by_being_told_again)
{
    TableEvidence evidence(kOptions);
    evidence.compare(StoreOffset(7), heard(7, kStart, kStart + 3s), kStart + 3s);
    cr_assert(evidence.needsRead(kStart + 3s));
}

// The read under way was lost: the store was silent while the record came.
Test(table_evidence, a_read_is_given_up_soon_when_another_daemon_knows_more)
{
    TableEvidence evidence(kOptions);
    evidence.compare(StoreOffset(7), heard(7, kStart, kStart), kStart);
    evidence.compare(StoreOffset(7), heard(8, kStart, kStart), kStart + 100ms);
    cr_assert(!evidence.needsRead(kStart + 200ms)); // The answer may be on its way.
    evidence.compare(StoreOffset(7), heard(8, kStart, kStart), kStart + 300ms);
    cr_assert(evidence.needsRead(kStart + 300ms));
}

// Daemons that rely on each other, some of whose long reads are lost for good: a
// record is known to each of them within the longest age and two intervals.
Test(table_evidence, no_record_stays_unknown_for_longer_than_the_longest_age)
{
    struct Daemon {
        TableEvidence evidence{kOptions};
        MarkBoard board;
        StoreOffset next;
        bool waiting = false; ///< In a long read,
        bool lost = false; ///< which will never be answered.
    };
    cr_assert(rc::check([] {
        Random random(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
        std::vector<Daemon> daemons(5);
        StoreOffset end;
        std::vector<TimePoint> appendedAt;
        for (auto now = kStart; now < kStart + 30s; now += 100ms) {
            if (random.below(20) == 0) {
                end = end.next();
                appendedAt.push_back(now);
            }
            for (auto &daemon : daemons) {
                auto &teller = daemons[random.below(daemons.size())];
                if (&teller != &daemon) {
                    daemon.board.hear(teller.board.take(now), now);
                }
                daemon.evidence.compare(daemon.next, daemon.board.heard(StoreTable::Endpoints), now);
                if (daemon.waiting && (daemon.evidence.needsRead(now) || (!daemon.lost && end != daemon.next))) {
                    daemon.waiting = false;
                }
                if (!daemon.waiting) {
                    const bool nothing = daemon.next == end;
                    daemon.next = end;
                    if (nothing) {
                        daemon.evidence.readNothing(now);
                    }
                    daemon.waiting = daemon.evidence.wait(now) > 0ms;
                    daemon.lost = random.below(3) == 0;
                }
                if (const auto provenAt = daemon.evidence.provenAt()) {
                    daemon.board.put(StoreTable::Endpoints, daemon.next, *provenAt);
                }
                const auto known = daemon.next.value();
                if (known < appendedAt.size()) {
                    RC_ASSERT(now - appendedAt[known] <= kOptions.longestAge + 200ms);
                }
            }
        }
    }));
}
