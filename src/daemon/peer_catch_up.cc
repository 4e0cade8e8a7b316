// Rounds: all listed daemons are asked at once; when each has answered or failed,
// the highest offset that any had applied is what this daemon must reach before
// it is ready. Records come with the answers, so that a round that fell short
// is followed by another.
//
// A peer that has applied nothing proves nothing, so that daemons which all
// start during one outage do not find each other ready with an empty state. A
// peer passes on only records that it still keeps: if the first ones are gone
// everywhere, this daemon waits for the log. The case that is left: if every
// peer that has the last accepted record can't be reached, the highest of the
// others is taken; the freshness lease then keeps this daemon from sending
// work, since a majority of the members must have told it of their offsets.

#include "daemon/peer_catch_up.h"

#include "daemon/peer_records.h"

#include <algorithm>

namespace mimosahub
{

PeerCatchUp::PeerCatchUp(PeerService &service, LogLoop &log) : m_service(service), m_log(log)
{
}

void PeerCatchUp::tick(const std::vector<Address> &peers)
{
    const auto &follower = m_log.follower();
    if (m_open > 0 || follower.ready() || !follower.logFailing()) {
        return;
    }
    m_open = peers.size();
    m_highest = Offset();
    const RecordQuery query{m_log.state().appliedOffset().next(), kFetchLimit};
    for (const auto &peer : peers) {
        m_service.fetchRecords(peer, query, [this](const absl::StatusOr<RecordRun> &run) { take(run); });
    }
}

void PeerCatchUp::take(const absl::StatusOr<RecordRun> &run)
{
    if (run.ok()) {
        m_highest = std::max(m_highest, run->head);
        m_log.takePeerEntries(entriesOf(*run), run->head, std::nullopt);
    }
    if (--m_open == 0) {
        endRound();
    }
}

void PeerCatchUp::endRound()
{
    if (m_highest == Offset()) {
        return;
    }
    m_log.follower().onPeersPolled(m_highest);
    m_log.takePeerEntries({}, Offset(), std::nullopt); // Tells the listeners if it is ready now.
}

} // namespace mimosahub
