#pragma once

#include "control/decision.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace mimosahub
{

/// Names one idempotency key of one workspace.
struct ClaimKey {
    WorkspaceId workspace;
    IdempotencyKey key;

    friend bool operator==(const ClaimKey &, const ClaimKey &) = default;
    friend std::strong_ordering operator<=>(const ClaimKey &a, const ClaimKey &b)
    {
        return std::tie(a.workspace, a.key) <=> std::tie(b.workspace, b.key);
    }
};

/// One claimed key.
struct ClaimState {
    RecordPosition position;
    InstanceId holder;
    Incarnation incarnation;
    RecordedDigest bodyDigest;
    WallTime expiry{};
    std::optional<ClaimAnswer> answer; ///< Absent while the call runs, and forever if its holder died.

    friend bool operator==(const ClaimState &, const ClaimState &) = default;
};

/// The claimed idempotency keys, their holders and the results of their calls.
/// The first claim by position wins and can't be taken over: a claim whose
/// holder died stays, since its call may have run. A released claim is removed;
/// by releasing it, the holder guarantees that it sent no byte of the call and
/// will send none.
///
/// A claim is removed kRetentionAfterExpiry after its key expired. From then on
/// claims with such an expiry are rejected, so that a late repeat can't run. A
/// holder must not send once the key has expired by its own clock.
class ClaimTable
{
public:
    static constexpr std::size_t kMaxClaims = 65536;
    /// Limit for one workspace, so that it can't exhaust the table for all others.
    static constexpr std::size_t kMaxClaimsPerWorkspace = kMaxClaims / 4;
    /// Total bytes of answer bodies; answers beyond it are kept without their body.
    static constexpr std::size_t kMaxTotalAnswerBytes = std::size_t(16) * 1024 * 1024;
    /// Tolerated skew between the calendar clocks of daemons.
    static constexpr std::chrono::milliseconds kRetentionAfterExpiry = std::chrono::minutes(2);

    /// \a passed is TrustedTime::passed() of the control state.
    Decision apply(const Claim &claim, const RecordContext &context, WallTime passed);
    Decision apply(const ClaimOutcome &outcome, const RecordContext &context);
    /// Removes the claims whose keys expired at least kRetentionAfterExpiry ago.
    void eraseExpired(WallTime passed);

    [[nodiscard]] std::optional<ClaimState> claim(const WorkspaceId &workspace, const IdempotencyKey &key) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_claims.size();
    }

    template<class Archive>
    friend void describe(Archive &archive, ClaimTable &it)
    {
        archive.field("claims", it.m_claims);
        if constexpr (Archive::kReading) {
            it.rebuildIndexes();
        }
    }
    friend bool operator==(const ClaimTable &, const ClaimTable &) = default;

private:
    using Claims = std::map<ClaimKey, ClaimState>;

    Decision rejectClaimed(const ClaimState &state, const Claim &claim) const;
    void addToIndexes(const ClaimKey &key, const ClaimState &state);
    void erase(Claims::iterator it);
    void rebuildIndexes();

    Claims m_claims;
    // Derived from m_claims.
    std::map<RecordPosition, ClaimKey> m_byPosition;
    std::set<std::pair<WallTime, ClaimKey>> m_byExpiry;
    std::map<WorkspaceId, std::size_t> m_counts;
    std::size_t m_answerBytes = 0;
};

template<class Archive>
void describe(Archive &archive, ClaimKey &it)
{
    archive.field("workspace", it.workspace);
    archive.field("key", it.key);
}

template<class Archive>
void describe(Archive &archive, ClaimState &it)
{
    archive.field("position", it.position);
    archive.field("holder", it.holder);
    archive.field("incarnation", it.incarnation);
    archive.field("body", it.bodyDigest);
    archive.field("expiry", it.expiry);
    archive.field("answer", it.answer);
}

} // namespace mimosahub
