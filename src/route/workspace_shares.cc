// Shares are caps over all daemons. Unused shares are lent by water filling: each
// round offers the remaining capacity in proportion to the shares, and what a
// workspace doesn't need of its offer goes to the next round. A fraction of each
// unused share is never lent, so that its owner can start calls immediately when its
// demand returns; the same division then shrinks the borrowers' allocations.

#include "route/workspace_shares.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace mimosahub
{

namespace
{

// Tolerance for rounding errors: shares are published as decimal fractions.
constexpr double kRounding = 1e-9;

int floorOf(double value)
{
    return static_cast<int>(std::floor(value + kRounding));
}

// Divides \a available among the workspaces whose demand exceeds their allocation.
void lend(int available, const std::vector<WorkspaceDemand> &demands, std::vector<WorkspaceAllocation> &allocations)
{
    const auto wanted = [&](std::size_t n) {
        return demands[n].share > 0.0 ? demands[n].running + demands[n].waiting - allocations[n].total() : 0;
    };
    while (available > 0) {
        double weight = 0.0;
        for (std::size_t n = 0; n < demands.size(); ++n) {
            weight += wanted(n) > 0 ? demands[n].share : 0.0;
        }
        if (weight <= 0.0) {
            return;
        }
        const int round = available;
        for (std::size_t n = 0; n < demands.size() && available > 0; ++n) {
            if (wanted(n) > 0) {
                const int offer = std::max(1, floorOf(round * demands[n].share / weight));
                const int taken = std::min({offer, wanted(n), available});
                allocations[n].lent += taken;
                available -= taken;
            }
        }
    }
}

} // namespace

int guaranteedCalls(int capacity, double share)
{
    if (share <= 0.0 || capacity <= 0) {
        return 0;
    }
    return std::max(1, floorOf(capacity * share));
}

std::vector<WorkspaceAllocation> allocatePool(int capacity, const std::vector<WorkspaceDemand> &demands,
                                              const LendingOptions &options)
{
    std::vector<WorkspaceAllocation> allocations;
    int reserved = 0;
    for (const auto &it : demands) {
        const int guaranteed = guaranteedCalls(capacity, it.share);
        allocations.push_back({it.workspace, guaranteed, 0});
        const int used = std::min(guaranteed, it.running + it.waiting);
        reserved += used + static_cast<int>(std::ceil((guaranteed - used) * options.reserve - kRounding));
    }
    if (options.lend) {
        lend(capacity - reserved, demands, allocations);
    }
    return allocations;
}

int equalSplit(int total, std::string_view key, const InstanceId &self, const std::vector<InstanceId> &members)
{
    const auto n = static_cast<int>(members.size());
    if (std::find(members.begin(), members.end(), self) == members.end() || total <= 0) {
        return 0;
    }
    // Members take the remainder in the order of their rendezvous weights.
    const auto own = rendezvousWeight(key, self.str());
    const auto ahead = std::count_if(members.begin(), members.end(), [&](const InstanceId &it) {
        const auto weight = rendezvousWeight(key, it.str());
        return std::tie(weight, it) > std::tie(own, self);
    });
    return total / n + (ahead < total % n ? 1 : 0);
}

} // namespace mimosahub
