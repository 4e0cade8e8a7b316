// A caller's connection with a request under way needs a second one at an endpoint, so that
// callers get no more than half of the sockets. Accepted connections of other daemons are
// bounded to an eighth: 359 of 3,075 descriptors, for 350 daemons.

#include "gateway/descriptor_shares.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr int kReservedForFiles = 200;
constexpr int kLeastPart = 4; ///< Sockets get at least one in so many descriptors.

} // namespace

DescriptorShares DescriptorShares::of(int descriptors)
{
    const auto sockets = static_cast<std::size_t>(
        std::max({descriptors - kReservedForFiles, descriptors / kLeastPart, kLeastPart * kLeastPart}));
    DescriptorShares shares;
    shares.callers = sockets / 2;
    shares.idleToEndpoints = sockets / 8;
    shares.peers = sockets / 8;
    return shares;
}

} // namespace mimosahub
