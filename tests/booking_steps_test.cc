// A daemon, or the endpoint, is killed at each single step of a booking. The
// stand-ins' faults hold the booking at the step: an append before or after it
// takes effect, the reads of the log, a call before or after it runs. The desk
// writes what it runs to a file, which outlives it. Then the key is repeated
// through another daemon until it gets a final answer.

#include "tests/support/booking.h"
#include "tests/support/sample.h"
#include "tests/support/testbed.h"

#include <boost/filesystem.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <future>
#include <thread>

#include <criterion/criterion.h>

using namespace mimosahub::testing;

namespace
{

namespace json = boost::json;

constexpr auto kClaim = R"("k":"claim")";
constexpr auto kOutcome = R"("k":"claim-outcome")";
constexpr auto kDesk = "desk-z1";
constexpr int kMaxRepeats = 10;
constexpr auto kRepeatPause = std::chrono::milliseconds(200);
/// A caller that leaves does so after this.
constexpr auto kLeavesAfter = std::chrono::milliseconds(700);
constexpr auto kShortDeadline = std::chrono::milliseconds(2000);
/// How long the holder of a claim may send its call, in the tests that pause it for less
/// than the 2 s for which a request waits for its claim.
constexpr auto kBriefTime = std::chrono::milliseconds(600);
constexpr auto kBriefPause = std::chrono::milliseconds(700);
/// By so much a daemon takes a key for expired before its expiry; the default of clock_skew.
constexpr auto kClockSkew = std::chrono::seconds(5);
constexpr auto kOutage = std::chrono::seconds(4);
constexpr int kOutageBookings = 40;

/// When \a answer tells its caller to come back; zero if it doesn't say.
std::chrono::seconds retryAfter(const BookingAnswer &answer)
{
    return std::chrono::seconds(std::atoi(answer.reply.header("Retry-After").c_str()));
}

enum class Victim {
    Daemon,
    Endpoint,
};

/// One step at which the victim is killed, and what may come of it.
struct StepCase {
    const char *name;
    json::object platform; ///< Fault that holds the booking at the step.
    json::object endpoint; ///< As platform, of the desk.
    bool firstAnswered; ///< The step comes after the caller's answer.
    bool callerLeaves; ///< The caller has left before the call ended.
    std::vector<std::string> first; ///< Outcomes that the caller may see.
    std::vector<std::string> repeat; ///< Final outcomes that a repeat may see.
    int minRuns;
    int maxRuns;
};

json::object holdAppend(const char *point, const char *text, bool reads = false)
{
    return {{"hold", point}, {"hold_text", text}, {"hold_reads", reads ? 1 : 0}};
}

json::object holdCall(const char *fault)
{
    return {{fault, 1}};
}

/// Steps at which the daemon dies. "unknown" to its caller: the connection broke.
std::vector<StepCase> daemonCases()
{
    return {
        {"before-append", holdAppend("before", kClaim), {}, false, false, {"unknown"}, {"ok"}, 1, 1},
        {"append-answer-lost", holdAppend("lost", kClaim, true), {}, false, false, {"unknown"}, {"unknown"}, 0, 0},
        {"accepted-not-sent", holdAppend("after", kClaim, true), {}, false, false, {"unknown"}, {"unknown"}, 0, 0},
        {"sent-not-run", {}, holdCall("hold_before"), false, false, {"unknown"}, {"unknown"}, 0, 0},
        {"run-not-answered", {}, holdCall("hold_after"), false, false, {"unknown"}, {"unknown"}, 1, 1},
        {"not-recorded", holdAppend("before", kOutcome), {}, true, false, {"ok"}, {"unknown"}, 1, 1},
        {"recorded", holdAppend("after", kOutcome), holdCall("hold_after"), true, true, {"unknown"}, {"ok"}, 1, 1},
    };
}

/// Steps at which the endpoint dies.
std::vector<StepCase> endpointCases()
{
    return {
        {"before-append", holdAppend("before", kClaim), {}, false, false, {"ok", "not-run"}, {"ok"}, 1, 1},
        {"append-answer-lost", holdAppend("lost", kClaim, true), {}, false, false, {"ok", "not-run"}, {"ok"}, 1, 1},
        {"accepted-not-sent", holdAppend("after", kClaim, true), {}, false, false, {"ok", "not-run"}, {"ok"}, 1, 1},
        {"sent-not-run", {}, holdCall("hold_before"), false, false, {"unknown"}, {"unknown"}, 0, 0},
        {"run-not-answered", {}, holdCall("hold_after"), false, false, {"unknown"}, {"unknown"}, 1, 1},
        {"not-recorded", holdAppend("before", kOutcome), {}, true, false, {"ok"}, {"ok"}, 1, 1},
        {"recorded", holdAppend("after", kOutcome), {}, true, false, {"ok"}, {"ok"}, 1, 1},
    };
}

bool contains(const std::vector<std::string> &allowed, const std::string &value)
{
    return std::find(allowed.begin(), allowed.end(), value) != allowed.end();
}

std::string joined(const std::vector<BookingAnswer> &answers)
{
    std::string text;
    for (const auto &it : answers) {
        text += it.outcome() + (it.reason().empty() ? "" : "/" + it.reason()) + " ";
    }
    return text;
}

/// Three daemons, so that two are a majority after a kill, and a desk that writes its executions to a file.
class Desk
{
public:
    Desk() : m_folder(makeScratchFolder())
    {
        m_first = &startDesk("z1");
        for (const auto *id : {"d1", "d2", "d3"}) {
            m_bed.startDaemon(id, "z1");
        }
        for (const auto &daemon : m_bed.daemons()) {
            m_bed.waitReady(*daemon);
        }
        m_bed.publish(sampleDeployment());
        for (const auto &daemon : m_bed.daemons()) {
            cr_assert(eventually([&] { return serves(*daemon); }));
        }
    }
    ~Desk()
    {
        boost::system::error_code ec;
        boost::filesystem::remove_all(m_folder, ec);
    }
    Desk(const Desk &) = delete;
    Desk &operator=(const Desk &) = delete;

