#include "route/endpoint_condition.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const Chart &endpointChart()
{
    std::vector<Problem> problems;
    static const auto chart = Chart::load("charts/endpoint.json", endpointVocabulary(), problems);
    cr_assert(chart.ok());
    return *chart;
}

constexpr AnswerTiming kTimely{50ms, 50ms, 1.0};
constexpr AnswerTiming kSlow{400ms, 50ms, 1.0};

EndpointCondition warmEndpoint(TimePoint now)
{
    EndpointCondition condition(endpointChart(), {}, now);
    for (int n = 0; n < 500; ++n) {
        condition.answered(kTimely, now);
    }
    cr_assert(condition.state() == EndpointState::Warm);
    return condition;
}

} // namespace

// Applies random events and checks the limit against rules that don't use the chart:
// a report of a cold start drops the limit immediately.
Test(endpoint_condition, limit_never_exceeds_what_the_condition_allows)
{
    cr_assert(rc::check([] {
        const EndpointConditionOptions options;
        TimePoint now(1h);
        EndpointCondition condition(endpointChart(), options, now);
        bool listed = true;
        bool leaving = false;
        int before = 0;
        for (const int event : *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 16))) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
            before = condition.limit(now).calls;
            switch (event) {
            case 0:
                condition.reported({100ms, 0, 0, true, {}}, now);
                RC_ASSERT(condition.limit(now).calls <= options.coldLimit);
                break;
            case 1:
                condition.reported({0ms, 0, 0, true, {}}, now);
                RC_ASSERT(condition.limit(now).calls <= options.coldLimit);
                break;
            case 2:
                condition.answered(kSlow, now);
                break;
            case 3:
                condition.failed(now);
                break;
            case 4:
                leaving = *rc::gen::arbitrary<bool>();
                condition.listed(leaving, now);
                break;
            case 5:
                listed = listed && *rc::gen::inRange(0, 50) != 0;
                if (!listed) {
                    condition.unlisted(now);
                }
                break;
            case 6:
                condition.reported({100ms, 0, 0, false, {}}, now);
                break;
            case 7:
                condition.tick(now);
                break;
            default:
                condition.answered(kTimely, now);
            }
            const auto limit = condition.limit(now);
            RC_ASSERT(limit.calls >= 0 && limit.calls <= options.warmLimit);
            RC_ASSERT(limit.calls <= std::max(before, options.coldLimit) + std::max(1, options.warmLimit / 8));
            RC_ASSERT((listed && !leaving) || limit == EndpointLimit{});
            RC_ASSERT(condition.state() != EndpointState::Failing || limit.calls == 0);
        }
    }));
}

Test(endpoint_condition, two_slow_answers_of_three_drop_the_limit)
{
    const TimePoint now(1h);
    auto condition = warmEndpoint(now);
    condition.answered(kSlow, now);
    cr_expect(condition.limit(now).calls == 16);
    condition.answered(kTimely, now);
    condition.answered(kSlow, now);
    cr_expect(condition.limit(now).calls == 1);
}

Test(endpoint_condition, a_slow_pool_does_not_make_an_endpoint_cold)
{
    const TimePoint now(1h);
    auto condition = warmEndpoint(now);
    for (int n = 0; n < 10; ++n) {
        condition.answered({400ms, 50ms, 8.0}, now);
    }
    cr_expect(condition.state() == EndpointState::Warm);
}

Test(endpoint_condition, a_restarted_process_is_cold)
{
    const TimePoint now(1h);
    auto condition = warmEndpoint(now);
    condition.reported({0s, 0, 0, false, 600s}, now);
    condition.reported({0s, 0, 0, false, 610s}, now + 10s);
    cr_expect(condition.limit(now).calls == 16);
    condition.reported({0s, 0, 0, false, 3s}, now + 20s);
    cr_expect(condition.limit(now).calls == 1);
}

Test(endpoint_condition, an_old_report_does_not_warm_what_turned_cold_since)
{
    const TimePoint now(1h);
    auto condition = warmEndpoint(now);
    condition.answered(kSlow, now);
    condition.answered(kSlow, now);
    cr_expect(condition.state() == EndpointState::Cold);
    condition.reported({2s, 0, 0, false, {}}, now + 1s);
    cr_expect(condition.state() == EndpointState::Cold);
    condition.reported({500ms, 0, 0, false, {}}, now + 1s);
    cr_expect(condition.state() == EndpointState::Warming);
}

Test(endpoint_condition, probe_interval_doubles_with_each_failure)
{
    TimePoint now(1h);
    auto condition = warmEndpoint(now);
    for (int n = 0; n < 5; ++n) {
        condition.failed(now);
    }
    cr_expect(condition.limit(now) == (EndpointLimit{0, false}));
    for (const auto wait : {1s, 2s, 4s, 8s, 15s, 15s}) {
        cr_expect(!condition.limit(now + wait - 1ms).probe);
        now += wait;
        cr_expect(condition.limit(now).probe);
        condition.probed(now);
        cr_expect(!condition.limit(now).probe);
        condition.failed(now);
    }
    condition.answered(kTimely, now);
    cr_expect(condition.limit(now).calls == 1);
}

Test(endpoint_condition, wrong_expectations_do_not_keep_an_endpoint_cold)
{
    TimePoint now(1h);
    EndpointCondition condition(endpointChart(), {}, now);
    for (int n = 0; n < 400; ++n) {
        now += 1s;
        condition.answered(kSlow, now);
        condition.tick(now);
    }
    cr_expect(condition.state() == EndpointState::Warm);
}
