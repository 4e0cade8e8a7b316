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

/// Idempotency keys: parses them from a request and decides what a request with a
/// key may do, given the claim that the log holds for that key.
namespace mimosahub
{

/// Digest of \a target (method, path and query) and \a body.
[[nodiscard]] BodyDigest bodyDigest(std::string_view target, std::string_view body);

/// Limits of idempotency keys.
struct IdempotencyOptions {
    std::size_t maxKeyLength = 128; ///< In bytes.
    Duration maxKeyLifetime = std::chrono::hours(24); ///< Longest time from now until an expiry.
    Duration defaultKeyLifetime = std::chrono::hours(1); ///< Time until the expiry of keys that name none.
    Duration clockSkew = std::chrono::seconds(5); ///< Tolerated difference between the wall clocks of two instances.
    bool requireKey = false; ///< Refuse non-idempotent calls without a key.
};

/// The idempotency key and expiry that a caller sent.
struct KeyHeaders {
    IdempotencyKey key;
    WallTime expiry;
};

/// Parses the headers "Idempotency-Key" and "Idempotency-Expires"; a missing one
/// is passed as an empty text. The expiry is an RFC 3339 time, such as
/// "2026-01-31T08:30:00Z" or "2026-01-31T10:30:00.250+02:00", or milliseconds
/// since 1970 in digits. Absent if there is no key. Errors: InvalidArgument if a
/// header is malformed or the expiry is too far in the future.
[[nodiscard]] absl::StatusOr<std::optional<KeyHeaders>>
parseKeyHeaders(const IdempotencyOptions &options, std::string_view key, std::string_view expires, WallTime now);

/// State and holder of the claim that the log holds for a key.
enum class ClaimHolder {
    None, ///< No claim.
    Own, ///< A claim of this request.
    OtherAlive, ///< A claim without a recorded outcome; its holder is alive.
    OtherGone, ///< A claim without a recorded outcome; its holder is gone.
    Released, ///< The last claim was released and its call never ran.
    Done, ///< The outcome is recorded.
};

/// The claim table's entry for a key.
struct ClaimView {
    ClaimHolder holder = ClaimHolder::None;
    RecordedDigest digest; ///< Digest of the request that holds the claim; for all but None.
    WallTime expiry; ///< Expiry of the claim; for all but None.
    Outcome outcome = Outcome::Unknown; ///< Recorded outcome; for Done only.
};

/// How to proceed with a request, according to its key.
enum class KeyAction {
    RunUnkeyed, ///< Run without a claim: idempotent, or without a key where none is required.
    Claim, ///< Append a claim before the call is sent.
    AnswerRecorded, ///< Return the recorded answer.
    Wait, ///< Wait for the outcome of the request that holds the claim.
    Refuse, ///< Answer with KeyDecision::refusal.
};

/// The result of decideKey().
struct KeyDecision {
    KeyAction action = KeyAction::Refuse;
    Refusal refusal; ///< For Refuse only.
};

/// Decides what a non-idempotent request may do. \a key is absent if the caller
/// sent none. Each instance treats a key as expired clockSkew before its expiry,
/// and the claim table removes a claim well after it. An instance therefore runs a
/// key whose claim was removed only if its wall clock is wrong by more than both
/// together.
[[nodiscard]] KeyDecision decideKey(const IdempotencyOptions &options, const std::optional<KeyHeaders> &key,
                                    const BodyDigest &digest, const ClaimView &view, WallTime now);

/// The monotonic time until which a call whose key expires at \a expiry may be
/// sent. \a now and \a wallTime denote the same instant.
[[nodiscard]] TimePoint keyValidUntil(const IdempotencyOptions &options, WallTime expiry, TimePoint now,
                                      WallTime wallTime);

/// The state to report to RequestCore in ClaimLost, for a request with \a digest
/// whose claim wasn't first in the log.
[[nodiscard]] ClaimLoss claimLossOf(const ClaimView &view, const BodyDigest &digest);

} // namespace mimosahub
