// At-most-once execution depends on one rule: between the acceptance of a claim
// and the expiry of its key, no second claim of the key is accepted unless the
// holder itself reports that it sent nothing. Only the removal of claims depends
// on time, and the same bound that removes a claim rejects new claims with such
// an expiry.

#include "control/claim_table.h"

#include <absl/strings/str_cat.h>

namespace mimosahub
{

namespace
{

bool retentionEnded(WallTime expiry, WallTime passed)
{
    return expiry + ClaimTable::kRetentionAfterExpiry <= passed;
}

std::size_t bodyBytes(const ClaimState &state)
{
    return state.answer && state.answer->body ? state.answer->body->size() : 0;
}

} // namespace

Decision ClaimTable::apply(const Claim &claim, const RecordContext &context, WallTime passed)
{
    const ClaimKey key{claim.workspace, claim.key};
    if (const auto it = m_claims.find(key); it != m_claims.end()) {
        return rejectClaimed(it->second, claim);
    }
    if (retentionEnded(claim.expiry, passed)) {
        return reject(Rejection::ClaimExpired, absl::StrCat("key ", claim.key.str(), " has expired."));
    }
    const auto count = m_counts.find(claim.workspace);
    if (m_claims.size() >= kMaxClaims || (count != m_counts.end() && count->second >= kMaxClaimsPerWorkspace)) {
        return reject(Rejection::TooMany, "too many idempotency keys are in use.");
    }
    const ClaimState state{context.position, context.header.writer, context.header.incarnation,
                           claim.bodyDigest, claim.expiry,          std::nullopt};
    m_claims.emplace(key, state);
    addToIndexes(key, state);
    return accept();
}

Decision ClaimTable::apply(const ClaimOutcome &outcome, const RecordContext &context)
{
    const auto position = m_byPosition.find(outcome.claim);
    if (position == m_byPosition.end()) {
        return reject(Rejection::UnknownClaim, absl::StrCat("there is no claim at ", outcome.claim.str(), "."));
    }
    const auto it = m_claims.find(position->second);
    auto &state = it->second;
    if (state.holder != context.header.writer || state.incarnation != context.header.incarnation) {
        return reject(Rejection::UnknownClaim,
                      absl::StrCat("the claim at ", outcome.claim.str(), " belongs to ", state.holder.str(), "."));
    }
    if (state.answer) {
        return reject(Rejection::UnknownClaim, absl::StrCat("the claim at ", outcome.claim.str(), " has ended."));
    }
    if (!outcome.answer) {
        erase(it);
        return accept();
    }
    state.answer = outcome.answer;
    if (m_answerBytes + bodyBytes(state) > kMaxTotalAnswerBytes) {
        state.answer->body.reset();
    }
    m_answerBytes += bodyBytes(state);
    return accept();
}

void ClaimTable::eraseExpired(WallTime passed)
{
    while (!m_byExpiry.empty() && retentionEnded(m_byExpiry.begin()->first, passed)) {
        erase(m_claims.find(m_byExpiry.begin()->second));
    }
}

std::optional<ClaimState> ClaimTable::claim(const WorkspaceId &workspace, const IdempotencyKey &key) const
{
    const auto it = m_claims.find({workspace, key});
    return it == m_claims.end() ? std::nullopt : std::optional(it->second);
}

Decision ClaimTable::rejectClaimed(const ClaimState &state, const Claim &claim) const
{
    const auto where = absl::StrCat(state.holder.str(), " at ", state.position.str(), ".");
    if (!state.bodyDigest.matches(claim.bodyDigest)) {
        return reject(Rejection::KeyReused,
                      absl::StrCat("key ", claim.key.str(), " was claimed for another body by ", where));
    }
    return reject(Rejection::ClaimTaken, absl::StrCat("key ", claim.key.str(), " was claimed by ", where));
}

void ClaimTable::addToIndexes(const ClaimKey &key, const ClaimState &state)
{
    m_byPosition.emplace(state.position, key);
    m_byExpiry.emplace(state.expiry, key);
    ++m_counts[key.workspace];
    m_answerBytes += bodyBytes(state);
}

void ClaimTable::erase(Claims::iterator it)
{
    const auto &[key, state] = *it;
    m_byPosition.erase(state.position);
    m_byExpiry.erase({state.expiry, key});
    if (--m_counts[key.workspace] == 0) {
        m_counts.erase(key.workspace);
    }
    m_answerBytes -= bodyBytes(state);
    m_claims.erase(it);
}

void ClaimTable::rebuildIndexes()
{
    m_byPosition.clear();
    m_byExpiry.clear();
    m_counts.clear();
    m_answerBytes = 0;
    for (const auto &[key, state] : m_claims) {
        addToIndexes(key, state);
    }
}

} // namespace mimosahub
