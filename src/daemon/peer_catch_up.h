#pragma once

#include "daemon/log_loop.h"
#include "peer/peer_service.h"

#include <cstddef>
#include <vector>

namespace mimosahub
{

/// Brings a daemon that starts while the log is down to the control state of the
/// other daemons. Control thread only.
class PeerCatchUp
{
public:
    /// \a service and \a log must outlive it.
    PeerCatchUp(PeerService &service, LogLoop &log);

    /// Asks the daemons at \a peers for records, unless a round is open, this
    /// daemon is ready, or the log answers.
    void tick(const std::vector<Address> &peers);

private:
    void take(const absl::StatusOr<RecordRun> &run);
    void endRound();

    PeerService &m_service;
    LogLoop &m_log;
    std::size_t m_open = 0; ///< Calls of this round without an answer.
    Offset m_highest; ///< Highest offset that a peer had applied in this round.
};

} // namespace mimosahub
