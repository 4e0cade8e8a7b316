// A record is applied only if its offset is above that of the key's last record. A
// key that is in no page was removed before the first page's end, unless its newest
// record is after that end: such keys are kept, and the records read next decide.

#include "follow/keyed_table.h"

#include <algorithm>
#include <limits>
#include <string_view>

namespace mimosahub
{

namespace
{

constexpr std::size_t kMaxTraces = 32; ///< Of each key; half a minute of entries that are written each second.
/// Records before the pages' newest one that are read in a new era; what the copy holds may be hours old.
constexpr std::uint64_t kMaxReread = 4096;
constexpr std::size_t kMaxRemoved = 4096; ///< Removed keys that are remembered, so that no copy brings them back.

std::size_t fingerprintOf(const KeyedRecord &record)
{
    return record.value ? std::hash<std::string_view>()(*record.value) : 0;
}

} // namespace

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
    m_unseen.clear();
    for (const auto &[key, entry] : m_entries) {
        if (entry.present) {
            m_unseen.insert(key);
        }
    }
    m_pending.clear();
    m_next = m_firstKept;
    m_firstPage = true;
    if (!m_newEra) {
        m_seenFrom.reset();
    }
}

void KeyedTable::applyPage(const KeyedPage &page, std::vector<KeyedChange> &changes)
{
    if (m_firstPage) {
        m_end = page.end;
        for (const auto &record : page.records) {
            m_next = std::max(m_next, record.offset.next());
        }
        m_firstPage = false;
        m_firstPageSize = m_newEra ? page.records.size() : 0;
    }
    for (const auto &record : page.records) {
        if (m_newEra) {
            m_pending.push_back(record);
        } else {
            m_unseen.erase(record.key);
            applyRecord(record, changes);
        }
    }
}

void KeyedTable::endPages(std::vector<KeyedChange> &changes)
{
    if (m_newEra) {
        applyPending(changes);
        return;
    }
    for (const auto &key : m_unseen) {
        const auto it = m_entries.find(key);
        if (it->second.confirmed && it->second.position < m_end) {
            setPresent(it, false);
            it->second.lapsed = true;
            changes.push_back({key, std::nullopt, true, StoreOffset()});
        }
    }
    m_unseen.clear();
}

void KeyedTable::abandonPages(std::vector<KeyedChange> &changes)
{
    if (m_newEra) {
        applyPending(changes);
    }
    m_unseen.clear();
}

// What the copy has is known only once all pages were read: a record that none of the
// readers has met may be before one that they have.
void KeyedTable::applyPending(std::vector<KeyedChange> &changes)
{
    findCopied();
    // Removals in the new era are only in the records, which are read from the copy's known end on.
    // Records before those that were ever read are unknown, though they may be of the copy.
    const auto newest = std::max(m_next.value(), kMaxReread);
    const StoreOffset seen(m_seenFrom.value_or(0), m_firstKept.era());
    if (seen > m_end) {
        m_seenFrom.reset();
    } else {
        m_next = std::max({m_firstKept, m_copied, seen, StoreOffset(newest - kMaxReread, m_firstKept.era())});
    }
    m_summary = {};
    std::sort(m_pending.begin(), m_pending.end(), [](const auto &a, const auto &b) { return a.offset < b.offset; });
    for (const auto &record : m_pending) {
        applyRecord(record, changes);
    }
    for (const auto &record : m_pending) {
        m_unseen.erase(record.key);
    }
    for (const auto &[key, entry] : m_entries) {
        if (entry.present && !entry.confirmed) {
            ++m_summary.lost;
            changes.push_back({key, std::nullopt, m_unseen.contains(key), StoreOffset(), true});
        }
    }
    m_pending.clear();
    m_unseen.clear();
    m_newEra = false;
}

// Both logs have the same records before the copy's end. A record that is known at its
// offset shows that the copy reaches beyond it, another one at a known offset that the
// copy ends before it; what was written again may be at its offset of before by chance.
void KeyedTable::findCopied()
{
    m_knownOffsets.clear();
    for (const auto &[key, entry] : m_entries) {
        for (const auto &trace : entry.traces) {
            m_knownOffsets.insert(trace.offset);
        }
    }
    m_diverged = std::min(m_diverged, m_end); // The table had no record there when its pages were read.
    for (const auto &record : m_pending) {
        checkDiverged(record);
    }
    // Only the first page: what precedes a record on a later one may be newer than the pages before it.
    for (std::size_t i = 0; i < m_firstPageSize; ++i) {
        const auto &record = m_pending[i];
        if (record.offset < m_diverged && isTraced(record)) {
            m_copied = std::max(m_copied, record.offset.next());
        }
    }
}

void KeyedTable::checkDiverged(const KeyedRecord &record)
{
    if (record.offset < m_diverged && m_knownOffsets.contains(record.offset.value()) && !isTraced(record)) {
        m_diverged = record.offset;
        m_copied = std::min(m_copied, m_diverged);
    }
}

void KeyedTable::skipTo(StoreOffset firstKept)
{
    m_seenFrom.reset();
    m_firstKept = std::max(m_firstKept, firstKept);
    m_next = std::max(m_next, m_firstKept);
}

