#pragma once

#include "mimosahub/body_digest.h"
#include "mimosahub/clock.h"
#include "mimosahub/ids.h"
#include "mimosahub/outcome.h"
#include "request/request_event.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string_view>

/// Idempotency keys: reading them from a request, and deciding what a request
/// with a key may do, given what the log holds for that key.
namespace mimosahub
{

/// The digest of \a target (method, path and query) and \a body.
[[nodiscard]] BodyDigest bodyDigest(std::string_view target, std::string_view body);

struct IdempotencyOptions {
    std::size_t maxKeyLength = 128; ///< In bytes.
    Duration maxKeyLifetime = std::chrono::hours(24); ///< Longest time from now to an expiry.
    Duration defaultKeyLifetime = std::chrono::hours(1); ///< For keys without an expiry.
    Duration clockSkew = std::chrono::seconds(5); ///< Tolerated difference between the wall clocks of two instances.
    bool requireKey = false; ///< Refuse non-idempotent calls without a key.
};

/// A caller's key.
struct KeyHeaders {
    IdempotencyKey key;
    WallTime expiry;
};

/// Reads the headers "Idempotency-Key" and "Idempotency-Expires", either of
/// them empty if absent. The expiry is an RFC 3339 time, such as
/// "2026-01-31T08:30:00Z" or "2026-01-31T10:30:00.250+02:00", or milliseconds
/// since 1970 in digits. Absent if there is no key; fails if a header is
/// malformed or the expiry is too far ahead.
[[nodiscard]] absl::StatusOr<std::optional<KeyHeaders>>
parseKeyHeaders(const IdempotencyOptions &options, std::string_view key, std::string_view expires, WallTime now);

/// What the log holds for a key.
enum class ClaimHolder {
    None, ///< No claim.
    Own, ///< A claim of this very request.
    OtherAlive, ///< A claim without outcome; its holder is alive.
    OtherGone, ///< A claim without outcome; its holder is gone.
    Released, ///< The last claim was released without a run.
    Done, ///< The outcome is recorded.
};

/// The claim table's view of a key.
struct ClaimView {
    ClaimHolder holder = ClaimHolder::None;
    RecordedDigest digest; ///< Of the claiming request; for all but None.
    WallTime expiry; ///< Of the claim; for all but None.
    Outcome outcome = Outcome::Unknown; ///< For Done only.
};

enum class KeyAction {
    RunUnkeyed, ///< Idempotent, or keyless where that is allowed: no claim.
    Claim, ///< Append a claim before the send.
    AnswerRecorded, ///< Give the recorded answer.
    Wait, ///< Wait for the holder's outcome.
    Refuse, ///< Answer with KeyDecision::refusal.
};

struct KeyDecision {
    KeyAction action = KeyAction::Refuse;
    Refusal refusal; ///< For Refuse only.
};

/// Decides what a non-idempotent request may do. \a key is absent for keyless
/// ones. Each instance takes a key for expired clockSkew before its expiry, and
/// the claim table forgets a claim well after it, so that no instance runs a key
/// whose claim is forgotten unless its wall clock is wrong by more than both.
[[nodiscard]] KeyDecision decideKey(const IdempotencyOptions &options, const std::optional<KeyHeaders> &key,
                                    const BodyDigest &digest, const ClaimView &view, WallTime now);

/// The monotonic time until which a call with a key of \a expiry may be sent.
/// \a now and \a wallTime are the same moment.
[[nodiscard]] TimePoint keyValidUntil(const IdempotencyOptions &options, WallTime expiry, TimePoint now,
                                      WallTime wallTime);

/// The state that RequestCore is told of as ClaimLost, for a request with
/// \a digest whose claim wasn't first.
[[nodiscard]] ClaimLoss claimLossOf(const ClaimView &view, const BodyDigest &digest);

} // namespace mimosahub
