// Bookings, which may not be repeated, under faults of the log, of endpoints and
// of daemons. The endpoints' ledgers say what really ran; every answer that a
// caller got is held against them.

#include "base/random.h"
#include "tests/support/booking.h"
#include "tests/support/sample.h"
#include "tests/support/testbed.h"

#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <criterion/criterion.h>
#include <csignal>
#include <fstream>
#include <future>
#include <map>
#include <mutex>
#include <thread>

using namespace mimosahub::testing;

namespace
{

namespace json = boost::json;

constexpr int kBookings = 2000;
constexpr int kCallers = 24;
constexpr int kTries = 4;
constexpr auto kPause = std::chrono::seconds(4);

/// Callers that book all keys; each key goes through two daemons at once or is
/// repeated after any answer other than ok.
class Callers
{
public:
    explicit Callers(const std::vector<std::unique_ptr<DaemonProcess>> &daemons) : m_ports(daemons.size())
    {
        update(daemons);
        for (int i = 0; i < kCallers; ++i) {
            m_threads.emplace_back([this, i] { run(static_cast<std::uint64_t>(i)); });
        }
    }
    /// Takes the ports anew after a restart.
    void update(const std::vector<std::unique_ptr<DaemonProcess>> &daemons)
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            m_ports[i] = daemons[i]->callers;
        }
    }
    [[nodiscard]] int done() const
    {
        return m_done;
    }
    std::vector<BookingAnswer> finish()
    {
        for (auto &it : m_threads) {
            it.join();
        }
        return std::move(m_answers);
    }

private:
    bool bookOnce(std::size_t daemon, const std::string &key)
    {
        auto answer = book(m_ports[daemon % m_ports.size()], key);
        const bool ok = answer.outcome() == "ok";
        const std::lock_guard lock(m_mutex);
        m_answers.push_back(std::move(answer));
        return ok;
    }
    void bookKey(const std::string &key, mimosahub::Random &random)
    {
        const auto first = static_cast<std::size_t>(random.below(m_ports.size()));
        bool ok = false;
        if (random.below(2) == 0) {
            auto other = std::async(std::launch::async, [&] { return bookOnce(first + 1, key); });
            ok = bookOnce(first, key);
            ok = other.get() && ok;
        }
        for (std::size_t i = 0; !ok && i < kTries; ++i) {
            ok = bookOnce(first + i, key);
        }
    }
    void run(std::uint64_t seed)
    {
        mimosahub::Random random(seed);
        for (int n = m_next++; n < kBookings; n = m_next++) {
            bookKey("order-" + std::to_string(n), random);
            ++m_done;
        }
    }

    std::vector<std::atomic<std::uint16_t>> m_ports;
    std::atomic<int> m_next{0};
    std::atomic<int> m_done{0};
    std::mutex m_mutex;
    std::vector<BookingAnswer> m_answers;
    std::vector<std::jthread> m_threads;
};

void startWithDesks(Testbed &bed, const std::vector<std::string> &zones, const json::object &settings = {})
{
    for (const auto &zone : zones) {
        bed.startEndpoints(sampleEndpoints(zone));
        bed.startDaemon("d" + zone.substr(1), zone, settings);
    }
    for (const auto &daemon : bed.daemons()) {
        bed.waitReady(*daemon);
    }
    bed.publish(sampleDeployment());
    for (const auto &daemon : bed.daemons()) {
        const auto ready = [&] {
            return post(daemon->callers, "/v1/services/desk/stock", json::object(), bookingHeaders("")).status == 200;
        };
        cr_assert(eventually(ready));
    }
}

std::string countsOf(const std::vector<BookingAnswer> &answers)
{
    std::map<std::string, int> counts;
    for (const auto &it : answers) {
        auto name = it.outcome();
        if (it.reply.whole && name != "ok") {
            name += "/" + json::value_to<std::string>(parseObject(it.reply.body).at("error").at("reason"));
        }
        ++counts[it.reply.connected ? name : "not connected"];
    }
    std::string text;
    for (const auto &[name, n] : counts) {
        text += name + " " + std::to_string(n) + ", ";
    }
    return text;
}

} // namespace

