#include "mimosahub/outcome.h"

#include <criterion/criterion.h>

using namespace mimosahub;

// Callers repeat a booking after such a status.
Test(outcome, a_status_that_promises_not_run_stands_only_for_what_has_not_run)
{
    for (const auto reason : {Reason::Overloaded, Reason::NoEndpoint, Reason::Draining, Reason::NotFresh,
                              Reason::ShareExceeded, Reason::Quarantined}) {
        auto refusal = makeRefusal(reason, "", Step::Choose);
        const int status = httpStatus(refusal);
        cr_expect(status == 503 || status == 429, "%d", status);
        for (const auto outcome : {Outcome::Unknown, Outcome::Failed}) {
            refusal.outcome = outcome;
            cr_expect_eq(httpStatus(refusal), 502);
        }
    }
    auto late = makeRefusal(Reason::DeadlinePassed, "", Step::Receive);
    late.outcome = Outcome::Unknown;
    cr_expect_eq(httpStatus(late), 504);
}
