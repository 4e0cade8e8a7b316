#include "http/memory_account.h"
#include "http/memory_shares.h"

#include <criterion/criterion.h>

using mimosahub::http::kRequestOverheadBytes;
using mimosahub::http::MemoryShares;

namespace
{

constexpr std::uint64_t kMiB = std::uint64_t(1) << 20U;

} // namespace

Test(memory_shares, all_shares_leave_room_for_the_process_itself)
{
    for (const int memoryMb : {64, 160, 260, 512, 4096}) {
        const auto shares = MemoryShares::of(memoryMb);
        const auto sum = shares.requests + shares.operators + shares.peers;
        cr_expect(sum + 16 * kMiB + memoryMb * kMiB / 8 <= memoryMb * kMiB, "%d", memoryMb);
    }
}

// Sizes of machines and their connections of callers: as many small requests at once find room.
Test(memory_shares, as_many_requests_as_connections_find_room)
{
    struct Machine {
        int memoryMb;
        std::uint64_t callers;
    };
    for (const auto &machine : {Machine{160, 1950}, Machine{260, 1950}, Machine{400, 5025}, Machine{512, 3996}}) {
        cr_expect(MemoryShares::of(machine.memoryMb).requests / kRequestOverheadBytes >= machine.callers, "%d",
                  machine.memoryMb);
    }
}

Test(memory_shares, a_setting_replaces_the_share_of_requests)
{
    cr_expect(MemoryShares::of(256, 40).requests == 40 * kMiB);
}
