// Keys of leased resources: names hashed to 32 bits, so that a SlotAsk in a heartbeat
// has at most 8 bytes that aren't zero while its counts are below 256. The packed
// encoding leaves out zeros.

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
