// Duplicates are identified by (writer, incarnation, sequence) alone, never by
// content: two equal orders of one operator are two orders.

#include "control/writer_table.h"

#include <algorithm>

namespace mimosahub
{

WriterTable::Admission WriterTable::admit(const BatchHeader &header, Offset offset)
{
    auto &writer = m_writers[header.writer];
    if (header.incarnation < writer.incarnation) {
        return Admission::StaleIncarnation;
    }
    if (header.incarnation > writer.incarnation) {
        writer = WriterState{.incarnation = header.incarnation, .lastOffset = {}, .recent = {}};
    }
    auto &recent = writer.recent;
    const auto it =
        std::lower_bound(recent.begin(), recent.end(), header.sequence,
                         [](const auto &applied, Sequence sequence) { return applied.sequence < sequence; });
    if (it != recent.end() && it->sequence == header.sequence) {
        return Admission::Duplicate;
    }
    if (it == recent.begin() && recent.size() == kSequenceWindow) {
        return Admission::StaleSequence;
    }
    recent.insert(it, {header.sequence, offset});
    if (recent.size() > kSequenceWindow) {
        recent.erase(recent.begin());
    }
    writer.lastOffset = offset;
    if (m_writers.size() > kMaxWriters) {
        evictOldest();
    }
    return Admission::New;
}

std::optional<Offset> WriterTable::offsetOf(const InstanceId &writer, Incarnation incarnation, Sequence sequence) const
{
    const auto it = m_writers.find(writer);
    if (it == m_writers.end() || it->second.incarnation != incarnation) {
        return std::nullopt;
    }
    for (const auto &applied : it->second.recent) {
        if (applied.sequence == sequence) {
            return applied.offset;
        }
    }
    return std::nullopt;
}

void WriterTable::evictOldest()
{
    const auto oldest = std::min_element(m_writers.begin(), m_writers.end(), [](const auto &a, const auto &b) {
        return a.second.lastOffset < b.second.lastOffset;
    });
    m_writers.erase(oldest);
}

} // namespace mimosahub
