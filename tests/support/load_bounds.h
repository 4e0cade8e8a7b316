#pragma once

#include "tests/support/client_load.h"
#include "tests/support/process.h"
#include "tests/support/process_usage.h"

#include <cstddef>
#include <functional>

namespace mimosahub::testing
{

/// What a daemon must keep to, whatever its clients do.
struct LoadBounds {
    std::size_t memory = 0; ///< Bytes, resident and in the kernel together.
    std::size_t otherDescriptors = 128; ///< Besides two for each client.
};

/// Checks that \a process runs and has kept to \a bounds under \a clients clients, and prints its peaks.
void expectWithin(Process &process, const UsagePeaks &peaks, const LoadBounds &bounds, int clients);

/// Lets clients that send \a bytes loose on \a process and checks, while they are still connected, that
/// ordinary requests are answered, by \a expectServing, and that it keeps to \a bounds.
void expectBounded(Process &process, const ClientBytes &bytes, const ClientLoadOptions &options,
                   const LoadBounds &bounds, const std::function<void()> &expectServing);

} // namespace mimosahub::testing
