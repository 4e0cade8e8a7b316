// The decision follows from the claim's state, after two checks. An expired key
// is refused whatever the log holds, since its claim may already have been
// removed. A key with another body is refused before any state of the first call
// is revealed.

#include "request/idempotency.h"

#include "base/hash.h"
#include "mimosahub/error.h"

#include <absl/strings/numbers.h>
#include <absl/time/time.h>

#include <algorithm>
#include <string>

namespace mimosahub
{

namespace
{

constexpr std::uint64_t kHighSeed = 1;
constexpr std::uint64_t kLowSeed = 2;
constexpr char kFirstVisible = '!';
constexpr char kLastVisible = '~';

absl::Status badHeader(std::string_view message)
{
    return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "", message);
}

bool isVisibleAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= kFirstVisible && c <= kLastVisible; });
}

std::optional<WallTime> parseExpiry(std::string_view text)
{
    const absl::string_view view(text.data(), text.size());
    const bool digits = std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (digits) {
        std::int64_t ms = 0;
        return absl::SimpleAtoi(view, &ms) ? std::optional(WallTime(std::chrono::milliseconds(ms))) : std::nullopt;
    }
    absl::Time time;
    // absl::ParseTime() also accepts "infinite-past" and "infinite-future".
    const bool startsWithYear = text.front() >= '0' && text.front() <= '9';
    if (!startsWithYear || !absl::ParseTime(absl::RFC3339_full, view, &time, nullptr)) {
        return std::nullopt;
    }
    return WallTime(std::chrono::milliseconds(absl::ToUnixMillis(time)));
}

std::chrono::milliseconds milliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

KeyDecision refuse(Outcome outcome, Reason reason, std::string detail)
{
    KeyDecision decision;
    decision.action = KeyAction::Refuse;
    decision.refusal = makeRefusal(reason, std::move(detail), Step::Admit);
    decision.refusal.outcome = outcome;
    return decision;
}

KeyDecision decideByClaim(const ClaimView &view)
{
    switch (view.holder) {
    case ClaimHolder::None:
    case ClaimHolder::Released:
        return {KeyAction::Claim, {}};
    case ClaimHolder::Own:
    case ClaimHolder::OtherAlive:
        return {KeyAction::Wait, {}};
    case ClaimHolder::OtherGone:
        return refuse(Outcome::Unknown, Reason::EndpointLost, "the outcome of the key's first call was not recorded");
    case ClaimHolder::Done:
        break;
    }
    if (view.outcome == Outcome::NotRun) {
        return {KeyAction::Claim, {}};
    }
    if (view.outcome == Outcome::Unknown) {
        return refuse(Outcome::Unknown, Reason::EndpointLost, "the outcome of the key's first call is unknown");
    }
    return {KeyAction::AnswerRecorded, {}};
}

} // namespace

BodyDigest bodyDigest(std::string_view target, std::string_view body)
{
    return BodyDigest{hashBytes(body, hashBytes(target, kHighSeed)), hashBytes(body, hashBytes(target, kLowSeed))};
}

absl::StatusOr<std::optional<KeyHeaders>> parseKeyHeaders(const IdempotencyOptions &options, std::string_view key,
                                                          std::string_view expires, WallTime now)
{
    if (key.empty()) {
        if (!expires.empty()) {
            return badHeader("Idempotency-Expires without Idempotency-Key");
        }
        return std::optional<KeyHeaders>();
    }
    if (key.size() > options.maxKeyLength || !isVisibleAscii(key)) {
        return badHeader("Idempotency-Key is too long or has characters other than visible ASCII");
    }
    auto expiry = std::optional(now + milliseconds(options.defaultKeyLifetime));
    if (!expires.empty()) {
        expiry = parseExpiry(expires);
    }
    if (!expiry) {
        return badHeader("Idempotency-Expires is neither an RFC 3339 time nor milliseconds since 1970");
    }
    if (*expiry > now + milliseconds(options.maxKeyLifetime)) {
        return badHeader("Idempotency-Expires is too far in the future");
    }
    return std::optional(KeyHeaders{IdempotencyKey(key), *expiry});
}

KeyDecision decideKey(const IdempotencyOptions &options, const std::optional<KeyHeaders> &key, const BodyDigest &digest,
                      const ClaimView &view, WallTime now)
{
    if (!key) {
        if (options.requireKey) {
            return refuse(Outcome::NotRun, Reason::KeyRequired, "a non-idempotent call needs an Idempotency-Key");
        }
        return {KeyAction::RunUnkeyed, {}};
    }
    if (now >= key->expiry - milliseconds(options.clockSkew)) {
        return refuse(Outcome::NotRun, Reason::KeyExpired, "the idempotency key has expired");
    }
    if (view.holder != ClaimHolder::None && !view.digest.matches(RecordedDigest(digest))) {
        return refuse(Outcome::NotRun, Reason::KeyReused, "the key was used with another body");
    }
    return decideByClaim(view);
}

TimePoint keyValidUntil(const IdempotencyOptions &options, WallTime expiry, TimePoint now, WallTime wallTime)
{
    return now + (expiry - wallTime) - options.clockSkew;
}

ClaimLoss claimLossOf(const ClaimView &view, const BodyDigest &digest)
{
    if (view.holder != ClaimHolder::None && !view.digest.matches(RecordedDigest(digest))) {
        return ClaimLoss::Reused;
    }
    switch (view.holder) {
    case ClaimHolder::None:
    case ClaimHolder::Released:
        return ClaimLoss::Released;
    case ClaimHolder::Own:
    case ClaimHolder::OtherAlive:
        return ClaimLoss::InProgress;
    case ClaimHolder::OtherGone:
        return ClaimLoss::Unknown;
    case ClaimHolder::Done:
        break;
    }
    return ClaimLoss::Recorded;
}

} // namespace mimosahub
