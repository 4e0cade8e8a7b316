// Consecutive reads of the store extend the covered range at its end. A read that
// starts elsewhere replaces the range.

#include "follow/table_relay.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr std::size_t kRecordBytes = 64; ///< Of a record in a message, besides its key and value.

std::size_t bytesOf(const KeyedRecord &record)
{
    return kRecordBytes + record.key.size() + (record.value ? record.value->size() : 0);
}

} // namespace

void TableRelay::add(StoreOffset from, const KeyedRun &run, TimePoint sentAt)
{
    const std::lock_guard lock(m_mutex);
    if (!m_confirmedAt || from != m_end) {
        m_records.clear();
        m_bytes = 0;
        m_begin = from;
    }
    for (const auto &record : run.records) {
        m_bytes += bytesOf(record);
        m_records.push_back(record);
    }
    m_end = run.next;
    m_confirmedAt = sentAt;
    while (m_records.size() > m_options.maxRecords || m_bytes > m_options.maxBytes) {
        dropFirst();
    }
}

void TableRelay::dropFirst()
{
    m_begin = m_records.front().offset.next();
    m_bytes -= bytesOf(m_records.front());
    m_records.pop_front();
}

void TableRelay::setDocumentOffset(StoreOffset next)
{
    const std::lock_guard lock(m_mutex);
    m_documents = next;
}

std::optional<TableAnswer> TableRelay::answer(StoreOffset from, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_lastQueryAt = now;
    if (!m_confirmedAt) {
        return std::nullopt;
    }
    TableAnswer answer;
    if (from.era() < m_end.era()) {
        answer.run = {{}, StoreOffset(0, m_end.era()), true, std::nullopt};
        return answer;
    }
    if (from < m_begin || from > m_end) {
        return std::nullopt;
    }
    const auto first =
        std::find_if(m_records.begin(), m_records.end(), [&](const auto &record) { return record.offset >= from; });
    answer.run.records.assign(first, m_records.end());
    answer.run.next = m_end;
    answer.documents = m_documents;
    answer.age = std::max(Duration::zero(), Duration(now - *m_confirmedAt));
    return answer;
}

bool TableRelay::hasRecentQueries(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return m_lastQueryAt && now - *m_lastQueryAt < m_options.queryTimeout;
}

} // namespace mimosahub
