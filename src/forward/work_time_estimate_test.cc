#include "forward/work_time_estimate.h"

#include <criterion/criterion.h>

#include <cmath>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const TimePoint kStart(1h);

WorkTimeRatio ratio(std::int64_t percent)
{
    return *WorkTimeRatio::fromPercent(percent);
}

} // namespace

// Guards against a changed decision for endpoints that report nothing, or nothing lately.
Test(work_time_estimate, is_the_average_without_recent_reports)
{
    WorkTimeEstimate estimate;
    cr_assert_eq(estimate.at(1.7, kStart), 1.7);
    estimate.record(ratio(250), kStart);
    cr_assert_eq(estimate.at(1.7, kStart + 6s), 1.7);
}

// A ratio of 2.5 in each fifth report, which is true. Guards against a ratio that has no effect,
// and one that still has it long after the report.
Test(work_time_estimate, follows_a_true_ratio_and_forgets_it)
{
    WorkTimeEstimate estimate;
    auto now = kStart;
    for (int i = 0; i < 200; ++i, now += 100ms) {
        const bool slow = i % 5 == 4;
        estimate.record(ratio(slow ? 250 : 100), now);
        estimate.recordOutcome(slow ? 2.5 : 1.0, 1.3, now);
    }
    estimate.record(ratio(250), now);
    cr_assert_gt(estimate.trust(), 0.9);
    cr_assert_gt(estimate.at(1.3, now), 2.0);
    cr_assert_lt(estimate.at(1.3, now + 2s), 1.6);
}

// Guards against a false ratio that steers requests: a wild one loses its influence, and one that
// is always the same changes nothing.
Test(work_time_estimate, ignores_false_ratios)
{
    WorkTimeEstimate wild;
    WorkTimeEstimate stuck;
    auto now = kStart;
    for (int i = 0; i < 200; ++i, now += 100ms) {
        wild.record(ratio(i % 2 == 0 ? 20 : 2000), now);
        wild.recordOutcome(i % 3 == 0 ? 1.1 : 1.0, 1.0, now);
        stuck.record(ratio(250), now);
        stuck.recordOutcome(1.0, 1.0, now);
    }
    cr_assert_lt(wild.trust(), 0.1);
    cr_assert(std::abs(stuck.at(1.0, now) - 1.0) < 0.05);
}
