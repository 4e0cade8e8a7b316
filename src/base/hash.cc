// Rendezvous hashing: each key ranks all candidates by a hash of the pair. It
// needs no ring and no state, and one lost candidate moves only its own keys.

#include "base/hash.h"

#include <xxhash.h>

namespace mimosahub
{

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return hashBytes(candidate, hashBytes(key));
}

} // namespace mimosahub
