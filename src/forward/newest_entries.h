#pragma once

#include "forward/listed_endpoint.h"

#include <map>
#include <optional>

namespace mimosahub
{

/// What is newest of each endpoint's entries, so that an older one, or one that doesn't tell
/// its start, replaces nothing. It does no I/O and reads no clock. Not thread-safe.
class NewestEntries
{
public:
    enum class Verdict {
        Newer, ///< Replaces what was known; so does a repetition.
        Older, ///< Of an earlier start, or an earlier entry of the same start.
        Startless, ///< Without a start, where earlier entries of the endpoint told it.
    };

    /// Judges \a entry, which was read at \a now, and keeps it if it is newer. One that is
    /// neither newer nor older than what said that its start is leaving gets `leaving` too.
    [[nodiscard]] Verdict take(ListedEndpoint &entry, TimePoint now);
    /// The store no longer lists \a endpoint. What is known of it is kept for a while.
    void remove(const EndpointId &endpoint, TimePoint now);

private:
    struct Newest {
        std::int64_t startedAtMs = 0;
        std::uint64_t sequence = 0;
        bool leaving = false;
        TimePoint readAt;
        std::optional<TimePoint> removedAt;
    };

    std::map<EndpointId, Newest> m_newest;
};

} // namespace mimosahub
