// A workspace has an entry only while it has open requests or buffered bytes, so
// that thousands of idle workspaces use no memory.

#include "request/workspace_limits.h"

#include <algorithm>

namespace mimosahub
{

std::optional<Refusal> WorkspaceLimits::open(const WorkspaceId &workspace)
{
    auto &usage = m_usage[workspace];
    if (usage.requests < m_options.maxOpenRequests) {
        ++usage.requests;
        return std::nullopt;
    }
    return makeRefusal(Reason::ShareExceeded, "the workspace has too many open requests", Step::Admit,
                       m_options.retryAfter);
}

void WorkspaceLimits::close(const WorkspaceId &workspace)
{
    auto &usage = m_usage[workspace];
    usage.requests -= std::min<std::size_t>(usage.requests, 1);
    dropIfIdle(workspace);
}

bool WorkspaceLimits::buffer(const WorkspaceId &workspace, std::size_t bytes)
{
    const auto it = m_usage.find(workspace);
    const auto used = it == m_usage.end() ? 0 : it->second.bytes;
    if (bytes > m_options.maxBufferedBytes - used || bytes > m_options.maxTotalBytes - m_totalBytes) {
        return false;
    }
    m_usage[workspace].bytes += bytes;
    m_totalBytes += bytes;
    return true;
}

void WorkspaceLimits::release(const WorkspaceId &workspace, std::size_t bytes)
{
    auto &usage = m_usage[workspace];
    const auto n = std::min(bytes, usage.bytes);
    usage.bytes -= n;
    m_totalBytes -= n;
    dropIfIdle(workspace);
}

std::size_t WorkspaceLimits::openRequests(const WorkspaceId &workspace) const
{
    const auto it = m_usage.find(workspace);
    return it == m_usage.end() ? 0 : it->second.requests;
}

void WorkspaceLimits::dropIfIdle(const WorkspaceId &workspace)
{
    const auto it = m_usage.find(workspace);
    if (it != m_usage.end() && it->second.requests == 0 && it->second.bytes == 0) {
        m_usage.erase(it);
    }
}

} // namespace mimosahub
