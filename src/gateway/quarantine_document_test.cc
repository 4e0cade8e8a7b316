#include "gateway/quarantine_document.h"

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

Quarantine quarantine(const Clock &clock)
{
    Quarantine it;
    it.content = {ServiceId("engine"), "5c1e07a2"};
    it.with = {"91bd3f06", "e4402b7d"};
    it.number = 2;
    it.trials = 1;
    it.answeredBefore = true;
    it.crashes = 4;
    it.since = clock.now() - 90s;
    it.changedAt = clock.now() - 30s;
    return it;
}

} // namespace

Test(quarantine_document, reads_what_another_daemon_has_written)
{
    const ManualClock writer(TimePoint(1h));
    const ManualClock reader(TimePoint(5h)); // Steady clocks have nothing in common.
    const auto written = quarantine(writer);
    const auto read = readQuarantineDocument("k", writeQuarantineDocument(written, writer), reader);
    cr_assert(read.ok());
    auto expected = written;
    expected.since = reader.now() - 90s;
    expected.changedAt = reader.now() - 30s;
    cr_expect(*read == expected);
}

Test(quarantine_document, a_writer_whose_clock_is_ahead_is_taken_for_now)
{
    const ManualClock writer(TimePoint(1h), WallTime(1'700'000'500'000ms));
    const ManualClock reader(TimePoint(1h), WallTime(1'700'000'000'000ms));
    const auto read = readQuarantineDocument("k", writeQuarantineDocument(quarantine(writer), writer), reader);
    cr_assert(read.ok());
    cr_expect(read->changedAt == reader.now());
}

Test(quarantine_document, odd_documents_are_refused)
{
    const ManualClock clock;
    for (const auto *text :
         {"", "{", "[]", "{}", R"({"service": 1, "part": "p"})", R"({"service": "s", "part": ""})",
          R"({"service": "s", "part": "p", "number": -1})", R"({"service": "s", "part": "p", "since_ms": 1e300})"}) {
        cr_expect(not readQuarantineDocument("k", text, clock).ok(), "%s", text);
    }
}

Test(quarantine_document, keys_differ_by_service_and_part)
{
    cr_expect_neq(quarantineKey({ServiceId("a"), "p"}), quarantineKey({ServiceId("b"), "p"}));
    cr_expect_neq(quarantineKey({ServiceId("a"), "p"}), quarantineKey({ServiceId("a"), "q"}));
    cr_expect_eq(quarantineKey({ServiceId("a"), "p"}).size(), 16);
}
