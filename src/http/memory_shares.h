#pragma once

#include <cstdint>
#include <optional>

namespace mimosahub::http
{

/// How a process's memory is divided, in bytes. What remains is for the idle process, its tables,
/// and what the heap keeps unused.
struct MemoryShares {
    std::uint64_t requests = 0; ///< For the accounts of requests and answers of all traffic threads.
    std::uint64_t operators = 0; ///< For bodies at the ports of the balancer, metrics and operators.
    std::uint64_t peers = 0; ///< For messages of other daemons that have not been handled.

    /// Divides \a memoryMb, the process's limit in MiB. \a requestsMb, if present, sets the first share.
    [[nodiscard]] static MemoryShares of(int memoryMb, std::optional<int> requestsMb = std::nullopt);
};

/// Makes the heap give large blocks back to the system as soon as they are freed. By default it
/// raises this threshold up to 32 MiB, and the memory of bodies stays with the process. To be
/// called once, before other threads begin.
void boundHeap();

} // namespace mimosahub::http
