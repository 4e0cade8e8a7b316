#include "request/idempotency.h"

#include <criterion/criterion.h>
#include <string>

using namespace mimosahub;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

namespace
{

const WallTime kNow(std::chrono::milliseconds(1'800'000'000'000)); // 2027-01-15T08:00:00Z
const IdempotencyOptions kOptions;

std::optional<WallTime> expiryOf(std::string_view text)
{
    const auto headers = parseKeyHeaders(kOptions, "k1", text, kNow);
    return headers.ok() && *headers ? std::optional((*headers)->expiry) : std::nullopt;
}

} // namespace

Test(idempotency, reads_both_forms_of_expiry)
{
    cr_assert(expiryOf("1800000060000") == kNow + 60s);
    cr_assert(expiryOf("2027-01-15T08:01:00Z") == kNow + 60s);
    cr_assert(expiryOf("2027-01-15T10:01:00.250+02:00") == kNow + 60250ms);
    cr_assert(expiryOf("") == kNow + std::chrono::hours(1));
}

Test(idempotency, refuses_malformed_headers)
{
    for (const auto *text : {"soon", "-5", "2027-01-15", "infinite-past", "infinite-future", "99999999999999999999",
                             "2027-02-15T08:00:00Z", "1800000060000 "}) {
        cr_assert(!expiryOf(text), "%s", text);
    }
    cr_assert(!parseKeyHeaders(kOptions, "a b", "", kNow).ok());
    cr_assert(!parseKeyHeaders(kOptions, std::string(129, 'k'), "", kNow).ok());
    cr_assert(!parseKeyHeaders(kOptions, "", "1800000060000", kNow).ok());
    cr_assert(!parseKeyHeaders(kOptions, "", "", kNow)->has_value());
}

// Compares all combinations of claim, body, outcome and time until the expiry with
// an independent, order-free statement of the rules: a key runs only while no claim
// of it can be in effect, and every other case has its own answer.
Test(idempotency, decisions_follow_the_claim)
{
    const auto digest = bodyDigest("POST /book", "one");
    for (int i = 0; i < 6 * 4 * 2 * 4; ++i) {
        ClaimView view;
        view.holder = static_cast<ClaimHolder>(i % 6);
        view.outcome = static_cast<Outcome>(i / 6 % 4);
        view.digest = RecordedDigest(bodyDigest("POST /book", i / 24 % 2 == 0 ? "one" : "two"));
        const auto left = kOptions.clockSkew + 1ms * (i / 48 - 2);
        const KeyHeaders key{IdempotencyKey("k1"), kNow + std::chrono::duration_cast<std::chrono::milliseconds>(left)};
        const auto decision = decideKey(kOptions, key, digest, view, kNow);
        const auto &refusal = decision.refusal;

        const bool expired = left <= kOptions.clockSkew;
        const bool reused = view.holder != ClaimHolder::None && !(view.digest == RecordedDigest(digest));
        const bool open = !expired && !reused;
        const bool done = view.holder == ClaimHolder::Done;
        const bool free = view.holder == ClaimHolder::None || view.holder == ClaimHolder::Released
            || (done && view.outcome == Outcome::NotRun);
        const bool recorded = done && (view.outcome == Outcome::Ok || view.outcome == Outcome::Failed);
        const bool running = view.holder == ClaimHolder::Own || view.holder == ClaimHolder::OtherAlive;
        cr_assert((decision.action == KeyAction::Claim) == (open && free));
        cr_assert((decision.action == KeyAction::AnswerRecorded) == (open && recorded));
        cr_assert((decision.action == KeyAction::Wait) == (open && running));
        cr_assert((refusal.reason == Reason::KeyExpired) == expired);
        cr_assert((refusal.reason == Reason::KeyReused) == (!expired && reused));
        cr_assert((refusal.outcome == Outcome::Unknown) == (open && !free && !recorded && !running));
        cr_assert((claimLossOf(view, digest) == ClaimLoss::Reused) == reused);
        cr_assert(expired == (TimePoint(5s) >= keyValidUntil(kOptions, key.expiry, TimePoint(5s), kNow)));
    }
}

Test(idempotency, keyless_calls_and_digests)
{
    auto options = kOptions;
    cr_assert(decideKey(options, std::nullopt, {}, {}, kNow).action == KeyAction::RunUnkeyed);
    options.requireKey = true;
    cr_assert(decideKey(options, std::nullopt, {}, {}, kNow).refusal.reason == Reason::KeyRequired);
    cr_assert(bodyDigest("a", "b") == bodyDigest("a", "b"));
    cr_assert(!(bodyDigest("a", "b") == bodyDigest("b", "a")));
    cr_assert(bodyDigest("a", "b").high != bodyDigest("a", "b").low);
}
