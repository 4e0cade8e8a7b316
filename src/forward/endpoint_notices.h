#pragma once

#include "base/random.h"
#include "forward/listed_endpoint.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mimosahub
{

struct EndpointNoticesOptions {
    /// Daemons that were told to rest come back spread over this part of the rest, maxSpread at most.
    double spread = 0.5;
    Duration maxSpread = std::chrono::seconds(2);
    std::size_t maxLeaving = 4096; ///< Leaving endpoints that are remembered; of more, the oldest are evicted.
};

/// What endpoints said of themselves in their answers: that they are leaving, which the store
/// may learn later or never, and that they want no calls from this daemon for a while. A new
/// start of an endpoint has said nothing yet. It does no I/O and reads no clock. Not
/// thread-safe.
class EndpointNotices
{
public:
    explicit EndpointNotices(const EndpointNoticesOptions &options = {}) : m_options(options)
    {
    }

    /// Returns whether that was not known.
    bool recordLeaving(const EndpointStart &endpoint, TimePoint now);
    /// Records that \a endpoint wants no calls from this daemon for \a rest, and returns until
    /// when it gets none.
    TimePoint recordRest(const EndpointStart &endpoint, Duration rest, TimePoint now, Random &random);

    /// Sets `leaving` at the entries of endpoints that said so.
    void markLeaving(std::vector<ListedEndpoint> &endpoints) const;
    [[nodiscard]] bool isLeaving(const EndpointStart &endpoint) const
    {
        return m_leaving.contains(endpoint);
    }
    /// Until when each endpoint that rests at \a now gets no calls; ended rests are dropped.
    [[nodiscard]] const std::map<EndpointStart, TimePoint> &rests(TimePoint now);

private:
    EndpointNoticesOptions m_options;
    std::map<EndpointStart, TimePoint> m_leaving; ///< With the time at which they said so.
    std::map<EndpointStart, TimePoint> m_rests;
};

} // namespace mimosahub
