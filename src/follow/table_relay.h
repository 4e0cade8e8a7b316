#pragma once

#include "follow/keyed_store.h"

#include <deque>
#include <functional>
#include <mutex>
#include <optional>

namespace mimosahub
{

/// Records that a daemon which reads a table from the store sends to another daemon.
struct TableAnswer {
    KeyedRun run; ///< If dropped, it only states a later era than that asked for.
    Duration age{}; ///< The run includes everything that was in the table this long ago.
    /// Offset up to which that daemon has read the operators' documents. A receiver that is behind it in two
    /// consecutive answers restarts its own read of documents, which must have been lost.
    StoreOffset documents;
};

struct TableRelayOptions {
    Duration queryTimeout = std::chrono::seconds(3); ///< Other daemons are expected to query again within this time.
    std::size_t maxRecords = 2048; ///< Number of records kept; older ones are dropped.
    /// Of all records kept, which must fit into one message between daemons.
    std::size_t maxBytes = std::size_t(512) << 10U;
};

/// The newest records of one table as this daemon read them from the store, for
/// other daemons that continue from an offset within the covered range. Any thread.
class TableRelay
{
public:
    explicit TableRelay(const TableRelayOptions &options = {}) : m_options(options)
    {
    }

    /// A read from \a from on, sent at \a sentAt, returned \a run. The caller has
    /// removed the records that only show that an endpoint is alive.
    void add(StoreOffset from, const KeyedRun &run, TimePoint sentAt);
    /// This daemon has read the operators' documents up to \a next.
    void setDocumentOffset(StoreOffset next);
    /// The records from \a from on; absent if \a from is outside the covered range. Dropped, if this daemon has
    /// read records of a later era.
    [[nodiscard]] std::optional<TableAnswer> answer(StoreOffset from, TimePoint now);
    /// Whether another daemon has sent a query within queryTimeout.
    [[nodiscard]] bool hasRecentQueries(TimePoint now) const;

private:
    void dropFirst();

    TableRelayOptions m_options;
    mutable std::mutex m_mutex;
    std::deque<KeyedRecord> m_records; ///< In order.
    std::size_t m_bytes = 0; ///< Of m_records.
    StoreOffset m_begin; ///< Start of the covered range, of which m_records has what add() got.
    StoreOffset m_end; ///< End of the covered range.
    std::optional<TimePoint> m_confirmedAt; ///< Time at which the table ended at m_end; absent if nothing was read.
    std::optional<TimePoint> m_lastQueryAt;
    StoreOffset m_documents;
};

/// Reads tables from other daemons.
class TableQueryClient
{
public:
    /// Called once, on any thread. The answer is absent if no daemon responded or none
    /// covers the requested offset.
    using AnswerCallback = std::function<void(std::optional<TableAnswer>)>;

    virtual ~TableQueryClient() = default;
    /// Queries the daemon that relays \a table for the records from \a from on. Any thread.
    virtual void queryTable(StoreTable table, StoreOffset from, AnswerCallback onAnswer) = 0;
};

} // namespace mimosahub
