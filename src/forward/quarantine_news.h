#pragma once

#include "forward/content_id.h"
#include "forward/listed_endpoint.h"
#include "mimosahub/clock.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

/// What daemons tell each other of content of requests that may crash endpoints.
namespace mimosahub
{

/// An endpoint crashed while a request with the content was in flight there.
struct CrashReport {
    ContentId content;
    EndpointStart endpoint;
    TimePoint sentAt; ///< Of the last of such requests.
    TimePoint crashedAt;
    std::uint64_t request = 0; ///< Hash of the most suspicious of them: equal at what that held besides.

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

/// A request with the content was answered completely.
struct AnswerReport {
    ContentId content;
    TimePoint answeredAt;

    friend bool operator==(const AnswerReport &, const AnswerReport &) = default;
};

/// Requests with the content are refused.
struct Quarantine {
    ContentId content;
    std::vector<std::string> with; ///< Shared parts, sorted: only requests that hold them all as well are refused.
    std::uint32_t number = 1; ///< Counts the quarantines of the content.
    bool ended = false;
    std::uint32_t trials = 0; ///< Requests that were let through since it began, by all daemons.
    bool answeredBefore = false; ///< Some daemon had seen answers to requests with the content.
    std::uint32_t crashes = 0; ///< Crashes that it is based on.
    TimePoint since;
    TimePoint changedAt; ///< When it began, had its last trial or ended.

    friend bool operator==(const Quarantine &, const Quarantine &) = default;
    /// Whether this says more of the content than \a other: an ended quarantine can't become
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
    std::uint64_t digest = 0; ///< Of the sender's quarantines; see ContentQuarantine::digest().
    QuarantineNews news;
};

} // namespace mimosahub
