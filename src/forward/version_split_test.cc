#include "forward/version_split.h"

#include <rapidcheck.h>

#include <vector>

#include <criterion/criterion.h>

using namespace mimosahub;

namespace
{

const RouteId kRoute("r");

} // namespace

// Whatever phases the daemons are in, and however their requests are distributed, the target gets no
// more than its limit without a message; and what a trial leaves pays for a load test.
Test(version_split, daemons_keep_the_limit_together_without_a_message)
{
    cr_assert(rc::check([] {
        const ExposureLimit limit{0.1, 50.0};
        const int daemons = *rc::gen::inRange(1, 80);
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        std::vector<VersionSplit> splits;
        for (int i = 0; i < daemons; ++i) {
            splits.emplace_back(limit, random.uniform());
            splits.back().setDaemons(daemons);
        }
        int target = 0;
        int all = 0;
        const int requests = *rc::gen::inRange(1, 5000);
        for (; all < requests; ++all) {
            auto &split = splits[random.below(splits.size())];
            if (random.below(20) == 0) {
                split.setPhase(static_cast<SplitPhase>(random.below(3)));
            }
            if (split.drawTarget(kRoute, random)) {
                split.recordTargetSend(kRoute);
                ++target;
            } else {
                split.recordOldSend(kRoute);
            }
            RC_ASSERT(target <= 0.6 * limit.allowed(all + 1));
        }
    }));
}

Test(version_split, a_load_test_uses_the_target_up_to_its_cap)
{
    VersionSplit split({0.1, 50.0}, 0.0);
    Random random(1);
    split.setPhase(SplitPhase::LoadTest);
    for (const std::uint64_t cap : {0U, 7U, 20U}) {
        split.setTargetCap(cap);
        while (split.drawTarget(kRoute, random)) {
            cr_assert(split.mayUseTarget());
            split.recordTargetSend(kRoute);
        }
        cr_assert(!split.mayUseTarget());
        cr_assert_eq(split.sends().target, cap);
    }
}

Test(version_split, a_version_gets_nothing_after_its_rollback)
{
    VersionSplit split({0.1, 50.0}, 0.0);
    Random random(1);
    for (const auto phase : {SplitPhase::Paused, SplitPhase::RolledBack}) {
        split.setPhase(phase);
        for (int i = 0; i < 1000; ++i) {
            cr_assert(!split.drawTarget(kRoute, random));
            split.recordOldSend(kRoute);
        }
    }
    cr_assert(!split.mayUseTarget());
}

// The rest of the limit is for the load test.
Test(version_split, a_trial_uses_a_tenth_of_the_share)
{
    VersionSplit split({0.1, 50.0}, 0.0);
    Random random(1);
    split.setPhase(SplitPhase::Trial);
    for (int i = 0; i < 10'000; ++i) {
        split.drawTarget(kRoute, random) ? split.recordTargetSend(kRoute) : split.recordOldSend(kRoute);
    }
    const auto sends = split.sends().target;
    cr_assert(sends > 80 && sends < 120, "%d", static_cast<int>(sends));
}

// What little comes on a rare route is enough to see a fault there.
Test(version_split, a_trial_begins_with_some_of_each_routes_first_requests)
{
    VersionSplit split({0.1, 50.0}, 0.0);
    Random random(1);
    split.setPhase(SplitPhase::Trial);
    const RouteId rare("rare");
    int target = 0;
    for (int i = 1; i <= 1000; ++i) {
        const auto &route = i % 50 == 0 ? rare : kRoute;
        if (split.drawTarget(route, random)) {
            split.recordTargetSend(route);
            target += route == rare ? 1 : 0;
        } else {
            split.recordOldSend(route);
        }
    }
    cr_expect_geq(target, 3, "%d of 20", target);
}
