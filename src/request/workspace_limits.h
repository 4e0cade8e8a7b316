#pragma once

#include "mimosahub/ids.h"
#include "mimosahub/outcome.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace mimosahub
{

/// Limits of open requests and buffered bytes.
struct WorkspaceLimitOptions {
    std::size_t maxOpenRequests = 1000; ///< Per workspace and daemon.
    std::size_t maxBufferedBytes = std::size_t(8) << 20U; ///< Per workspace and daemon.
    std::size_t maxTotalBytes = std::size_t(96) << 20U; ///< Per daemon, over all workspaces.
    Duration retryAfter = std::chrono::seconds(1); ///< Retry-after of a request that is refused.
};

/// Limits the open requests and buffered bytes of each workspace, so that one
/// workspace can't exhaust a daemon's memory for the others.
class WorkspaceLimits
{
public:
    explicit WorkspaceLimits(const WorkspaceLimitOptions &options = {}) : m_options(options)
    {
    }

    /// Counts a request as open, or returns why it must be refused.
    [[nodiscard]] std::optional<Refusal> open(const WorkspaceId &workspace);
    /// Closes a request that open() admitted.
    void close(const WorkspaceId &workspace);
    /// Counts \a bytes as buffered for an open request. Returns false and counts
    /// nothing if a limit would be exceeded.
    [[nodiscard]] bool buffer(const WorkspaceId &workspace, std::size_t bytes);
    /// Releases bytes that buffer() admitted.
    void release(const WorkspaceId &workspace, std::size_t bytes);

    [[nodiscard]] std::size_t openRequests(const WorkspaceId &workspace) const;
    [[nodiscard]] std::size_t bufferedBytes() const
    {
        return m_totalBytes;
    }

private:
    struct Usage {
        std::size_t requests = 0;
        std::size_t bytes = 0;
    };

    void dropIfIdle(const WorkspaceId &workspace);

    WorkspaceLimitOptions m_options;
    std::unordered_map<WorkspaceId, Usage> m_usage;
    std::size_t m_totalBytes = 0;
};

} // namespace mimosahub
