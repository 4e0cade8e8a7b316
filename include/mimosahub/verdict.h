#pragma once

#include "mimosahub/record.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The verdicts of the state machine that applies the records. Every daemon
/// reaches the same verdict on each record.
namespace mimosahub
{

/// Why a record was rejected. The names are part of the API for operators.
enum class Rejection {
    None, ///< The record was accepted.
    Damaged, ///< The append or the record is malformed.
    UnknownFormat, ///< The append's version or the record's kind is unknown.
    TooLarge, ///< A text or the append exceeds its limit.
    StaleIncarnation, ///< A later incarnation of the writer has already written.
    StaleSequence, ///< The sequence number is too old to determine whether it is a duplicate.
    StaleBase, ///< A published object has changed since the version named as its base.
    InvalidConfiguration, ///< The configuration as a whole would be invalid.
    UnknownZone,
    UnknownService,
    UnknownEndpoint,
    RolloutActive, ///< The service has an active rollout.
    NoRollout, ///< The rollout named isn't the active rollout of the service.
    BadSchedule, ///< The rollout would end before it starts, or its old and new versions are the same.
    VersionRolledBack, ///< The version was rolled back in this service before.
    StaleLease, ///< The lease was granted, renewed or released after the grant or renewal that the
                ///< record is based on.
    BadDuration, ///< The term of the lease is out of range.
    ClaimTaken, ///< The key is claimed; the call must not be sent.
    KeyReused, ///< The key is claimed for another body.
    ClaimExpired, ///< The key has expired, and its claim may have been removed.
    UnknownClaim, ///< No such claim, or another incarnation wrote it, or it has ended.
    UnknownOrder, ///< No such order, or it has already ended.
    AlreadyMember, ///< This incarnation or a later one is already a member.
    NotMember, ///< The incarnation isn't a member.
    TooMany, ///< A table of the control state is full.
    BadSnapshot, ///< The numbers of a snapshot part are inconsistent.
};

/// Hyphenated name, for example "stale-base".
[[nodiscard]] std::string_view rejectionName(Rejection rejection);

/// The verdict on one record.
struct Verdict {
    RecordPosition position;
    Rejection rejection = Rejection::None;
    std::string message; ///< One sentence that explains the rejection; empty if accepted.
    std::vector<std::string> problems; ///< Problems found in a configuration.

    [[nodiscard]] bool accepted() const
    {
        return rejection == Rejection::None;
    }
    friend bool operator==(const Verdict &, const Verdict &) = default;
};

/// The result of applying one append.
struct AppliedBatch {
    Offset offset;
    std::optional<BatchHeader> header; ///< Absent if the append is damaged.
    std::optional<Offset> firstOffset; ///< For a duplicate: the offset at which it was first applied.
    std::vector<Verdict>
        verdicts; ///< One per record; a single one for a damaged or stale append; none for a duplicate.

    friend bool operator==(const AppliedBatch &, const AppliedBatch &) = default;
};

} // namespace mimosahub