void KeyedTable::forgetOtherLogs()
{
    if (!m_written) {
        return;
    }
    for (auto &[key, entry] : m_entries) {
        std::erase_if(entry.traces,
                      [&](const auto &trace) { return trace.era < m_next.era() && trace.offset >= *m_written; });
    }
    m_written.reset();
}

void KeyedTable::enterEra(StoreOffset first)
{
    forgetOtherLogs();
    m_firstKept = first;
    m_next = first;
    m_end = first;
    m_copied = StoreOffset(0, first.era());
    m_diverged = StoreOffset(std::numeric_limits<std::uint64_t>::max(), first.era());
    m_newEra = !m_entries.empty(); // A reader that knows nothing takes the copy as it is.
    m_pending.clear();
    for (auto &[key, entry] : m_entries) {
        entry.confirmed = false;
    }
}

void KeyedTable::applyRun(const KeyedRun &run, std::vector<KeyedChange> &changes)
{
    m_seenFrom = m_seenFrom.value_or(m_next.value());
    for (const auto &record : run.records) {
        checkDiverged(record);
        applyRecord(record, changes);
    }
    if (m_next >= m_diverged) {
        m_knownOffsets.clear();
    }
    m_next = std::max(m_next, run.next);
}

KeyedTable::Trace KeyedTable::traceOf(const KeyedRecord &record)
{
    return {record.offset.value(), fingerprintOf(record), record.offset.era()};
}

bool KeyedTable::isTraced(const KeyedRecord &record) const
{
    const auto it = m_entries.find(record.key);
    if (it == m_entries.end()) {
        return false;
    }
    const auto &traces = it->second.traces;
    const auto wanted = traceOf(record);
    return std::any_of(traces.begin(), traces.end(), [&](const auto &trace) { return trace.isSame(wanted); });
}

void KeyedTable::setPresent(Entries::iterator it, bool present)
{
    if (it->second.present == present) {
        return;
    }
    it->second.present = present;
    if (present) {
        ++m_present;
        return;
    }
    --m_present;
    rememberRemoved(it);
}

void KeyedTable::rememberRemoved(Entries::iterator it)
{
    m_removed.push_back(it->first);
    while (m_removed.size() > kMaxRemoved) {
        const auto oldest = m_entries.find(m_removed.front());
        if (oldest != m_entries.end() && oldest != it && !oldest->second.present) {
            m_entries.erase(oldest);
        }
        m_removed.pop_front();
    }
}

void KeyedTable::set(Entry &entry, const KeyedRecord &record)
{
    entry.position = record.offset;
    entry.confirmed = true;
    entry.lapsed = false;
    entry.newest = traceOf(record);
    if (record.offset >= m_diverged) {
        m_written = std::min(m_written.value_or(record.offset.value()), record.offset.value());
    }
    entry.traces.push_back(entry.newest);
    if (entry.traces.size() > kMaxTraces) {
        entry.traces.pop_front();
    }
}

void KeyedTable::rememberOlder(Entry &entry, const KeyedRecord &record)
{
    if (entry.traces.size() < kMaxTraces && !isTraced(record)) {
        entry.traces.push_front(traceOf(record));
    }
}

void KeyedTable::applyRecord(const KeyedRecord &record, std::vector<KeyedChange> &changes)
{
    const auto it = m_entries.find(record.key);
    if (it == m_entries.end()) {
        applyFirst(record, changes);
        return;
    }
    auto &entry = it->second;
    if (!entry.confirmed) {
        applyInNewEra(it, record, changes);
        return;
    }
    const bool reappears = entry.lapsed && record.value && record.offset == entry.position;
    if (record.offset <= entry.position && !reappears) {
        rememberOlder(entry, record);
        return;
    }
    const bool wasPresent = entry.present;
    set(entry, record);
    setPresent(it, record.value.has_value());
    if (wasPresent || record.value) {
        changes.push_back({record.key, record.value, false, record.offset});
    }
}

void KeyedTable::applyFirst(const KeyedRecord &record, std::vector<KeyedChange> &changes)
{
    const auto it = m_entries.emplace(record.key, Entry()).first;
    set(it->second, record);
    if (!record.value) { // A copy may have it without what follows.
        rememberRemoved(it);
        return;
    }
    setPresent(it, true);
    changes.push_back({record.key, record.value, false, record.offset});
}

void KeyedTable::applyInNewEra(Entries::iterator it, const KeyedRecord &record, std::vector<KeyedChange> &changes)
{
    auto &entry = it->second;
    const auto trace = traceOf(record);
    const bool isNewest = entry.newest.isSame(trace) && !entry.lapsed;
    if (isNewest) {
        entry.position = record.offset;
        entry.confirmed = true;
        ++m_summary.confirmed;
        if (!m_newEra && record.value) { // It was reported as lost.
            changes.push_back({record.key, record.value, false, record.offset, false, true});
        }
        return;
    }
    if (record.offset < m_copied || (record.offset < m_diverged && isTraced(record))) {
        ++m_summary.outdated;
        return;
    }
    const bool wasPresent = entry.present;
    const bool isSame = wasPresent && record.value && entry.newest.fingerprint == trace.fingerprint;
    set(entry, record);
    setPresent(it, record.value.has_value());
    if (wasPresent || record.value) {
        changes.push_back({record.key, record.value, false, record.offset, false, isSame});
    }
}

} // namespace mimosahub
