#include "http/body_pace.h"
#include "http/memory_account.h"

#include <criterion/criterion.h>
#include <memory>
#include <rapidcheck.h>
#include <vector>

using namespace mimosahub;
using namespace mimosahub::http;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t kMiB = std::uint64_t(1) << 20U;
constexpr std::uint64_t kBody = 4 * kMiB;
constexpr std::uint64_t kBudget = 20 * kMiB; ///< Of which large ones may take 17.5 MiB.

struct Observer : MemoryObserver {
    void heldChanged(std::uint64_t bytes) override
    {
        most = std::max(most, bytes);
    }
    void refused(MemoryRefusal refusal, std::uint64_t /*bytes*/) override
    {
        refusals.push_back(refusal);
    }
    std::uint64_t most = 0;
    std::vector<MemoryRefusal> refusals;
};

/// An account and the bodies of its callers.
struct Load {
    explicit Load(std::uint64_t budget = kBudget, double clientShare = 1.0)
        : account(clock, {.budget = budget, .clientShare = clientShare, .maxWaiting = 3})
    {
        account.setObserver(&observer);
    }
    MemoryHold &add(MemoryUse use = MemoryUse::Body, std::uint64_t client = 1)
    {
        holds.push_back(std::make_unique<MemoryHold>(account, use, [this] { ++ends; }));
        holds.back()->setClient(client);
        return *holds.back();
    }

    ManualClock clock;
    Observer observer;
    MemoryAccount account;
    std::vector<std::unique_ptr<MemoryHold>> holds;
    int ends = 0;
};

using Admission = MemoryAccount::Admission;

} // namespace

// 43 callers at once with bodies of 4 MiB: those for whom there is no room wait and are not read.
Test(memory_account, large_announced_bodies_wait_until_others_are_answered)
{
    Load load;
    for (int i = 0; i < 4; ++i) {
        cr_assert(load.account.admit(load.add(), kBody) == Admission::Admitted);
        load.holds.back()->setReceived();
    }
    auto &fifth = load.add();
    cr_assert(load.account.admit(fifth, kBody) == Admission::Wait);
    int woken = 0;
    const MemoryWait wait(load.account, fifth, kBody, [&] { ++woken; });
    cr_assert(!wait.admitted() && fifth.bytes() == 0);
    load.holds.erase(load.holds.begin());
    cr_assert(wait.admitted() && woken == 1 && fifth.bytes() == kBody && load.account.waiting() == 0);
    cr_assert(load.account.held() == 4 * kBody);
}

// Each body that waits has bytes in the kernel's buffers: their number is bounded too.
Test(memory_account, more_bodies_than_may_wait_are_refused)
{
    Load load;
    while (load.account.admit(load.add(), kBody) == Admission::Admitted) { }
    std::vector<std::unique_ptr<MemoryWait>> waits;
    waits.reserve(3);
    for (int i = 0; i < 3; ++i) {
        waits.push_back(std::make_unique<MemoryWait>(load.account, load.add(), kBody, [] {}));
    }
    cr_assert(load.account.admit(load.add(), kBody) == Admission::Refused);
    cr_assert(load.observer.refusals == std::vector{MemoryRefusal::TooManyWaiting});
    waits.pop_back();
    cr_assert(load.account.admit(load.add(), kBody) == Admission::Wait);
}

// Callers whose bodies stall short of their end keep nobody else waiting.
Test(memory_account, bodies_that_stall_are_ended_when_others_wait)
{
    Load load;
    while (load.account.admit(load.add(), kBody) == Admission::Admitted) { }
    auto &last = *load.holds.back();
    const MemoryWait wait(load.account, last, kBody, [] {});
    load.clock.advance(900ms);
    load.holds[1]->recordProgress();
    load.account.endForWaiting();
    cr_assert(load.ends == 0 && !wait.admitted());
    load.clock.advance(100ms);
    load.account.endForWaiting();
    cr_assert(wait.admitted() && load.ends == 1);
    cr_assert(load.holds[0]->ended() && load.holds[0]->reason() == MemoryRefusal::Stalled);
    cr_assert(!load.holds[1]->ended());
}

