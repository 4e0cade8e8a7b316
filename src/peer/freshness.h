#pragma once

#include "peer/membership.h"

#include <deque>
#include <map>

namespace mimosahub
{

struct FreshnessOptions {
    Duration lease = std::chrono::milliseconds(2500); ///< How long evidence keeps a daemon fresh.
};

/// Whether this daemon may send new work: only while it has recent proof that
/// it has applied every record that may be accepted. Pure.
class Freshness
{
public:
    explicit Freshness(MemberKey self, FreshnessOptions options = {});

    /// Takes the view of a newly applied epoch; evidence of those who are no
    /// longer members is dropped.
    void setView(MembershipView view);
    /// Says that all records through \a applied are applied.
    void setApplied(Offset applied);
    /// Takes a read of the log that was sent at \a sentAt and found its head at \a head.
    void logHeadRead(TimePoint sentAt, Offset head);
    /// Takes what a peer's message proves.
    void reported(const MemberEvidence &evidence);

    /// Whether new work may be sent at \a now.
    [[nodiscard]] bool fresh(TimePoint now) const;
    /// End of the freshness that the evidence so far gives; the epoch of the clock if none.
    [[nodiscard]] TimePoint freshUntil() const;

private:
    struct Proof {
        TimePoint asOf;
        Offset requiredOffset; ///< Counts once this offset is applied.
    };
    /// Evidence of one source: the newest that counts, and what waits for records.
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
