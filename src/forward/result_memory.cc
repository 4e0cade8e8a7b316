// Memory for results of this planner is counted exactly: reserved when a call starts,
// held by each result, and free when the endpoint has confirmed the release or the
// result's lifetime is over. The memory that others use follows from the endpoint's
// report: capacity minus free memory minus the memory known here. The endpoint is
// queried while no report is known, after it ran out of memory, and periodically
// while results of others occupy some of it.

#include "forward/result_memory.h"

#include <algorithm>

namespace mimosahub
{

void ResultMemory::add(const EndpointId &endpoint, const Address &address)
{
    m_accounts[endpoint].address = address;
}

void ResultMemory::remove(const EndpointId &endpoint)
{
    m_accounts.erase(endpoint);
    m_releases.erase(endpoint);
    std::erase_if(m_results, [&](const auto &entry) { return entry.second.endpoint == endpoint; });
}

bool ResultMemory::fits(const EndpointId &endpoint, std::uint64_t bytes, std::size_t count,
                        std::uint64_t reserved) const
{
    const auto it = m_accounts.find(endpoint);
    if (m_capacity == 0 || bytes == 0 || it == m_accounts.end()) {
        return true;
    }
    const auto taken = it->second.knownBytes + it->second.otherBytes + reserved;
    return taken + bytes * count <= m_capacity || (taken == 0 && count == 1);
}

void ResultMemory::reserve(const EndpointId &endpoint, std::uint64_t bytes)
{
    m_accounts[endpoint].knownBytes += bytes;
}

void ResultMemory::unreserve(const EndpointId &endpoint, std::uint64_t bytes)
{
    if (const auto it = m_accounts.find(endpoint); it != m_accounts.end()) {
        it->second.knownBytes -= std::min(it->second.knownBytes, bytes);
    }
}

void ResultMemory::store(const ResultHandle &handle, const EndpointId &endpoint, std::uint64_t bytes, TimePoint now)
{
    m_results[handle] = {endpoint, bytes, now + m_lifetime};
    reserve(endpoint, bytes);
}

bool ResultMemory::drop(const ResultHandle &handle)
{
    const auto node = m_results.extract(handle);
    if (node.empty()) {
        return false;
    }
    const auto &result = node.mapped();
    auto &release = m_releases[result.endpoint];
    release.endpoint = result.endpoint;
    release.address = m_accounts[result.endpoint].address;
    release.handles.push_back(handle);
    release.bytes += result.bytes;
    return true;
}

std::vector<ResultRelease> ResultMemory::takeReleases(const std::set<EndpointId> &resting)
{
    std::vector<ResultRelease> releases;
    releases.reserve(m_releases.size());
    for (auto it = m_releases.begin(); it != m_releases.end();) {
        if (resting.contains(it->first)) {
            ++it;
            continue;
        }
        releases.push_back(std::move(it->second));
        it = m_releases.erase(it);
    }
    return releases;
}

void ResultMemory::releaseEnded(const ResultRelease &release)
{
    unreserve(release.endpoint, release.bytes);
}

void ResultMemory::expire(TimePoint now)
{
    std::erase_if(m_results, [&](const auto &entry) {
        if (now < entry.second.expiresAt) {
            return false;
        }
        unreserve(entry.second.endpoint, entry.second.bytes);
        return true;
    });
}

void ResultMemory::recordMemoryFull(const EndpointId &endpoint)
{
    if (const auto it = m_accounts.find(endpoint); it != m_accounts.end()) {
        it->second.reported = false;
    }
}

void ResultMemory::forgetOtherUsage()
{
    for (auto &[endpoint, account] : m_accounts) {
        account.reported = false;
        account.otherBytes = 0;
    }
}

/// Whether a report of the endpoint is still needed.
bool ResultMemory::needsReport(const Account &account) const
{
    return m_capacity > 0 && (!account.reported || account.otherBytes > 0);
}

bool ResultMemory::queryDue(const Account &account, TimePoint now) const
{
    const bool recent = account.queriedAt && now - *account.queriedAt < m_options.queryInterval;
    return !recent && needsReport(account);
}

std::vector<MemoryQuery> ResultMemory::takeMemoryQueries(TimePoint now, const std::set<EndpointId> &resting)
{
    std::vector<MemoryQuery> queries;
    for (auto &[endpoint, account] : m_accounts) {
        if (queryDue(account, now) && !resting.contains(endpoint)) {
            account.queriedAt = now;
            account.knownBytesAtQuery = account.knownBytes;
            queries.push_back({endpoint, account.address});
        }
    }
    return queries;
}

void ResultMemory::recordFreeBytes(const EndpointId &endpoint, std::uint64_t freeBytes)
{
    const auto it = m_accounts.find(endpoint);
    if (it == m_accounts.end()) {
        return;
    }
    auto &account = it->second;
    const auto known = std::min(m_capacity, freeBytes + account.knownBytesAtQuery);
    account.otherBytes = m_capacity - known;
    account.reported = true;
}

bool ResultMemory::isUsageKnown(const EndpointId &endpoint, TimePoint now) const
{
    const auto it = m_accounts.find(endpoint);
    if (m_capacity == 0 || it == m_accounts.end() || it->second.reported) {
        return true;
    }
    const auto &queriedAt = it->second.queriedAt;
    return !queriedAt || now - *queriedAt >= m_options.queryTimeout;
}

std::optional<TimePoint> ResultMemory::nextChange(TimePoint now) const
{
    std::optional<TimePoint> next;
    const auto take = [&](TimePoint at) {
        if (at > now) {
            next = std::min(next.value_or(at), at);
        }
    };
    for (const auto &[handle, result] : m_results) {
        take(result.expiresAt);
    }
    for (const auto &[endpoint, account] : m_accounts) {
        if (account.queriedAt && needsReport(account)) {
            take(*account.queriedAt + m_options.queryTimeout);
            take(*account.queriedAt + m_options.queryInterval);
        }
    }
    return next;
}

} // namespace mimosahub