Test(booking, no_booking_runs_twice_and_no_confirmed_one_is_missing)
{
    Testbed bed;
    startWithDesks(bed, {"z1", "z2", "z3"});
    const std::vector<std::string> desks = {"desk-z1", "desk-z2", "desk-z3"};
    bed.platformFault({{"lose_answers", 0.3}});
    for (const auto &desk : desks) {
        bed.endpointFault(desk, {{"drop", 0.1}});
    }
    Callers callers(bed.daemons());
    const auto reached = [&](int n) {
        return eventually([&] { return callers.done() >= n; }, std::chrono::minutes(2));
    };
    cr_expect(reached(kBookings / 4));
    auto &killed = *bed.daemons()[1];
    killed.process->signal(SIGKILL);
    bed.restartDaemon(killed);
    callers.update(bed.daemons());
    cr_expect(reached(kBookings / 2));
    auto &paused = *bed.daemons()[2]->process;
    paused.signal(SIGSTOP);
    std::this_thread::sleep_for(kPause);
    paused.signal(SIGCONT);
    const auto answers = callers.finish();
    Runs runs;
    for (const auto &desk : desks) {
        addRuns(bed.ledger(desk), runs);
    }

    std::map<std::string, std::vector<BookingAnswer>> byKey;
    for (const auto &it : answers) {
        byKey[it.key].push_back(it);
    }
    int violations = 0;
    int confirmed = 0;
    for (const auto &[key, own] : byKey) {
        for (const auto &it : violationsOf(key, own, runs)) {
            ++violations;
            cr_log_error("%s", it.c_str());
        }
        confirmed += std::any_of(own.begin(), own.end(), [](const auto &it) { return it.outcome() == "ok"; }) ? 1 : 0;
    }
    cr_log_info("%zu keys, %zu ran, %d confirmed; answers: %s", byKey.size(), runs.byKey.size(), confirmed,
                countsOf(answers).c_str());
    cr_expect_eq(byKey.size(), std::size_t(kBookings));
    cr_expect_eq(violations, 0);
    cr_expect_gt(confirmed, kBookings / 2);
}

// Callers take these statuses for "not run, book again": a booking that ran gets none, whether its
// endpoint just answered, another daemon did the sending, or its key is remembered.
Test(booking, no_refusals_status_is_passed_on_from_an_endpoint_that_ran_a_booking)
{
    Testbed bed;
    startWithDesks(bed, {"z1", "z2"});
    for (const int status : {408, 429, 503}) {
        for (const auto *desk : {"desk-z1", "desk-z2"}) {
            bed.endpointFault(desk, {{"fail", 1}, {"fail_status", status}});
        }
        for (const auto &daemon : bed.daemons()) {
            const auto keyless = post(daemon->callers, kBook, json::object{{"order", status}}, shopsHeader());
            cr_expect_eq(keyless.status, 502, "%d: %d %s", status, keyless.status, keyless.body.c_str());
        }
        const auto key = "order-" + std::to_string(status);
        for (int repeat = 0; repeat < 2; ++repeat) {
            for (const auto &daemon : bed.daemons()) {
                const auto answer = book(daemon->callers, key);
                cr_expect_eq(answer.reply.status, 502, "%d: %d %s", status, answer.reply.status,
                             answer.reply.body.c_str());
                cr_expect_eq(answer.outcome(), "failed");
            }
        }
        Runs runs;
        addRuns(bed.ledger("desk-z1"), runs);
        addRuns(bed.ledger("desk-z2"), runs);
        cr_expect_eq(runs.byKey[key], 1);
    }
}

Test(booking, refusals_are_typed_as_in_the_golden_file)
{
    Testbed bed;
    startWithDesks(bed, {"z1"}, {{"limits", {{"body_bytes", 4096}}}});
    const auto port = bed.daemons().front()->callers;
    std::string text;
    const auto show = [&](const std::string &name, const HttpReply &reply) {
        text += name + ": " + std::to_string(reply.status) + " " + reply.header("Mimosahub-Outcome");
        const auto body = json::parse(reply.body).as_object();
        if (const auto *error = body.if_contains("error")) {
            text += " " + json::value_to<std::string>(error->at("reason")) + " at "
                + json::value_to<std::string>(error->at("step"));
        }
        text += "\n";
    };
    const auto bookWith = [&](const json::value &body, std::vector<Header> headers) {
        headers.push_back({"Mimosahub-Workspace", "shops"});
        return post(port, kBook, body, headers);
    };
    const json::object order{{"order", 1}};
    show("keyless", bookWith(order, {}));
    show("first use", bookWith(order, {{"Idempotency-Key", "k1"}}));
    show("repeated", bookWith(order, {{"Idempotency-Key", "k1"}}));
    show("key with another body", bookWith(json::object{{"order", 2}}, {{"Idempotency-Key", "k1"}}));
    show("expired key", bookWith(order, {{"Idempotency-Key", "k2"}, {"Idempotency-Expires", "2020-01-01T00:00:00Z"}}));
    show("malformed expiry", bookWith(order, {{"Idempotency-Key", "k3"}, {"Idempotency-Expires", "tomorrow"}}));
    show("unknown workspace", post(port, kBook, order, {{"Mimosahub-Workspace", "nobody"}}));
    show("unknown call", post(port, "/v1/services/desk/cancel", order, shopsHeader()));
    show("large body", bookWith(json::object{{"order", std::string(8192, 'x')}}, {}));
    show("deadline of 1 ms", bookWith(order, {{"Mimosahub-Deadline-Ms", "1"}}));

    const char *source = std::getenv("MIMOSAHUB_SOURCE");
    std::ifstream file(std::string(source != nullptr ? source : ".") + "/tests/golden/booking/refusals.txt");
    std::stringstream golden;
    golden << file.rdbuf();
    cr_assert(text == golden.str(), "got:\n%s", text.c_str());
}
