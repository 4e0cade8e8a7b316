#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace mimosahub
{

/// 64-bit XXH3 hash of \a bytes; the same on every instance.
[[nodiscard]] std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Rendezvous weight of \a candidate for \a key: the candidate with the highest
/// weight owns the key, and removing another candidate never moves the key.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace mimosahub
