#pragma once

#include <cstddef>

namespace mimosahub
{

/// How a process's descriptors are divided. What remains is for calls under way at endpoints,
/// connections to other daemons and to the store, and the small servers.
struct DescriptorShares {
    std::size_t callers = 0; ///< Connections of callers.
    std::size_t idleToEndpoints = 0; ///< Idle connections to endpoints.
    std::size_t peers = 0; ///< Connections that other daemons have opened.

    /// Divides \a descriptors, of which some are reserved for files.
    [[nodiscard]] static DescriptorShares of(int descriptors);
};

} // namespace mimosahub
