// Reports only ever add: crashes by endpoint and start, the latest answer of a part, the
// furthest state of a quarantine. An answer removes the crashes before it. So daemons that
// got the same reports, in whatever order, hold the same.
//
// A part that nobody shares any more after its request is gone can't reach the number of
// crashes by itself; a part that many requests share is soon answered. What remains is a
// part that is in flight at each crash and never answered.

#include "forward/prompt_quarantine.h"

#include "base/hash.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace mimosahub
{

namespace
{

constexpr std::size_t kMaxPartIdBytes = 64;
constexpr std::size_t kMaxCrashes = 32; ///< Of one part that are remembered.
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
/// Crashes under a part that was answered before may have come with another part; from so
/// many on they are reported.
constexpr int kReportedCrashes = 2;

template<typename Map, typename Age>
void forgetOldest(Map &map, std::size_t most, const Age &age)
{
    while (map.size() > most) {
        map.erase(std::min_element(map.begin(), map.end(),
                                   [&](const auto &a, const auto &b) { return age(a.second) < age(b.second); }));
    }
}

/// Whether the part is quarantined for another service: a route may move from one to another.
bool isActiveElsewhere(const std::map<SharedPart, Quarantine> &quarantines, const SharedPart &part)
{
    return std::any_of(quarantines.begin(), quarantines.end(), [&](const auto &other) {
        return other.first.part == part.part && other.first.service != part.service && !other.second.ended;
    });
}

/// Whether \a id can stand in logs and documents as it is.
bool isPlain(std::string_view id)
{
    return id.size() <= kMaxPartIdBytes
        && std::all_of(id.begin(), id.end(), [](unsigned char c) { return absl::ascii_isgraph(c); });
}

} // namespace

std::vector<std::string> sharedPartsOf(const std::vector<PromptPart> &prompt)
{
    std::vector<std::string> parts;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        const auto &id = prompt[i].id;
        parts.push_back(isPlain(id) ? id : absl::StrCat("hash-", absl::Hex(hashBytes(id))));
    }
    return parts;
}

PromptQuarantine::PromptQuarantine(const PromptQuarantineOptions &options)
    : m_options(options), m_answered(options.answeredParts)
{
}

bool PromptQuarantine::isActive(const SharedPart &part) const
{
    const auto it = m_quarantines.find(part);
    return it != m_quarantines.end() && !it->second.ended;
}

void PromptQuarantine::recordCrash(const ServiceId &service, const EndpointStart &endpoint,
                                   const std::map<std::string, TimePoint> &parts, TimePoint crashedAt)
{
    std::size_t reported = 0;
    for (const auto &[id, sentAt] : parts) {
        const SharedPart part{service, id};
        const auto sinceAnswer = m_answered.recordCrash(part);
        if ((sinceAnswer && *sinceAnswer < kReportedCrashes) || reported == m_options.maxPartsPerCrash) {
            continue;
        }
        const CrashReport report{part, endpoint, sentAt, crashedAt};
        if (addCrash(report)) {
            ++reported;
            m_news.crashes.push_back(report);
        }
    }
    judge(crashedAt);
}

void PromptQuarantine::recordAnswer(const ServiceId &service, const std::vector<std::string> &parts, TimePoint now)
{
    for (const auto &id : parts) {
        const SharedPart part{service, id};
        m_answered.recordAnswer(part, now);
        const AnswerReport report{part, now};
        const auto suspect = m_suspects.find(part);
        if (suspect != m_suspects.end() && !suspect->second.crashes.empty() && addAnswer(report)) {
            m_news.answers.push_back(report);
        }
        end(part, now);
    }
}

bool PromptQuarantine::end(const SharedPart &part, TimePoint now)
{
    if (!isActive(part)) {
        return false;
    }
    auto ended = m_quarantines.at(part);
    ended.ended = true;
    ended.changedAt = now;
    return addQuarantine(ended, /*decidedHere=*/true);
}

void PromptQuarantine::merge(const QuarantineNews &news, TimePoint now)
{
    for (const auto &report : news.answers) {
        if (addAnswer(report)) {
            m_news.answers.push_back(report);
        }
    }
    for (const auto &report : news.crashes) {
        if (addCrash(report)) {
            m_news.crashes.push_back(report);
        }
        reportAnswerOf(report.part);
    }
    for (auto quarantine : news.quarantines) {
        quarantine.answeredBefore = quarantine.answeredBefore || m_answered.answeredAt(quarantine.part).has_value();
        addQuarantine(quarantine, /*decidedHere=*/false);
    }
    judge(now);
}

/// Tells the others of this daemon's last answer if that clears \a part, or if the part is
/// close to its quarantine and nobody else has seen an answer.
void PromptQuarantine::reportAnswerOf(const SharedPart &part)
{
    const auto answeredAt = m_answered.answeredAt(part);
    const auto &suspect = m_suspects.at(part);
    if (!answeredAt || suspect.crashes.empty()) {
        return;
    }
    const bool clears = std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                                    [&](const auto &crash) { return crash.crashedAt <= *answeredAt; });
    const bool isFirst = !suspect.answeredAt && static_cast<int>(suspect.crashes.size()) >= kReportedCrashes;
    const AnswerReport answer{part, *answeredAt};
    if ((clears || isFirst) && addAnswer(answer)) {
        m_news.answers.push_back(answer);
    }
}

