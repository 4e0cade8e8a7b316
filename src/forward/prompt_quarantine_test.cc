#include "forward/prompt_quarantine.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const ServiceId kService("engine");
const TimePoint kStart(1h);
const std::vector<std::string> kPoison = {"system", "dead"};

EndpointStart endpoint(int n)
{
    return {EndpointId("e" + std::to_string(n)), 1000 + n};
}

std::map<std::string, TimePoint> sentAt(const std::vector<std::string> &parts, TimePoint at)
{
    std::map<std::string, TimePoint> sent;
    for (const auto &part : parts) {
        sent[part] = at;
    }
    return sent;
}

/// A daemon's table and how it meets crashes and answers.
struct Daemon {
    PromptQuarantine table;

    /// \a flight: from the send to the crash.
    void crash(int n, const std::vector<std::string> &parts, Duration at, Duration flight = 50ms)
    {
        table.recordCrash(kService, endpoint(n), sentAt(parts, kStart + at - flight), kStart + at);
    }
    void answer(const std::vector<std::string> &parts, Duration at)
    {
        table.recordAnswer(kService, parts, kStart + at);
    }
    [[nodiscard]] QuarantineVerdict check(const std::vector<std::string> &parts, Duration at) const
    {
        return table.check(kService, parts, kStart + at);
    }
    [[nodiscard]] bool refuses(const std::vector<std::string> &parts, Duration at = 10s) const
    {
        return check(parts, at).kind == QuarantineVerdict::Kind::Refused;
    }
};

/// A daemon that has seen three crashes under the poison part, and answers under the other.
Daemon quarantining()
{
    Daemon it;
    it.answer({"system", "other"}, 0s);
    it.crash(1, kPoison, 1s);
    it.crash(2, kPoison, 2s);
    it.answer({"system", "other"}, 2500ms);
    it.crash(3, kPoison, 3s);
    return it;
}

} // namespace

Test(prompt_quarantine, a_part_in_flight_at_three_crashes_and_never_answered_is_quarantined)
{
    auto it = quarantining();
    cr_expect(it.refuses(kPoison));
    cr_expect(not it.refuses({"system", "other"}));
    cr_expect(not it.refuses({"system"}));
    const auto changes = it.table.takeChanges();
    cr_assert_eq(changes.size(), 1);
    cr_expect(changes.front().decidedHere);
    cr_expect_eq(changes.front().quarantine.crashes, 3);
    cr_expect_eq(it.table.crashedEndpoints({kService, "dead"}).size(), 3);
}

Test(prompt_quarantine, of_another_service_the_same_part_is_not_quarantined)
{
    const auto it = quarantining();
    cr_expect(it.table.check(ServiceId("other"), kPoison, kStart + 10s).kind == QuarantineVerdict::Kind::Allowed);
}

// A route that moves to another service brings its poison requests along.
Test(prompt_quarantine, for_another_service_one_crash_is_enough)
{
    auto it = quarantining();
    const ServiceId other("other");
    cr_expect(not it.table.mayRetry(other, kPoison));
    it.table.recordCrash(other, endpoint(20), sentAt(kPoison, kStart + 4s), kStart + 5s);
    cr_expect(it.table.check(other, kPoison, kStart + 6s).kind == QuarantineVerdict::Kind::Refused);
    cr_expect(it.table.check(other, {"system"}, kStart + 6s).kind == QuarantineVerdict::Kind::Allowed);
}

Test(prompt_quarantine, another_service_that_has_answered_the_part_keeps_it)
{
    auto it = quarantining();
    const ServiceId other("other");
    it.table.recordAnswer(other, kPoison, kStart + 4s);
    cr_expect(it.table.mayRetry(other, kPoison));
    it.table.recordCrash(other, endpoint(20), sentAt(kPoison, kStart + 4s), kStart + 5s);
    cr_expect(it.table.check(other, kPoison, kStart + 6s).kind == QuarantineVerdict::Kind::Allowed);
    cr_expect(it.refuses(kPoison));
}

Test(prompt_quarantine, an_answer_between_the_crashes_clears_a_part)
{
    Daemon it;
    it.crash(1, kPoison, 1s);
    it.crash(2, kPoison, 2s);
    it.answer(kPoison, 2500ms);
    it.crash(3, kPoison, 3s);
    it.crash(4, kPoison, 4s);
    cr_expect(not it.refuses(kPoison));
}

// What befalls many endpoints at a moment, such as the loss of a zone, isn't the content of a request.
Test(prompt_quarantine, endpoints_that_crash_at_one_moment_count_once)
{
    Daemon it;
    for (int n = 0; n < 9; ++n) {
        it.crash(n, {"system", "rare"}, 1s + n * 20ms, 500ms);
    }
    cr_expect(not it.refuses({"system", "rare"}));
}

Test(prompt_quarantine, one_crash_seen_by_several_daemons_counts_once)
{
    Daemon first;
    for (int n = 0; n < 4; ++n) {
        Daemon other;
        other.crash(1, kPoison, 1s + n * 100ms); // News that is late on the way.
        first.table.merge(other.table.takeNews(), kStart + 3s);
    }
    cr_expect(not first.refuses(kPoison));
}

