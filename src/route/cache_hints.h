#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <list>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

/// Estimates which endpoints have which prompt prefixes in their cache.
namespace mimosahub
{

/// Notification from an inference engine that its prefix cache changed.
struct CacheEvent {
    enum class Kind {
        Stored,
        Evicted,
        Cleared,
    };
    EndpointId endpoint;
    std::uint64_t sequence = 0; ///< Number of the event at its endpoint, from 1; a gap means that events were lost.
    Kind kind = Kind::Stored;
    std::uint64_t prefixHash = 0; ///< Unused for Cleared.
};

/// Records which endpoint last stored each prefix. Cache events arrive late and with
/// gaps, so a hint never overrides an endpoint's limits, only makes the endpoint
/// preferred while it costs less wait than a cached prefix saves, and is dropped when
/// it may be wrong. Thread-safe.
class CacheHints
{
public:
    struct Options {
        std::size_t maxPrefixes = 50'000; ///< Beyond it, the least recently stored are dropped.
        Duration lifetime = std::chrono::minutes(5); ///< Older hints are ignored.
    };

    explicit CacheHints(const Options &options) : m_options(options)
    {
    }
    void apply(const CacheEvent &event, TimePoint now);
    /// Drops all hints of \a endpoint, which has restarted or left.
    void forget(const EndpointId &endpoint);
    /// The endpoint that last stored \a prefixHash, unless it is known to have evicted it.
    [[nodiscard]] std::optional<EndpointId> holder(std::uint64_t prefixHash, TimePoint now) const;

private:
    struct Hint {
        std::uint64_t prefixHash = 0;
        EndpointId endpoint;
        TimePoint storedAt;
    };
    using Hints = std::list<Hint>;

    void forgetLocked(const EndpointId &endpoint);

    Options m_options;
    mutable std::mutex m_mutex;
    Hints m_hints; ///< Newest first.
    std::unordered_map<std::uint64_t, Hints::iterator> m_byPrefix; ///< The newest holder of each prefix.
    std::unordered_map<EndpointId, std::uint64_t> m_sequences;
};

} // namespace mimosahub
