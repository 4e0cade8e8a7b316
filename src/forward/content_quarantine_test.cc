#include "forward/content_quarantine.h"

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

/// The content of a request whose prompt shares \a parts with others, and which is the
/// \a number-th of its kind.
std::vector<ContentId> contents(const std::vector<std::string> &parts, int number, const ServiceId &service = kService)
{
    std::vector<PromptPart> prompt;
    prompt.reserve(parts.size() + 1);
    for (const auto &part : parts) {
        prompt.push_back({part, 100});
    }
    prompt.push_back({"own" + std::to_string(number), 20});
    return contentIdsOf(service, prompt, static_cast<std::uint64_t>(number));
}

/// The number of a request that never comes again.
int nextRequest()
{
    static int number = 100;
    return ++number;
}

/// A daemon's table and how it meets crashes and answers.
struct Daemon {
    ContentQuarantine table;

    /// An endpoint crashes under a request that never comes again. \a flight: from the send to
    /// the crash.
    void crash(int n, const std::vector<std::string> &parts, Duration at, Duration flight = 50ms)
    {
        crashUnder(n, contents(parts, nextRequest()), at, flight);
    }
    void crashUnder(int n, const std::vector<ContentId> &request, Duration at, Duration flight = 50ms)
    {
        table.recordCrash(endpoint(n), {{request, kStart + at - flight, 0}}, kStart + at);
    }
    void answer(const std::vector<std::string> &parts, Duration at)
    {
        table.recordAnswer(contents(parts, nextRequest()), kStart + at);
    }
    [[nodiscard]] QuarantineVerdict check(const std::vector<std::string> &parts, Duration at) const
    {
        return table.check(contents(parts, 0), kStart + at);
    }
    [[nodiscard]] bool refuses(const std::vector<std::string> &parts, Duration at = 10s) const
    {
        return check(parts, at).kind == QuarantineVerdict::Kind::Refused;
    }
    [[nodiscard]] bool refusesRequest(const std::vector<ContentId> &request, Duration at = 10s) const
    {
        return table.check(request, kStart + at).kind == QuarantineVerdict::Kind::Refused;
    }
    [[nodiscard]] bool mayRetry(const std::vector<std::string> &parts) const
    {
        return table.mayRetry(contents(parts, 0));
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

Test(content_quarantine, a_part_in_flight_at_three_crashes_and_never_answered_is_quarantined)
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

Test(content_quarantine, of_another_service_the_same_part_is_not_quarantined)
{
    const auto it = quarantining();
    cr_expect(it.table.check(contents(kPoison, 0, ServiceId("other")), kStart + 10s).kind
              == QuarantineVerdict::Kind::Allowed);
}

// A route that moves to another service brings its poison requests along.
Test(content_quarantine, for_another_service_one_crash_is_enough)
{
    auto it = quarantining();
    const ServiceId other("other");
    cr_expect(not it.table.mayRetry(contents(kPoison, 0, other)));
    it.table.recordCrash(endpoint(20), {{contents(kPoison, 1, other), kStart + 4s, 0}}, kStart + 5s);
    cr_expect(it.table.check(contents(kPoison, 0, other), kStart + 6s).kind == QuarantineVerdict::Kind::Refused);
    cr_expect(it.table.check(contents({"system"}, 0, other), kStart + 6s).kind == QuarantineVerdict::Kind::Allowed);
}

Test(content_quarantine, another_service_that_has_answered_the_part_keeps_it)
{
    auto it = quarantining();
    const ServiceId other("other");
    it.table.recordAnswer(contents(kPoison, 0, other), kStart + 4s);
    cr_expect(it.table.mayRetry(contents(kPoison, 0, other)));
    it.table.recordCrash(endpoint(20), {{contents(kPoison, 1, other), kStart + 4s, 0}}, kStart + 5s);
    cr_expect(it.table.check(contents(kPoison, 0, other), kStart + 6s).kind == QuarantineVerdict::Kind::Allowed);
    cr_expect(it.refuses(kPoison));
}

Test(content_quarantine, an_answer_between_the_crashes_clears_a_part)
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
Test(content_quarantine, endpoints_that_crash_at_one_moment_count_once)
{
    Daemon it;
    for (int n = 0; n < 9; ++n) {
        it.crash(n, {"system", "rare"}, 1s + n * 20ms, 500ms);
    }
    cr_expect(not it.refuses({"system", "rare"}));
}

Test(content_quarantine, one_crash_seen_by_several_daemons_counts_once)
{
    Daemon first;
    for (int n = 0; n < 4; ++n) {
        Daemon other;
        other.crash(1, kPoison, 1s + n * 100ms); // News that is late on the way.
        first.table.merge(other.table.takeNews(), kStart + 3s);
    }
    cr_expect(not first.refuses(kPoison));
}

Test(content_quarantine, crashes_seen_by_different_daemons_are_summed)
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
Test(content_quarantine, crashes_that_a_quarantined_part_explains_do_not_count_against_others)
{
    auto it = quarantining();
    it.crash(4, {"dead", "rare"}, 4s);
    it.crash(5, {"dead", "rare"}, 5s);
    it.crash(6, {"dead", "rare"}, 6s);
    cr_expect(it.refuses(kPoison));
    cr_expect(not it.refuses({"rare"}));
}

Test(content_quarantine, a_part_that_some_daemon_has_seen_answered_needs_more_crashes)
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

Test(content_quarantine, a_daemon_that_has_seen_answers_makes_the_first_trial_come_sooner)
{
    auto judge = quarantining();
    Daemon knows;
    knows.answer({"dead"}, 0s);
    knows.table.merge({{}, {}, judge.table.quarantines()}, kStart + 4s);
    judge.table.merge(knows.table.takeNews(), kStart + 4s);
    cr_expect(judge.check(kPoison, 5s).kind == QuarantineVerdict::Kind::Refused);
    cr_expect(judge.check(kPoison, 7s).kind == QuarantineVerdict::Kind::TrialDue);
}

Test(content_quarantine, a_lost_request_is_not_sent_again_after_the_second_crash)
{
    Daemon it;
    it.crash(1, kPoison, 1s);
    cr_expect(it.mayRetry(kPoison));
    it.crash(2, kPoison, 2s);
    cr_expect(not it.mayRetry(kPoison));
    cr_expect(it.mayRetry({"other"}));
    cr_expect(not it.refuses(kPoison));
}

Test(content_quarantine, trials_become_rare_and_each_is_due_once)
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

Test(content_quarantine, an_answer_ends_a_quarantine_everywhere)
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

Test(content_quarantine, a_part_can_be_quarantined_again)
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

Test(content_quarantine, old_crashes_do_not_count)
{
    Daemon it;
    it.crash(1, kPoison, 1s);
    it.crash(2, kPoison, 11min);
    it.crash(3, kPoison, 22min);
    cr_expect(not it.refuses(kPoison, 22min + 1s));
}

Test(content_quarantine, memory_is_bounded_under_ever_new_parts)
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
    cr_expect(it.table.suspects() <= ContentQuarantineOptions().maxSuspects);
    cr_expect(news <= 65, "%d crash reports at once", news);
    cr_expect(it.table.allAnswered(contents({"popular"}, 0)));
}

Test(content_quarantine, ids_that_are_long_or_not_plain_are_hashed)
{
    const auto ids =
        contentIdsOf(kService, {{"5c1e07a2", 800}, {std::string(300, 'a'), 1}, {"\xff", 1}, {"own", 20}}, 7);
    cr_assert_eq(ids.size(), 5);
    cr_expect_eq(ids[0].id, "5c1e07a2");
    cr_expect(ids[1].id.starts_with("hash-") && ids[1].id.size() < 30);
    cr_expect(ids[2].id.starts_with("hash-"));
    cr_expect(ids[2].kind == ContentKind::SharedPart);
    cr_expect(ids[3].id == "own" && ids[3].kind == ContentKind::OwnPart);
    cr_expect(ids[4].id == "0000000000000007" && ids[4].kind == ContentKind::Request);
    cr_assert_eq(contentIdsOf(kService, {}, 7).size(), 1);
    cr_expect(contentIdsOf(kService, {}, 7).front().kind == ContentKind::Request);
}

// Gossip delivers reports in any order, and more than once.
Test(content_quarantine, daemons_that_got_the_same_reports_in_any_order_agree)
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
            const auto it =
                std::find_if(all.begin(), all.end(), [&](const auto &q) { return q.content == known.content; });
            RC_ASSERT(it != all.end());
            RC_ASSERT(!known.supersedes(*it));
        }
    });
    cr_expect(ok);
}

