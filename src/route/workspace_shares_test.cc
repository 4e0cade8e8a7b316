#include "route/workspace_shares.h"

#include <rapidcheck.h>

#include <algorithm>
#include <criterion/criterion.h>

using namespace mimosahub;

namespace
{

// Shares of a few percent each, which add up to less than 1.
std::vector<WorkspaceDemand> anyDemands()
{
    std::vector<WorkspaceDemand> demands;
    const int count = *rc::gen::inRange(1, 9);
    demands.reserve(count);
    for (int n = 0; n < count; ++n) {
        demands.push_back({WorkspaceId("w" + std::to_string(n)), *rc::gen::inRange(1, 12) / 100.0,
                           *rc::gen::inRange(0, 60), *rc::gen::inRange(0, 60)});
    }
    return demands;
}

} // namespace

Test(workspace_shares, lends_only_what_is_unused)
{
    cr_assert(rc::check([] {
        const auto demands = anyDemands();
        const int capacity = *rc::gen::inRange(100, 500);
        const auto allocations = allocatePool(capacity, demands);
        int used = 0;
        bool unmet = false;
        for (std::size_t n = 0; n < demands.size(); ++n) {
            const int wanted = demands[n].running + demands[n].waiting;
            RC_ASSERT(allocations[n].guaranteed == static_cast<int>(capacity * demands[n].share + 1e-9));
            RC_ASSERT(allocations[n].lent == 0 || allocations[n].total() <= wanted);
            used += std::min(wanted, allocations[n].total());
            unmet = unmet || wanted > allocations[n].total();
        }
        RC_ASSERT(used <= capacity);
        // The capacity that stays idle while calls wait is the reserve, rounded up.
        RC_ASSERT(!unmet || used >= capacity * 9 / 10 - static_cast<int>(demands.size()));
    }));
}

Test(workspace_shares, an_owner_gets_its_share_whatever_others_want)
{
    cr_assert(rc::check([] {
        auto demands = anyDemands();
        const auto before = allocatePool(300, demands);
        for (std::size_t n = 1; n < demands.size(); ++n) {
            demands[n].waiting += 1'000;
        }
        RC_ASSERT(allocatePool(300, demands)[0].guaranteed == before[0].guaranteed);
        // All demands exceed their shares: only capacity without an owner is lent.
        demands[0].waiting += 1'000;
        const auto allocations = allocatePool(300, demands);
        int total = 0;
        for (const auto &it : allocations) {
            total += it.total();
        }
        RC_ASSERT(total <= 300);
    }));
}

Test(workspace_shares, fixed_parts_add_up)
{
    cr_assert(rc::check([](const std::string &key) {
        const int total = *rc::gen::inRange(0, 100);
        const int count = *rc::gen::inRange(1, 12);
        std::vector<InstanceId> members;
        members.reserve(count);
        for (int n = 0; n < count; ++n) {
            members.emplace_back("d" + std::to_string(n));
        }
        int sum = 0;
        for (const auto &it : members) {
            const int part = equalSplit(total, key, it, members);
            RC_ASSERT(part == total / count || part == total / count + 1);
            sum += part;
        }
        RC_ASSERT(sum == total);
        RC_ASSERT(equalSplit(total, key, InstanceId("stranger"), members) == 0);
    }));
}