// Bodies in chunks grow without limit known before: the largest ends, not the small request that comes.
Test(memory_account, the_largest_unannounced_body_ends_for_a_small_request)
{
    Load load;
    for (int i = 0; i < 5; ++i) {
        cr_assert(load.add().grow(static_cast<std::uint64_t>(i + 1) * kMiB));
    }
    auto &filler = load.add(MemoryUse::Answer);
    cr_assert(filler.grow(kBudget - load.account.held()));
    auto &small = load.add();
    cr_assert(small.grow(1000));
    cr_assert(load.holds[4]->ended() || filler.ended());
    cr_assert(load.ends == 1 && !small.ended());
    cr_assert(load.observer.refusals == std::vector{MemoryRefusal::Largest});
}

// One of 48 chunked bodies of equal size must give way, or else none could end.
Test(memory_account, the_largest_body_is_refused_itself)
{
    Load load;
    auto &first = load.add();
    auto &second = load.add();
    cr_assert(first.grow(8 * kMiB) && second.grow(9 * kMiB));
    cr_assert(!second.grow(kMiB));
    cr_assert(!first.ended() && load.observer.refusals == std::vector{MemoryRefusal::NoRoom});
}

// Endless answers fill the account: they end before requests that were received whole.
Test(memory_account, an_endless_answer_ends_and_a_received_request_never_does)
{
    Load load;
    auto &request = load.add();
    cr_assert(load.account.admit(request, kBody) == Admission::Admitted);
    request.setReceived();
    auto &endless = load.add(MemoryUse::Answer);
    cr_assert(endless.grow(kBudget - kBody));
    load.clock.advance(1min);
    auto &answer = load.add(MemoryUse::Answer);
    cr_assert(answer.grow(1000));
    cr_assert(endless.ended() && !request.ended() && load.account.held() == kBody + 1000);
    cr_assert(!endless.grow(1) && endless.bytes() == 0);
}