// Parts that only come together are quarantined together; a trial of one alone would never come.
Test(content_quarantine, parts_that_come_together_are_tried_together)
{
    Daemon it;
    const std::vector<std::string> both = {"twin", "dead"};
    for (int n = 0; n < 3; ++n) {
        it.crash(n, both, 1s + n * 1s);
    }
    cr_expect(it.refuses(both, 10s));
    const auto verdict = it.check(both, 24s);
    cr_expect(verdict.kind == QuarantineVerdict::Kind::TrialDue);
    cr_assert_eq(verdict.contents.size(), 2);
    cr_expect_eq(verdict.contents.front().id, "dead");
    it.answer(both, 25s);
    cr_expect(it.check(both, 25s).kind == QuarantineVerdict::Kind::Allowed);
}

// While the store is away, nobody learns that an endpoint has started again.
Test(content_quarantine, an_endpoint_that_crashes_again_before_its_new_start_is_listed_counts_again)
{
    Daemon it;
    for (int n = 0; n < 3; ++n) {
        it.crash(1, kPoison, 1s + n * 2s);
    }
    cr_expect(it.refuses(kPoison));
}

// One request that is sent again crashes endpoints faster than anything else does.
Test(content_quarantine, a_second_send_right_after_a_crash_counts)
{
    Daemon it;
    it.crash(1, kPoison, 1000ms);
    it.crash(2, kPoison, 1060ms);
    cr_expect(not it.mayRetry(kPoison));
    it.crash(3, kPoison, 1100ms); // Sent before the crash at 1060 ms.
    cr_expect(not it.refuses(kPoison));
    it.crash(4, kPoison, 1200ms);
    cr_expect(it.refuses(kPoison));
}

