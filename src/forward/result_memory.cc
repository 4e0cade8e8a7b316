// What is known here is counted exactly: reserved when a call begins, kept for
// each result, free when its maker has confirmed the release or its lifetime is
// over. The rest follows from the endpoint's own figure: capacity less what it has
// free less what is known here. It is asked when nothing is known yet, after it
// had no room, and again while others' results fill a part.

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
    std::erase_if(m_kept, [&](const auto &entry) { return entry.second.endpoint == endpoint; });
}

bool ResultMemory::fits(const EndpointId &endpoint, std::uint64_t bytes, std::size_t count,
                        std::uint64_t reserved) const
{
    const auto it = m_accounts.find(endpoint);
    if (m_capacity == 0 || bytes == 0 || it == m_accounts.end()) {
        return true;
    }
    const auto taken = it->second.used + it->second.others + reserved;
    return taken + bytes * count <= m_capacity || (taken == 0 && count == 1);
}

void ResultMemory::reserve(const EndpointId &endpoint, std::uint64_t bytes)
{
    m_accounts[endpoint].used += bytes;
}

void ResultMemory::unreserve(const EndpointId &endpoint, std::uint64_t bytes)
{
    if (const auto it = m_accounts.find(endpoint); it != m_accounts.end()) {
        it->second.used -= std::min(it->second.used, bytes);
    }
}

void ResultMemory::keep(const ResultHandle &handle, const EndpointId &endpoint, std::uint64_t bytes, TimePoint now)
{
    m_kept[handle] = {endpoint, bytes, now + m_lifetime};
    reserve(endpoint, bytes);
}

bool ResultMemory::drop(const ResultHandle &handle)
{
    const auto node = m_kept.extract(handle);
    if (node.empty()) {
        return false;
    }
    const auto &kept = node.mapped();
    auto &release = m_releases[kept.endpoint];
    release.endpoint = kept.endpoint;
    release.address = m_accounts[kept.endpoint].address;
    release.handles.push_back(handle);
    release.bytes += kept.bytes;
    return true;
}

std::vector<ResultRelease> ResultMemory::takeReleases()
{
    std::vector<ResultRelease> releases;
    releases.reserve(m_releases.size());
    for (auto &[endpoint, release] : m_releases) {
        releases.push_back(std::move(release));
    }
    m_releases.clear();
    return releases;
}

void ResultMemory::releaseEnded(const ResultRelease &release)
{
    unreserve(release.endpoint, release.bytes);
}

void ResultMemory::expire(TimePoint now)
{
    std::erase_if(m_kept, [&](const auto &entry) {
        if (now < entry.second.dropsAt) {
            return false;
        }
        unreserve(entry.second.endpoint, entry.second.bytes);
        return true;
    });
}

void ResultMemory::noRoom(const EndpointId &endpoint)
{
    if (const auto it = m_accounts.find(endpoint); it != m_accounts.end()) {
        it->second.stated = false;
    }
}

void ResultMemory::forgetOthers()
{
    for (auto &[endpoint, account] : m_accounts) {
        account.stated = false;
        account.others = 0;
    }
}

/// Whether the endpoint's own figure is still needed.
bool ResultMemory::isOpen(const Account &account) const
{
    return m_capacity > 0 && (!account.stated || account.others > 0);
}

bool ResultMemory::needsQuestion(const Account &account, TimePoint now) const
{
    const bool recent = account.askedAt && now - *account.askedAt < m_options.askInterval;
    return !recent && isOpen(account);
}

std::vector<MemoryQuestion> ResultMemory::takeQuestions(TimePoint now)
{
    std::vector<MemoryQuestion> questions;
    for (auto &[endpoint, account] : m_accounts) {
        if (needsQuestion(account, now)) {
            account.askedAt = now;
            account.usedWhenAsked = account.used;
            questions.push_back({endpoint, account.address});
        }
    }
    return questions;
}

void ResultMemory::stated(const EndpointId &endpoint, std::uint64_t freeBytes)
{
    const auto it = m_accounts.find(endpoint);
    if (it == m_accounts.end()) {
        return;
    }
    auto &account = it->second;
    const auto known = std::min(m_capacity, freeBytes + account.usedWhenAsked);
    account.others = m_capacity - known;
    account.stated = true;
}

bool ResultMemory::isKnown(const EndpointId &endpoint, TimePoint now) const
{
    const auto it = m_accounts.find(endpoint);
    if (m_capacity == 0 || it == m_accounts.end() || it->second.stated) {
        return true;
    }
    const auto &asked = it->second.askedAt;
    return !asked || now - *asked >= m_options.answerPatience;
}

std::optional<TimePoint> ResultMemory::nextChange(TimePoint now) const
{
    std::optional<TimePoint> next;
    const auto take = [&](TimePoint at) {
        if (at > now) {
            next = std::min(next.value_or(at), at);
        }
    };
    for (const auto &[handle, kept] : m_kept) {
        take(kept.dropsAt);
    }
    for (const auto &[endpoint, account] : m_accounts) {
        if (account.askedAt && isOpen(account)) {
            take(*account.askedAt + m_options.answerPatience);
            take(*account.askedAt + m_options.askInterval);
        }
    }
    return next;
}

} // namespace mimosahub
