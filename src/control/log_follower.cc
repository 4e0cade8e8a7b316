// One read is in flight at a time. A read proves freshness as of its own start,
// and only once everything up to the head that it reported is applied: appends
// accepted after its start may be missing from the response.

#include "control/log_follower.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

/// The offset before \a offset, or zero.
Offset before(Offset offset)
{
    return Offset(offset.value() == 0 ? 0 : offset.value() - 1);
}

} // namespace

LogFollower::LogFollower(const LogFollowerOptions &options, ControlState &state, std::uint64_t seed)
    : m_options(options), m_state(state), m_random(seed)
{
}

std::optional<ReadRequest> LogFollower::tick(TimePoint now)
{
    const bool wakeNow = m_wakePending && m_failures == 0;
    if (m_readStarted || (now < m_nextRead && !wakeNow)) {
        return std::nullopt;
    }
    m_wakePending = false;
    m_readStarted = now;
    m_appliedAtRead = m_state.appliedOffset();
    return ReadRequest{m_scan ? m_scan->cursor : m_state.appliedOffset().next(), m_options.readLimit};
}

std::optional<TimePoint> LogFollower::nextTick() const
{
    return m_readStarted ? std::nullopt : std::optional(m_nextRead);
}

FollowerStep LogFollower::onRead(const ReadResult &result, TimePoint now)
{
    FollowerStep step;
    if (!m_readStarted) {
        return step;
    }
    m_first = result.first;
    m_head = result.head;
    if (m_scan) {
        onScanned(result, step, now);
    } else {
        onFollowed(result, step, now);
    }
    m_readStarted.reset();
    return step;
}

void LogFollower::onReadFailed(TimePoint now, std::optional<Duration> retryAfter)
{
    m_readStarted.reset();
    fail(now, retryAfter);
}

FollowerStep LogFollower::onPeerEntries(const std::vector<LogEntry> &entries, Offset peerApplied,
                                        std::optional<TimePoint> freshAsOf)
{
    FollowerStep step;
    apply(entries, step);
    if (freshAsOf && m_state.appliedOffset() >= peerApplied) {
        recordFreshness(*freshAsOf, step);
    }
    updateReady();
    return step;
}

FollowerStep LogFollower::onPeerState(ControlState state)
{
    FollowerStep step;
    replaceState(std::move(state), step);
    updateReady();
    return step;
}

void LogFollower::wake()
{
    m_wakePending = true;
}

void LogFollower::onPeersPolled(Offset highest)
{
    m_peersHighest = highest;
    updateReady();
}

void LogFollower::apply(const std::vector<LogEntry> &entries, FollowerStep &step)
{
    for (const auto &it : entries) {
        if (it.offset <= m_state.appliedOffset()) {
            continue;
        }
        const auto epoch = m_state.membershipEpoch();
        auto applied = m_state.apply(it.offset, it.data);
        if (!applied.ok()) {
            return; // Entries are missing; the next read starts at the first of them.
        }
        if (m_state.membershipEpoch() != epoch) {
            step.memberships.push_back(m_state.membership());
        }
        step.applied.push_back(*std::move(applied));
    }
}

void LogFollower::onFollowed(const ReadResult &result, FollowerStep &step, TimePoint now)
{
    const auto before = m_state.appliedOffset();
    apply(result.entries, step);
    const auto applied = m_state.appliedOffset();
    if (applied.next() < result.first) {
        startScan();
        m_nextRead = now;
        return;
    }
    if (result.head < m_appliedAtRead) {
        // The response is from a lagging replica of the log, whose head proves nothing.
        fail(now, std::nullopt);
        return;
    }
    if (applied < result.head) {
        if (applied == before) {
            fail(now, std::nullopt);
            return;
        }
        m_failures = 0;
        m_nextRead = now;
        return;
    }
    m_failures = 0;
    m_nextRead = now + m_options.pollInterval;
    m_ready = true;
    recordFreshness(*m_readStarted, step);
}

void LogFollower::startScan()
{
    const auto window = std::min<std::uint64_t>(m_options.firstScanWindow, m_head.value());
    const Offset start(std::max(m_first.value(), m_head.value() + 1 - window));
    m_scan = Scan{start, start, m_head, m_options.firstScanWindow, {}};
}

void LogFollower::onScanned(const ReadResult &result, FollowerStep &step, TimePoint now)
{
    auto &scan = *m_scan;
    if (m_state.appliedOffset().next() >= result.first) {
        m_scan.reset(); // The missing records have meanwhile been received from a peer.
        m_nextRead = now;
        return;
    }
    const auto before = scan.cursor;
    scan.cursor = std::max(scan.cursor, result.first);
    for (const auto &it : result.entries) {
        if (it.offset >= scan.cursor) {
            scan.collector.add(it.data);
            scan.cursor = it.offset.next();
        }
    }
    if (scan.cursor > scan.end) {
        endScanWindow(step, now);
    } else if (scan.cursor == before) {
        fail(now, std::nullopt);
    } else {
        m_failures = 0;
        m_nextRead = now;
    }
}

void LogFollower::endScanWindow(FollowerStep &step, TimePoint now)
{
    auto &scan = *m_scan;
    const auto least = std::max(before(m_first), m_state.appliedOffset().next());
    if (auto found = scan.collector.newest(least)) {
        m_scan.reset();
        m_failures = 0;
        m_nextRead = now;
        replaceState(*std::move(found), step);
        return;
    }
    if (scan.start <= m_first) {
        // The log retains no usable snapshot. Scan again later: another daemon may
        // append one, or a peer may send its state.
        startScan();
        fail(now, std::nullopt);
        return;
    }
    scan.window *= 2;
    scan.end = before(scan.start);
    const auto window = std::min<std::uint64_t>(scan.window, scan.end.value());
    scan.start = Offset(std::max(m_first.value(), scan.end.value() + 1 - window));
    scan.cursor = scan.start;
    m_failures = 0;
    m_nextRead = now;
}

bool LogFollower::replaceState(ControlState state, FollowerStep &step)
{
    if (state.appliedOffset() <= m_state.appliedOffset()) {
        return false;
    }
    if (state.membershipEpoch() != m_state.membershipEpoch()) {
        step.memberships = {state.membership()};
    }
    m_state = std::move(state);
    step.restored = true;
    return true;
}

void LogFollower::fail(TimePoint now, std::optional<Duration> retryAfter)
{
    const auto delay = backoffDelay(m_options.retry, ++m_failures, m_random);
    m_nextRead = now + std::max(delay, retryAfter.value_or(Duration::zero()));
}

void LogFollower::recordFreshness(TimePoint asOf, FollowerStep &step)
{
    m_freshAsOf = std::max(m_freshAsOf.value_or(asOf), asOf);
    step.headReadStarted = asOf;
}

void LogFollower::updateReady()
{
    if (m_peersHighest && m_state.appliedOffset() >= *m_peersHighest) {
        m_ready = true;
    }
}

} // namespace mimosahub