// What one request holds that comes again and again, under other ids and at other daemons: parts
// that it shares with sound requests were in flight at each crash too.
Test(content_quarantine, a_request_that_comes_again_is_quarantined_and_not_what_it_shares)
{
    Daemon it;
    const auto deadly = contents({"system", "topic"}, 1);
    for (int n = 0; n < 3; ++n) {
        it.crashUnder(n, deadly, 1s + n * 1s);
    }
    cr_expect(it.refusesRequest(deadly));
    cr_expect(not it.refuses({"system", "topic"}));
    cr_assert_eq(it.table.quarantines().size(), 1);
    cr_expect(it.table.quarantines().front().content.kind == ContentKind::Request);
}

Test(content_quarantine, a_request_without_a_prompt_is_known_again)
{
    std::vector<Daemon> daemons(3);
    const auto deadly = contentIdsOf(kService, {}, 77);
    for (int n = 0; n < 3; ++n) {
        daemons[static_cast<std::size_t>(n)].crashUnder(n, deadly, 1s + n * 1s);
        daemons[0].table.merge(daemons[static_cast<std::size_t>(n)].table.takeNews(), kStart + 4s);
    }
    cr_expect(daemons[0].refusesRequest(deadly));
    cr_expect(not daemons[0].refusesRequest(contentIdsOf(kService, {}, 78)));
}

