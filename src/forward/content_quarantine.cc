// Reports only ever add: crashes by endpoint and start, the latest answer of some content, the
// furthest state of a quarantine. An answer removes the crashes before it. So daemons that
// got the same reports, in whatever order, hold the same.
//
// Content that is a request's own reaches the number of crashes only if that request comes again
// and again; content that many requests share is soon answered. What remains is content that is
// in flight at each crash and never answered.

#include "forward/content_quarantine.h"

#include "base/hash.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace mimosahub
{

namespace
{

constexpr std::size_t kMaxCrashes = 32; ///< Of some content that are remembered.
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
/// Crashes under a part that was answered before may have come with other content; from so
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

/// Whether the content is quarantined for another service: a route may move from one to another.
bool isActiveElsewhere(const std::map<ContentId, Quarantine> &quarantines, const ContentId &content)
{
    return std::any_of(quarantines.begin(), quarantines.end(), [&](const auto &entry) {
        const auto &[other, quarantine] = entry;
        return other.id == content.id && other.kind == content.kind && other.service != content.service
            && !quarantine.ended;
    });
}

/// Whether \a quarantine refuses a request that holds its content and \a contents.
bool coversAll(const Quarantine &quarantine, const std::vector<ContentId> &contents)
{
    return std::all_of(quarantine.with.begin(), quarantine.with.end(), [&](const auto &part) {
        return std::any_of(contents.begin(), contents.end(), [&](const auto &content) {
            return content.kind == ContentKind::SharedPart && content.id == part;
        });
    });
}

/// The hash of the request whose content \a contents are.
std::uint64_t requestHash(const std::vector<ContentId> &contents)
{
    return contents.empty() ? 0 : hashBytes(contents.back().id);
}

/// The requests of a crash that held some content.
struct Holders {
    TimePoint lastSentAt;
    std::uint64_t request = 0; ///< Hash of the most suspicious one.
};

} // namespace

ContentQuarantine::ContentQuarantine(const ContentQuarantineOptions &options)
    : m_options(options), m_answered(options.answeredParts)
{
}

const Quarantine *ContentQuarantine::findActive(const ContentId &content) const
{
    const auto it = m_quarantines.find(content);
    return it == m_quarantines.end() || it->second.ended ? nullptr : &it->second;
}

bool ContentQuarantine::isRefusedAlone(const ContentId &content) const
{
    const auto *quarantine = findActive(content);
    return quarantine != nullptr && quarantine->with.empty();
}

// Of more requests than can be reported, those come first that were at the beginning of their
// answer: most content that crashes endpoints does so there.
void ContentQuarantine::recordCrash(const EndpointStart &endpoint, std::vector<CrashedRequest> requests,
                                    TimePoint crashedAt)
{
    std::sort(requests.begin(), requests.end(),
              [](const auto &a, const auto &b) { return std::tie(a.events, b.sentAt) < std::tie(b.events, a.sentAt); });
    std::map<ContentId, Holders> holders;
    std::vector<ContentId> order;
    for (const auto &request : requests) {
        for (const auto &content : request.contents) {
            const auto [it, isNew] = holders.try_emplace(content);
            if (isNew) {
                order.push_back(content);
                it->second = {request.sentAt, requestHash(request.contents)};
            }
            it->second.lastSentAt = std::max(it->second.lastSentAt, request.sentAt);
        }
    }
    std::size_t reported = 0;
    for (const auto &content : order) {
        const auto sinceAnswer =
            content.kind == ContentKind::SharedPart ? m_answered.recordCrash(content) : std::nullopt;
        if ((sinceAnswer && *sinceAnswer < kReportedCrashes) || reported == m_options.maxReportsPerCrash) {
            continue;
        }
        const auto &[lastSentAt, request] = holders.at(content);
        const CrashReport report{content, endpoint, lastSentAt, crashedAt, request};
        if (addCrash(report)) {
            ++reported;
            m_news.crashes.push_back(report);
        }
    }
    judge(crashedAt);
}

// What is a request's own never comes again once it was answered: remembering it would only
// push out what others share.
void ContentQuarantine::recordAnswer(const std::vector<ContentId> &contents, TimePoint now)
{
    for (const auto &content : contents) {
        if (content.kind == ContentKind::SharedPart) {
            m_answered.recordAnswer(content, now);
        }
        const AnswerReport report{content, now};
        const auto suspect = m_suspects.find(content);
        if (suspect != m_suspects.end() && !suspect->second.crashes.empty() && addAnswer(report)) {
            m_news.answers.push_back(report);
        }
        end(content, now);
    }
}

bool ContentQuarantine::end(const ContentId &content, TimePoint now)
{
    const auto *active = findActive(content);
    if (active == nullptr) {
        return false;
    }
    auto ended = *active;
    ended.ended = true;
    ended.changedAt = now;
    return addQuarantine(ended, /*decidedHere=*/true);
}

void ContentQuarantine::merge(const QuarantineNews &news, TimePoint now)
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
        reportAnswerOf(report.content);
    }
    for (auto quarantine : news.quarantines) {
        quarantine.answeredBefore = quarantine.answeredBefore || m_answered.answeredAt(quarantine.content).has_value();
        addQuarantine(quarantine, /*decidedHere=*/false);
    }
    judge(now);
}

