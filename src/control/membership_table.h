#pragma once

#include "control/decision.h"

#include <map>

namespace mimosahub
{

/// One daemon that has joined.
struct Member {
    Incarnation incarnation;
    ZoneId zone;
    Address peerAddress;
    RecordPosition joined;

    friend bool operator==(const Member &, const Member &) = default;
};

/// The daemons that share ownership of endpoints and leases. Each change
/// increases the epoch, by which peers distinguish old views from new ones. An
/// incarnation that left or was evicted may join again, as a new member.
class MembershipTable
{
public:
    static constexpr std::size_t kMaxMembers = 1024;

    Decision apply(const MemberJoin &join, const RecordContext &context);
    Decision apply(const MemberLeave &leave, const RecordContext &context);
    Decision apply(const MemberEvict &evict, const RecordContext &context);

    [[nodiscard]] const std::map<InstanceId, Member> &members() const
    {
        return m_members;
    }
    /// Offset of the last change of membership.
    [[nodiscard]] Offset epoch() const
    {
        return m_epoch;
    }

    template<class Archive>
    friend void describe(Archive &archive, MembershipTable &it)
    {
        archive.field("members", it.m_members);
        archive.field("epoch", it.m_epoch);
    }
    friend bool operator==(const MembershipTable &, const MembershipTable &) = default;

private:
    Decision remove(const InstanceId &instance, Incarnation incarnation, Offset offset);

    std::map<InstanceId, Member> m_members;
    Offset m_epoch;
};

template<class Archive>
void describe(Archive &archive, Member &it)
{
    archive.field("incarnation", it.incarnation);
    archive.field("zone", it.zone);
    archive.field("address", it.peerAddress);
    archive.field("joined", it.joined);
}

} // namespace mimosahub
