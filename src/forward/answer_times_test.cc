#include "forward/answer_times.h"

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const RouteId kRoute("chat");

SlowLimits usualAnswers()
{
    SlowLimits limits;
    for (int i = 0; i < 100; ++i) {
        limits.record(kRoute, {100ms + i * 1ms, 10ms});
    }
    return limits;
}

} // namespace

Test(slow_limits, an_answer_that_is_several_times_slower_is_slow)
{
    const auto limits = usualAnswers();
    cr_assert(limits.isSlow(kRoute, {500ms, 10ms}) == true);
    cr_assert(limits.isSlow(kRoute, {150ms, 40ms}) == true);
    cr_assert(limits.isSlow(kRoute, {199ms, 12ms}) == false);
    cr_assert(limits.isSlow(kRoute, {199ms, std::nullopt}) == false);
}

Test(slow_limits, too_few_answers_give_no_limit)
{
    SlowLimits limits;
    limits.record(kRoute, {100ms, std::nullopt});
    cr_assert(!limits.isSlow(kRoute, {10s, std::nullopt}).has_value());
    cr_assert(!limits.firstLimit(RouteId("other")).has_value());
}

Test(slow_limits, limits_follow_the_newest_answers)
{
    auto limits = usualAnswers();
    for (int i = 0; i < 64; ++i) {
        limits.record(kRoute, {1s, 100ms});
    }
    cr_assert(limits.isSlow(kRoute, {1500ms, 150ms}) == false);
}
