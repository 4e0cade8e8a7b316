// Weighted rendezvous hashing: a daemon's score for a key is its capacity divided by
// the negative logarithm of a uniform hash. Each daemon so owns a share of the keys
// in proportion to its capacity, and a daemon that joins or leaves moves only its
// own keys. Planning for a service costs the same on every instance, so instances
// with a fraction of the others' CPU are not chosen.

#include "forward/daemon_directory.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosahub
{

namespace
{

double scoreOf(std::string_view key, const InstanceId &daemon, double capacity)
{
    constexpr double kHashCount = 18446744073709551616.0; // 2^64
    const double uniform = (static_cast<double>(rendezvousWeight(key, daemon.str())) + 1.0) / (kHashCount + 2.0);
    return -capacity / std::log(uniform);
}

} // namespace

void DaemonDirectory::setDaemons(const std::vector<DaemonEntry> &daemons)
{
    m_owners.clear();
    std::map<InstanceId, State> known;
    for (const auto &entry : daemons) {
        if (entry.id == m_self) {
            m_capacity = entry.capacity;
            m_leaving = entry.leaving;
            continue;
        }
        auto &state = known[entry.id];
        const auto before = m_daemons.find(entry.id);
        if (before != m_daemons.end()) {
            state = before->second;
        }
        if (state.entry.incarnation != entry.incarnation) {
            state.suspected = false; // The daemon has restarted.
            state.failures = 0;
        }
        state.entry = entry;
    }
    m_daemons = std::move(known);
}

InstanceId DaemonDirectory::ownerOf(std::string_view key) const
{
    auto it = m_owners.find(key);
    if (it == m_owners.end()) {
        it = m_owners.emplace(key, findOwner(key)).first;
    }
    return it->second;
}

InstanceId DaemonDirectory::findOwner(std::string_view key) const
{
    double largest = m_capacity;
    for (const auto &[id, state] : m_daemons) {
        if (!state.suspected && !state.entry.leaving) {
            largest = std::max(largest, state.entry.capacity);
        }
    }
    const auto rankOf = [&](const InstanceId &id, double capacity, bool leaving) {
        return OwnerRank{!leaving, capacity >= largest * m_options.minCapacityShare, scoreOf(key, id, capacity)};
    };
    auto owner = m_self;
    auto best = rankOf(m_self, m_capacity, m_leaving);
    for (const auto &[id, state] : m_daemons) {
        if (state.suspected) {
            continue;
        }
        const auto other = rankOf(id, state.entry.capacity, state.entry.leaving);
        if (other > best) {
            best = other;
            owner = id;
        }
    }
    return owner;
}

std::vector<InstanceId> DaemonDirectory::others() const
{
    std::vector<InstanceId> others;
    others.reserve(m_daemons.size());
    for (const auto &[id, state] : m_daemons) {
        others.push_back(id);
    }
    return others;
}

std::optional<Address> DaemonDirectory::addressOf(const InstanceId &daemon) const
{
    const auto it = m_daemons.find(daemon);
    return it == m_daemons.end() ? std::nullopt : std::optional(it->second.entry.peers);
}

bool DaemonDirectory::isResponsive(const InstanceId &daemon) const
{
    const auto it = m_daemons.find(daemon);
    return it != m_daemons.end() && !it->second.suspected;
}

void DaemonDirectory::workStarted(const InstanceId &daemon, TimePoint now)
{
    const auto it = m_daemons.find(daemon);
    if (it == m_daemons.end()) {
        return;
    }
    if (it->second.inFlight++ == 0) {
        it->second.lastResponseAt = std::max(it->second.lastResponseAt, now);
    }
}

void DaemonDirectory::workEnded(const InstanceId &daemon)
{
    const auto it = m_daemons.find(daemon);
    if (it != m_daemons.end()) {
        it->second.inFlight = std::max(0, it->second.inFlight - 1);
    }
}

void DaemonDirectory::recordResponse(const InstanceId &daemon, TimePoint now)
{
    const auto it = m_daemons.find(daemon);
    if (it != m_daemons.end()) {
        it->second.lastResponseAt = now;
        if (std::exchange(it->second.suspected, false)) {
            m_owners.clear();
        }
        it->second.failures = 0;
    }
}

void DaemonDirectory::recordFailure(const InstanceId &daemon, TimePoint now)
{
    const auto it = m_daemons.find(daemon);
    if (it != m_daemons.end()) {
        suspect(it->second, now);
    }
}

void DaemonDirectory::recordLeaving(const InstanceId &daemon)
{
    const auto it = m_daemons.find(daemon);
    if (it != m_daemons.end() && !std::exchange(it->second.entry.leaving, true)) {
        m_owners.clear();
    }
}

void DaemonDirectory::suspect(State &state, TimePoint now)
{
    constexpr int kMaxDoublings = 4;
    const auto delay = m_options.firstRetryDelay * (1 << std::min(state.failures, kMaxDoublings));
    ++state.failures;
    state.suspected = true;
    m_owners.clear();
    state.nextPingAt = now + std::min<Duration>(delay, m_options.maxRetryDelay);
}

std::vector<InstanceId> DaemonDirectory::takePings(TimePoint now)
{
    std::vector<InstanceId> due;
    for (auto &[id, state] : m_daemons) {
        const bool pingDue =
            state.inFlight > 0 && now - std::max(state.lastResponseAt, state.lastPingAt) >= m_options.pingInterval;
        const bool retryDue = state.suspected && now >= state.nextPingAt;
        if (state.suspected ? retryDue : pingDue) {
            state.lastPingAt = now;
            state.nextPingAt = now + m_options.maxRetryDelay;
            due.push_back(id);
        }
    }
    return due;
}

std::vector<InstanceId> DaemonDirectory::takeUnresponsive(TimePoint now)
{
    std::vector<InstanceId> unresponsive;
    for (auto &[id, state] : m_daemons) {
        if (!state.suspected && state.inFlight > 0 && now - state.lastResponseAt >= m_options.suspicionTimeout) {
            suspect(state, now);
            unresponsive.push_back(id);
        }
    }
    return unresponsive;
}

bool DaemonDirectory::needsMonitoring() const
{
    return std::any_of(m_daemons.begin(), m_daemons.end(),
                       [](const auto &daemon) { return daemon.second.suspected || daemon.second.inFlight > 0; });
}

} // namespace mimosahub
