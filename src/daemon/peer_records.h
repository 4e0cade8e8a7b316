#pragma once

#include "control/log_follower.h"
#include "control/membership_table.h"
#include "mimosahub/record.h"
#include "peer/membership.h"
#include "peer/peer_service.h"

#include <string>
#include <vector>

namespace mimosahub
{

/// Appends that one call between daemons fetches at most.
constexpr std::uint32_t kFetchLimit = 512;

/// The appends of \a run with their offsets.
[[nodiscard]] std::vector<LogEntry> entriesOf(const RecordRun &run);
/// Whether an append holds a record whose effect on all daemons operators wait for.
[[nodiscard]] bool carriesOperatorRecord(const std::string &data);
/// The group as the log's \a membership has it.
[[nodiscard]] MembershipView viewOf(const MembershipTable &membership);
/// The record that \a proposal asks for.
[[nodiscard]] Record recordOf(const MembershipProposal &proposal);

} // namespace mimosahub
