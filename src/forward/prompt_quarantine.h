#pragma once

#include "forward/answered_parts.h"
#include "forward/quarantine_news.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mimosahub
{

struct PromptQuarantineOptions {
    /// Crashes in a row, with no answer since the first, after which a part is quarantined.
    int crashes = 3;
    int crashesIfAnswered = 6; ///< The same for a part of which this daemon has seen answers.
    int crashesToStopRetries = 2; ///< From so many on, a lost request with the part is not sent again.
    /// Reports of crashes of one start of an endpoint within this time are of one crash; its
    /// next start may not be listed yet.
    Duration sameCrash = std::chrono::milliseconds(700);
    Duration memory = std::chrono::minutes(10); ///< Older crashes don't count.
    Duration firstTrial = std::chrono::seconds(20); ///< From the beginning of a quarantine to its first trial.
    Duration firstTrialIfAnswered = std::chrono::seconds(3);
    int trialFactor = 4; ///< The time to the next trial grows by it with each trial.
    Duration maxTrialDelay = std::chrono::hours(1);
    std::size_t answeredParts = 2048; ///< Parts of which this daemon remembers answers.
    std::size_t maxSuspects = 256; ///< Parts under suspicion; of more, the oldest are forgotten.
    std::size_t maxQuarantines = 256; ///< Of more, those that began first are forgotten.
    std::size_t maxPartsPerCrash = 32; ///< Of one crash that are reported to other daemons.
};

/// Whether a request may be sent.
struct QuarantineVerdict {
    enum class Kind {
        Allowed,
        Refused,
        TrialDue, ///< It may be sent if this daemon can claim the next trial of the quarantines.
    };
    Kind kind = Kind::Allowed;
    std::vector<SharedPart> parts; ///< Those that are quarantined, in their order.
    Duration retryAfter{}; ///< If refused.
};

/// A quarantine began, had a trial or ended.
struct QuarantineChange {
    Quarantine quarantine;
    bool decidedHere = false; ///< By this daemon; others may decide the same.
};

/// Finds the shared parts of prompts that crash endpoints, from the crashes and answers that
/// all daemons report, and keeps which of them are quarantined. State merges in any order
/// and any number of times, so that daemons may relay each other's reports. It does no I/O
/// and reads no clock. Not thread-safe.
///
/// Everything in flight at an endpoint that crashes is suspect. An answer clears all parts
/// of its request. A part that is in flight at several crashes in a row, each under a request
/// that was sent after the crash before, while none of its requests is answered, is
/// quarantined. So endpoints that crash at one moment, by something else, count once. The
/// crashes of a quarantined part are explained by it and no longer count against others.
class PromptQuarantine
{
public:
    explicit PromptQuarantine(const PromptQuarantineOptions &options = {});

    /// Records that \a endpoint crashed with requests of \a service in flight that held
    /// \a parts, at this daemon: each with the time at which the last of them was sent.
    void recordCrash(const ServiceId &service, const EndpointStart &endpoint,
                     const std::map<std::string, TimePoint> &parts, TimePoint crashedAt);
    /// Records that a request with \a parts was answered completely at this daemon. Ends the
    /// quarantine of each.
    void recordAnswer(const ServiceId &service, const std::vector<std::string> &parts, TimePoint now);
    /// Takes what another daemon, or the store, reports.
    void merge(const QuarantineNews &news, TimePoint now);

    [[nodiscard]] QuarantineVerdict check(const ServiceId &service, const std::vector<std::string> &parts,
                                          TimePoint now) const;
    /// Whether a request that was lost may be sent again.
    [[nodiscard]] bool mayRetry(const ServiceId &service, const std::vector<std::string> &parts) const;
    /// Whether this daemon remembers answers for all \a parts.
    [[nodiscard]] bool allAnswered(const ServiceId &service, const std::vector<std::string> &parts) const;
    /// The quarantine as it is after the next trial began at \a now; absent if there is none
    /// that is active.
    [[nodiscard]] std::optional<Quarantine> withTrial(const SharedPart &part, TimePoint now) const;
    /// Ends a quarantine, as operators may; false if there is none that is active.
    bool end(const SharedPart &part, TimePoint now);

    /// What this daemon learnt since the last call, for the other daemons.
    [[nodiscard]] QuarantineNews takeNews();
    /// Changes since the last call.
    [[nodiscard]] std::vector<QuarantineChange> takeChanges();
    /// All quarantines, active and ended.
    [[nodiscard]] std::vector<Quarantine> quarantines() const;
    /// Endpoints whose crashes count against \a part.
    [[nodiscard]] std::vector<EndpointId> crashedEndpoints(const SharedPart &part) const;
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
    };
    struct Suspect {
        std::vector<Crash> crashes; ///< Since the last answer.
        std::optional<TimePoint> answeredAt;
        TimePoint changedAt;
    };

    [[nodiscard]] bool isActive(const SharedPart &part) const;
    void reportAnswerOf(const SharedPart &part);
    bool addCrash(const CrashReport &report);
    bool addAnswer(const AnswerReport &report);
    bool addQuarantine(Quarantine quarantine, bool decidedHere);
    void judge(TimePoint now);
    [[nodiscard]] std::set<EndpointStart> explainedCrashes() const;
    [[nodiscard]] int crashesInRow(const Suspect &suspect, const std::set<EndpointStart> &explained) const;
    [[nodiscard]] bool reachesThreshold(const SharedPart &part, const Suspect &suspect, int crashes) const;
    void begin(const SharedPart &part, int crashes, TimePoint now);
    void forgetOld(TimePoint now);
    [[nodiscard]] Duration trialDelay(const Quarantine &quarantine) const;

    PromptQuarantineOptions m_options;
    AnsweredParts m_answered;
    std::map<SharedPart, Suspect> m_suspects;
    std::map<SharedPart, Quarantine> m_quarantines;
    QuarantineNews m_news;
    std::vector<QuarantineChange> m_changes;
};

} // namespace mimosahub
