#pragma once

#include "follow/keyed_store.h"

#include <deque>
#include <functional>
#include <mutex>
#include <optional>

namespace mimosahub
{

/// What a daemon that reads a table from the store tells another one of it.
struct TableAnswer {
    KeyedRun run;
    Duration age{}; ///< The run holds all that was in the table so long ago.
    StoreOffset documents; ///< That daemon has read the operators' documents up to here.
};

struct TableRelayOptions {
    Duration queryTimeout = std::chrono::seconds(3); ///< Others are expected to ask again within this time.
    std::size_t maxRecords = 2048; ///< Older ones are given up.
};

/// The newest records of one table as this daemon read them from the store, for
/// other daemons that read on from a position which it covers. Any thread.
class TableRelay
{
public:
    explicit TableRelay(const TableRelayOptions &options = {}) : m_options(options)
    {
    }

    /// A read from \a from on, sent at \a sentAt, was answered; \a run has only the
    /// records that matter.
    void add(StoreOffset from, const KeyedRun &run, TimePoint sentAt);
    /// This daemon has read the operators' documents up to \a next.
    void setDocumentOffset(StoreOffset next);
    /// What follows \a from; absent if that isn't known here.
    [[nodiscard]] std::optional<TableAnswer> answer(StoreOffset from, TimePoint now);
    /// Whether other daemons asked lately.
    [[nodiscard]] bool hasRecentQueries(TimePoint now) const;

private:
    TableRelayOptions m_options;
    mutable std::mutex m_mutex;
    std::deque<KeyedRecord> m_records; ///< In order.
    StoreOffset m_begin; ///< All that matters from here,
    StoreOffset m_end; ///< up to here is in m_records.
    std::optional<TimePoint> m_confirmedAt; ///< The table ended at m_end then; absent if nothing was read.
    std::optional<TimePoint> m_lastQueryAt;
    StoreOffset m_documents;
};

/// Reads tables from other daemons.
class TableQueryClient
{
public:
    /// Told once, on any thread. Absent: no daemon answered, or none knows.
    using AnswerCallback = std::function<void(std::optional<TableAnswer>)>;

    virtual ~TableQueryClient() = default;
    /// Asks the daemon that relays \a table for what follows \a from. Any thread.
    virtual void queryTable(StoreTable table, StoreOffset from, AnswerCallback onAnswer) = 0;
};

} // namespace mimosahub
