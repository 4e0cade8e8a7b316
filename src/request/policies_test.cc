#include "base/backoff.h"
#include "request/hedge_policy.h"
#include "request/retry_budget.h"
#include "request/stage_budget.h"
#include "request/workspace_limits.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <map>
#include <numeric>

using namespace mimosahub;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

namespace
{

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

} // namespace

Test(latency_histogram, quantiles_lie_in_the_bucket_of_the_exact_one)
{
    cr_assert(rc::check([] {
        const auto times = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(100, 5'000'000)));
        LatencyHistogram histogram;
        for (const auto us : times) {
            histogram.record(Duration(1us) * us, kStart);
        }
        auto sorted = times;
        std::sort(sorted.begin(), sorted.end());
        const int percent = *rc::gen::inRange(1, 101);
        const auto rank = (sorted.size() * static_cast<std::size_t>(percent) + 99) / 100;
        const Duration exact = Duration(1us) * sorted[rank - 1];
        const double q = percent / 100.0 - 1e-9;
        RC_ASSERT(*histogram.quantile(q) >= exact - Duration(1us));
        RC_ASSERT(*histogram.quantileFloor(q) <= exact);
        RC_ASSERT(*histogram.quantile(q) <= *histogram.quantileFloor(q) * 1.2 + Duration(1us));
    }));
}

Test(latency_histogram, old_samples_lose_their_influence)
{
    for (const auto pause : {300s, 3600s}) { // The longer one triggers a rescaling of the weights.
        LatencyHistogram histogram(30s);
        auto now = kStart;
        for (int i = 0; i < 1000; ++i) {
            histogram.record(2s, now);
        }
        now += pause;
        for (int i = 0; i < 20; ++i) {
            histogram.record(10ms, now);
        }
        cr_assert(*histogram.quantile(0.9) < 20ms);
        cr_assert(std::abs(histogram.weight(now) - 20) < 1.0);
        cr_assert(std::abs(histogram.weight(now + 30s) - 10) < 0.5);
    }
}

Test(stage_budget, is_the_slack_or_a_proportional_part_of_the_remaining_time)
{
    cr_assert(rc::check([] {
        const auto stages = *rc::gen::nonEmpty(rc::gen::container<std::vector<StageEstimate>>(rc::gen::apply(
            [](int least, int more) {
                return StageEstimate{1ms * least, 1ms * (least + more)};
            },
            rc::gen::inRange(0, 100), rc::gen::inRange(1, 100))));
        const Duration remaining = 1ms * *rc::gen::inRange(-10, 1000);
        Duration least{};
        Duration reserve{};
        for (const auto &stage : stages) {
            least += stage.least;
            reserve += stage.reserve;
        }
        const auto budget = stageBudget(stages, remaining);
        RC_ASSERT(budget.has_value() == (remaining > Duration::zero() && remaining >= least));
        if (budget) {
            const auto own = stages.front().reserve;
            RC_ASSERT(*budget <= remaining && *budget > Duration::zero());
            RC_ASSERT(remaining < reserve || *budget == remaining - (reserve - own));
            RC_ASSERT(remaining >= reserve || *budget <= own);
            RC_ASSERT(stages.size() > 1 || *budget == remaining);
        }
    }));
}

Test(retry_budget, bounds_retries_by_traffic_time_and_burst)
{
    cr_assert(rc::check([] {
        const RetryBudgetOptions options{0.1, 0.5, 10};
        RetryBudget budget(options);
        auto now = kStart;
        int first = 0;
        int retries = 0;
        for (int i = *rc::gen::inRange(0, 2000); i > 0; --i) {
            if (*rc::gen::inRange(0, 3) > 0) {
                budget.deposit();
                ++first;
            }
            now += 1ms * *rc::gen::inRange(0, 20);
            const bool available = budget.available(now);
            const bool taken = budget.tryTake(now);
            RC_ASSERT(taken == available);
            if (taken && *rc::gen::inRange(0, 4) == 0) {
                budget.giveBack();
            } else {
                retries += taken ? 1 : 0;
            }
        }
        const double seconds = std::chrono::duration<double>(now - kStart).count();
        const double bound = options.burst + options.fraction * first + options.perSecond * seconds;
        RC_ASSERT(retries <= bound + 1e-6);
        now += 3600s; // Without failures, tokens accumulate only up to the burst.
        int saved = 0;
        while (saved < 100 && budget.tryTake(now)) {
            ++saved;
        }
        RC_ASSERT(saved == static_cast<int>(options.burst));
    }));
}

