// A daemon may act on its state only while it can prove that it knows every
// record that was accepted more than one lease ago. There are two proofs.
//
// By the log: if a read sent at t found the head of the log at h, then all records
// appended before t are known once h is applied.
//
// By exchanges: a record is accepted once a majority of the members has applied
// it (see confirmation.cc). Suppose that a majority of the members of this
// daemon's view, itself included, had each applied no more than this daemon has,
// at moments not before t. Then this daemon knows every record accepted before t:
// any two majorities share a member, and a process's applied offset only grows. A
// restarted member is another process and counts only once its own join record is
// in the view.
//
// Either proof holds for one lease from t. The proof by the log counts for members
// only: a daemon outside the view is in no other daemon's list of confirmations,
// so it must not become fresh without contact with a majority.

#include "peer/freshness.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace mimosahub
{

namespace
{

constexpr std::size_t kMaxPendingProofs = 8;

} // namespace

Freshness::Freshness(MemberKey self, FreshnessOptions options) : m_self(std::move(self)), m_options(options)
{
}

void Freshness::setView(MembershipView view)
{
    m_view = std::move(view);
    std::erase_if(m_members, [&](const auto &source) { return !isMember(m_view, source.first); });
}

void Freshness::setApplied(Offset applied)
{
    m_applied = std::max(m_applied, applied);
    applyProofs(m_log);
    for (auto &[key, source] : m_members) {
        applyProofs(source);
    }
}

void Freshness::logHeadRead(TimePoint sentAt, Offset head)
{
    addProof(m_log, {sentAt, head});
}

void Freshness::reported(const MemberEvidence &evidence)
{
    if (evidence.member != m_self && isMember(m_view, evidence.member)) {
        addProof(m_members[evidence.member], {evidence.asOf, evidence.appliedAtMost});
    }
}

void Freshness::addProof(Source &source, const Proof &proof) const
{
    source.pending.push_back(proof);
    applyProofs(source);
    if (source.pending.size() > kMaxPendingProofs) {
        source.pending.pop_front();
    }
}

void Freshness::applyProofs(Source &source) const
{
    for (const auto &proof : source.pending) {
        if (proof.requiredOffset <= m_applied) {
            source.provenAt = std::max(source.provenAt, proof.asOf);
        }
    }
    std::erase_if(source.pending, [&](const Proof &proof) { return proof.requiredOffset <= m_applied; });
}

TimePoint Freshness::majorityProvenAt() const
{
    if (m_view.members.empty()) {
        return {};
    }
    const std::size_t own = isMember(m_view, m_self) ? 1 : 0;
    const auto needed = majorityOf(m_view) - own;
    if (needed == 0) {
        // The only member: every accepted record has been applied here.
        return TimePoint::max() - m_options.lease;
    }
    std::vector<TimePoint> times;
    for (const auto &[key, source] : m_members) {
        times.push_back(source.provenAt);
    }
    if (times.size() < needed) {
        return {};
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[needed - 1];
}

TimePoint Freshness::freshUntil() const
{
    auto asOf = majorityProvenAt();
    if (isMember(m_view, m_self)) {
        asOf = std::max(asOf, m_log.provenAt);
    }
    return asOf == TimePoint() ? asOf : asOf + m_options.lease;
}

bool Freshness::fresh(TimePoint now) const
{
    return now < freshUntil();
}

} // namespace mimosahub
