#pragma once

#include "forward/listed_endpoint.h"
#include "forward/prompt_affinity.h"
#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

/// What daemons tell each other of parts of prompts that may crash endpoints.
namespace mimosahub
{

/// A part of prompts that requests of one service share. What one service's endpoints
/// can't bear may be harmless to another's.
struct SharedPart {
    ServiceId service;
    std::string part;

    friend bool operator==(const SharedPart &, const SharedPart &) = default;
    friend bool operator<(const SharedPart &a, const SharedPart &b)
    {
        return std::tie(a.service, a.part) < std::tie(b.service, b.part);
    }
};

/// An endpoint crashed while a request with the part was in flight there.
struct CrashReport {
    SharedPart part;
    EndpointStart endpoint;
    TimePoint sentAt; ///< Of the last of such requests.
    TimePoint crashedAt;

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

/// A request with the part was answered completely.
struct AnswerReport {
    SharedPart part;
    TimePoint answeredAt;

    friend bool operator==(const AnswerReport &, const AnswerReport &) = default;
};

/// Requests with the part are refused.
struct Quarantine {
    SharedPart part;
    std::uint32_t number = 1; ///< Counts the quarantines of the part.
    bool ended = false;
    std::uint32_t trials = 0; ///< Requests that were let through since it began, by all daemons.
    bool answeredBefore = false; ///< Some daemon had seen answers to requests with the part.
    std::uint32_t crashes = 0; ///< Crashes that it is based on.
    TimePoint since;
    TimePoint changedAt; ///< When it began, had its last trial or ended.

    friend bool operator==(const Quarantine &, const Quarantine &) = default;
    /// Whether this says more of the part than \a other: an ended quarantine can't become
    /// active again but by a new one.
    [[nodiscard]] bool supersedes(const Quarantine &other) const
    {
        return std::tie(number, ended, trials) > std::tie(other.number, other.ended, other.trials);
    }
};

struct QuarantineNews {
    std::vector<CrashReport> crashes;
    std::vector<AnswerReport> answers;
    std::vector<Quarantine> quarantines;

    [[nodiscard]] bool empty() const
    {
        return crashes.empty() && answers.empty() && quarantines.empty();
    }
};

/// What one daemon sends to another.
struct QuarantineMessage {
    std::uint64_t digest = 0; ///< Of the sender's quarantines; see PromptQuarantine::digest().
    QuarantineNews news;
};

/// The ids of the parts of \a prompt that other requests may share: all but the last. Long
/// ids, and those that are not plain text, are replaced by a hash.
[[nodiscard]] std::vector<std::string> sharedPartsOf(const std::vector<PromptPart> &prompt);

} // namespace mimosahub
