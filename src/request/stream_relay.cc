// The only state is the offset of the next token: tokens before it are duplicates,
// and data that starts after it leaves a gap. This also handles an engine that
// ignores the requested offset and starts again at 0.

#include "request/stream_relay.h"

#include <algorithm>

namespace mimosahub
{

RelayStep StreamRelay::take(std::uint64_t offset, std::uint64_t count, bool end)
{
    if (m_complete) {
        return RelayStep{RelayAction::Drop, m_next, 0};
    }
    const auto last = offset + count;
    if (offset > m_next || last < offset || (end && last < m_next)) {
        return RelayStep{RelayAction::Broken, m_next, 0};
    }
    const RelayStep step{end ? RelayAction::Complete : (last > m_next ? RelayAction::Relay : RelayAction::Drop), m_next,
                         std::max(last, m_next) - m_next};
    m_next += step.count;
    m_complete = end;
    return step;
}

} // namespace mimosahub