/// Tells the others of this daemon's last answer if that clears \a content, or if the content is
/// close to its quarantine and nobody else has seen an answer.
void ContentQuarantine::reportAnswerOf(const ContentId &content)
{
    const auto answeredAt = m_answered.answeredAt(content);
    const auto &suspect = m_suspects.at(content);
    if (!answeredAt || suspect.crashes.empty()) {
        return;
    }
    const bool clears = std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                                    [&](const auto &crash) { return crash.crashedAt <= *answeredAt; });
    const bool isFirst = !suspect.answeredAt && static_cast<int>(suspect.crashes.size()) >= kReportedCrashes;
    const AnswerReport answer{content, *answeredAt};
    if ((clears || isFirst) && addAnswer(answer)) {
        m_news.answers.push_back(answer);
    }
}

bool ContentQuarantine::addCrash(const CrashReport &report)
{
    auto &suspect = m_suspects[report.content];
    if (suspect.answeredAt && report.crashedAt <= *suspect.answeredAt) {
        return false;
    }
    const auto same = std::find_if(suspect.crashes.begin(), suspect.crashes.end(), [&](const auto &crash) {
        const Duration apart =
            std::max(crash.crashedAt, report.crashedAt) - std::min(crash.crashedAt, report.crashedAt);
        return crash.endpoint == report.endpoint && apart < m_options.sameCrash;
    });
    if (same != suspect.crashes.end()) {
        if (std::tie(report.sentAt, report.request) > std::tie(same->sentAt, same->request)) {
            same->sentAt = report.sentAt;
            same->request = report.request;
        }
        same->crashedAt = std::min(same->crashedAt, report.crashedAt);
        return false;
    }
    if (suspect.crashes.size() >= kMaxCrashes) {
        return false;
    }
    suspect.crashes.push_back({report.endpoint, report.sentAt, report.crashedAt, report.request});
    suspect.changedAt = std::max(suspect.changedAt, report.crashedAt);
    return true;
}