Test(retry_budget, gives_no_tokens_for_new_limits)
{
    RetryBudget budget({0.0, 1.0, 5});
    auto now = kStart;
    for (int i = 0; i < 5; ++i) {
        cr_assert(budget.tryTake(now));
    }
    budget.setOptions({0.0, 1.0, 10}, now);
    cr_assert_not(budget.tryTake(now));
    now += 3s;
    budget.setOptions({0.0, 0.0, 2}, now); // What time brought until now stays, up to the new burst.
    cr_assert(budget.tryTake(now) && budget.tryTake(now));
    cr_assert_not(budget.tryTake(now + 3600s));
}

Test(retry_budget, gets_a_reserved_token_back_unless_it_is_spent)
{
    RetryBudget budget({0.0, 0.0, 1});
    auto reserved = ReservedRetry::tryTake(budget, kStart);
    cr_assert(reserved);
    cr_assert_not(budget.available(kStart));
    cr_assert(!ReservedRetry::tryTake(budget, kStart));
    reserved.reset();
    reserved = ReservedRetry::tryTake(budget, kStart);
    cr_assert(reserved);
    reserved->spend();
    reserved.reset();
    cr_assert_not(budget.available(kStart));
}

Test(backoff, grows_to_its_cap_within_the_jitter)
{
    cr_assert(rc::check([](std::uint64_t seed) {
        const BackoffOptions options;
        Random random(seed);
        const int retry = *rc::gen::inRange(1, 40);
        const auto delay = backoffDelay(options, retry, random);
        const auto mean = std::min(options.max, retry > 20 ? options.max : options.first * (1 << (retry - 1)));
        RC_ASSERT(delay >= mean / 2 && delay <= mean * 3 / 2);
    }));
}

Test(hedge_policy, only_measured_idempotent_buffered_stages)
{
    LatencyHistogram latency;
    StagePlan stage;
    const HedgeOptions options;
    cr_assert(!hedgeDelay(options, stage, latency, kStart));
    for (int i = 0; i < 100; ++i) {
        latency.record(i < 90 ? 10ms : 100ms, kStart);
    }
    cr_assert(*hedgeDelay(options, stage, latency, kStart) >= 100ms);
    stage.streaming = true;
    cr_assert(!hedgeDelay(options, stage, latency, kStart));
    stage.streaming = false;
    stage.idempotent = false;
    cr_assert(!hedgeDelay(options, stage, latency, kStart));
}

Test(workspace_limits, match_a_reference_count)
{
    cr_assert(rc::check([] {
        const WorkspaceLimitOptions options{3, 100, 150, 1s};
        WorkspaceLimits limits(options);
        std::map<std::string, std::size_t> open;
        std::map<std::string, std::size_t> bytes;
        for (int i = 0; i < 200; ++i) {
            const auto name = *rc::gen::element<std::string>("a", "b", "c");
            const WorkspaceId workspace(name);
            const std::size_t n = *rc::gen::inRange(0, 60);
            const auto total = bytes["a"] + bytes["b"] + bytes["c"];
            switch (*rc::gen::inRange(0, 4)) {
            case 0: {
                const auto refusal = limits.open(workspace);
                RC_ASSERT(refusal.has_value() == (open[name] == 3));
                if (refusal) { // RC_ASSERT evaluates both sides of "||".
                    RC_ASSERT(refusal->outcome == Outcome::NotRun);
                    RC_ASSERT(refusal->retryAfter.has_value());
                }
                open[name] += refusal ? 0 : 1;
                break;
            }
            case 1:
                if (open[name] > 0) {
                    limits.close(workspace);
                    --open[name];
                }
                break;
            case 2: {
                const bool fits = bytes[name] + n <= 100 && total + n <= 150;
                RC_ASSERT(limits.buffer(workspace, n) == fits);
                bytes[name] += fits ? n : 0;
                break;
            }
            default:
                limits.release(workspace, std::min(n, bytes[name]));
                bytes[name] -= std::min(n, bytes[name]);
            }
            RC_ASSERT(limits.openRequests(workspace) == open[name]);
            RC_ASSERT(limits.bufferedBytes() == bytes["a"] + bytes["b"] + bytes["c"]);
        }
    }));
}