Test(prompt_quarantine, crashes_seen_by_different_daemons_are_summed)
{
    std::vector<Daemon> daemons(4);
    for (int n = 0; n < 3; ++n) {
        daemons[static_cast<std::size_t>(n)].crash(n, kPoison, 1s + n * 1s);
        daemons[3].table.merge(daemons[static_cast<std::size_t>(n)].table.takeNews(), kStart + 4s);
    }
    cr_expect(daemons[3].refuses(kPoison));
    cr_expect(not daemons[2].refuses(kPoison));
    daemons[2].table.merge(daemons[3].table.takeNews(), kStart + 5s);
    cr_expect(daemons[2].refuses(kPoison));
    cr_expect_eq(daemons[2].table.digest(), daemons[3].table.digest());
}

// A sound request that met the same crashes isn't to blame for them.
Test(prompt_quarantine, crashes_that_a_quarantined_part_explains_do_not_count_against_others)
{
    auto it = quarantining();
    it.crash(4, {"dead", "rare"}, 4s);
    it.crash(5, {"dead", "rare"}, 5s);
    it.crash(6, {"dead", "rare"}, 6s);
    cr_expect(it.refuses(kPoison));
    cr_expect(not it.refuses({"rare"}));
}

Test(prompt_quarantine, a_part_that_some_daemon_has_seen_answered_needs_more_crashes)
{
    Daemon knows;
    knows.answer({"rare"}, 0s);
    Daemon judge;
    for (int n = 0; n < 5; ++n) {
        judge.crash(n, {"rare"}, 1s + n * 1s);
        knows.table.merge(judge.table.takeNews(), kStart + 1s + n * 1s + 10ms);
        judge.table.merge(knows.table.takeNews(), kStart + 1s + n * 1s + 20ms);
    }
    cr_expect(not judge.refuses({"rare"}));
    judge.crash(6, {"rare"}, 6500ms);
    cr_expect(judge.refuses({"rare"}, 7s));
}

Test(prompt_quarantine, a_daemon_that_has_seen_answers_makes_the_first_trial_come_sooner)
{
    auto judge = quarantining();
    Daemon knows;
    knows.answer({"dead"}, 0s);
    knows.table.merge({{}, {}, judge.table.quarantines()}, kStart + 4s);
    judge.table.merge(knows.table.takeNews(), kStart + 4s);
    cr_expect(judge.check(kPoison, 5s).kind == QuarantineVerdict::Kind::Refused);
    cr_expect(judge.check(kPoison, 7s).kind == QuarantineVerdict::Kind::TrialDue);
}

Test(prompt_quarantine, a_lost_request_is_not_sent_again_after_the_second_crash)
{
    Daemon it;
    it.crash(1, kPoison, 1s);
    cr_expect(it.table.mayRetry(kService, kPoison));
    it.crash(2, kPoison, 2s);
    cr_expect(not it.table.mayRetry(kService, kPoison));
    cr_expect(it.table.mayRetry(kService, {"other"}));
    cr_expect(not it.refuses(kPoison));
}

Test(prompt_quarantine, trials_become_rare_and_each_is_due_once)
{
    auto it = quarantining();
    cr_expect(it.refuses(kPoison, 22s));
    cr_expect(it.check(kPoison, 24s).kind == QuarantineVerdict::Kind::TrialDue);
    const auto trial = it.table.withTrial({kService, "dead"}, kStart + 24s);
    cr_assert(trial.has_value());
    it.table.merge({{}, {}, {*trial}}, kStart + 24s);
    cr_expect(it.refuses(kPoison, 60s));
    cr_expect(it.check(kPoison, 60s).retryAfter > 40s);
    cr_expect(it.check(kPoison, 105s).kind == QuarantineVerdict::Kind::TrialDue);
}

Test(prompt_quarantine, an_answer_ends_a_quarantine_everywhere)
{
    auto it = quarantining();
    Daemon other;
    other.table.merge(it.table.takeNews(), kStart + 4s);
    cr_expect(other.refuses(kPoison));
    it.answer(kPoison, 30s);
    const auto end = it.table.takeNews();
    other.table.merge(end, kStart + 31s);
    cr_expect(not it.refuses(kPoison, 31s));
    cr_expect(not other.refuses(kPoison, 31s));
    // News from before, which comes late, brings it back nowhere.
    other.table.merge(quarantining().table.takeNews(), kStart + 32s);
    cr_expect(not other.refuses(kPoison, 33s));
}

Test(prompt_quarantine, a_part_can_be_quarantined_again)
{
    auto it = quarantining();
    cr_expect(it.table.end({kService, "dead"}, kStart + 5s));
    cr_expect(not it.table.end({kService, "dead"}, kStart + 5s));
    for (int n = 0; n < 6; ++n) {
        it.crash(10 + n, kPoison, 10s + n * 1s);
    }
    cr_expect(it.refuses(kPoison, 16s));
    cr_expect_eq(it.table.quarantines().front().number, 2);
}

