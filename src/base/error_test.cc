#include "mimosahub/error.h"

#include <criterion/criterion.h>

using namespace mimosahub;

Test(error, carries_step_and_peer)
{
    const auto status = errorAt(absl::StatusCode::kUnavailable, Step::Connect, "10.0.0.1:80", "refused");
    cr_assert(stepOf(status) == "connect");
    cr_assert(peerOf(status) == "10.0.0.1:80");
    cr_assert(describe(status) == "step=connect peer=10.0.0.1:80 UNAVAILABLE: refused");
}

Test(error, leaves_out_an_empty_peer)
{
    const auto status = errorAt(absl::StatusCode::kInternal, Step::Apply, "", "bad");
    cr_assert(describe(status) == "step=fold INTERNAL: bad");
}
