#pragma once

#include "peer/membership.h"

#include <deque>
#include <map>

namespace mimosahub
{

struct FreshnessOptions {
    /// Time for which a proof keeps a daemon fresh; not a lease in the log.
    Duration lease = std::chrono::milliseconds(2500);
};

/// Decides whether this daemon may send new work: only while it has recent proof
/// that it has applied every record that was accepted more than FreshnessOptions::lease
/// ago. Does no I/O and reads no clock.
class Freshness
{
public:
    explicit Freshness(MemberKey self, FreshnessOptions options = {});

    /// Sets the view of a newly applied epoch (MembershipView::epoch); evidence of
    /// processes that are no longer members is dropped.
    void setView(MembershipView view);
    /// Records that all records through \a applied have been applied.
    void setApplied(Offset applied);
    /// Records that a read of the log, sent at \a sentAt, found the head of the log at
    /// \a head.
    void logHeadRead(TimePoint sentAt, Offset head);
    /// Adds evidence of a member's applied offset, from a peer's message.
    void reported(const MemberEvidence &evidence);

    /// Whether new work may be sent at \a now.
    [[nodiscard]] bool fresh(TimePoint now) const;
    /// When freshness ends by the evidence so far; TimePoint() if there is none.
    [[nodiscard]] TimePoint freshUntil() const;

private:
    struct Proof {
        TimePoint asOf;
        Offset requiredOffset; ///< The proof is valid once this offset is applied.
    };
    /// Evidence of one source: the time of its newest valid proof, and the proofs whose
    /// records are not applied yet.
    struct Source {
        TimePoint provenAt;
        std::deque<Proof> pending;
    };

    void addProof(Source &source, const Proof &proof) const;
    void applyProofs(Source &source) const;
    [[nodiscard]] TimePoint majorityProvenAt() const;

    MemberKey m_self;
    FreshnessOptions m_options;
    MembershipView m_view;
    Offset m_applied;
    Source m_log;
    std::map<MemberKey, Source> m_members;
};

} // namespace mimosahub
