#pragma once

#include "forward/listed_endpoint.h"

#include <map>
#include <optional>
#include <vector>

namespace mimosahub
{

/// The endpoints that the store lists. An entry that lapsed during an outage of the
/// store does not show that its endpoint is gone: it is kept for a grace period after
/// the outage, in which a running endpoint lists itself again. Where most entries tell the
/// start of their endpoint, one that doesn't comes from another writer and isn't listed.
class EndpointDirectory
{
public:
    /// \a lapseGrace: how long a lapsed entry, one whose registration expired in the
    /// store, is kept after an outage of the store.
    explicit EndpointDirectory(Duration lapseGrace) : m_lapseGrace(lapseGrace)
    {
    }

    /// The store responds again after an outage.
    void storeReturned(TimePoint now)
    {
        m_returnedAt = now;
    }
    void put(ListedEndpoint endpoint);
    /// The store no longer lists \a id.
    void remove(const EndpointId &id, TimePoint now);
    /// Drops lapsed entries whose grace period is over; true if there were any.
    bool expire(TimePoint now);
    /// When expire() drops the next entry; absent if never.
    [[nodiscard]] std::optional<TimePoint> nextExpiry() const;
    /// The endpoints that may be used, or are leaving.
    [[nodiscard]] std::vector<ListedEndpoint> list() const;
    [[nodiscard]] const ListedEndpoint *find(const EndpointId &id) const;

private:
    struct Entry {
        ListedEndpoint endpoint;
        std::optional<TimePoint> dropAt; ///< Set if the entry lapsed: the end of its grace period.
    };

    Duration m_lapseGrace;
    std::optional<TimePoint> m_returnedAt;
    std::map<EndpointId, Entry> m_entries;
};

} // namespace mimosahub
