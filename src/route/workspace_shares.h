#pragma once

#include "mimosahub/ids.h"

#include <string_view>
#include <vector>

/// Division of a service's pool: the number of concurrent calls that each workspace
/// may have, counted over all daemons.
namespace mimosahub
{

/// A workspace's use of and demand for one pool, summed over all daemons.
struct WorkspaceDemand {
    WorkspaceId workspace;
    double share = 0.0; ///< Fraction of the pool given in its profile.
    int running = 0; ///< Calls in flight.
    int waiting = 0; ///< Calls waiting for a slot.
};

/// Concurrent calls that one workspace may have over all daemons.
struct WorkspaceAllocation {
    WorkspaceId workspace;
    int guaranteed = 0; ///< From its own share; never reduced while it has demand.
    int lent = 0; ///< Borrowed from others' unused shares; may shrink at any time.

    [[nodiscard]] int total() const
    {
        return guaranteed + lent;
    }
    friend bool operator==(const WorkspaceAllocation &, const WorkspaceAllocation &) = default;
};

/// Parameters of lending unused shares.
struct LendingOptions {
    bool lend = true;
    double reserve = 0.1; ///< Fraction of each unused share that is never lent, so that its owner can start at once.
};

/// Number of concurrent calls for \a share of \a capacity, rounded down; at least one
/// if neither is 0.
[[nodiscard]] int guaranteedCalls(int capacity, double share);

/// Divides a pool that accepts \a capacity concurrent calls: each workspace gets its
/// share, and unused shares are lent to the workspaces with more demand, in proportion
/// to their shares. A borrower's allocation shrinks as soon as an owner's demand
/// returns; its running calls aren't interrupted. Results are in the order of
/// \a demands.
[[nodiscard]] std::vector<WorkspaceAllocation> allocatePool(int capacity, const std::vector<WorkspaceDemand> &demands,
                                                            const LendingOptions &options = {});

/// This daemon's part of \a total calls where no lease determines it: \a total is split
/// equally over \a members, and the parts add up to it exactly. \a key distributes
/// the remainders of different workspaces over different members. 0 if \a self is
/// not a member.
[[nodiscard]] int equalSplit(int total, std::string_view key, const InstanceId &self,
                             const std::vector<InstanceId> &members);

} // namespace mimosahub