// Large bodies leave a part of the budget to small requests.
Test(memory_account, small_requests_have_room_beside_large_ones)
{
    Load load;
    while (load.account.admit(load.add(), kBody) == Admission::Admitted) { }
    for (int i = 0; i < 30; ++i) {
        cr_assert(load.account.admit(load.add(), 60'000) == Admission::Admitted);
    }
    cr_assert(load.ends == 0);
}

// A body that is legal by itself is served by a daemon without other traffic.
Test(memory_account, a_body_that_is_alone_may_take_the_whole_budget)
{
    Load load(kBody, 0.5);
    auto &alone = load.add();
    cr_assert(load.account.admit(alone, kBody) == Admission::Admitted);
    alone.shrinkTo(0);
    cr_assert(load.account.admit(alone, kBody + 1) == Admission::Refused);
}

// One address that sends many large bodies slowly leaves room to the others.
Test(memory_account, a_client_s_unfinished_bodies_take_no_more_than_its_share)
{
    Load load(kBudget, 0.5);
    cr_assert(load.account.admit(load.add(MemoryUse::Body, 1), kBody) == Admission::Admitted);
    cr_assert(load.account.admit(load.add(MemoryUse::Body, 1), kBody) == Admission::Admitted);
    auto &third = load.add(MemoryUse::Body, 1);
    cr_assert(load.account.admit(third, kBody) == Admission::Wait);
    const MemoryWait wait(load.account, third, kBody, [] {});
    auto &other = load.add(MemoryUse::Body, 2);
    cr_assert(load.account.admit(other, kBody) == Admission::Wait); // Behind the one that waits.
    const MemoryWait otherWait(load.account, other, kBody, [] {});
    load.add(MemoryUse::Body, 3).shrinkTo(0);
    cr_assert(load.holds.back()->grow(10));
    load.holds.pop_back();
    cr_assert(otherWait.admitted() && !wait.admitted());
    load.holds[0]->setReceived();
    load.holds[1]->shrinkTo(kMiB);
    cr_assert(wait.admitted());
}

// What a request holds is taken before its header is read: one that doesn't come makes room for others.
Test(memory_account, a_header_that_does_not_come_ends_when_others_need_the_room)
{
    Load load(4 * kRequestOverheadBytes);
    for (int i = 0; i < 4; ++i) {
        cr_assert(load.add().grow(kRequestOverheadBytes));
    }
    cr_assert(!load.add().grow(kRequestOverheadBytes) && load.ends == 0);
    load.clock.advance(1s);
    cr_assert(load.add().grow(kRequestOverheadBytes) && load.ends == 1);
    cr_assert(load.observer.refusals.back() == MemoryRefusal::Stalled);
}

// A body that waits for room is not read, so that its lack of progress is not its sender's.
Test(memory_account, a_body_that_waits_for_room_has_not_stalled)
{
    Load load;
    while (load.account.admit(load.add(), kBody) == Admission::Admitted) { }
    for (const auto &hold : load.holds) {
        hold->setReceived();
    }
    auto &waiting = load.add();
    cr_assert(waiting.grow(kRequestOverheadBytes));
    cr_assert(load.account.admit(waiting, kBody) == Admission::Wait);
    const MemoryWait wait(load.account, waiting, kBody, [] {});
    load.clock.advance(2s);
    cr_assert(!load.account.endLongestStalled() && !waiting.ended());
}

// Sound streams are never cut for others, however long they are silent; events without end are, and
// streams that their callers don't read.
Test(memory_account, only_large_or_unread_streams_end_for_others)
{
    Load load(20 * kRequestOverheadBytes);
    auto &sound = load.add(MemoryUse::Stream);
    cr_assert(sound.resize(2 * kRequestOverheadBytes));
    auto &unread = load.add(MemoryUse::Stream);
    cr_assert(unread.resize(2 * kRequestOverheadBytes));
    unread.setBlocked(true);
    auto &large = load.add(MemoryUse::Stream);
    cr_assert(large.resize(10 * kRequestOverheadBytes));
    for (int i = 0; i < 2; ++i) {
        cr_assert(load.add().grow(3 * kRequestOverheadBytes));
        load.holds.back()->setReceived();
    }
    load.clock.advance(1s);
    large.recordProgress();
    cr_assert(load.add().grow(kRequestOverheadBytes));
    load.holds.back()->setReceived();
    cr_assert(unread.ended() && unread.reason() == MemoryRefusal::Stalled && !large.ended());
    load.clock.advance(1min);
    cr_assert(load.add().grow(2 * kRequestOverheadBytes));
    cr_assert(large.ended() && large.reason() == MemoryRefusal::Largest && !sound.ended());
    cr_assert(load.ends == 2);
}

// What was read of an answer is in the process already: to drop it would free little and lose it.
Test(memory_account, what_was_read_of_an_answer_counts_beyond_the_budget)
{
    Load load(10 * kRequestOverheadBytes);
    auto &request = load.add();
    cr_assert(request.grow(9 * kRequestOverheadBytes));
    request.setReceived();
    auto &stream = load.add(MemoryUse::Stream);
    stream.holdReceived(2 * kRequestOverheadBytes);
    cr_assert(load.account.held() == 11 * kRequestOverheadBytes && load.ends == 0);
    cr_assert(!load.add().grow(1), "nothing new has room meanwhile");
    cr_assert(!stream.tryResize(stream.bytes() + 1) && stream.tryResize(stream.bytes()));
    cr_assert(load.observer.refusals.size() == 1, "an answer that can wait is not refused");
    stream.holdReceived(kRequestOverheadBytes);
    cr_assert(load.account.held() == 10 * kRequestOverheadBytes);
}

// Room that is given back goes to streams that have begun before it goes to bodies that came earlier.
Test(memory_account, answers_that_wait_go_before_bodies)
{
    Load load;
    while (load.account.admit(load.add(), kBody) == Admission::Admitted) { }
    for (const auto &hold : load.holds) {
        hold->setReceived();
    }
    auto &body = load.add();
    cr_assert(load.account.admit(body, kBody) == Admission::Wait);
    const MemoryWait bodyWait(load.account, body, kBody, [] {});
    auto &filler = load.add();
    filler.setReceived();
    filler.holdReceived(kBudget - load.account.held());
    auto &stream = load.add(MemoryUse::Stream);
    const MemoryWait streamWait(load.account, stream, kRequestOverheadBytes, [] {});
    filler.shrinkTo(0);
    cr_assert(streamWait.admitted() && !bodyWait.admitted());
    load.holds.front()->shrinkTo(0);
    cr_assert(bodyWait.admitted());
}

// A stream that waits is helped by whatever has stalled, however small, and by a larger unfinished answer.
Test(memory_account, what_stalls_or_is_larger_ends_for_a_stream_that_waits)
{
    Load load(20 * kRequestOverheadBytes);
    auto &unread = load.add(MemoryUse::Stream);
    cr_assert(unread.grow(2 * kRequestOverheadBytes));
    unread.setBlocked(true);
    auto &request = load.add();
    request.setReceived();
    request.holdReceived(18 * kRequestOverheadBytes);
    auto &stream = load.add(MemoryUse::Stream);
    const MemoryWait wait(load.account, stream, kRequestOverheadBytes, [] {});
    load.account.endForWaiting();
    cr_assert(!wait.admitted() && load.ends == 0);
    load.clock.advance(1s);
    load.account.endForWaiting();
    cr_assert(wait.admitted() && unread.ended() && load.ends == 1);
}

// The account may end what waits for room itself: it takes nothing afterwards.
Test(memory_account, an_answer_that_is_ended_while_it_waits_gets_no_room)
{
    Load load(20 * kRequestOverheadBytes);
    auto &answer = load.add(MemoryUse::Answer);
    cr_assert(answer.grow(15 * kRequestOverheadBytes));
    auto &request = load.add();
    cr_assert(request.grow(5 * kRequestOverheadBytes));
    request.setReceived();
    const MemoryWait wait(load.account, answer, kRequestOverheadBytes, [] {});
    cr_assert(load.add().grow(kRequestOverheadBytes));
    cr_assert(answer.ended() && !wait.admitted() && answer.bytes() == 0);
    request.shrinkTo(0);
    cr_assert(!wait.admitted() && answer.bytes() == 0);
}

// At the limit of connections the one that has made no progress for the longest time goes.
Test(memory_account, what_has_stalled_for_the_longest_time_ends_for_a_new_connection)
{
    Load load;
    cr_assert(load.add().grow(1000));
    load.clock.advance(1s);
    cr_assert(load.add().grow(1000));
    cr_assert(load.account.endLongestStalled());
    cr_assert(load.holds[0]->ended() && !load.holds[1]->ended());
    cr_assert(!load.account.endLongestStalled());
}

// The bound, whatever callers and endpoints do.
Test(memory_account, never_holds_more_than_its_budget)
{
    cr_assert(rc::check("sum", [] {
        Load load;
        std::vector<std::unique_ptr<MemoryWait>> waits;
        for (int steps = *rc::gen::inRange(1, 100); steps > 0; --steps) {
            const auto bytes = *rc::gen::inRange<std::uint64_t>(1, kBody);
            auto &hold = load.add(*rc::gen::element(MemoryUse::Body, MemoryUse::Answer, MemoryUse::Stream));
            load.clock.advance(*rc::gen::element(0ms, 300ms));
            const int kind = *rc::gen::inRange(0, 6);
            if (kind == 0) {
                static_cast<void>(hold.grow(bytes));
            } else if (kind == 1 && load.account.admit(hold, bytes) == Admission::Wait) {
                waits.push_back(std::make_unique<MemoryWait>(load.account, hold, bytes, [] {}));
            } else if (kind == 2) {
                load.account.endForWaiting();
            } else if (kind == 3) {
                static_cast<void>(load.holds.front()->resize(bytes));
            } else if (kind == 4) {
                load.holds.front()->setBlocked(true);
            } else {
                waits.clear();
                load.holds.erase(load.holds.begin());
            }
            std::uint64_t sum = 0;
            for (const auto &each : load.holds) {
                sum += each->bytes();
            }
            RC_ASSERT(sum == load.account.held());
            RC_ASSERT(load.observer.most <= kBudget);
        }
        waits.clear();
        load.holds.clear();
        RC_ASSERT(load.account.held() == 0U);
    }));
}

// The time-out counted from the start of a body: one that stalls held its memory until then.
Test(body_pace, a_body_that_pauses_or_drips_is_given_up)
{
    const TimePoint begin(1h);
    BodyPace stalled({}, true, begin);
    cr_assert(stalled.end() == begin + 3s);
    stalled.record(kBody, begin + 1s);
    cr_assert(stalled.end() == begin + 6s); // The pause, though its rate would allow more.
    BodyPace dripping({}, true, begin);
    dripping.record(std::uint64_t(32) * 1024, begin + 2s);
    cr_assert(dripping.end() == begin + 4s);
    BodyPace small({}, false, begin);
    for (int i = 0; i < 9; ++i) {
        small.record(1, begin + i * 1s);
    }
    cr_assert(small.end() == begin + 10s);
}
