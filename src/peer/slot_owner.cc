// The owner's side of slot leases. Invariant: at any moment, the number of calls
// running on a resource on all daemons is at most the sum of its reservations, and
// a grant never raises that sum above the limit. (After the limit is lowered, the
// sum falls to it as the running calls end.)
//
// Reservations: a holder's request reports the slots that it holds and the calls
// that it has running, and invalidates all replies to earlier requests. Until the
// holder applies the reply it may use as many slots as it held; afterwards, as many
// as the new grant. Its reservation is therefore the maximum of held, running and
// granted, and shrinks in two steps: first the holder gets the smaller grant, then
// its next request shows that it complies. Without a further request the
// reservation stays until the lease has expired and the longest call started under
// it has ended.
//
// Change of owner: the members of an epoch determine one owner by rendezvous
// hashing. An old owner stops granting once it knows the new epoch or is no longer
// fresh. Since a fresh daemon knows every record that was accepted at least one
// freshness lease ago, that happens at most one freshness lease after the epoch's
// acceptance. A new owner therefore grants nothing until one of two conditions
// holds. Either this time plus the lifetime of a grant has passed since the new
// owner learned that the epoch is accepted, or every process that was recently a
// member has sent it a request under its epoch: such a process accepts no more
// grants of the old owner, has stopped granting, and has reported what it uses. A
// process that shuts down as planned reports, once it has no running calls, that it
// uses and grants nothing from then on. That counts as such a request and frees the
// process's slots at once.

#include "peer/slot_owner.h"

