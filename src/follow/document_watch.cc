#include "follow/document_watch.h"

#include <utility>

namespace mimosahub
{

void DocumentWatch::recordPeer(StoreOffset next, TimePoint now)
{
    m_heardBefore = std::exchange(m_heard, next);
    m_heardAt = now;
}

Duration DocumentWatch::beginRead(StoreOffset next, bool relays, TimePoint now)
{
    m_waitsLong = !relays && isConfirmed(next, now);
    if (m_waitsLong) {
        return m_options.confirmedWait;
    }
    return relays ? m_options.relayWait : m_options.ownWait;
}

bool DocumentWatch::isLost(StoreOffset next, TimePoint now)
{
    if (m_heard && m_heardBefore && *m_heard > next && *m_heardBefore > next) {
        m_heard.reset();
        m_heardBefore.reset();
        m_waitsLong = false;
        return true;
    }
    // A position behind this one's is an answer of a daemon that has restarted or lags.
    const bool behind = m_heard && m_heardBefore && *m_heard < next && *m_heardBefore < next;
    if (m_waitsLong && (behind || now - m_heardAt > m_options.confirmedAge)) {
        m_waitsLong = false;
        return true;
    }
    return false;
}

bool DocumentWatch::isConfirmed(StoreOffset next, TimePoint now) const
{
    return m_heard && *m_heard >= next && now - m_heardAt <= m_options.confirmedAge;
}

} // namespace mimosahub
