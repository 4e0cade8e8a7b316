// The holder's side of slot leases. The lifetime of a lease starts before its
// request was sent, so the lease ends no later than the owner assumes. Each request
// lists everything that is used or wanted of the owner's resources and invalidates
// the replies to earlier requests. A new view invalidates all requests in flight, so
// once the new owner of a resource is queried, no reply of the old one is accepted.
//
// The count of running calls is read after the lease was set (slot_counter.cc), so
// a request never understates the calls that may run until its reply is applied.

#include "peer/slot_holder.h"

#include "peer/slot_owner.h"

#include <algorithm>
#include <utility>

namespace mimosahub
{

namespace
{

constexpr Duration kMinUrgentInterval = std::chrono::milliseconds(100);

} // namespace

SlotHolder::SlotHolder(MemberKey self, SlotLeaseOptions options) : m_self(std::move(self)), m_options(options)
{
}

void SlotHolder::setView(MembershipView view)
{
    if (view.epoch <= m_view.epoch) {
        return;
    }
    m_view = std::move(view);
    std::erase_if(m_owners, [&](const auto &owner) { return !isMember(m_view, owner.first); });
    for (auto &[key, owner] : m_owners) {
        owner.pending.reset();
    }
}

void SlotHolder::setDemand(ResourceKey resource, SlotDemand demand)
{
    if (m_leasesReleased) {
        return;
    }
    auto &entry = m_resources[resource];
    entry.demand = demand;
    if (entry.onFallback && demand.fallback == SlotFallback::None) {
        entry.onFallback = false;
        entry.slotCounter->setLease(0, TimePoint());
    }
}

std::shared_ptr<SlotCounter> SlotHolder::slotCounter(ResourceKey resource)
{
    return m_resources[resource].slotCounter;
}

std::optional<SlotRequest> SlotHolder::requestTo(const InstanceId &ownerId, TimePoint now)
{
    const auto *member = findMember(m_view, ownerId);
    if (member == nullptr) {
        return std::nullopt;
    }
    auto &owner = m_owners[keyOf(*member)];
    SlotRequest request{m_view.epoch, m_lastSequence.next(), {}};
    for (auto &[key, resource] : m_resources) {
        if (ownerOf(key, m_view) != member) {
            continue;
        }
        const SlotAsk ask{key, resource.demand.wanted, resource.slotCounter->slots(now), resource.slotCounter->inUse(),
                          resource.demand.cold};
        if (ask.wanted + ask.held + ask.inUse > 0) {
            request.asks.push_back(ask);
            resource.lastWanted = ask.wanted;
        }
    }
    if (request.asks.empty() && owner.emptyRequestEpoch == m_view.epoch) {
        return std::nullopt;
    }
    m_lastSequence = request.sequence;
    owner.lastRequestAt = now;
    owner.pending = {request.sequence, now, request.asks.empty()};
    owner.emptyRequestEpoch.reset();
    return request;
}

void SlotHolder::received(const MemberKey &ownerKey, const SlotReply &reply, TimePoint now)
{
    const auto it = m_owners.find(ownerKey);
    if (it == m_owners.end() || !it->second.pending || it->second.pending->sequence != reply.request) {
        return;
    }
    auto &owner = it->second;
    const auto until = owner.pending->sentAt + reply.lease;
    if (owner.pending->empty) {
        owner.emptyRequestEpoch = m_view.epoch;
    }
    owner.pending.reset();
    for (const auto &grant : reply.grants) {
        const auto resource = m_resources.find(grant.resource);
        if (resource != m_resources.end() && now < until && !m_leasesReleased) {
            resource->second.leasedUntil = until;
            resource->second.onFallback = false;
            resource->second.slotCounter->setLease(grant.slots, until);
        }
    }
}

void SlotHolder::refresh(TimePoint now)
{
    std::erase_if(m_resources, [&](const auto &item) {
        const auto &resource = item.second;
        return resource.demand.wanted == 0 && resource.slotCounter.use_count() == 1
            && resource.slotCounter->inUse() == 0 && resource.slotCounter->slots(now) == 0;
    });
    for (auto &[key, resource] : m_resources) {
        if (now >= resource.leasedUntil && resource.demand.fallback == SlotFallback::FixedSplit) {
            resource.onFallback = true;
            resource.slotCounter->setLease(fixedSplit(resource.demand.limit, m_view.members.size()),
                                           now + m_options.lease);
        }
    }
}

void SlotHolder::releaseAll()
{
    m_leasesReleased = true;
    for (auto &[key, resource] : m_resources) {
        resource.demand = {};
        resource.onFallback = false;
        resource.slotCounter->setLease(0, TimePoint());
    }
}

std::uint32_t SlotHolder::inUse() const
{
    std::uint32_t sum = 0;
    for (const auto &[key, resource] : m_resources) {
        sum += resource.slotCounter->inUse();
    }
    return sum;
}

bool SlotHolder::needsCall(const Resource &resource, const OwnerState *owner, TimePoint now) const
{
    if (resource.demand.wanted == 0) {
        return false;
    }
    if (owner == nullptr || !owner->lastRequestAt) {
        return true;
    }
    const auto since = now - *owner->lastRequestAt;
    // The slots in the last request have been answered; they are requested again only for
    // renewal.
    const auto known = std::max(resource.slotCounter->slots(now), resource.lastWanted);
    const bool needsMore = resource.demand.urgent && resource.demand.wanted > known;
    return since >= m_options.renewAfter || (needsMore && since >= kMinUrgentInterval);
}

std::vector<InstanceId> SlotHolder::urgentOwners(TimePoint now) const
{
    std::vector<InstanceId> owners;
    for (const auto &[key, resource] : m_resources) {
        const auto *member = ownerOf(key, m_view);
        if (member == nullptr || std::find(owners.begin(), owners.end(), member->id) != owners.end()) {
            continue;
        }
        const auto it = m_owners.find(keyOf(*member));
        if (needsCall(resource, it == m_owners.end() ? nullptr : &it->second, now)) {
            owners.push_back(member->id);
        }
    }
    return owners;
}

} // namespace mimosahub
