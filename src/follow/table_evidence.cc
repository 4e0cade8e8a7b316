// Marks carry their age from daemon to daemon, so that hearsay never looks
// younger than the read behind it: if all rely on each other, the evidence of all
// grows old and they read again.

#include "follow/table_evidence.h"

#include <algorithm>

namespace mimosahub
{

void TableEvidence::readNothing(TimePoint sentAt)
{
    m_provenAt = std::max(m_provenAt.value_or(sentAt), sentAt);
    m_behindSince.reset();
}

void TableEvidence::compare(StoreOffset next, const std::optional<MarkBoard::Heard> &heard, TimePoint now)
{
    if (!heard) {
        return;
    }
    if (heard->end > next) {
        m_behindSince = m_behindSince.value_or(now);
        return;
    }
    m_behindSince.reset();
    if (heard->end == next) {
        m_provenAt = std::max(m_provenAt.value_or(heard->provenAt), heard->provenAt);
        m_heardAt = heard->heardAt;
    }
}

bool TableEvidence::isFresh(TimePoint now) const
{
    const auto within = [&](const std::optional<TimePoint> &at) { return at && now - *at < m_options.longestAge; };
    return !m_behindSince && within(m_provenAt) && within(m_heardAt);
}

Duration TableEvidence::wait(TimePoint now) const
{
    return m_options.relyingWait > Duration::zero() && isFresh(now) ? m_options.relyingWait : m_options.wait;
}

bool TableEvidence::needsRead(TimePoint now) const
{
    if (m_behindSince) {
        return now - *m_behindSince >= m_options.grace;
    }
    return !isFresh(now);
}

} // namespace mimosahub
