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

// Results of a planner that died occupy two thirds of the memory.
Test(result_memory, accounts_for_memory_that_others_use_as_reported)
{
    auto memory = memoryOf(30);
    const auto queries = memory.takeMemoryQueries(kStart);
    cr_assert_eq(queries.size(), 1);
    cr_assert(!memory.isUsageKnown(kEndpoint, kStart));
    memory.recordFreeBytes(kEndpoint, 10);
    cr_assert(memory.isUsageKnown(kEndpoint, kStart));
    cr_assert(memory.fits(kEndpoint, 5, 2, 0));
    cr_assert(!memory.fits(kEndpoint, 5, 3, 0));
    cr_assert(memory.takeMemoryQueries(kStart + 100ms).empty());
    cr_assert_eq(memory.takeMemoryQueries(kStart + 250ms).size(), 1); // Results of others expire: query again.
    memory.recordFreeBytes(kEndpoint, 30);
    cr_assert(memory.fits(kEndpoint, 5, 6, 0));
    cr_assert(memory.takeMemoryQueries(kStart + 10s).empty()); // No results of others are left.
}

Test(result_memory, own_results_are_not_counted_as_others)
{
    auto memory = memoryOf(30);
    memory.reserve(kEndpoint, 12);
    cr_assert_eq(memory.takeMemoryQueries(kStart).size(), 1);
    memory.recordFreeBytes(kEndpoint, 18);
    cr_assert(memory.fits(kEndpoint, 6, 3, 0));
    memory.unreserve(kEndpoint, 12);
    cr_assert(memory.fits(kEndpoint, 6, 5, 0));
}

Test(result_memory, an_endpoint_that_ran_out_of_memory_is_queried_again)
{
    auto memory = memoryOf(30);
    static_cast<void>(memory.takeMemoryQueries(kStart));
    memory.recordFreeBytes(kEndpoint, 30);
    memory.recordMemoryFull(kEndpoint);
    cr_assert_eq(memory.takeMemoryQueries(kStart + 1s).size(), 1);
}

Test(result_memory, an_endpoint_that_does_not_report_is_used_after_a_timeout)
{
    auto memory = memoryOf(30);
    static_cast<void>(memory.takeMemoryQueries(kStart));
    cr_assert(!memory.isUsageKnown(kEndpoint, kStart + 59ms));
    cr_assert(memory.isUsageKnown(kEndpoint, kStart + 60ms));
}

// Random event sequences against a simple model of the endpoint's memory: however
// others fill it, a result that fits() allows right after a report always fits.
Test(result_memory, never_counts_on_memory_that_is_in_use)
{
    cr_assert(rc::check([] {
        constexpr std::uint64_t kCapacity = 40;
        auto memory = memoryOf(kCapacity);
        std::map<std::string, std::uint64_t> own; // Bytes of this planner's results, by handle.
        std::uint64_t otherBytes = 0;
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
            otherBytes = std::min<std::uint64_t>(*rc::gen::inRange<std::uint64_t>(0, 20), kCapacity - ownBytes());
            memory.recordMemoryFull(kEndpoint);
            now += 250ms;
            RC_ASSERT(memory.takeMemoryQueries(now).size() == 1U);
            memory.recordFreeBytes(kEndpoint, kCapacity - ownBytes() - otherBytes);
            const auto bytes = *rc::gen::inRange<std::uint64_t>(1, 8);
            if (memory.fits(kEndpoint, bytes, 1, 0)) {
                RC_ASSERT(ownBytes() + otherBytes + bytes <= kCapacity);
                const auto handle = "r" + std::to_string(++made);
                own[handle] = bytes;
                memory.store(ResultHandle(handle), kEndpoint, bytes, now + 1h); // Longer than the sequence.
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