bool PromptQuarantine::addCrash(const CrashReport &report)
{
    auto &suspect = m_suspects[report.part];
    if (suspect.answeredAt && report.crashedAt <= *suspect.answeredAt) {
        return false;
    }
    const auto same = std::find_if(suspect.crashes.begin(), suspect.crashes.end(), [&](const auto &crash) {
        const Duration apart =
            std::max(crash.crashedAt, report.crashedAt) - std::min(crash.crashedAt, report.crashedAt);
        return crash.endpoint == report.endpoint && apart < m_options.sameCrash;
    });
    if (same != suspect.crashes.end()) {
        same->sentAt = std::max(same->sentAt, report.sentAt);
        same->crashedAt = std::min(same->crashedAt, report.crashedAt);
        return false;
    }
    if (suspect.crashes.size() >= kMaxCrashes) {
        return false;
    }
    suspect.crashes.push_back({report.endpoint, report.sentAt, report.crashedAt});
    suspect.changedAt = std::max(suspect.changedAt, report.crashedAt);
    return true;
}

bool PromptQuarantine::addAnswer(const AnswerReport &report)
{
    auto &suspect = m_suspects[report.part];
    // Of answers after the last crash, the first says all.
    const bool isNews = !suspect.answeredAt || (report.answeredAt > *suspect.answeredAt && !suspect.crashes.empty());
    if (!isNews) {
        return false;
    }
    suspect.answeredAt = report.answeredAt;
    suspect.changedAt = std::max(suspect.changedAt, report.answeredAt);
    std::erase_if(suspect.crashes, [&](const auto &crash) { return crash.crashedAt <= report.answeredAt; });
    return true;
}

bool PromptQuarantine::addQuarantine(Quarantine quarantine, bool decidedHere)
{
    const auto it = m_quarantines.find(quarantine.part);
    if (it != m_quarantines.end()) {
        const auto &known = it->second;
        const bool sameNumber = known.number == quarantine.number;
        quarantine.answeredBefore = quarantine.answeredBefore || (sameNumber && known.answeredBefore);
        const bool newlyAnswered = sameNumber && !known.ended && quarantine.answeredBefore && !known.answeredBefore;
        if (!quarantine.supersedes(known)) {
            if (!newlyAnswered) {
                return false;
            }
            auto corrected = known;
            corrected.answeredBefore = true;
            quarantine = corrected;
        }
    }
    if (quarantine.ended) {
        addAnswer({quarantine.part, quarantine.changedAt}); // What was reported before doesn't count again.
    }
    m_quarantines[quarantine.part] = quarantine;
    forgetOldest(m_quarantines, m_options.maxQuarantines, [](const Quarantine &known) { return known.since; });
    m_news.quarantines.push_back(quarantine);
    m_changes.push_back({std::move(quarantine), decidedHere});
    return true;
}

/// Crashes under parts that are quarantined.
std::set<EndpointStart> PromptQuarantine::explainedCrashes() const
{
    std::set<EndpointStart> explained;
    for (const auto &[part, quarantine] : m_quarantines) {
        const auto suspect = m_suspects.find(part);
        if (quarantine.ended || suspect == m_suspects.end()) {
            continue;
        }
        for (const auto &crash : suspect->second.crashes) {
            explained.insert(crash.endpoint);
        }
    }
    return explained;
}

int PromptQuarantine::crashesInRow(const Suspect &suspect, const std::set<EndpointStart> &explained) const
{
    auto crashes = suspect.crashes;
    std::erase_if(crashes, [&](const auto &crash) { return explained.contains(crash.endpoint); });
    std::sort(crashes.begin(), crashes.end(), [](const auto &a, const auto &b) { return a.crashedAt < b.crashedAt; });
    int n = 0;
    std::optional<TimePoint> last;
    for (const auto &crash : crashes) {
        if (!last || crash.sentAt >= *last) {
            ++n;
            last = crash.crashedAt;
        }
    }
    return n;
}

bool PromptQuarantine::reachesThreshold(const SharedPart &part, const Suspect &suspect, int crashes) const
{
    if (suspect.answeredAt || m_answered.answeredAt(part)) {
        return crashes >= m_options.crashesIfAnswered;
    }
    return crashes >= (isActiveElsewhere(m_quarantines, part) ? 1 : m_options.crashes);
}

/// Quarantines the parts with most crashes in a row first, since these explain crashes of others.
void PromptQuarantine::judge(TimePoint now)
{
    forgetOld(now);
    while (true) {
        int most = 0;
        std::vector<SharedPart> reached;
        const auto explained = explainedCrashes();
        for (const auto &[part, suspect] : m_suspects) {
            const int crashes = isActive(part) ? 0 : crashesInRow(suspect, explained);
            if (crashes < most || !reachesThreshold(part, suspect, crashes)) {
                continue;
            }
            if (crashes > most) {
                most = crashes;
                reached.clear();
            }
            reached.push_back(part);
        }
        if (reached.empty()) {
            return;
        }
        for (const auto &part : reached) {
            begin(part, most, now);
        }
    }
}

