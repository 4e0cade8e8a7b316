#pragma once

#include "mimosahub/record.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What the fold decided on each record. Every daemon reaches the same verdicts.
namespace mimosahub
{

/// Why a record was rejected. The names are part of the contract with operators.
enum class Rejection {
    None, ///< It was accepted.
    Damaged, ///< The append or record is malformed.
    UnknownFormat, ///< The append's version or the record's kind is unknown.
    TooLarge, ///< A text or the append is above its limit.
    StaleIncarnation, ///< A later incarnation of the writer has written already.
    StaleSequence, ///< The sequence is too old to tell whether it is a duplicate.
    StaleBase, ///< A published object has changed since the version named as its base.
    InvalidConfiguration, ///< The configuration as a whole would be invalid.
    UnknownZone,
    UnknownService,
    UnknownEndpoint,
    RolloutActive, ///< The service has an active rollout.
    NoRollout, ///< The rollout named is not the service's active one.
    BadSchedule, ///< The rollout would end before it starts, or keep the version.
    VersionRolledBack, ///< The version was taken back in this service before.
    StaleLease, ///< The lease has been granted, renewed or released since.
    BadDuration, ///< The lease's term is out of range.
    ClaimTaken, ///< The key is claimed; the call must not be sent.
    KeyReused, ///< The key is claimed for another body.
    ClaimExpired, ///< The key's expiry has passed, so that its claim may be forgotten.
    UnknownClaim, ///< No such claim, or it is another incarnation's, or it has ended.
    UnknownOrder, ///< No such order, or it is done.
    AlreadyMember, ///< This incarnation or a later one is a member.
    NotMember, ///< No such incarnation among the members.
    TooMany, ///< A table of the control state is full.
    BadSnapshot, ///< A snapshot part with impossible numbers.
};

/// Hyphenated name, for example "stale-base".
[[nodiscard]] std::string_view rejectionName(Rejection rejection);

/// One record's verdict.
struct Verdict {
    RecordPosition position;
    Rejection rejection = Rejection::None;
    std::string message; ///< One sentence for people, empty if accepted.
    std::vector<std::string> problems; ///< What is wrong with a configuration.

    [[nodiscard]] bool accepted() const
    {
        return rejection == Rejection::None;
    }
    friend bool operator==(const Verdict &, const Verdict &) = default;
};

/// What one append came to.
struct AppliedBatch {
    Offset offset;
    std::optional<BatchHeader> header; ///< Absent if the append is damaged.
    std::optional<Offset> firstOffset; ///< Set if this is a duplicate: where it was applied first.
    std::vector<Verdict>
        verdicts; ///< One for each record; one in all for a damaged or stale append; none for a duplicate.

    friend bool operator==(const AppliedBatch &, const AppliedBatch &) = default;
};

} // namespace mimosahub
