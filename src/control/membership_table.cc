// Membership is agreed through the log and doesn't depend on which daemons can
// reach each other: two daemons that have applied the same offset compute the
// same owner for every endpoint.

#include "control/membership_table.h"

#include <absl/strings/str_cat.h>

namespace mimosahub
{

Decision MembershipTable::apply(const MemberJoin &join, const RecordContext &context)
{
    const auto &header = context.header;
    const auto it = m_members.find(header.writer);
    if (it != m_members.end() && it->second.incarnation >= header.incarnation) {
        return reject(Rejection::AlreadyMember,
                      absl::StrCat("incarnation ", it->second.incarnation.value(), " of ", header.writer.str(),
                                   " is already a member; only a later one may join."));
    }
    if (it == m_members.end() && m_members.size() >= kMaxMembers) {
        return reject(Rejection::TooMany, absl::StrCat("the maximum of ", kMaxMembers, " members is reached."));
    }
    m_members[header.writer] = {header.incarnation, join.zone, join.peerAddress, context.position};
    m_epoch = context.position.offset;
    return accept();
}

Decision MembershipTable::apply(const MemberLeave & /*leave*/, const RecordContext &context)
{
    return remove(context.header.writer, context.header.incarnation, context.position.offset);
}

Decision MembershipTable::apply(const MemberEvict &evict, const RecordContext &context)
{
    return remove(evict.instance, evict.incarnation, context.position.offset);
}

Decision MembershipTable::remove(const InstanceId &instance, Incarnation incarnation, Offset offset)
{
    const auto it = m_members.find(instance);
    if (it == m_members.end() || it->second.incarnation != incarnation) {
        return reject(Rejection::NotMember,
                      absl::StrCat("incarnation ", incarnation.value(), " of ", instance.str(), " is not a member."));
    }
    m_members.erase(it);
    m_epoch = offset;
    return accept();
}

} // namespace mimosahub
