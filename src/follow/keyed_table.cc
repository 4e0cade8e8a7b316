// A record is applied only if its offset is above that of the key's last record. A
// key that is in no page was removed before the first page's end, unless its newest
// record is after that end: such keys are kept, and the records read next decide.

#include "follow/keyed_table.h"

#include <algorithm>

namespace mimosahub
{

std::string_view storeTableName(StoreTable table)
{
    switch (table) {
    case StoreTable::OperatorDocuments:
        return "operator-documents";
    case StoreTable::Endpoints:
        return "endpoints";
    case StoreTable::Status:
        return "status";
    case StoreTable::Quarantines:
        return "quarantines";
    case StoreTable::Daemons:
        return "daemons";
    case StoreTable::Duties:
        return "duties";
    }
    return "";
}

std::string_view appendResultName(AppendResult result)
{
    switch (result) {
    case AppendResult::Appended:
        return "appended";
    case AppendResult::Conflict:
        return "conflict";
    case AppendResult::Refused:
        return "refused";
    case AppendResult::Lost:
        return "lost";
    }
    return "";
}

void KeyedTable::beginPages()
{
    m_unseen = m_offsets;
    m_next = m_firstKept;
    m_firstPage = true;
}

void KeyedTable::applyPage(const KeyedPage &page, std::vector<KeyedChange> &changes)
{
    if (m_firstPage) {
        m_end = page.end;
        for (const auto &record : page.records) {
            m_next = std::max(m_next, record.offset.next());
        }
        m_firstPage = false;
    }
    for (const auto &record : page.records) {
        m_unseen.erase(record.key);
        applyRecord(record, changes);
    }
}

void KeyedTable::endPages(std::vector<KeyedChange> &changes)
{
    for (const auto &[key, offset] : m_unseen) {
        if (offset < m_end) {
            m_offsets.erase(key);
            changes.push_back({key, std::nullopt, true, StoreOffset()});
        }
    }
    m_unseen.clear();
}

void KeyedTable::skipTo(StoreOffset firstKept)
{
    m_firstKept = std::max(m_firstKept, firstKept);
    m_next = std::max(m_next, m_firstKept);
}

void KeyedTable::applyRun(const KeyedRun &run, std::vector<KeyedChange> &changes)
{
    for (const auto &record : run.records) {
        applyRecord(record, changes);
    }
    m_next = std::max(m_next, run.next);
}

void KeyedTable::applyRecord(const KeyedRecord &record, std::vector<KeyedChange> &changes)
{
    const auto it = m_offsets.find(record.key);
    if (it != m_offsets.end() && record.offset <= it->second) {
        return;
    }
    if (record.value) {
        m_offsets[record.key] = record.offset;
        changes.push_back({record.key, record.value, false, record.offset});
    } else if (it != m_offsets.end()) {
        m_offsets.erase(it);
        changes.push_back({record.key, std::nullopt, false, record.offset});
    }
}

} // namespace mimosahub