    [[nodiscard]] Testbed &bed()
    {
        return m_bed;
    }
    [[nodiscard]] DaemonProcess &daemon(std::size_t index)
    {
        return *m_bed.daemons().at(index);
    }
    [[nodiscard]] EndpointProcess &first()
    {
        return *m_first;
    }
    EndpointProcess &startDesk(const std::string &zone)
    {
        json::array desks;
        for (auto &it : sampleEndpoints(zone)) {
            if (it.at("service").as_string() == "desk") {
                it.as_object()["ledger_file"] = m_folder + "/ledger";
                desks.push_back(it);
            }
        }
        return m_bed.startEndpoints(desks);
    }
    /// Appends that the platform holds, or has held, since the fault was set.
    [[nodiscard]] std::int64_t matched() const
    {
        const auto reply = post(m_bed.platformPort(), "/admin/fault", json::object());
        return parseObject(reply.body).at("matched").to_number<std::int64_t>();
    }
    [[nodiscard]] std::int64_t heldCalls() const
    {
        return m_bed.ledger(kDesk).at("held").to_number<std::int64_t>();
    }
    [[nodiscard]] Runs runs() const
    {
        Runs runs;
        std::ifstream file(m_folder + "/ledger");
        std::string key;
        std::string request;
        while (file >> key >> request) {
            ++runs.byKey[key];
            runs.requests.insert(request);
        }
        return runs;
    }
    /// Repeats \a key through \a daemon when the last answer says so, until one is final; all answers.
    [[nodiscard]] static std::vector<BookingAnswer> repeat(const DaemonProcess &daemon, const std::string &key)
    {
        std::vector<BookingAnswer> answers;
        for (int i = 0; i < kMaxRepeats; ++i) {
            answers.push_back(book(daemon.callers, key));
            const auto &last = answers.back();
            const bool open = last.outcome() == "not-run" || last.reason() == "in-progress";
            if (!open) {
                break;
            }
            std::this_thread::sleep_for(std::max<std::chrono::milliseconds>(kRepeatPause, retryAfter(last)));
        }
        return answers;
    }
    /// Checks \a answers against the ledger; the runs of \a key.
    int check(const std::string &key, const std::vector<BookingAnswer> &answers) const
    {
        const auto seen = runs();
        for (const auto &it : violationsOf(key, answers, seen)) {
            cr_expect(false, "%s", it.c_str());
        }
        const auto own = seen.byKey.find(key);
        return own == seen.byKey.end() ? 0 : own->second;
    }

private:
    static bool serves(const DaemonProcess &daemon)
    {
        return post(daemon.callers, "/v1/services/desk/stock", json::object(), bookingHeaders("")).status == 200;
    }

