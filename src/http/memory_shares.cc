#include "http/memory_shares.h"

#include <algorithm>
#include <malloc.h>

namespace mimosahub::http
{

namespace
{

constexpr int kIdleMb = 16; ///< Of an idle process, which held 13 MB.
constexpr int kSlackPart = 8; ///< One part in so many stays free.
constexpr std::uint64_t kLeastPeers = std::uint64_t(3) << 20U; ///< Two messages of the largest size, and small ones.
constexpr std::uint64_t kLeastOperators = std::uint64_t(2) << 20U; ///< One configuration, and small requests.

} // namespace

MemoryShares MemoryShares::of(int memoryMb, std::optional<int> requestsMb)
{
    const int usable = std::max(0, memoryMb - kIdleMb - memoryMb / kSlackPart);
    const auto bytes = static_cast<std::uint64_t>(usable) << 20U;
    MemoryShares shares;
    shares.requests = requestsMb ? static_cast<std::uint64_t>(*requestsMb) << 20U : bytes / 2;
    shares.peers = std::max(kLeastPeers, bytes / 16);
    shares.operators = std::max(kLeastOperators, bytes / 32);
    return shares;
}

void boundHeap()
{
    constexpr int kLargeBlock = 256 * 1024;
    mallopt(M_MMAP_THRESHOLD, kLargeBlock);
    mallopt(M_TRIM_THRESHOLD, kLargeBlock);
}

} // namespace mimosahub::http
