#include "control/control_testing.h"
#include "control/log_testing.h"

#include <criterion/criterion.h>

using namespace mimosahub;

// Faults: refused and lost appends, copies that are appended late, failing reads,
// outages, pauses longer than the retention, restarts with empty state, and
// records received from peers. Every daemon must end in the state that results
// from the whole log, and an order must be in it exactly once if it was reported
// as accepted, and not at all if it was reported as rejected or not appended.
Test(log, daemons_agree_and_every_append_takes_effect_once)
{
    std::size_t accepted = 0;
    std::size_t notAppended = 0;
    std::size_t verdictLost = 0;
    int restores = 0;
    cr_assert(rc::check([&](std::uint64_t seed) {
        LogSimulation simulation(seed, 3, 250);
        const FaultRates faults{
            .readFails = 0.05, .appendRefused = 0.05, .appendLost = 0.1, .restart = 0.0005, .pause = 0.0005};
        simulation.run(3000, faults, 0.1, true);
        simulation.run(3000, {}, 0.0, true);
        simulation.run(200, {}, 0.0, false);
        simulation.checkConverged();
        accepted += simulation.count(AppendResolution::Accepted);
        notAppended += simulation.count(AppendResolution::NotAppended);
        verdictLost += simulation.count(AppendResolution::VerdictLost);
        restores += simulation.restores();
    }));
    // The faults that the property is about must have occurred.
    cr_assert(accepted > 1000);
    cr_assert(notAppended > 100);
    cr_assert(verdictLost > 0);
    cr_assert(restores > 100);
}

Test(log_writer, a_batch_in_doubt_is_appended_again_only_after_a_later_read_of_the_head)
{
    LogWriterOptions options;
    options.writer = InstanceId("d1");
    options.incarnation = Incarnation(1);
    LogWriter writer(options, 1);
    TimePoint now(std::chrono::hours(1));
    const auto deadline = now + std::chrono::hours(1);
    cr_assert(writer.enqueue(MemberLeave{}, deadline, now).ok());
    now += 10ms;
    const auto first = writer.tick(now, {});
    cr_assert(first.has_value());
    writer.onAppendLost(first->sequence, now + 1s);
    now += 1min;
    writer.onHeadRead(now - 1min);
    cr_assert(!writer.tick(now, {}), "the read may have missed the append");
    writer.onHeadRead(now);
    const auto second = writer.tick(now, {});
    cr_assert(second && second->data == first->data);
    writer.onAppendRefused(second->sequence, now, 20s);
    cr_assert(writer.down(now) && !writer.enqueue(MemberLeave{}, deadline, now).ok());
    cr_assert(writer.retryAfter(now) == 20s);
    cr_assert(writer.expire(deadline + 1s).empty(), "a record in doubt must not be reported as not appended");
}