    std::string m_folder;
    Testbed m_bed;
    EndpointProcess *m_first = nullptr;
};

/// Kills the victim, and for an endpoint starts another one in its stead.
void killVictim(Desk &desk, Victim victim)
{
    if (victim == Victim::Daemon) {
        desk.daemon(0).process->signal(SIGKILL);
        static_cast<void>(desk.daemon(0).process->wait(std::chrono::seconds(10)));
        return;
    }
    desk.first().process->signal(SIGKILL);
    static_cast<void>(desk.first().process->wait(std::chrono::seconds(10)));
    desk.startDesk("z2");
}

void runCase(const StepCase &step, Victim victim)
{
    Desk desk;
    const std::string key = step.name;
    desk.bed().platformFault(step.platform);
    desk.bed().endpointFault(kDesk, step.endpoint);
    const auto timeout = step.callerLeaves ? kLeavesAfter : std::chrono::seconds(12);
    auto first = std::async(std::launch::async, [&] { return book(desk.daemon(0).callers, key, {}, timeout); });
    if (!step.endpoint.empty()) {
        cr_assert(eventually([&] { return desk.heldCalls() == 1; }), "%s: no call is held", step.name);
    }
    if (step.firstAnswered) {
        first.wait();
        desk.bed().endpointFault(kDesk, {{"hold_after", 0}});
    }
    if (!step.platform.empty()) {
        cr_assert(eventually([&] { return desk.matched() >= 1; }), "%s: no append is held", step.name);
    }
    killVictim(desk, victim);
    desk.bed().platformFault({{"hold", ""}, {"hold_reads", 0}});
    std::vector<BookingAnswer> answers;
    const auto &repeatAt = desk.daemon(1);
    const auto repeated = Desk::repeat(repeatAt, key);
    answers.push_back(first.get());
    cr_expect(contains(step.first, answers.front().outcome()), "%s: first %s", step.name, joined(answers).c_str());
    answers.insert(answers.end(), repeated.begin(), repeated.end());
    cr_expect(contains(step.repeat, answers.back().outcome()), "%s: %s", step.name, joined(answers).c_str());
    const int runs = desk.check(key, answers);
    cr_expect(runs >= step.minRuns && runs <= step.maxRuns, "%s: ran %d times", step.name, runs);
    cr_log_info("%s killed at %s: ran %d times, answers %s", victim == Victim::Daemon ? "daemon" : "endpoint",
                step.name, runs, joined(answers).c_str());
}

/// Pauses the first daemon once the log holds its claim of \a key but it doesn't know so
/// yet, for less time than it waits for a claim. When it comes back it wins the claim,
/// though the time that the headers give it to send is over; neither the wait for the
/// claim nor its freshness has run out. \a makeHeaders is called right before the call.
void pauseBriefly(const std::string &key, std::vector<Header> (*makeHeaders)())
{
    Desk desk;
    desk.bed().platformFault(holdAppend("after", kClaim, true));
    auto first = std::async(std::launch::async, [&] { return book(desk.daemon(0).callers, key, makeHeaders()); });
    cr_assert(eventually([&] { return desk.matched() >= 1; }));
    auto &holder = *desk.daemon(0).process;
    holder.signal(SIGSTOP);
    std::this_thread::sleep_for(kBriefPause);
    desk.bed().platformFault({{"hold", ""}, {"hold_reads", 0}});
    holder.signal(SIGCONT);
    std::vector<BookingAnswer> answers = {first.get()};
    cr_expect_eq(desk.check(key, answers), 0, "%s: the holder sent too late: %s", key.c_str(), joined(answers).c_str());
    cr_expect_eq(answers[0].outcome(), "not-run");
    const auto repeated = Desk::repeat(desk.daemon(1), key);
    answers.insert(answers.end(), repeated.begin(), repeated.end());
    const int runs = desk.check(key, answers);
    cr_log_info("%s: ran %d times, answers %s", key.c_str(), runs, joined(answers).c_str());
    cr_expect(contains({"ok", "unknown"}, answers.back().outcome()), "%s", joined(answers).c_str());
    cr_expect_eq(runs, answers.back().outcome() == "ok" ? 1 : 0);
}

} // namespace

Test(booking_steps, a_daemon_killed_at_any_step_loses_no_booking_and_doubles_none)
{
    for (const auto &step : daemonCases()) {
        runCase(step, Victim::Daemon);
    }
}

Test(booking_steps, an_endpoint_killed_at_any_step_loses_no_booking_and_doubles_none)
{
    for (const auto &step : endpointCases()) {
        runCase(step, Victim::Endpoint);
    }
}

