#pragma once

#include "follow/keyed_store.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosahub
{

/// One change of a table: the newest record of a key, or its removal.
struct KeyedChange {
    std::string key;
    std::optional<std::string> value; ///< Absent if the key was removed.
    /// The key was missing when all keys were read again after a gap (records that the store dropped before they
    /// were read) or in a new era; no record that removes it was seen.
    bool lapsed = false;
    StoreOffset offset; ///< Of the record; 0 if lapsed.
    /// The store came back from a copy that lacks the key's newest record; \a lapsed is set, too, if it has no
    /// earlier one. Whether the key stays in force is up to the reader: the table reports the next record of the key
    /// in any case.
    bool lost = false;
    /// The record has the content that was in force when the store came back from a copy: it was written again.
    bool rewritten = false;
};

/// What reading all keys in a new era has shown, for log messages.
struct EraSummary {
    std::size_t confirmed = 0; ///< Keys whose newest record is in the copy.
    std::size_t outdated = 0; ///< Records of the copy that are older than what is in force.
    std::size_t lost = 0; ///< Keys in force whose newest record the copy lacks.
};

/// Converts pages and runs of a table to changes, so that a reader sees each key's
/// newest record once and never an older one after it. Pages are not read
/// atomically, and the end that a page reports may be after records that the page
/// lacks. The following run therefore starts after the newest record of the first
/// page, so that it includes everything appended later. If the store has dropped
/// records there, all keys are read again, and the run starts at the first record
/// that the store retained before that second reading of the pages began.
///
/// In a new era the log begins with a copy of the log of the era before and goes on
/// with other records at the same offsets. A record of the copy changes nothing: it
/// is known by its offset and content, or is before another one that is. Keys that
/// the pages lack are reported as lost but stay known, since a key that was removed
/// in the new era has a record that says so.
class KeyedTable
{
public:
    /// Starts to read all keys again.
    void beginPages();
    /// Applies one page and appends the changes to \a changes; in a new era, endPages() applies them.
    void applyPage(const KeyedPage &page, std::vector<KeyedChange> &changes);
    /// To be called after the last page: appends the removal of the keys that were in no page.
    void endPages(std::vector<KeyedChange> &changes);
    /// To be called instead of endPages() if the rest of the pages can't be read: the
    /// keys that were in no page so far are kept.
    void abandonPages(std::vector<KeyedChange> &changes);
    /// Applies the records of one read and appends the changes to \a changes.
    void applyRun(const KeyedRun &run, std::vector<KeyedChange> &changes);

    /// The store has dropped the records before \a firstKept: all pages must be read
    /// again, and reading continues at \a firstKept, which covers all records that
    /// the pages may lack.
    void skipTo(StoreOffset firstKept);
    /// The store came back from a copy: all pages must be read again, and reading
    /// continues at \a first or later. Offsets known so far are of an earlier log.
    void enterEra(StoreOffset first);

    /// Offset from which to continue reading.
    [[nodiscard]] StoreOffset next() const
    {
        return m_next;
    }
    /// Number of keys that have a value.
    [[nodiscard]] std::size_t size() const
    {
        return m_present;
    }
    /// Of the last reading of all keys in a new era.
    [[nodiscard]] const EraSummary &eraSummary() const
    {
        return m_summary;
    }

private:
    /// A record that was applied.
    struct Trace {
        std::uint64_t offset = 0;
        std::size_t fingerprint = 0; ///< Of the value.
        StoreEra era; ///< In which it was met.

        [[nodiscard]] bool isSame(const Trace &other) const
        {
            return offset == other.offset && fingerprint == other.fingerprint;
        }
    };
    struct Entry {
        StoreOffset position; ///< Of the newest record.
        bool present = false; ///< The newest record has a value and did not lapse.
        bool lapsed = false;
        bool confirmed = true; ///< The current era's log has the newest record at this position.
        Trace newest;
        std::deque<Trace> traces; ///< Of the newest records and of some earlier ones, oldest first.
    };
    using Entries = std::map<std::string, Entry>;

    void applyRecord(const KeyedRecord &record, std::vector<KeyedChange> &changes);
    void applyFirst(const KeyedRecord &record, std::vector<KeyedChange> &changes);
    // Of an entry that isn't confirmed.
    void applyInNewEra(Entries::iterator it, const KeyedRecord &record, std::vector<KeyedChange> &changes);
    void applyPending(std::vector<KeyedChange> &changes);
    void findCopied();
    void checkDiverged(const KeyedRecord &record);
    void set(Entry &entry, const KeyedRecord &record);
    void forgetOtherLogs();
    void rememberRemoved(Entries::iterator it);
    [[nodiscard]] static Trace traceOf(const KeyedRecord &record);
    // Keeps a record that is older than what is in force, so that it is known in a copy.
    void rememberOlder(Entry &entry, const KeyedRecord &record);
    void setPresent(Entries::iterator it, bool present);
    [[nodiscard]] bool isTraced(const KeyedRecord &record) const;

    Entries m_entries; ///< Also of keys that were removed, as far as kMaxRemoved allows.
    std::deque<std::string> m_removed; ///< Keys in the order of their removal.
    std::set<std::string> m_unseen; ///< Keys known before the pages that were in none of them so far.
    std::size_t m_present = 0;
    StoreOffset m_next;
    /// Reads can't continue from before this offset; of the records before it, the store only has the newest of each
    /// key, in its pages.
    StoreOffset m_firstKept;
    StoreOffset m_end; ///< End of the table as reported by the first page.
    bool m_firstPage = false;
    std::size_t m_firstPageSize = 0; ///< Records of the first page, which are the first ones of m_pending.
    bool m_newEra = false; ///< Not all keys have been read in this era.
    StoreOffset m_copied; ///< Records before this offset are proven to be in the copy that the era began with.
    /// Least offset of a record that was written in this era, as far as known; traces of earlier eras from there on
    /// are of records that no later copy can have.
    std::optional<std::uint64_t> m_written;
    StoreOffset m_diverged; ///< Records from this offset on are proven to be written in this era.
    std::set<std::uint64_t> m_knownOffsets; ///< Of traces at the beginning of the era, until it has diverged.
    std::optional<std::uint64_t> m_seenFrom; ///< All records from this offset on were read.
    std::vector<KeyedRecord> m_pending; ///< Of the pages of a new era.
    EraSummary m_summary;
};

} // namespace mimosahub
