#pragma once

#include "follow/keyed_store.h"

#include <map>
#include <string>
#include <vector>

namespace mimosahub
{

/// One change of a table: the key's newest record, or its end.
struct KeyedChange {
    std::string key;
    std::optional<std::string> value; ///< Absent: the key is gone.
    bool lapsed = false; ///< The key was missing after a gap; no record said that it was dropped.
};

/// Folds pages and runs of a table into changes, so that a reader sees each key's
/// newest record once and never an older one after it. Pages aren't taken at one
/// moment, nor at that of the end which they state: the run that follows begins
/// behind the newest record of the first page, and meets all that came later. If
/// the store has dropped records there, all keys are read once more, and the run
/// begins at the first record that was kept before these pages were asked for.
class KeyedTable
{
public:
    /// Begins to read all keys anew.
    void beginPages();
    /// Takes one page; appends what changed.
    void applyPage(const KeyedPage &page, std::vector<KeyedChange> &changes);
    /// All pages were taken: appends the ends of keys that none of them held.
    void endPages(std::vector<KeyedChange> &changes);
    /// Takes the records of one read.
    void applyRun(const KeyedRun &run, std::vector<KeyedChange> &changes);

    /// The store no longer has the records before \a firstKept: pages must be read
    /// again, and what is read on from there meets all that these may lack.
    void skipTo(StoreOffset firstKept);

    /// Where to read on.
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

    std::map<std::string, StoreOffset> m_offsets; ///< Of each key's newest record.
    std::map<std::string, StoreOffset> m_unseen; ///< Keys known before the pages that none has held yet.
    StoreOffset m_next;
    StoreOffset m_firstKept; ///< Nothing before it can be read any more, as far as is known.
    StoreOffset m_end; ///< As the first page stated it.
    bool m_firstPage = false;
};

} // namespace mimosahub
