#include "forward/result_memory.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const TimePoint kStart(1h);
const EndpointId kEndpoint("x");

ResultMemory memoryOf(std::uint64_t capacity)
{
    ResultMemory memory;
    memory.setRule(capacity, 4s);
    memory.add(kEndpoint, {"x", 80});
    return memory;
}

} // namespace

// What a planner that has died left behind: a third of the memory is free.
Test(result_memory, counts_what_others_have_stored_as_the_endpoint_says)
{
    auto memory = memoryOf(30);
    const auto questions = memory.takeQuestions(kStart);
    cr_assert_eq(questions.size(), 1);
    cr_assert(!memory.isKnown(kEndpoint, kStart));
    memory.stated(kEndpoint, 10);
    cr_assert(memory.isKnown(kEndpoint, kStart));
    cr_assert(memory.fits(kEndpoint, 5, 2, 0));
    cr_assert(!memory.fits(kEndpoint, 5, 3, 0));
    cr_assert(memory.takeQuestions(kStart + 100ms).empty());
    cr_assert_eq(memory.takeQuestions(kStart + 250ms).size(), 1); // Others' results expire: ask again.
    memory.stated(kEndpoint, 30);
    cr_assert(memory.fits(kEndpoint, 5, 6, 0));
    cr_assert(memory.takeQuestions(kStart + 10s).empty()); // Nothing of others is left.
}

Test(result_memory, own_results_are_not_taken_for_others)
{
    auto memory = memoryOf(30);
    memory.reserve(kEndpoint, 12);
    cr_assert_eq(memory.takeQuestions(kStart).size(), 1);
    memory.stated(kEndpoint, 18);
    cr_assert(memory.fits(kEndpoint, 6, 3, 0));
    memory.unreserve(kEndpoint, 12);
    cr_assert(memory.fits(kEndpoint, 6, 5, 0));
}

Test(result_memory, an_endpoint_that_had_no_room_is_asked_again)
{
    auto memory = memoryOf(30);
    static_cast<void>(memory.takeQuestions(kStart));
    memory.stated(kEndpoint, 30);
    memory.noRoom(kEndpoint);
    cr_assert_eq(memory.takeQuestions(kStart + 1s).size(), 1);
}

Test(result_memory, an_endpoint_that_does_not_say_is_used_after_a_while)
{
    auto memory = memoryOf(30);
    static_cast<void>(memory.takeQuestions(kStart));
    cr_assert(!memory.isKnown(kEndpoint, kStart + 59ms));
    cr_assert(memory.isKnown(kEndpoint, kStart + 60ms));
}

// Random histories against a plain model of the endpoint's memory: however others
// fill it, what fits() allows right after a statement is never refused.
Test(result_memory, never_counts_on_memory_that_is_taken)
{
    cr_assert(rc::check([] {
        constexpr std::uint64_t kCapacity = 40;
        auto memory = memoryOf(kCapacity);
        std::map<std::string, std::uint64_t> own; // By handle.
        std::uint64_t others = 0;
        int made = 0;
        auto now = kStart;
        const auto ownBytes = [&] {
            std::uint64_t sum = 0;
            for (const auto &[handle, bytes] : own) {
                sum += bytes;
            }
            return sum;
        };
        for (int step = 0; step < 60; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 50));
            others = std::min<std::uint64_t>(*rc::gen::inRange<std::uint64_t>(0, 20), kCapacity - ownBytes());
            memory.noRoom(kEndpoint);
            now += 250ms;
            RC_ASSERT(memory.takeQuestions(now).size() == 1U);
            memory.stated(kEndpoint, kCapacity - ownBytes() - others);
            const auto bytes = *rc::gen::inRange<std::uint64_t>(1, 8);
            if (memory.fits(kEndpoint, bytes, 1, 0)) {
                RC_ASSERT(ownBytes() + others + bytes <= kCapacity);
                const auto handle = "r" + std::to_string(++made);
                own[handle] = bytes;
                memory.keep(ResultHandle(handle), kEndpoint, bytes, now + 1h); // Outlives the history.
            }
            if (!own.empty() && *rc::gen::arbitrary<bool>()) {
                RC_ASSERT(memory.drop(ResultHandle(own.begin()->first)));
                for (const auto &release : memory.takeReleases()) {
                    memory.releaseEnded(release);
                }
                own.erase(own.begin());
            }
        }
    }));
}

Test(result_memory, a_result_of_another_planner_is_not_known)
{
    auto memory = memoryOf(30);
    cr_assert(!memory.drop(ResultHandle("other/1")));
    cr_assert(memory.takeReleases().empty());
}
