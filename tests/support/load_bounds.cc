#include "tests/support/load_bounds.h"

#include <criterion/criterion.h>

#include <chrono>
#include <cstdio>
#include <thread>

namespace mimosahub::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr auto kLoadTime = 5s; ///< In which the clients send; most have sent all within a second.
constexpr auto kTakeInTime = 3s; ///< In which the daemon takes in what it has been sent.
constexpr auto kPoll = 50ms;

} // namespace

void expectWithin(Process &process, const UsagePeaks &peaks, const LoadBounds &bounds, int clients)
{
    const auto resident = peakResident(process.pid());
    const auto maxDescriptors = 2 * static_cast<std::size_t>(clients) + bounds.otherDescriptors;
    cr_expect(process.running());
    cr_expect(resident < bounds.memory, "%zu bytes resident", resident);
    cr_expect(peaks.memory() < bounds.memory, "%zu bytes with the kernel's", peaks.memory());
    cr_expect(peaks.descriptors() < maxDescriptors, "%zu descriptors", peaks.descriptors());
    printf("peaks: %zu bytes resident, %zu in the kernel, %zu together, %zu descriptors\n", resident, peaks.kernel(),
           peaks.memory(), peaks.descriptors());
}

void expectBounded(Process &process, const ClientBytes &bytes, const ClientLoadOptions &options,
                   const LoadBounds &bounds, const std::function<void()> &expectServing)
{
    const UsagePeaks peaks(process.pid());
    const ClientLoad clients(options, bytes);
    cr_assert(clients.connected() == options.count);
    const auto until = std::chrono::steady_clock::now() + kLoadTime;
    while (clients.ended() < options.count && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(kPoll);
    }
    std::this_thread::sleep_for(kTakeInTime);
    expectServing();
    expectWithin(process, peaks, bounds, options.count);
}

} // namespace mimosahub::testing