// The session's part, though each request of it differs.
Test(content_quarantine, the_own_part_is_quarantined_where_requests_of_one_session_crash_endpoints)
{
    Daemon it;
    auto deadly = contents({"system", "topic"}, 1);
    for (int n = 0; n < 3; ++n) {
        deadly.back().id = "request" + std::to_string(n);
        it.crashUnder(n, deadly, 1s + n * 1s);
    }
    cr_expect(it.refusesRequest(deadly));
    cr_expect(not it.refuses({"system", "topic"}));
    cr_expect(it.table.quarantines().front().content.kind == ContentKind::OwnPart);
}

// Where several requests with a part turn out to crash endpoints, the part is to blame; the
// crashes under one of them count once.
Test(content_quarantine, a_part_is_quarantined_once_several_requests_with_it_crash_endpoints)
{
    Daemon it;
    const auto first = contents({"system", "dead"}, 1);
    for (int n = 0; n < 3; ++n) {
        it.crashUnder(n, first, 1s + n * 1s);
    }
    it.answer({"system", "other"}, 3500ms);
    cr_expect(not it.refuses(kPoison));
    it.crash(4, kPoison, 4s);
    cr_expect(not it.refuses(kPoison));
    it.crash(5, kPoison, 5s);
    cr_expect(it.refuses(kPoison));
    cr_expect(not it.refuses({"system", "other"}));
}

// A sound request that was in flight at the crashes of a deadly one isn't explained by it, and
// neither are its parts to blame.
Test(content_quarantine, a_request_beside_the_deadly_one_is_not_refused)
{
    Daemon it;
    const auto deadly = contents({"system", "topic"}, 1);
    const auto sound = contents({"system", "rare"}, 2);
    it.table.recordCrash(endpoint(1), {{deadly, kStart + 900ms, 0}, {sound, kStart + 950ms, 2}}, kStart + 1s);
    it.crashUnder(2, deadly, 2s);
    it.crashUnder(3, deadly, 3s);
    cr_expect(it.refusesRequest(deadly));
    cr_expect(not it.refusesRequest(sound));
}

// A tie of two parts refuses only what holds both: either may be sound.
Test(content_quarantine, parts_that_come_together_are_refused_only_together)
{
    Daemon it;
    for (int n = 0; n < 3; ++n) {
        it.crash(n, {"twin", "dead"}, 1s + n * 1s);
    }
    cr_expect(it.refuses({"twin", "dead"}));
    cr_expect(not it.refuses({"twin", "other"}));
    cr_expect(not it.refuses({"dead"}));
    it.crash(4, {"dead"}, 4s);
    it.crash(5, {"dead"}, 5s);
    cr_expect(it.refuses({"dead"}));
    cr_expect(not it.refuses({"twin"}));
}

// Daemons that decided by different reports: requests are refused wherever one of them refuses.
Test(content_quarantine, the_wider_of_two_quarantines_holds)
{
    Daemon narrow;
    Daemon wide;
    for (int n = 0; n < 3; ++n) {
        narrow.crash(n, {"twin", "dead"}, 1s + n * 1s);
        wide.crash(n, {"dead"}, 1s + n * 1s);
    }
    cr_expect(not narrow.refuses({"dead"}));
    narrow.table.merge({{}, {}, wide.table.quarantines()}, kStart + 4s);
    wide.table.merge({{}, {}, narrow.table.quarantines()}, kStart + 4s);
    cr_expect(narrow.refuses({"dead"}));
    cr_expect(wide.refuses({"dead"}));
    cr_expect_eq(narrow.table.digest(), wide.table.digest());
}

// A crash's report holds those first that were at the beginning of their answer.
Test(content_quarantine, a_deadly_request_among_many_is_found)
{
    Daemon it;
    const auto deadly = contents({"system"}, 1);
    for (int n = 0; n < 3; ++n) {
        std::vector<CrashedRequest> requests;
        requests.reserve(121);
        for (int i = 0; i < 120; ++i) {
            requests.push_back({contents({"system"}, 1000 + n * 200 + i), kStart + n * 1s, 5});
        }
        requests.push_back({deadly, kStart + n * 1s + 950ms, 0});
        it.table.recordCrash(endpoint(n), requests, kStart + n * 1s + 1s);
    }
    cr_expect(it.refusesRequest(deadly));
}
