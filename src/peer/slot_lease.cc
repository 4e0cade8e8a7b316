// Keys of leased resources: names hashed to 32 bits, so that a SlotAsk takes 8 bytes.

#include "peer/slot_lease.h"

#include "base/hash.h"

#include <algorithm>
#include <string>

namespace mimosahub
{

namespace
{

ResourceKey resourceKey(const std::string &name)
{
    return ResourceKey(hashBytes(name) & 0xFFFF'FFFFU);
}

} // namespace

ResourceKey endpointSlots(const EndpointId &endpoint)
{
    return resourceKey("endpoint\n" + endpoint.str());
}

std::uint32_t fixedSplit(std::uint32_t limit, std::size_t members)
{
    return std::max<std::uint32_t>(1, limit / static_cast<std::uint32_t>(std::max<std::size_t>(members, 1)));
}

} // namespace mimosahub
