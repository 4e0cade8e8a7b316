// Records as the loop between daemons sees them: which are worth pushing, and how
// members and proposals are written and read.

#include "daemon/peer_records.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

/// Whether operators wait for the effect of \a record on all daemons.
bool isOperatorRecord(const absl::StatusOr<Record> &record)
{
    return record.ok()
        && (std::holds_alternative<Publish>(*record) || std::holds_alternative<ZoneOrder>(*record)
            || std::holds_alternative<DrainOrder>(*record) || std::holds_alternative<RolloutStart>(*record)
            || std::holds_alternative<RolloutAbort>(*record) || std::holds_alternative<RolloutRollback>(*record));
}

} // namespace

std::vector<LogEntry> entriesOf(const RecordRun &run)
{
    std::vector<LogEntry> entries;
    entries.reserve(run.records.size());
    auto offset = run.first;
    for (const auto &data : run.records) {
        entries.push_back({offset, data});
        offset = offset.next();
    }
    return entries;
}

bool carriesOperatorRecord(const std::string &data)
{
    const auto batch = decodeBatch(data);
    return batch.ok() && std::any_of(batch->records.begin(), batch->records.end(), isOperatorRecord);
}

MembershipView viewOf(const MembershipTable &membership)
{
    MembershipView view;
    view.epoch = membership.epoch();
    for (const auto &[id, member] : membership.members()) {
        view.members.push_back({id, member.incarnation, member.zone, member.peerAddress});
    }
    return view;
}

Record recordOf(const MembershipProposal &proposal)
{
    switch (proposal.kind) {
    case MembershipProposal::Kind::Join:
        return MemberJoin{proposal.member.zone, proposal.member.address};
    case MembershipProposal::Kind::Evict:
        return MemberEvict{proposal.member.id, proposal.member.incarnation};
    case MembershipProposal::Kind::Leave:
        break;
    }
    return MemberLeave{};
}

} // namespace mimosahub
