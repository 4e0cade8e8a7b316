#include "forward/send_policy.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace mimosahub;

namespace
{

constexpr std::array kResults = {SendResult::Answered,        SendResult::ServerError, SendResult::Unreachable,
                                 SendResult::OtherEndpoint,   SendResult::Refused,     SendResult::InputsGone,
                                 SendResult::UnprovenRefusal, SendResult::Lost};

bool ran(SendResult result)
{
    return result == SendResult::Answered || result == SendResult::ServerError || result == SendResult::UnprovenRefusal
        || result == SendResult::Lost;
}

} // namespace

// For any sequence of results: a request that is not repeatable is never sent after it
// may have run, outcome() is NotRun only if the request can't have run, and no more
// endpoints than allowed receive the request.
Test(send_policy, holds_its_invariants_over_all_histories)
{
    cr_assert(rc::check([] {
        const SendLimits limits{*rc::gen::arbitrary<bool>(), *rc::gen::inRange(1, 4)};
        SendPolicy policy(limits);
        bool mayHaveRun = false;
        int received = 0;
        for (int i = 0; i < 20; ++i) {
            const auto result = *rc::gen::elementOf(kResults);
            RC_ASSERT(!mayHaveRun || limits.repeatable);
            const bool reached = result != SendResult::Unreachable && result != SendResult::OtherEndpoint;
            received += reached ? 1 : 0;
            RC_ASSERT(received <= limits.maxSends);
            mayHaveRun = mayHaveRun || ran(result);
            const auto next = policy.after(result, *rc::gen::arbitrary<bool>());
            RC_ASSERT(policy.outcome() == (mayHaveRun ? Outcome::Unknown : Outcome::NotRun));
            if (next == NextStep::PassOn) {
                RC_ASSERT(result == SendResult::Answered || result == SendResult::ServerError);
            }
            if (next != NextStep::SendAgain && next != NextStep::PrepareAgain) {
                return;
            }
        }
        RC_FAIL("a request is sent without end");
    }));
}

Test(send_policy, a_second_send_needs_time_and_retry_budget)
{
    SendPolicy policy({true, 2});
    cr_assert(policy.after(SendResult::Lost, /*mayRetry=*/false) == NextStep::GiveUp);
}

Test(send_policy, a_send_to_an_unreachable_endpoint_does_not_count)
{
    SendPolicy policy({false, 1});
    cr_assert(policy.after(SendResult::Unreachable, /*mayRetry=*/true) == NextStep::SendAgain);
    cr_assert_eq(policy.sends(), 0);
    cr_assert(policy.after(SendResult::Answered, /*mayRetry=*/true) == NextStep::PassOn);
}