#include "base/hash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace mimosahub
{

const GroupMember *ownerOf(ResourceKey resource, const MembershipView &view)
{
    const auto name = std::to_string(resource.value());
    const auto it = std::max_element(view.members.begin(), view.members.end(), [&](const auto &a, const auto &b) {
        return rendezvousWeight(name, a.id.str()) < rendezvousWeight(name, b.id.str());
    });
    return it == view.members.end() ? nullptr : &*it;
}

SlotOwner::SlotOwner(MemberKey self, SlotLeaseOptions options) : m_self(std::move(self)), m_options(options)
{
}

void SlotOwner::setView(MembershipView view)
{
    if (m_epochs.empty() || m_epochs.back().view.epoch < view.epoch) {
        m_epochs.push_back({std::move(view), std::nullopt});
    }
}

void SlotOwner::setAccepted(Offset accepted, TimePoint now)
{
    for (auto &epoch : m_epochs) {
        if (!epoch.accepted && epoch.view.epoch <= accepted) {
            epoch.accepted = now;
        }
    }
    expire(now);
}

void SlotOwner::setLimit(ResourceKey resource, SlotLimit limit)
{
    m_limits.insert_or_assign(resource, limit);
}

bool SlotOwner::owns(ResourceKey resource, const MembershipView &view) const
{
    const auto *owner = ownerOf(resource, view);
    return owner != nullptr && keyOf(*owner) == m_self;
}

bool SlotOwner::transitionEnded(const Epoch &epoch, TimePoint now) const
{
    return epoch.accepted && now - *epoch.accepted >= m_options.ownerChangeDelay();
}

bool SlotOwner::allHoldersSynced(Offset since) const
{
    return std::all_of(m_epochs.begin(), m_epochs.end(), [&](const Epoch &epoch) {
        return std::all_of(epoch.view.members.begin(), epoch.view.members.end(), [&](const GroupMember &member) {
            const auto it = m_holders.find(keyOf(member));
            return m_leftMembers.contains(keyOf(member)) || (it != m_holders.end() && it->second.epoch >= since);
        });
    });
}

bool SlotOwner::recordLeave(const MemberKey &member)
{
    if (!m_leftMembers.insert(member).second) {
        return false;
    }
    for (auto &[resource, reservations] : m_reservations) {
        reservations.erase(member);
    }
    return true;
}

bool SlotOwner::mayGrant(ResourceKey resource, TimePoint now) const
{
    if (m_epochs.empty() || !owns(resource, m_epochs.back().view)) {
        return false;
    }
    auto first = m_epochs.size() - 1; // The epoch since which this daemon has owned it without interruption.
    while (first > 0 && owns(resource, m_epochs[first - 1].view)) {
        --first;
    }
    if (transitionEnded(m_epochs[first], now)) {
        return true;
    }
    return m_earlierGrantsExpired && (first == 0 || allHoldersSynced(m_epochs[first].view.epoch));
}

std::optional<SlotReply> SlotOwner::handle(const MemberKey &holder, const SlotRequest &request, TimePoint now,
                                           TimePoint freshUntil)
{
    expire(now);
    if (m_epochs.empty() || !isMember(m_epochs.back().view, holder) || request.epoch > m_epochs.back().view.epoch
        || m_leftMembers.contains(holder)) {
        return std::nullopt;
    }
    auto &state = m_holders[holder];
    if (request.sequence <= state.sequence) {
        return std::nullopt;
    }
    state = {request.epoch, request.sequence};
    recordUse(holder, request, now);
    SlotReply reply{request.sequence, m_options.lease, {}};
    if (now >= freshUntil) {
        return reply;
    }
    for (const auto &ask : request.asks) {
        if (m_limits.contains(ask.resource) && mayGrant(ask.resource, now)) {
            reply.grants.push_back(grant(holder, ask, now));
        }
    }
    return reply;
}

void SlotOwner::recordUse(const MemberKey &holder, const SlotRequest &request, TimePoint now)
{
    // A request under an older view may omit resources that this daemon owns only since
    // a newer one.
    if (request.epoch == m_epochs.back().view.epoch) {
        for (auto &[resource, reservations] : m_reservations) {
            reservations.erase(holder);
        }
    }
    for (const auto &ask : request.asks) {
        m_reservations[ask.resource].insert_or_assign(
            holder,
            Reservation{std::max(ask.held, ask.inUse), ask.wanted, ask.cold, now, now + m_options.grantLifetime()});
    }
}

SlotGrant SlotOwner::grant(const MemberKey &holder, const SlotAsk &ask, TimePoint now)
{
    auto &reservations = m_reservations[ask.resource];
    std::uint32_t others = 0;
    for (const auto &[key, reservation] : reservations) {
        others += key == holder ? 0 : reservation.slots;
    }
    const auto limit = limitOf(ask.resource, now);
    const auto freeSlots = limit > others ? limit - others : 0;
    const auto slots = std::min(freeSlots, fairShare(ask.resource, holder, limit, now));
    auto &reservation = reservations[holder];
    reservation.slots = std::max(reservation.slots, slots);
    return {ask.resource, slots};
}

std::uint32_t SlotOwner::limitOf(ResourceKey resource, TimePoint now) const
{
    const auto &limit = m_limits.at(resource);
    bool cold = limit.cold;
    if (const auto it = m_reservations.find(resource); it != m_reservations.end()) {
        for (const auto &[key, reservation] : it->second) {
            cold = cold || (reservation.cold && now - reservation.requestedAt < m_options.lease);
        }
    }
    return cold ? std::min(limit.slots, limit.coldSlots) : limit.slots;
}

// Max-min fair division in whole slots: no holder gets more than it wants, and all
// holders that want more get the same. The remainder of the division goes first to
// the holders that already have more, so that slots don't move, then by rendezvous
// weight.
std::uint32_t SlotOwner::fairShare(ResourceKey resource, const MemberKey &holder, std::uint32_t limit,
                                   TimePoint now) const
{
    struct Demand {
        const MemberKey *holder;
        std::uint32_t wanted;
        std::uint32_t alreadyReserved;
        std::uint64_t weight;
    };
    std::vector<Demand> demands;
    for (const auto &[key, reservation] : m_reservations.at(resource)) {
        if (now - reservation.requestedAt < m_options.lease && reservation.wanted > 0) {
            demands.push_back({&key, reservation.wanted, reservation.slots,
                               rendezvousWeight(std::to_string(resource.value()), key.id.str())});
        }
    }
    std::sort(demands.begin(), demands.end(), [](const Demand &a, const Demand &b) { return a.wanted < b.wanted; });
    std::uint32_t remaining = limit;
    std::size_t n = demands.size();
    auto it = demands.begin();
    for (; it != demands.end() && it->wanted <= remaining / n; ++it, --n) {
        remaining -= it->wanted;
        if (*it->holder == holder) {
            return it->wanted;
        }
    }
    if (it == demands.end()) {
        return 0; // The holder wants nothing.
    }
    const auto equalShare = remaining / n;
    std::sort(it, demands.end(), [&](const Demand &a, const Demand &b) {
        return std::pair(a.alreadyReserved > equalShare, a.weight)
            > std::pair(b.alreadyReserved > equalShare, b.weight);
    });
    const auto position =
        std::find_if(it, demands.end(), [&](const Demand &demand) { return *demand.holder == holder; });
    if (position == demands.end()) {
        return 0;
    }
    return equalShare + (static_cast<std::uint32_t>(position - it) < remaining % n ? 1 : 0);
}

std::uint32_t SlotOwner::reserved(ResourceKey resource, TimePoint now) const
{
    std::uint32_t sum = 0;
    if (const auto it = m_reservations.find(resource); it != m_reservations.end()) {
        for (const auto &[key, reservation] : it->second) {
            sum += now < reservation.until ? reservation.slots : 0;
        }
    }
    return sum;
}

void SlotOwner::expire(TimePoint now)
{
    for (auto &[resource, reservations] : m_reservations) {
        std::erase_if(reservations, [&](const auto &item) { return now >= item.second.until; });
    }
    std::erase_if(m_reservations, [](const auto &item) { return item.second.empty(); });
    // Grants made before an epoch whose transition has ended are no longer in use.
    while (m_epochs.size() > 1 && transitionEnded(m_epochs[1], now)) {
        m_epochs.pop_front();
    }
    std::erase_if(m_leftMembers, [&](const MemberKey &member) {
        return std::none_of(m_epochs.begin(), m_epochs.end(),
                            [&](const Epoch &epoch) { return isMember(epoch.view, member); });
    });
    m_earlierGrantsExpired = m_earlierGrantsExpired || (!m_epochs.empty() && transitionEnded(m_epochs.front(), now));
}

} // namespace mimosahub