void PromptQuarantine::begin(const SharedPart &part, int crashes, TimePoint now)
{
    Quarantine quarantine;
    quarantine.part = part;
    const auto before = m_quarantines.find(part);
    quarantine.number = before == m_quarantines.end() ? 1 : before->second.number + 1;
    quarantine.crashes = static_cast<std::uint32_t>(crashes);
    quarantine.since = now;
    quarantine.changedAt = now;
    quarantine.answeredBefore = m_suspects.at(part).answeredAt || m_answered.answeredAt(part);
    addQuarantine(quarantine, /*decidedHere=*/true);
}

void PromptQuarantine::forgetOld(TimePoint now)
{
    for (auto &[part, suspect] : m_suspects) {
        std::erase_if(suspect.crashes, [&](const auto &crash) { return now - crash.crashedAt > m_options.memory; });
    }
    std::erase_if(m_suspects, [&](const auto &entry) {
        return entry.second.crashes.empty() && now - entry.second.changedAt > m_options.memory;
    });
    forgetOldest(m_suspects, m_options.maxSuspects, [](const Suspect &suspect) { return suspect.changedAt; });
}

Duration PromptQuarantine::trialDelay(const Quarantine &quarantine) const
{
    Duration delay = quarantine.answeredBefore ? m_options.firstTrialIfAnswered : m_options.firstTrial;
    for (std::uint32_t i = 0; i < quarantine.trials && delay < m_options.maxTrialDelay; ++i) {
        delay *= m_options.trialFactor;
    }
    return std::min(delay, m_options.maxTrialDelay);
}

QuarantineVerdict PromptQuarantine::check(const ServiceId &service, const std::vector<std::string> &parts,
                                          TimePoint now) const
{
    QuarantineVerdict verdict;
    if (m_quarantines.empty()) {
        return verdict;
    }
    bool due = true;
    for (const auto &id : parts) {
        const auto it = m_quarantines.find({service, id});
        if (it == m_quarantines.end() || it->second.ended) {
            continue;
        }
        const TimePoint trialAt = it->second.changedAt + trialDelay(it->second);
        due = due && now >= trialAt;
        verdict.parts.push_back(it->first);
        verdict.retryAfter = std::max<Duration>({verdict.retryAfter, trialAt - now, kMinRetryAfter});
    }
    if (!verdict.parts.empty()) {
        std::sort(verdict.parts.begin(), verdict.parts.end());
        verdict.kind = due ? QuarantineVerdict::Kind::TrialDue : QuarantineVerdict::Kind::Refused;
    }
    return verdict;
}

bool PromptQuarantine::mayRetry(const ServiceId &service, const std::vector<std::string> &parts) const
{
    const auto explained = explainedCrashes();
    return std::none_of(parts.begin(), parts.end(), [&](const auto &id) {
        const SharedPart part{service, id};
        const auto it = m_suspects.find(part);
        return isActive(part) || (isActiveElsewhere(m_quarantines, part) && !m_answered.answeredAt(part))
            || (it != m_suspects.end() && crashesInRow(it->second, explained) >= m_options.crashesToStopRetries);
    });
}

bool PromptQuarantine::allAnswered(const ServiceId &service, const std::vector<std::string> &parts) const
{
    return std::all_of(parts.begin(), parts.end(), [&](const auto &id) {
        return m_answered.answeredAt({service, id}).has_value();
    });
}

std::optional<Quarantine> PromptQuarantine::withTrial(const SharedPart &part, TimePoint now) const
{
    if (!isActive(part)) {
        return std::nullopt;
    }
    auto quarantine = m_quarantines.at(part);
    ++quarantine.trials;
    quarantine.changedAt = now;
    return quarantine;
}

QuarantineNews PromptQuarantine::takeNews()
{
    return std::exchange(m_news, {});
}

std::vector<QuarantineChange> PromptQuarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::vector<Quarantine> PromptQuarantine::quarantines() const
{
    std::vector<Quarantine> all;
    all.reserve(m_quarantines.size());
    for (const auto &[part, quarantine] : m_quarantines) {
        all.push_back(quarantine);
    }
    return all;
}

std::vector<EndpointId> PromptQuarantine::crashedEndpoints(const SharedPart &part) const
{
    std::vector<EndpointId> endpoints;
    if (const auto it = m_suspects.find(part); it != m_suspects.end()) {
        for (const auto &crash : it->second.crashes) {
            endpoints.push_back(crash.endpoint.endpoint);
        }
    }
    return endpoints;
}

std::uint64_t PromptQuarantine::digest() const
{
    std::uint64_t digest = 0;
    for (const auto &[part, quarantine] : m_quarantines) {
        digest ^= hashBytes(absl::StrCat(part.service.str(), " ", part.part, " ", quarantine.number, " ",
                                         quarantine.ended ? 1 : 0, " ", quarantine.trials, " ",
                                         quarantine.answeredBefore ? 1 : 0));
    }
    return digest;
}

} // namespace mimosahub
