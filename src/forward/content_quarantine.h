#pragma once

#include "forward/answered_parts.h"
#include "forward/quarantine_news.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mimosahub
{

struct ContentQuarantineOptions {
    /// Crashes in a row, with no answer since the first, after which content is quarantined.
    int crashes = 3;
    int crashesIfAnswered = 6; ///< The same for content of which this daemon has seen answers.
    int crashesToStopRetries = 2; ///< From so many on, a lost request with the content is not sent again.
    /// Reports of crashes of one start of an endpoint within this time are of one crash; its
    /// next start may not be listed yet.
    Duration sameCrash = std::chrono::milliseconds(700);
    Duration memory = std::chrono::minutes(10); ///< Older crashes don't count.
    Duration firstTrial = std::chrono::seconds(20); ///< From the beginning of a quarantine to its first trial.
    Duration firstTrialIfAnswered = std::chrono::seconds(3);
    int trialFactor = 4; ///< The time to the next trial grows by it with each trial.
    Duration maxTrialDelay = std::chrono::hours(1);
    std::size_t answeredParts = 2048; ///< Shared parts of which this daemon remembers answers.
    std::size_t maxSuspects = 2048; ///< Content under suspicion; of more, the oldest is forgotten.
    std::size_t maxQuarantines = 256; ///< Of more, those that began first are forgotten.
    std::size_t maxReportsPerCrash = 64; ///< Of this daemon's requests at one crash, to other daemons.
};

/// Whether a request may be sent.
struct QuarantineVerdict {
    enum class Kind {
        Allowed,
        Refused,
        TrialDue, ///< It may be sent if this daemon can claim the next trial of the quarantines.
    };
    Kind kind = Kind::Allowed;
    std::vector<ContentId> contents; ///< Those that are quarantined, in their order.
    Duration retryAfter{}; ///< If refused.
};

/// A quarantine began, had a trial or ended.
struct QuarantineChange {
    Quarantine quarantine;
    bool decidedHere = false; ///< By this daemon; others may decide the same.
};

/// A request that was in flight at an endpoint when it crashed.
struct CrashedRequest {
    std::vector<ContentId> contents; ///< As contentIdsOf() gives them.
    TimePoint sentAt;
    int events = 0; ///< Of its answer that had come.
};

/// Finds the content of requests that crashes endpoints, from the crashes and answers that
/// all daemons report, and keeps which of it is quarantined. State merges in any order
/// and any number of times, so that daemons may relay each other's reports. It does no I/O
/// and reads no clock. Not thread-safe.
///
/// Everything in flight at an endpoint that crashes is suspect: each part of a prompt, and each
/// request as a whole. An answer clears all content of its request. Content that is in flight
/// at several crashes in a row, each under a request that was sent after the crash before,
/// while no request with it is answered, is quarantined. So endpoints that crash at one moment, by
/// something else, count once. Of content that one and the same requests held at the same crashes,
/// the most special is quarantined, so that sound requests that share the rest go on. The
/// crashes of quarantined content are explained by it: they count once, all together, against
/// what its requests held besides, and not at all against anything else.
class ContentQuarantine
{
public:
    explicit ContentQuarantine(const ContentQuarantineOptions &options = {});

    /// Records that \a endpoint crashed with \a requests of this daemon in flight.
    void recordCrash(const EndpointStart &endpoint, std::vector<CrashedRequest> requests, TimePoint crashedAt);
    /// Records that a request with \a contents was answered completely at this daemon. Ends the
    /// quarantine of each.
    void recordAnswer(const std::vector<ContentId> &contents, TimePoint now);
    /// Takes what another daemon, or the store, reports.
    void merge(const QuarantineNews &news, TimePoint now);

    [[nodiscard]] QuarantineVerdict check(const std::vector<ContentId> &contents, TimePoint now) const;
    /// Whether a request that was lost may be sent again.
    [[nodiscard]] bool mayRetry(const std::vector<ContentId> &contents) const;
    /// Whether this daemon remembers answers for all shared parts among \a contents.
    [[nodiscard]] bool allAnswered(const std::vector<ContentId> &contents) const;
    /// The quarantine as it is after the next trial began at \a now; absent if there is none
    /// that is active.
    [[nodiscard]] std::optional<Quarantine> withTrial(const ContentId &content, TimePoint now) const;
    /// Ends a quarantine, as operators may; false if there is none that is active.
    bool end(const ContentId &content, TimePoint now);

    /// What this daemon learnt since the last call, for the other daemons.
    [[nodiscard]] QuarantineNews takeNews();
    /// Changes since the last call.
    [[nodiscard]] std::vector<QuarantineChange> takeChanges();
    /// All quarantines, active and ended.
    [[nodiscard]] std::vector<Quarantine> quarantines() const;
    /// Endpoints whose crashes count against \a content.
    [[nodiscard]] std::vector<EndpointId> crashedEndpoints(const ContentId &content) const;
    /// The same for daemons that know the same quarantines.
    [[nodiscard]] std::uint64_t digest() const;
    [[nodiscard]] std::size_t suspects() const
    {
        return m_suspects.size();
    }

private:
    struct Crash {
        EndpointStart endpoint;
        TimePoint sentAt;
        TimePoint crashedAt;
        std::uint64_t request = 0;
    };
    struct Suspect {
        std::vector<Crash> crashes; ///< Since the last answer.
        std::optional<TimePoint> answeredAt;
        TimePoint changedAt;
    };
    /// What quarantined content was in flight at a crash, and in which request.
    struct Explanation {
        ContentId content;
        std::uint64_t request = 0;
    };
    using Explanations = std::map<EndpointStart, Explanation>;
    using Suspects = std::map<ContentId, Suspect>;

    [[nodiscard]] const Quarantine *findActive(const ContentId &content) const;
    /// Whether requests are refused for \a content alone.
    [[nodiscard]] bool isRefusedAlone(const ContentId &content) const;
    void reportAnswerOf(const ContentId &content);
    bool addCrash(const CrashReport &report);
    bool addAnswer(const AnswerReport &report);
    bool addQuarantine(Quarantine quarantine, bool decidedHere);
    void judge(TimePoint now);
    [[nodiscard]] std::vector<ContentId> mostCrashed(int &crashes) const;
    [[nodiscard]] bool heldTogether(const ContentId &a, const ContentId &b) const;
    [[nodiscard]] Explanations explanations() const;
    [[nodiscard]] bool holdsAll(const Quarantine &quarantine, const Crash &crash) const;
    [[nodiscard]] static int crashesInRow(const Suspect &suspect, const Explanations &explained);
    [[nodiscard]] bool reachesThreshold(const ContentId &content, const Suspect &suspect, int crashes) const;
    void beginMostSpecial(const std::vector<ContentId> &together, int crashes, TimePoint now);
    void begin(const ContentId &content, std::vector<std::string> with, int crashes, TimePoint now);
    void forgetOld(TimePoint now);
    [[nodiscard]] Duration trialDelay(const Quarantine &quarantine) const;

    ContentQuarantineOptions m_options;
    AnsweredParts m_answered;
    Suspects m_suspects;
    std::map<ContentId, Quarantine> m_quarantines;
    QuarantineNews m_news;
    std::vector<QuarantineChange> m_changes;
};

} // namespace mimosahub
