// Each hop sends totals of the last windows, of which only those that changed since the receiver's
// last confirmation pass over the wire. Totals can be repeated and arrive twice without harm.

#include "gateway/duty_reporter.h"

#include "forward/duty_lease.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr Duration kInterval = std::chrono::milliseconds(400); ///< A daemon that dies loses this much.

} // namespace

DutyReporter::DutyReporter(boost::asio::io_context &io, const GatewaySettings &settings, DutyBoard &board,
                           DutyPeers &peers, std::function<ZoneLoads()> loads)
    : m_settings(settings),
      m_duties(*settings.duties),
      m_board(board),
      m_peers(peers),
      m_loads(std::move(loads)),
      m_timer(io)
{
    m_own.source = settings.instance.id;
    m_own.zone = settings.instance.zone;
    m_own.incarnation = static_cast<std::uint64_t>(m_clock.wallTime().time_since_epoch().count());
}

DutyReporter::~DutyReporter()
{
    stop();
}

void DutyReporter::start()
{
    m_timer.expires_after(kInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            tick();
            start();
        }
    });
}

void DutyReporter::stop()
{
    *m_running = false;
    m_timer.cancel();
}

void DutyReporter::setDaemons(const std::vector<DaemonEntry> &daemons)
{
    m_candidates.clear();
    for (const auto &daemon : dutyCandidates(daemons)) {
        if (m_candidates.size() < kCandidates) {
            m_candidates.push_back(daemon.id);
        }
    }
}

WallTime DutyReporter::trueNow()
{
    return m_time.estimate(m_clock.now(), m_clock.wallTime());
}

UsageWindowNumber DutyReporter::windowAt(WallTime time) const
{
    const auto length = std::chrono::duration_cast<std::chrono::milliseconds>(m_duties.usageWindow).count();
    return time.time_since_epoch().count() / std::max<std::int64_t>(1, length);
}

void DutyReporter::recordBegin(const WorkspaceId &workspace, Duration age)
{
    const auto at = trueNow() - std::chrono::duration_cast<std::chrono::milliseconds>(age);
    ++m_own.windows[windowAt(at)][workspace];
}

DutyReportAnswer DutyReporter::takeReport(const DutyReport &report)
{
    m_board.take(report, m_clock.now());
    return {m_own.incarnation, m_board.token()};
}

void DutyReporter::tick()
{
    const auto now = m_clock.now();
    const auto kept = 2 * m_duties.usageWindow + m_duties.usageDue;
    const auto first = windowAt(trueNow() - std::chrono::duration_cast<std::chrono::milliseconds>(kept));
    m_own.windows.erase(m_own.windows.begin(), m_own.windows.lower_bound(first));
    m_board.dropBefore(first);
    for (auto &[key, receiver] : m_receivers) {
        receiver.mark.dropBefore(first);
    }
    m_own.loads = m_loads();
    m_own.token = m_board.token();
    const auto relay = m_peers.dutyRelay();
    if (relay == m_settings.instance.id) {
        m_board.take(m_own, now);
    } else {
        sendTo(relay, m_own);
    }
    for (auto &sum : m_board.sums(m_settings.instance.id, now)) {
        sum.incarnation = m_own.incarnation;
        sum.token = m_own.token;
        for (const auto &candidate : m_candidates) {
            if (candidate == m_settings.instance.id) {
                m_board.take(sum, now);
            } else {
                sendTo(candidate, sum);
            }
        }
    }
}

void DutyReporter::sendTo(const InstanceId &peer, const DutyReport &full)
{
    const ReceiverKey key(peer, full.zone, full.summed);
    auto &receiver = m_receivers[key];
    if (receiver.inFlight) {
        return;
    }
    receiver.inFlight = true;
    const auto changes = receiver.mark.changes(full);
    m_peers.reportDuties(peer, changes, [this, key, changes, running = m_running](const auto &answer) {
        if (!*running) {
            return;
        }
        auto &told = m_receivers[key];
        told.inFlight = false;
        if (answer) {
            told.mark.confirmed(changes, *answer);
            m_board.learnToken(answer->token);
        } else {
            told.mark = {}; // The peer may have restarted.
        }
    });
}

} // namespace mimosahub
