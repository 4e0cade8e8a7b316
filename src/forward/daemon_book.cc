// Weighted rendezvous hashing: a daemon's score is its capacity over the negative
// logarithm of a uniform hash, so that it owns its part of the keys by capacity
// and a daemon that comes or goes moves only its own keys. Planning for a service
// costs the same wherever it is done, so that an instance with a fraction of the
// others' processor is passed over.

#include "forward/daemon_book.h"

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
    constexpr double kHashes = 18446744073709551616.0; // 2^64
    const double uniform = (static_cast<double>(rendezvousWeight(key, daemon.str())) + 1.0) / (kHashes + 2.0);
    return -capacity / std::log(uniform);
}

} // namespace

void DaemonBook::setDaemons(const std::vector<DaemonEntry> &daemons)
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
            state.avoided = false; // It has started anew.
            state.failures = 0;
        }
        state.entry = entry;
    }
    m_daemons = std::move(known);
}

InstanceId DaemonBook::ownerOf(std::string_view key) const
{
    auto it = m_owners.find(key);
    if (it == m_owners.end()) {
        it = m_owners.emplace(key, findOwner(key)).first;
    }
    return it->second;
}

InstanceId DaemonBook::findOwner(std::string_view key) const
{
    double largest = m_capacity;
    for (const auto &[id, state] : m_daemons) {
        if (!state.avoided && !state.entry.leaving) {
            largest = std::max(largest, state.entry.capacity);
        }
    }
    const auto fitness = [&](const InstanceId &id, double capacity, bool leaving) {
        return Fitness{!leaving, capacity >= largest * m_options.strongShare, scoreOf(key, id, capacity)};
    };
    auto owner = m_self;
    auto best = fitness(m_self, m_capacity, m_leaving);
    for (const auto &[id, state] : m_daemons) {
        if (state.avoided) {
            continue;
        }
        const auto other = fitness(id, state.entry.capacity, state.entry.leaving);
        if (other > best) {
            best = other;
            owner = id;
        }
    }
    return owner;
}

std::optional<Address> DaemonBook::addressOf(const InstanceId &daemon) const
{
    const auto it = m_daemons.find(daemon);
    return it == m_daemons.end() ? std::nullopt : std::optional(it->second.entry.peers);
}

bool DaemonBook::answers(const InstanceId &daemon) const
{
    const auto it = m_daemons.find(daemon);
    return it != m_daemons.end() && !it->second.avoided;
}

void DaemonBook::began(const InstanceId &daemon, TimePoint now)
{
    const auto it = m_daemons.find(daemon);
    if (it == m_daemons.end()) {
        return;
    }
    if (it->second.underWay++ == 0) {
        it->second.heardAt = std::max(it->second.heardAt, now);
    }
}

void DaemonBook::ended(const InstanceId &daemon)
{
    const auto it = m_daemons.find(daemon);
    if (it != m_daemons.end()) {
        it->second.underWay = std::max(0, it->second.underWay - 1);
    }
}

void DaemonBook::heard(const InstanceId &daemon, TimePoint now)
{
    const auto it = m_daemons.find(daemon);
    if (it != m_daemons.end()) {
        it->second.heardAt = now;
        if (std::exchange(it->second.avoided, false)) {
            m_owners.clear();
        }
        it->second.failures = 0;
    }
}

void DaemonBook::failed(const InstanceId &daemon, TimePoint now)
{
    const auto it = m_daemons.find(daemon);
    if (it != m_daemons.end()) {
        avoid(it->second, now);
    }
}

void DaemonBook::leaves(const InstanceId &daemon)
{
    const auto it = m_daemons.find(daemon);
    if (it != m_daemons.end() && !std::exchange(it->second.entry.leaving, true)) {
        m_owners.clear();
    }
}

void DaemonBook::avoid(State &state, TimePoint now)
{
    constexpr int kMostDoublings = 4;
    const auto pause = m_options.firstPause * (1 << std::min(state.failures, kMostDoublings));
    ++state.failures;
    state.avoided = true;
    m_owners.clear();
    state.askAgainAt = now + std::min<Duration>(pause, m_options.longestPause);
}

std::vector<InstanceId> DaemonBook::takePings(TimePoint now)
{
    std::vector<InstanceId> due;
    for (auto &[id, state] : m_daemons) {
        const bool quiet = state.underWay > 0 && now - std::max(state.heardAt, state.askedAt) >= m_options.pingInterval;
        const bool again = state.avoided && now >= state.askAgainAt;
        if (state.avoided ? again : quiet) {
            state.askedAt = now;
            state.askAgainAt = now + m_options.longestPause;
            due.push_back(id);
        }
    }
    return due;
}

std::vector<InstanceId> DaemonBook::takeSilent(TimePoint now)
{
    std::vector<InstanceId> silent;
    for (auto &[id, state] : m_daemons) {
        if (!state.avoided && state.underWay > 0 && now - state.heardAt >= m_options.suspicion) {
            avoid(state, now);
            silent.push_back(id);
        }
    }
    return silent;
}

bool DaemonBook::watching() const
{
    return std::any_of(m_daemons.begin(), m_daemons.end(),
                       [](const auto &daemon) { return daemon.second.avoided || daemon.second.underWay > 0; });
}

} // namespace mimosahub
