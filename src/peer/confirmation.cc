// When a record is accepted, and when it is in force.
//
// Accepted: a majority of the members has applied the record. A daemon that is
// fresh by exchanges has received reports from a majority after that moment, so
// at least one of the reporting members had applied the record, and the daemon
// isn't fresh until it has applied the record too (freshness.cc).
//
// This argument assumes a single member list, but a daemon may act under an older
// one if the records that changed the list haven't reached it. A record is
// therefore accepted only when a majority of every view that may be in use has
// applied it. A view is out of use once a majority of its own members has applied
// the record that replaced it: a daemon that becomes fresh by that view's majority
// afterwards has applied that record and uses another view. So a minority can't
// be outvoted by majorities of successively smaller lists, and a majority that is
// cut off from the log can't continue undetected under the old list.
//
// A process that has ended sends no more reports and counts as having applied
// every record.
//
// In force: each member has applied the record, or has ended, or can't be fresh
// without it any more. If the record is accepted at time t, evidence without it
// was gathered before t, so the freshness of any daemon without the record ends
// by t plus the lease. The margin allows for clock drift. Members of a replaced
// view stay listed for the same time, since they may not know of the change yet.

#include "peer/confirmation.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace mimosahub
{

ConfirmationTracker::ConfirmationTracker(MemberKey self, ConfirmationOptions options)
    : m_self(std::move(self)), m_options(options)
{
}

void ConfirmationTracker::addView(MembershipView view, TimePoint now)
{
    if (!m_views.empty() && view.epoch <= m_views.back().view.epoch) {
        return;
    }
    for (const auto &member : view.members) {
        auto &newest = m_newest[member.id];
        newest = std::max(newest, member.incarnation);
    }
    m_views.push_back({std::move(view), std::nullopt});
    update(now);
}

void ConfirmationTracker::reported(const MemberKey &member, Offset applied, TimePoint now)
{
    if (member == m_self) {
        m_ownApplied = std::max(m_ownApplied, applied);
    }
    auto &newest = m_newest[member.id];
    auto &known = m_applied[member];
    if (newest < member.incarnation || known < applied) {
        newest = std::max(newest, member.incarnation);
        known = std::max(known, applied);
        update(now);
    }
}

void ConfirmationTracker::ended(const MemberKey &member, TimePoint now)
{
    if (m_ended.insert(member).second) {
        update(now);
    }
}

bool ConfirmationTracker::hasEnded(const MemberKey &member) const
{
    const auto it = m_newest.find(member.id);
    return m_ended.contains(member) || (it != m_newest.end() && member.incarnation < it->second);
}

Offset ConfirmationTracker::appliedBy(const MemberKey &member) const
{
    const auto it = m_applied.find(member);
    return it == m_applied.end() ? Offset() : it->second;
}

Offset ConfirmationTracker::appliedByMajority(const MembershipView &view, Offset highest) const
{
    std::vector<Offset> offsets;
    for (const auto &member : view.members) {
        offsets.push_back(hasEnded(keyOf(member)) ? highest : appliedBy(keyOf(member)));
    }
    if (offsets.empty()) {
        return {};
    }
    std::sort(offsets.begin(), offsets.end(), std::greater<>());
    return offsets[majorityOf(view) - 1];
}

void ConfirmationTracker::update(TimePoint now)
{
    Offset highest;
    for (const auto &[member, applied] : m_applied) {
        highest = std::max(highest, applied);
    }
    for (std::size_t i = 0; i + 1 < m_views.size(); ++i) {
        auto &used = m_views[i];
        if (!used.outOfUse && appliedByMajority(used.view, highest) >= m_views[i + 1].view.epoch) {
            used.outOfUse = now;
        }
    }
    const auto lifetime = m_options.freshnessLease + m_options.margin;
    while (m_views.size() > 1 && m_views.front().outOfUse && now - *m_views.front().outOfUse >= lifetime) {
        m_views.pop_front();
    }
    // This daemon may not know all views beyond its own applied offset.
    auto accepted = m_ownApplied;
    for (const auto &used : m_views) {
        if (!used.outOfUse) {
            accepted = std::min(accepted, appliedByMajority(used.view, highest));
        }
    }
    if (!m_views.empty() && accepted > this->accepted()) {
        m_acceptances.push_back({accepted, now});
    }
    // One entry older than the lease is enough to answer for all earlier offsets.
    while (m_acceptances.size() > 1 && now - m_acceptances[1].at >= lifetime) {
        m_acceptances.pop_front();
    }
    std::erase_if(m_applied, [&](const auto &item) { return !isListed(item.first); });
    std::erase_if(m_newest, [&](const auto &item) {
        return std::none_of(m_views.begin(), m_views.end(),
                            [&](const UsedView &used) { return findMember(used.view, item.first) != nullptr; });
    });
    std::erase_if(m_ended, [&](const auto &member) { return !isListed(member); });
}

bool ConfirmationTracker::isListed(const MemberKey &member) const
{
    return std::any_of(m_views.begin(), m_views.end(),
                       [&](const UsedView &used) { return isMember(used.view, member); });
}

Offset ConfirmationTracker::accepted() const
{
    return m_acceptances.empty() ? Offset() : m_acceptances.back().offset;
}

bool ConfirmationTracker::freshnessExpired(Offset offset, TimePoint now) const
{
    const auto it = std::find_if(m_acceptances.begin(), m_acceptances.end(),
                                 [&](const Acceptance &acceptance) { return acceptance.offset >= offset; });
    return it != m_acceptances.end() && now - it->at >= m_options.freshnessLease + m_options.margin;
}

std::vector<MemberConfirmation> ConfirmationTracker::confirmations(Offset offset, TimePoint now) const
{
    const bool expired = freshnessExpired(offset, now);
    std::map<MemberKey, MemberConfirmation> confirmations;
    for (const auto &used : m_views) {
        for (const auto &member : used.view.members) {
            MemberConfirmation confirmation{keyOf(member), ConfirmationState::Pending, appliedBy(keyOf(member))};
            if (confirmation.applied >= offset) {
                confirmation.state = ConfirmationState::Confirmed;
            } else if (hasEnded(confirmation.member)) {
                confirmation.state = ConfirmationState::Ended;
            } else if (expired) {
                confirmation.state = ConfirmationState::Expired;
            }
            confirmations.insert_or_assign(confirmation.member, confirmation);
        }
    }
    std::vector<MemberConfirmation> list;
    list.reserve(confirmations.size());
    for (const auto &[member, confirmation] : confirmations) {
        list.push_back(confirmation);
    }
    return list;
}

bool ConfirmationTracker::inForce(Offset offset, TimePoint now) const
{
    if (accepted() < offset) {
        return false;
    }
    const auto list = confirmations(offset, now);
    return std::none_of(list.begin(), list.end(), [](const MemberConfirmation &confirmation) {
        return confirmation.state == ConfirmationState::Pending;
    });
}

} // namespace mimosahub
