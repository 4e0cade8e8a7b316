// A grant is a compare-and-set on (fencing number, last renewal). Free leases
// are not stored: the fencing number of the next grant is its offset, which is
// higher in any case.

#include "control/lease_table.h"

#include <absl/strings/str_cat.h>

namespace mimosahub
{

namespace
{

Decision staleLease(const LeaseName &name, const std::map<LeaseName, Lease> &leases)
{
    const auto it = leases.find(name);
    if (it == leases.end()) {
        return reject(Rejection::StaleLease, absl::StrCat("lease ", name.str(), " is free."));
    }
    return reject(Rejection::StaleLease,
                  absl::StrCat("lease ", name.str(), " is held by ", it->second.holder.str(), " with fencing number ",
                               it->second.fencing.value(), ", renewed at ", it->second.lastRenewal.value(), "."));
}

} // namespace

Decision LeaseTable::apply(const LeaseAcquire &acquire, const RecordContext &context)
{
    if (acquire.duration.count() <= 0 || acquire.duration > kMaxLeaseDuration) {
        return reject(Rejection::BadDuration,
                      absl::StrCat("a term must be between 1 and ", kMaxLeaseDuration.count(), " ms."));
    }
    const auto it = m_leases.find(acquire.name);
    const auto fencing = it == m_leases.end() ? FencingNumber() : it->second.fencing;
    const auto renewal = it == m_leases.end() ? Offset() : it->second.lastRenewal;
    // Grants within one append have the same fencing number, but also the same holder.
    if (acquire.previous != fencing || acquire.lastRenewal != renewal) {
        return staleLease(acquire.name, m_leases);
    }
    if (it == m_leases.end() && m_leases.size() >= kMaxLeases) {
        return reject(Rejection::TooMany, absl::StrCat("the maximum of ", kMaxLeases, " leases is reached."));
    }
    const auto offset = context.position.offset;
    m_leases[acquire.name] = {context.header.writer, context.header.incarnation, FencingNumber(offset.value()), offset,
                              acquire.duration};
    return accept();
}

Decision LeaseTable::apply(const LeaseRenew &renew, const RecordContext &context)
{
    const auto it = findHeld(renew.name, renew.fencing, context.header);
    if (it == m_leases.end()) {
        return staleLease(renew.name, m_leases);
    }
    it->second.lastRenewal = context.position.offset;
    return accept();
}

Decision LeaseTable::apply(const LeaseRelease &release, const RecordContext &context)
{
    const auto it = findHeld(release.name, release.fencing, context.header);
    if (it == m_leases.end()) {
        return staleLease(release.name, m_leases);
    }
    m_leases.erase(it);
    return accept();
}

std::optional<Lease> LeaseTable::lease(const LeaseName &name) const
{
    const auto it = m_leases.find(name);
    return it == m_leases.end() ? std::nullopt : std::optional(it->second);
}

std::map<LeaseName, Lease>::iterator LeaseTable::findHeld(const LeaseName &name, FencingNumber fencing,
                                                          const BatchHeader &header)
{
    const auto it = m_leases.find(name);
    const bool held = it != m_leases.end() && it->second.fencing == fencing && it->second.holder == header.writer
        && it->second.incarnation == header.incarnation;
    return held ? it : m_leases.end();
}

} // namespace mimosahub