Test(booking_steps, bookings_in_an_outage_of_the_log_run_once_or_not_at_all)
{
    Desk desk;
    desk.bed().platformFault({{"log_down", 1}});
    const auto until = std::chrono::steady_clock::now() + kOutage;
    std::vector<std::future<std::vector<BookingAnswer>>> bookings;
    bookings.reserve(kOutageBookings);
    for (int i = 0; i < kOutageBookings; ++i) {
        bookings.push_back(std::async(std::launch::async, [&desk, i] {
            const auto key = "outage-" + std::to_string(i);
            auto answers = std::vector{book(desk.daemon(0).callers, key)};
            const auto repeated = Desk::repeat(desk.daemon(1), key);
            answers.insert(answers.end(), repeated.begin(), repeated.end());
            return answers;
        }));
    }
    std::this_thread::sleep_until(until);
    const bool ranInOutage = !desk.runs().byKey.empty();
    desk.bed().platformFault({{"log_down", 0}});
    int confirmed = 0;
    for (auto &it : bookings) {
        const auto answers = it.get();
        const int runs = desk.check(answers.front().key, answers);
        cr_expect_eq(runs, 1, "%s ran %d times: %s", answers.front().key.c_str(), runs, joined(answers).c_str());
        confirmed += answers.back().outcome() == "ok" ? 1 : 0;
    }
    cr_log_info("outage: %d of %d bookings confirmed after it", confirmed, kOutageBookings);
    cr_expect(!ranInOutage, "a booking ran without a claim in the log");
    cr_expect_eq(confirmed, kOutageBookings);
}

Test(booking_steps, the_same_key_through_two_daemons_at_once_runs_once_and_gets_one_answer)
{
    Desk desk;
    for (int i = 0; i < kOutageBookings; ++i) {
        const auto key = "both-" + std::to_string(i);
        auto other = std::async(std::launch::async, [&] { return book(desk.daemon(1).callers, key); });
        auto answers = std::vector{book(desk.daemon(0).callers, key)};
        answers.push_back(other.get());
        cr_expect_eq(desk.check(key, answers), 1);
        cr_expect(answers[0].outcome() == "ok" && answers[1].outcome() == "ok", "%s", joined(answers).c_str());
        cr_expect_eq(answers[0].reply.body, answers[1].reply.body);
    }
}

// So long a pause outlasts also the wait for the claim, which ends the request even
// without a look at the deadline; the two tests below pause for less.
Test(booking_steps, a_holder_paused_past_its_deadline_does_not_send_when_it_comes_back)
{
    Desk desk;
    const std::string key = "paused";
    desk.bed().platformFault(holdAppend("after", kClaim, true));
    const std::vector<Header> deadline = {{"Mimosahub-Deadline-Ms", std::to_string(kShortDeadline.count())}};
    auto first = std::async(std::launch::async, [&] { return book(desk.daemon(0).callers, key, deadline); });
    cr_assert(eventually([&] { return desk.matched() >= 1; }));
    auto &holder = *desk.daemon(0).process;
    holder.signal(SIGSTOP);
    desk.bed().platformFault({{"hold", ""}, {"hold_reads", 0}});
    const auto meanwhile = book(desk.daemon(1).callers, key, deadline);
    std::this_thread::sleep_for(kShortDeadline);
    holder.signal(SIGCONT);
    std::vector<BookingAnswer> answers = {first.get(), meanwhile};
    cr_expect_eq(desk.check(key, answers), 0, "the holder sent after its deadline: %s", joined(answers).c_str());
    cr_expect_eq(answers[0].outcome(), "not-run");
    const auto repeated = Desk::repeat(desk.daemon(1), key);
    answers.insert(answers.end(), repeated.begin(), repeated.end());
    const int runs = desk.check(key, answers);
    cr_log_info("paused holder: ran %d times, answers %s", runs, joined(answers).c_str());
    cr_expect(contains({"ok", "unknown"}, answers.back().outcome()), "%s", joined(answers).c_str());
    cr_expect_eq(runs, answers.back().outcome() == "ok" ? 1 : 0);
}

Test(booking_steps, a_holder_paused_until_its_deadline_is_over_does_not_send_the_call_it_has_won)
{
    pauseBriefly("brief-deadline", [] {
        return std::vector<Header>{{"Mimosahub-Deadline-Ms", std::to_string(kBriefTime.count())}};
    });
}

Test(booking_steps, a_holder_paused_until_its_key_has_expired_does_not_send_the_call_it_has_won)
{
    pauseBriefly("brief-expiry", [] {
        const auto expiry = std::chrono::system_clock::now().time_since_epoch() + kClockSkew + kBriefTime;
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(expiry).count();
        return std::vector<Header>{{"Idempotency-Expires", std::to_string(ms)}};
    });
}
