#pragma once

#include "control/decision.h"

#include <chrono>
#include <map>
#include <optional>

namespace mimosahub
{

/// A lease that is currently held.
struct Lease {
    InstanceId holder;
    Incarnation incarnation;
    FencingNumber fencing; ///< Offset of the grant.
    Offset lastRenewal; ///< Offset of the grant or of the last renewal.
    std::chrono::milliseconds duration{}; ///< Length of the term, which starts anew with each renewal.

    friend bool operator==(const Lease &, const Lease &) = default;
};

/// Leases with fencing numbers. The table has no clock: a daemon that wants a
/// held lease waits for the term by its own clock, starting when it applied the
/// last renewal, and names that renewal in its LeaseAcquire. The holder counts
/// its term from before it sent the renewal. Of a renewal and a competing
/// acquisition, the one appended first wins and the other is rejected, so terms
/// never overlap as long as the daemons' monotonic clocks drift apart by less
/// than the acquiring daemon's margin.
class LeaseTable
{
public:
    static constexpr std::size_t kMaxLeases = 16384;

    Decision apply(const LeaseAcquire &acquire, const RecordContext &context);
    Decision apply(const LeaseRenew &renew, const RecordContext &context);
    Decision apply(const LeaseRelease &release, const RecordContext &context);

    /// The holder of \a name; none if the lease is free.
    [[nodiscard]] std::optional<Lease> lease(const LeaseName &name) const;
    [[nodiscard]] const std::map<LeaseName, Lease> &leases() const
    {
        return m_leases;
    }

    template<class Archive>
    friend void describe(Archive &archive, LeaseTable &it)
    {
        archive.field("leases", it.m_leases);
    }
    friend bool operator==(const LeaseTable &, const LeaseTable &) = default;

private:
    [[nodiscard]] std::map<LeaseName, Lease>::iterator findHeld(const LeaseName &name, FencingNumber fencing,
                                                                const BatchHeader &header);

    std::map<LeaseName, Lease> m_leases;
};

template<class Archive>
void describe(Archive &archive, Lease &it)
{
    archive.field("holder", it.holder);
    archive.field("incarnation", it.incarnation);
    archive.field("fencing", it.fencing);
    archive.field("lastRenewal", it.lastRenewal);
    archive.field("duration", it.duration);
}

} // namespace mimosahub