bool ContentQuarantine::addAnswer(const AnswerReport &report)
{
    auto &suspect = m_suspects[report.content];
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

// Daemons that decided by different reports may differ in what is refused: the wider one holds.
bool ContentQuarantine::addQuarantine(Quarantine quarantine, bool decidedHere)
{
    const auto it = m_quarantines.find(quarantine.content);
    if (it != m_quarantines.end()) {
        const auto &known = it->second;
        if (known.number == quarantine.number) {
            quarantine.answeredBefore = quarantine.answeredBefore || known.answeredBefore;
            std::vector<std::string> both;
            std::set_intersection(known.with.begin(), known.with.end(), quarantine.with.begin(), quarantine.with.end(),
                                  std::back_inserter(both));
            quarantine.with = std::move(both);
        }
        if (!quarantine.supersedes(known)) {
            const bool corrects = known.number == quarantine.number && !known.ended
                && (quarantine.answeredBefore != known.answeredBefore || quarantine.with != known.with);
            if (!corrects) {
                return false;
            }
            auto corrected = known;
            corrected.answeredBefore = quarantine.answeredBefore;
            corrected.with = std::move(quarantine.with);
            quarantine = std::move(corrected);
        }
    }
    if (quarantine.ended) {
        addAnswer({quarantine.content, quarantine.changedAt}); // What was reported before doesn't count again.
    }
    m_quarantines[quarantine.content] = quarantine;
    forgetOldest(m_quarantines, m_options.maxQuarantines, [](const Quarantine &known) { return known.since; });
    m_news.quarantines.push_back(quarantine);
    m_changes.push_back({std::move(quarantine), decidedHere});
    return true;
}

/// The crashes under content that is quarantined.
ContentQuarantine::Explanations ContentQuarantine::explanations() const
{
    Explanations explained;
    for (const auto &[content, quarantine] : m_quarantines) {
        const auto suspect = m_suspects.find(content);
        if (quarantine.ended || suspect == m_suspects.end()) {
            continue;
        }
        for (const auto &crash : suspect->second.crashes) {
            if (holdsAll(quarantine, crash)) {
                explained[crash.endpoint] = {content, crash.request};
            }
        }
    }
    return explained;
}

/// Whether the request of \a crash held all parts that \a quarantine names besides.
bool ContentQuarantine::holdsAll(const Quarantine &quarantine, const Crash &crash) const
{
    return std::all_of(quarantine.with.begin(), quarantine.with.end(), [&](const auto &part) {
        const auto suspect = m_suspects.find({quarantine.content.service, part});
        return suspect != m_suspects.end()
            && std::any_of(suspect->second.crashes.begin(), suspect->second.crashes.end(), [&](const auto &other) {
                   return other.endpoint == crash.endpoint && other.request == crash.request;
               });
    });
}

int ContentQuarantine::crashesInRow(const Suspect &suspect, const Explanations &explained)
{
    auto crashes = suspect.crashes;
    std::sort(crashes.begin(), crashes.end(), [](const auto &a, const auto &b) { return a.crashedAt < b.crashedAt; });
    int n = 0;
    std::optional<TimePoint> last;
    std::vector<ContentId> counted; // Quarantined content whose crashes count already.
    for (const auto &crash : crashes) {
        if (const auto it = explained.find(crash.endpoint); it != explained.end()) {
            const auto &[other, request] = it->second;
            if (request != crash.request || std::find(counted.begin(), counted.end(), other) != counted.end()) {
                continue;
            }
            counted.push_back(other);
        }
        if (!last || crash.sentAt >= *last) {
            ++n;
            last = crash.crashedAt;
        }
    }
    return n;
}

bool ContentQuarantine::reachesThreshold(const ContentId &content, const Suspect &suspect, int crashes) const
{
    if (suspect.answeredAt || m_answered.answeredAt(content)) {
        return crashes >= m_options.crashesIfAnswered;
    }
    return crashes >= (isActiveElsewhere(m_quarantines, content) ? 1 : m_options.crashes);
}

/// The content that is to be quarantined, all with as many \a crashes, the most there are.
std::vector<ContentId> ContentQuarantine::mostCrashed(int &crashes) const
{
    std::vector<ContentId> reached;
    const auto explained = explanations();
    crashes = m_quarantines.empty() ? m_options.crashes : 1; // Fewer are enough only for what is quarantined elsewhere.
    for (const auto &[content, suspect] : m_suspects) {
        if (static_cast<int>(suspect.crashes.size()) < crashes || isRefusedAlone(content)) {
            continue;
        }
        const int n = crashesInRow(suspect, explained);
        if (n < crashes || !reachesThreshold(content, suspect, n)) {
            continue;
        }
        if (n > crashes) {
            crashes = n;
            reached.clear();
        }
        reached.push_back(content);
    }
    return reached;
}

/// Whether one and the same requests held \a a and \a b at the same crashes.
bool ContentQuarantine::heldTogether(const ContentId &a, const ContentId &b) const
{
    const auto requestsOf = [this](const ContentId &content) {
        std::map<EndpointStart, std::uint64_t> requests;
        for (const auto &crash : m_suspects.at(content).crashes) {
            requests[crash.endpoint] = crash.request;
        }
        return requests;
    };
    return a.service == b.service && requestsOf(a) == requestsOf(b);
}

/// Quarantines what has most crashes in a row first, since these explain crashes of others.
void ContentQuarantine::judge(TimePoint now)
{
    forgetOld(now);
    while (true) {
        int crashes = 0;
        auto reached = mostCrashed(crashes);
        if (reached.empty()) {
            return;
        }
        while (!reached.empty()) {
            const auto first = reached.front();
            const auto others = std::stable_partition(
                reached.begin(), reached.end(), [&](const auto &content) { return heldTogether(first, content); });
            beginMostSpecial({reached.begin(), others}, crashes, now);
            reached.erase(reached.begin(), others);
        }
    }
}

/// \a together: content that the same requests held at the same \a crashes.
void ContentQuarantine::beginMostSpecial(const std::vector<ContentId> &together, int crashes, TimePoint now)
{
    const auto special = std::max_element(together.begin(), together.end(),
                                          [](const auto &a, const auto &b) { return a.kind < b.kind; });
    if (special->kind != ContentKind::SharedPart) {
        begin(*special, {}, crashes, now);
        return;
    }
    for (const auto &content : together) {
        std::vector<std::string> with;
        if (findActive(content) == nullptr) { // Else it has crashed endpoints without the others.
            for (const auto &other : together) {
                if (other != content) {
                    with.push_back(other.id);
                }
            }
        }
        begin(content, std::move(with), crashes, now);
    }
}

void ContentQuarantine::begin(const ContentId &content, std::vector<std::string> with, int crashes, TimePoint now)
{
    Quarantine quarantine;
    quarantine.content = content;
    quarantine.with = std::move(with);
    std::sort(quarantine.with.begin(), quarantine.with.end());
    const auto before = m_quarantines.find(content);
    quarantine.number = before == m_quarantines.end() ? 1 : before->second.number + 1;
    quarantine.crashes = static_cast<std::uint32_t>(crashes);
    quarantine.since = now;
    quarantine.changedAt = now;
    quarantine.answeredBefore = m_suspects.at(content).answeredAt || m_answered.answeredAt(content);
    addQuarantine(quarantine, /*decidedHere=*/true);
}

void ContentQuarantine::forgetOld(TimePoint now)
{
    for (auto &[content, suspect] : m_suspects) {
        std::erase_if(suspect.crashes, [&](const auto &crash) { return now - crash.crashedAt > m_options.memory; });
    }
    std::erase_if(m_suspects, [&](const auto &entry) {
        return entry.second.crashes.empty() && now - entry.second.changedAt > m_options.memory;
    });
    forgetOldest(m_suspects, m_options.maxSuspects, [](const Suspect &suspect) { return suspect.changedAt; });
}

Duration ContentQuarantine::trialDelay(const Quarantine &quarantine) const
{
    Duration delay = quarantine.answeredBefore ? m_options.firstTrialIfAnswered : m_options.firstTrial;
    for (std::uint32_t i = 0; i < quarantine.trials && delay < m_options.maxTrialDelay; ++i) {
        delay *= m_options.trialFactor;
    }
    return std::min(delay, m_options.maxTrialDelay);
}

QuarantineVerdict ContentQuarantine::check(const std::vector<ContentId> &contents, TimePoint now) const
{
    QuarantineVerdict verdict;
    if (m_quarantines.empty()) {
        return verdict;
    }
    bool due = true;
    for (const auto &content : contents) {
        const auto *quarantine = findActive(content);
        if (quarantine == nullptr || !coversAll(*quarantine, contents)) {
            continue;
        }
        const TimePoint trialAt = quarantine->changedAt + trialDelay(*quarantine);
        due = due && now >= trialAt;
        verdict.contents.push_back(content);
        verdict.retryAfter = std::max<Duration>({verdict.retryAfter, trialAt - now, kMinRetryAfter});
    }
    if (!verdict.contents.empty()) {
        std::sort(verdict.contents.begin(), verdict.contents.end());
        verdict.kind = due ? QuarantineVerdict::Kind::TrialDue : QuarantineVerdict::Kind::Refused;
    }
    return verdict;
}

bool ContentQuarantine::mayRetry(const std::vector<ContentId> &contents) const
{
    if (m_suspects.empty() && m_quarantines.empty()) {
        return true;
    }
    const auto explained = explanations();
    return std::none_of(contents.begin(), contents.end(), [&](const auto &content) {
        const auto *quarantine = findActive(content);
        const auto it = m_suspects.find(content);
        return (quarantine != nullptr && coversAll(*quarantine, contents))
            || (isActiveElsewhere(m_quarantines, content) && !m_answered.answeredAt(content))
            || (it != m_suspects.end() && crashesInRow(it->second, explained) >= m_options.crashesToStopRetries);
    });
}

bool ContentQuarantine::allAnswered(const std::vector<ContentId> &contents) const
{
    return std::all_of(contents.begin(), contents.end(), [&](const auto &content) {
        return content.kind != ContentKind::SharedPart || m_answered.answeredAt(content).has_value();
    });
}

std::optional<Quarantine> ContentQuarantine::withTrial(const ContentId &content, TimePoint now) const
{
    const auto *active = findActive(content);
    if (active == nullptr) {
        return std::nullopt;
    }
    auto quarantine = *active;
    ++quarantine.trials;
    quarantine.changedAt = now;
    return quarantine;
}

QuarantineNews ContentQuarantine::takeNews()
{
    return std::exchange(m_news, {});
}

std::vector<QuarantineChange> ContentQuarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::vector<Quarantine> ContentQuarantine::quarantines() const
{
    std::vector<Quarantine> all;
    all.reserve(m_quarantines.size());
    for (const auto &[content, quarantine] : m_quarantines) {
        all.push_back(quarantine);
    }
    return all;
}

std::vector<EndpointId> ContentQuarantine::crashedEndpoints(const ContentId &content) const
{
    std::vector<EndpointId> endpoints;
    if (const auto it = m_suspects.find(content); it != m_suspects.end()) {
        for (const auto &crash : it->second.crashes) {
            endpoints.push_back(crash.endpoint.endpoint);
        }
    }
    return endpoints;
}

std::uint64_t ContentQuarantine::digest() const
{
    std::uint64_t digest = 0;
    for (const auto &[content, quarantine] : m_quarantines) {
        digest ^= hashBytes(
            absl::StrCat(content.service.str(), " ", content.id, " ", std::string(contentKindName(content.kind)), " ",
                         absl::StrJoin(quarantine.with, ","), " ", quarantine.number, " ", quarantine.ended ? 1 : 0,
                         " ", quarantine.trials, " ", quarantine.answeredBefore ? 1 : 0));
    }
    return digest;
}

} // namespace mimosahub