Test(prompt_quarantine, old_crashes_do_not_count)
{
    Daemon it;
    it.crash(1, kPoison, 1s);
    it.crash(2, kPoison, 11min);
    it.crash(3, kPoison, 22min);
    cr_expect(not it.refuses(kPoison, 22min + 1s));
}

Test(prompt_quarantine, memory_is_bounded_under_ever_new_parts)
{
    Daemon it;
    it.answer({"popular"}, 0s);
    int news = 0;
    for (int n = 0; n < 2000; ++n) {
        std::vector<std::string> parts = {"popular"};
        for (int i = 0; i < 100; ++i) {
            parts.push_back("p" + std::to_string(n) + "-" + std::to_string(i));
        }
        it.crash(n, parts, 1s + n * 10ms);
        it.answer({"popular", "q" + std::to_string(n)}, 1s + n * 10ms);
        news = std::max(news, static_cast<int>(it.table.takeNews().crashes.size()));
    }
    cr_expect(it.table.suspects() <= PromptQuarantineOptions().maxSuspects);
    cr_expect(news <= 33, "%d crash reports at once", news);
    cr_expect(it.table.allAnswered(kService, {"popular"}));
}

Test(prompt_quarantine, ids_that_are_long_or_not_plain_are_hashed)
{
    const auto parts = sharedPartsOf({{"5c1e07a2", 800}, {std::string(300, 'a'), 1}, {"\xff", 1}, {"own", 20}});
    cr_assert_eq(parts.size(), 3);
    cr_expect_eq(parts[0], "5c1e07a2");
    cr_expect(parts[1].starts_with("hash-") && parts[1].size() < 30);
    cr_expect(parts[2].starts_with("hash-"));
    cr_expect(sharedPartsOf({}).empty());
    cr_expect(sharedPartsOf({{"own", 20}}).empty());
}

// Gossip delivers reports in any order, and more than once.
Test(prompt_quarantine, daemons_that_got_the_same_reports_in_any_order_agree)
{
    const bool ok = rc::check([] {
        std::vector<QuarantineNews> reports;
        Daemon source;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int n = 0; n < steps; ++n) {
            const std::vector<std::string> parts = {"p" + std::to_string(*rc::gen::inRange(0, 3))};
            const auto at = 1s + n * 300ms;
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                source.answer(parts, at);
                break;
            case 1:
                source.table.end({kService, parts.front()}, kStart + at);
                break;
            default:
                source.crash(n, parts, at);
                break;
            }
            reports.push_back(source.table.takeNews());
        }
        Daemon other;
        auto order = reports;
        for (std::size_t i = order.size(); i > 1; --i) {
            std::swap(order[i - 1], order[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(i)))]);
        }
        order.insert(order.end(), reports.begin(), reports.end());
        for (const auto &report : order) {
            other.table.merge(report, kStart + 1min);
        }
        for (const auto &known : source.table.quarantines()) {
            const auto all = other.table.quarantines();
            const auto it = std::find_if(all.begin(), all.end(), [&](const auto &q) { return q.part == known.part; });
            RC_ASSERT(it != all.end());
            RC_ASSERT(!known.supersedes(*it));
        }
    });
    cr_expect(ok);
}

// Parts that only come together are quarantined together; a trial of one alone would never come.
Test(prompt_quarantine, parts_that_come_together_are_tried_together)
{
    Daemon it;
    const std::vector<std::string> both = {"twin", "dead"};
    for (int n = 0; n < 3; ++n) {
        it.crash(n, both, 1s + n * 1s);
    }
    cr_expect(it.refuses(both, 10s));
    const auto verdict = it.check(both, 24s);
    cr_expect(verdict.kind == QuarantineVerdict::Kind::TrialDue);
    cr_assert_eq(verdict.parts.size(), 2);
    cr_expect_eq(verdict.parts.front().part, "dead");
    it.answer(both, 25s);
    cr_expect(it.check(both, 25s).kind == QuarantineVerdict::Kind::Allowed);
}

// While the store is away, nobody learns that an endpoint has started again.
Test(prompt_quarantine, an_endpoint_that_crashes_again_before_its_new_start_is_listed_counts_again)
{
    Daemon it;
    for (int n = 0; n < 3; ++n) {
        it.crash(1, kPoison, 1s + n * 2s);
    }
    cr_expect(it.refuses(kPoison));
}

// One request that is sent again crashes endpoints faster than anything else does.
Test(prompt_quarantine, a_second_send_right_after_a_crash_counts)
{
    Daemon it;
    it.crash(1, kPoison, 1000ms);
    it.crash(2, kPoison, 1060ms);
    cr_expect(not it.table.mayRetry(kService, kPoison));
    it.crash(3, kPoison, 1100ms); // Sent before the crash at 1060 ms.
    cr_expect(not it.refuses(kPoison));
    it.crash(4, kPoison, 1200ms);
    cr_expect(it.refuses(kPoison));
}
