#pragma once

#include "forward/piece.h"
#include "mimosahub/clock.h"
#include "mimosahub/endpoint.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// Accounting of the memory that the endpoints of one service use for results of stages.
namespace mimosahub
{

/// Results that an endpoint is to drop.
struct ResultRelease {
    EndpointId endpoint;
    Address address;
    std::vector<ResultHandle> handles;
    std::uint64_t bytes = 0; ///< Memory of these results.
};

/// An endpoint whose free memory is to be queried.
struct MemoryQuery {
    EndpointId endpoint;
    Address address;
};

struct ResultMemoryOptions {
    /// Maximum wait for an endpoint's report before it is used without one.
    Duration queryTimeout = std::chrono::milliseconds(60);
    /// Interval of queries while results of others use memory or no report is known.
    Duration queryInterval = std::chrono::milliseconds(250);
};

/// Tracks the memory of each endpoint: results that this planner knows, until they are
/// dropped, and memory used by others, as reported by the endpoint. When a planner
/// dies, its results stay at the endpoints until they expire, and no other daemon
/// knows their handles.
class ResultMemory
{
public:
    explicit ResultMemory(const ResultMemoryOptions &options = {}) : m_options(options)
    {
    }

    /// Sets the memory of one endpoint in bytes, 0 if unlimited, and how long it keeps a result.
    void setRule(std::uint64_t capacity, Duration lifetime)
    {
        m_capacity = capacity;
        m_lifetime = lifetime;
    }
    /// Adds an endpoint that may get calls.
    void add(const EndpointId &endpoint, const Address &address);
    /// Removes an endpoint that has gone, or has restarted and so holds no earlier results.
    void remove(const EndpointId &endpoint);

    /// Whether \a count results of \a bytes each fit beside all that is used and \a reserved more.
    [[nodiscard]] bool fits(const EndpointId &endpoint, std::uint64_t bytes, std::size_t count,
                            std::uint64_t reserved) const;
    /// Accounts for a call with \a bytes of results that starts, or that ended.
    void reserve(const EndpointId &endpoint, std::uint64_t bytes);
    void unreserve(const EndpointId &endpoint, std::uint64_t bytes);

    void store(const ResultHandle &handle, const EndpointId &endpoint, std::uint64_t bytes, TimePoint now);
    /// Drops a result that is no longer needed; false if it is not known here.
    bool drop(const ResultHandle &handle);
    /// Results that are to be dropped at the endpoints that made them. Their memory counts
    /// as free only once the endpoint has responded: a call that overtook the release
    /// would find no free memory. Those of \a resting endpoints stay.
    [[nodiscard]] std::vector<ResultRelease> takeReleases(const std::set<EndpointId> &resting = {});
    /// The endpoint of \a release has responded or is unreachable.
    void releaseEnded(const ResultRelease &release);
    /// Removes results whose lifetime is over: their endpoints have dropped them.
    void expire(TimePoint now);

    /// Records that the endpoint had no memory for a result, so its report is outdated.
    void recordMemoryFull(const EndpointId &endpoint);
    /// Discards the reports of all endpoints, and so the known usage by others.
    void forgetOtherUsage();
    /// Endpoints that are to be queried now, without \a resting ones; records the queries as sent.
    [[nodiscard]] std::vector<MemoryQuery> takeMemoryQueries(TimePoint now, const std::set<EndpointId> &resting = {});
    /// Records the endpoint's report that \a freeBytes were free; it may have less by now.
    void recordFreeBytes(const EndpointId &endpoint, std::uint64_t freeBytes);
    /// Whether the usage is known or its query timed out, so that a call may be sent.
    [[nodiscard]] bool isUsageKnown(const EndpointId &endpoint, TimePoint now) const;
    /// When fits() or isUsageKnown() may change without a new event; absent if never.
    [[nodiscard]] std::optional<TimePoint> nextChange(TimePoint now) const;

private:
    struct StoredResult {
        EndpointId endpoint;
        std::uint64_t bytes = 0;
        TimePoint expiresAt; ///< The endpoint drops the result by itself at this time.
    };
    struct Account {
        Address address;
        std::uint64_t knownBytes = 0; ///< Used by results and calls that are known here.
        std::uint64_t otherBytes = 0; ///< Used by anything else, by the endpoint's last report.
        bool reported = false; ///< The endpoint has reported and has not run out of memory since.
        std::optional<TimePoint> queriedAt;
        std::uint64_t knownBytesAtQuery = 0;
    };

    [[nodiscard]] bool needsReport(const Account &account) const;
    [[nodiscard]] bool queryDue(const Account &account, TimePoint now) const;

    ResultMemoryOptions m_options;
    std::uint64_t m_capacity = 0;
    Duration m_lifetime{};
    std::map<EndpointId, Account> m_accounts;
    std::map<ResultHandle, StoredResult> m_results;
    std::map<EndpointId, ResultRelease> m_releases;
};

} // namespace mimosahub
