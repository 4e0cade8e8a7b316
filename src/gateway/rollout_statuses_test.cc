#include "gateway/rollout_statuses.h"

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const ServiceId kService("s");
const VersionId kTarget("v2");
const RolloutOrder kOrder{kService, kTarget, 15s};
const RolloutId kId{kService, kTarget, RolloutRecord(5)};
const TimePoint kNow(1h);

RolloutStatuses ordered()
{
    RolloutStatuses statuses;
    statuses.takeOrder(kOrder, RolloutRecord(5));
    statuses.setComplete();
    return statuses;
}

} // namespace

Test(rollout_statuses, nothing_is_written_before_the_statuses_were_read)
{
    RolloutStatuses statuses;
    statuses.takeOrder(kOrder, RolloutRecord(5));
    statuses.want({kId, RolloutStage::Running, true}, kNow);
    cr_assert(!statuses.nextWrite(kNow));
    statuses.setComplete();
    cr_assert(statuses.nextWrite(kNow)->stage == RolloutStage::Running);
}

// A writer that was paused reads first what others have written meanwhile.
Test(rollout_statuses, a_final_status_is_never_replaced_for_its_order)
{
    auto statuses = ordered();
    statuses.want({kId, RolloutStage::Completed, true}, kNow);
    cr_assert(statuses.nextWrite(kNow)->stage == RolloutStage::Completed);
    statuses.takeStatus({kService, kTarget, RolloutStage::RolledBack, RolloutRecord(5)});
    cr_assert(!statuses.nextWrite(kNow));
    cr_assert(statuses.list().at(0).status == RolloutStage::RolledBack);
    statuses.want({kId, RolloutStage::Completed, true}, kNow);
    cr_assert(!statuses.nextWrite(kNow));
}

Test(rollout_statuses, a_wish_that_is_not_repeated_lapses)
{
    auto statuses = ordered();
    statuses.want({kId, RolloutStage::Completed, true}, kNow);
    cr_assert(!statuses.nextWrite(kNow + 1100ms));
}

Test(rollout_statuses, a_later_order_for_the_same_version_begins_anew)
{
    auto statuses = ordered();
    statuses.takeStatus({kService, kTarget, RolloutStage::RolledBack, RolloutRecord(5)});
    statuses.takeOrder(kOrder, RolloutRecord(9));
    cr_assert(!statuses.list().at(0).status);
    statuses.want({kId, RolloutStage::RolledBack, true}, kNow); // Of the order before.
    cr_assert(!statuses.nextWrite(kNow));
    statuses.want({{kService, kTarget, RolloutRecord(9)}, RolloutStage::Running, true}, kNow);
    cr_assert(statuses.nextWrite(kNow)->order == RolloutRecord(9));
}

Test(rollout_statuses, another_daemon_writes_if_the_coordinator_does_not)
{
    auto statuses = ordered();
    statuses.setRank(2);
    auto now = kNow;
    for (; now < kNow + 2400ms; now += 300ms) {
        statuses.want({kId, RolloutStage::RolledBack, false}, now);
        cr_assert(!statuses.nextWrite(now));
    }
    now += 300ms;
    statuses.want({kId, RolloutStage::RolledBack, false}, now);
    cr_assert(statuses.nextWrite(now)->stage == RolloutStage::RolledBack);
}

// After the store came back from a copy, the order got another offset and would have begun anew.
Test(rollout_statuses, an_order_that_is_written_again_is_the_same_order)
{
    auto statuses = ordered();
    statuses.takeStatus({kService, kTarget, RolloutStage::RolledBack, RolloutRecord(5)});
    statuses.takeOrder(kOrder, RolloutRecord(3), true);
    const auto rollout = statuses.list().at(0);
    cr_assert(rollout.rewritten && rollout.id.record == RolloutRecord(3));
    // The status names the earlier record, which daemons that start later don't know.
    statuses.want({{kService, kTarget, RolloutRecord(3)}, RolloutStage::RolledBack, true}, kNow);
    cr_assert(statuses.nextWrite(kNow)->order == RolloutRecord(3));
}

Test(rollout_statuses, a_status_that_the_store_has_lost_is_written_again)
{
    auto statuses = ordered();
    statuses.takeStatus({kService, kTarget, RolloutStage::Completed, RolloutRecord(5)});
    statuses.want({kId, RolloutStage::Completed, true}, kNow);
    cr_assert(!statuses.nextWrite(kNow));
    statuses.forgetStatus(kService);
    cr_assert(statuses.nextWrite(kNow)->stage == RolloutStage::Completed);
}
