#pragma once

#include "forward/piece.h"
#include "mimosahub/clock.h"
#include "mimosahub/endpoint.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// What the endpoints of one service have in memory for results of stages.
namespace mimosahub
{

/// Results that one endpoint is to drop.
struct ResultRelease {
    EndpointId endpoint;
    Address address;
    std::vector<ResultHandle> handles;
    std::uint64_t bytes = 0; ///< Their memory.
};

/// An endpoint that is to be asked how much memory it has left.
struct MemoryQuery {
    EndpointId endpoint;
    Address address;
};

struct ResultMemoryOptions {
    Duration queryTimeout = std::chrono::milliseconds(60); ///< An endpoint of unknown memory is spared so long.
    Duration queryInterval = std::chrono::milliseconds(250); ///< While others' results take memory.
};

/// Accounts for the memory of each endpoint: results that are known here until
/// they are dropped, and what else there is, as the endpoint says. After a planner
/// has died, its results lie there until they expire, and nobody knows their names.
class ResultMemory
{
public:
    explicit ResultMemory(const ResultMemoryOptions &options = {}) : m_options(options)
    {
    }

    /// Memory of one endpoint in bytes, 0 if unlimited, and how long it keeps a result.
    void setRule(std::uint64_t capacity, Duration lifetime)
    {
        m_capacity = capacity;
        m_lifetime = lifetime;
    }
    /// The endpoint may get calls.
    void add(const EndpointId &endpoint, const Address &address);
    /// It has gone, or has started anew and holds nothing of before.
    void remove(const EndpointId &endpoint);

    /// Whether \a count results of \a bytes fit besides all that is there and \a reserved more.
    [[nodiscard]] bool fits(const EndpointId &endpoint, std::uint64_t bytes, std::size_t count,
                            std::uint64_t reserved) const;
    /// A call that makes \a bytes of results begins, or ends.
    void reserve(const EndpointId &endpoint, std::uint64_t bytes);
    void unreserve(const EndpointId &endpoint, std::uint64_t bytes);

    void store(const ResultHandle &handle, const EndpointId &endpoint, std::uint64_t bytes, TimePoint now);
    /// The result is no longer needed; false if it isn't known here.
    bool drop(const ResultHandle &handle);
    /// Results to be dropped at their makers. Their memory counts as free only once
    /// the maker has answered: a call that overtook the release would find no room.
    [[nodiscard]] std::vector<ResultRelease> takeReleases();
    /// The maker of \a release has answered, or can't be reached.
    void releaseEnded(const ResultRelease &release);
    /// Forgets results that their makers have dropped by themselves.
    void expire(TimePoint now);

    /// The endpoint had no memory for a result.
    void recordMemoryFull(const EndpointId &endpoint);
    /// Nothing is known any more of what others have stored.
    void forgetOtherUsage();
    /// Endpoints to be asked now; counts them as asked.
    [[nodiscard]] std::vector<MemoryQuery> takeMemoryQueries(TimePoint now);
    /// The endpoint has at most \a freeBytes left.
    void recordFreeBytes(const EndpointId &endpoint, std::uint64_t freeBytes);
    /// Whether a call now is likely to find the memory that is counted on.
    [[nodiscard]] bool isUsageKnown(const EndpointId &endpoint, TimePoint now) const;
    /// When something may change without a new event; absent if never.
    [[nodiscard]] std::optional<TimePoint> nextChange(TimePoint now) const;

private:
    struct StoredResult {
        EndpointId endpoint;
        std::uint64_t bytes = 0;
        TimePoint expiresAt; ///< The endpoint drops it by itself then.
    };
    struct Account {
        Address address;
        std::uint64_t knownBytes = 0; ///< By results and calls that are known here.
        std::uint64_t otherBytes = 0; ///< By anything else, as the endpoint last said.
        bool reported = false; ///< It has said so, and has had room since.
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
