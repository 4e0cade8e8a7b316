// Replays golden files of complete sessions: events in, actions out, as text. Lines
// that start with ">" are replayed, and those with "<" are compared. If
// MIMOSAHUB_REGOLD is set, the files are rewritten instead.

#include "request/request_core.h"
#include "request/request_text.h"

#include <absl/strings/numbers.h>

#include <criterion/criterion.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace mimosahub;

namespace
{

using Words = std::vector<std::string>;

Words wordsOf(const std::string &line)
{
    std::istringstream in(line);
    return {std::istream_iterator<std::string>(in), std::istream_iterator<std::string>()};
}

// Parses "250ms" or "+250ms".
Duration duration(const std::string &text)
{
    return std::chrono::milliseconds(std::stoll(text));
}

bool has(const Words &words, const std::string &flag)
{
    return std::find(words.begin(), words.end(), flag) != words.end();
}

// The value of "name=VALUE" among \a words.
std::optional<std::string> field(const Words &words, const std::string &name)
{
    for (const auto &word : words) {
        if (word.starts_with(name + "=")) {
            return word.substr(name.size() + 1);
        }
    }
    return std::nullopt;
}

std::optional<Duration> retryOf(const Words &words)
{
    const auto text = field(words, "retry");
    return text ? std::optional(duration(*text)) : std::nullopt;
}

// The enumerator whose name is \a name, of an enumeration that starts at 0.
template<typename Enum, typename NameOf>
Enum enumFromName(const std::string &name, NameOf nameOf)
{
    int i = 0;
    while (nameOf(static_cast<Enum>(i)) != name) {
        ++i; // Ends for an unknown name: the name tables throw past their end.
    }
    return static_cast<Enum>(i);
}

class Session
{
public:
    void play(const std::string &line)
    {
        const auto words = wordsOf(line);
        if (words.empty() || words[0] == "<") {
            return;
        }
        m_text << line << '\n';
        if (words[0] == "plan") {
            m_plan.request = RequestId("r1");
            m_plan.deadline = m_start + duration(*field(words, "deadline"));
            const auto key = field(words, "key");
            m_plan.key = key ? std::optional(IdempotencyKey(*key)) : std::nullopt;
        } else if (words[0] == "stage") {
            addStage(words);
        } else if (words[0] == ">") {
            m_now += duration(words[1]);
            replay(Words(words.begin() + 2, words.end()));
        }
    }

    std::string text() const
    {
        return m_text.str();
    }

private:
    void addStage(const Words &words)
    {
        StagePlan stage;
        stage.stage = StageId(words[1]);
        stage.service = ServiceId(words[1]);
        stage.idempotent = !has(words, "once");
        stage.streaming = has(words, "stream");
        stage.resumable = has(words, "resume");
        if (const auto time = field(words, "history")) {
            for (int i = 0; i < 100; ++i) {
                m_histories.of(stage.service, "").recordTime(duration(*time), m_start);
            }
        }
        m_plan.stages.push_back(stage);
    }

    void replay(const Words &words)
    {
        if (!m_core) {
            m_core.emplace(*RequestCore::create(m_plan, {m_options, m_histories, m_counters, m_random}));
        }
        std::vector<RequestAction> actions;
        m_core->handle(eventOf(words), m_now, actions);
        for (const auto &action : actions) {
            m_text << "<   " << textOf(action, m_start) << '\n';
        }
    }

    RequestEvent eventOf(const Words &words) const
    {
        const auto &kind = words[0];
        const AttemptId attempt(words.size() > 1 ? words[1] : std::string());
        const auto echo = m_core->identityOf(attempt);
        const auto status = std::stoi(field(words, "status").value_or("200"));
        if (kind == "started") {
            return Started();
        } else if (kind == "chosen") {
            return EndpointChosen{attempt, EndpointId(words[2])};
        } else if (kind == "no-endpoint") {
            return NoEndpoint{attempt, enumFromName<Reason>(words[2], reasonName), retryOf(words)};
        } else if (kind == "connected") {
            return Connected{attempt};
        } else if (kind == "answered") {
            return AttemptAnswered{attempt, echo, status, !has(words, "short")};
        } else if (kind == "opened") {
            return StreamOpened{attempt, echo, status};
        } else if (kind == "data") {
            return StreamData{attempt, std::stoull(words[2]), std::stoull(words[3]), has(words, "end")};
        } else if (kind == "refused") {
            return AttemptRefused{attempt, echo, retryOf(words)};
        } else if (kind == "failed") {
            return AttemptFailed{attempt, enumFromName<AttemptFailure>(words[2], attemptFailureName)};
        } else if (kind == "claim-won") {
            return ClaimWon{std::stoi(words[1])};
        } else if (kind == "claim-lost") {
            const auto outcome = outcomeFromName(words.size() > 3 ? words[3] : "unknown");
            return ClaimLost{std::stoi(words[1]), enumFromName<ClaimLoss>(words[2], claimLossName), *outcome};
        } else if (kind == "claim-failed") {
            return ClaimFailed{std::stoi(words[1]), retryOf(words)};
        } else if (kind == "timer") {
            const auto timer = enumFromName<TimerKind>(words[1], timerKindName);
            return TimerFired{RequestTimer{timer, AttemptId(words.size() > 2 ? words[2] : std::string())}};
        } else if (kind == "stopping") {
            return DaemonStopping{m_now + duration(words[1])};
        }
        cr_assert(kind == "caller-left", "unknown event %s", kind.c_str());
        return CallerLeft();
    }

    const TimePoint m_start = TimePoint(std::chrono::hours(1));
    TimePoint m_now = m_start;
    RequestPlan m_plan;
    RequestOptions m_options;
    ServiceHistories m_histories;
    RequestCounters m_counters;
    Random m_random{1};
    std::optional<RequestCore> m_core;
    std::ostringstream m_text;
};

std::string contentOf(const std::filesystem::path &file)
{
    std::ifstream in(file);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

} // namespace

Test(session, golden_files)
{
    const char *source = std::getenv("MIMOSAHUB_SOURCE");
    const auto folder = std::filesystem::path(source != nullptr ? source : ".") / "tests/golden/request";
    int files = 0;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        const auto golden = contentOf(entry.path());
        Session session;
        std::istringstream lines(golden);
        for (std::string line; std::getline(lines, line);) {
            session.play(line);
        }
        if (std::getenv("MIMOSAHUB_REGOLD") != nullptr) {
            std::ofstream(entry.path()) << session.text();
        } else if (session.text() != golden) {
            std::cerr << "expected:\n" << golden << "\ngot:\n" << session.text();
            cr_assert_fail("%s differs", entry.path().filename().c_str());
        }
        ++files;
    }
    cr_assert(files > 0);
}
