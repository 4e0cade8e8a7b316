#pragma once

#include "follow/keyed_store.h"

#include <map>
#include <string>
#include <vector>

namespace mimosahub
{

/// One change of a table: the newest record of a key, or its removal.
struct KeyedChange {
    std::string key;
    std::optional<std::string> value; ///< Absent if the key was removed.
    /// The key was missing when all keys were read again after a gap (records that the store dropped before they
    /// were read); no record that removes it was seen.
    bool lapsed = false;
    StoreOffset offset; ///< Of the record; 0 if lapsed.
};

/// Converts pages and runs of a table to changes, so that a reader sees each key's
/// newest record once and never an older one after it. Pages are not read
/// atomically, and the end that a page reports may be after records that the page
/// lacks. The following run therefore starts after the newest record of the first
/// page, so that it includes everything appended later. If the store has dropped
/// records there, all keys are read again, and the run starts at the first record
/// that the store retained before that second reading of the pages began.
class KeyedTable
{
public:
    /// Starts to read all keys again.
    void beginPages();
    /// Applies one page and appends the changes to \a changes.
    void applyPage(const KeyedPage &page, std::vector<KeyedChange> &changes);
    /// To be called after the last page: appends the removal of the keys that were in no page.
    void endPages(std::vector<KeyedChange> &changes);
    /// To be called instead of endPages() if the rest of the pages can't be read: the
    /// keys that were in no page so far are kept.
    void abandonPages()
    {
        m_unseen.clear();
    }
    /// Applies the records of one read and appends the changes to \a changes.
    void applyRun(const KeyedRun &run, std::vector<KeyedChange> &changes);

    /// The store has dropped the records before \a firstKept: all pages must be read
    /// again, and reading continues at \a firstKept, which covers all records that
    /// the pages may lack.
    void skipTo(StoreOffset firstKept);

    /// Offset from which to continue reading.
    [[nodiscard]] StoreOffset next() const
    {
        return m_next;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_offsets.size();
    }

private:
    void applyRecord(const KeyedRecord &record, std::vector<KeyedChange> &changes);

    std::map<std::string, StoreOffset> m_offsets; ///< Offset of each key's newest record.
    std::map<std::string, StoreOffset> m_unseen; ///< Keys known before the pages that were in none of them so far.
    StoreOffset m_next;
    /// Reads can't continue from before this offset; of the records before it, the store only has the newest of each
    /// key, in its pages.
    StoreOffset m_firstKept;
    StoreOffset m_end; ///< End of the table as reported by the first page.
    bool m_firstPage = false;
};

} // namespace mimosahub
