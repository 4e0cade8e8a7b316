#pragma once

#include "http/awaitable.h"
#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// A store of tables. Each table is a log of records that permanently retains the
/// newest record of each key. Linearizable; it may be slow or down, and may drop
/// older records. Where records were dropped before they were read, a reader has a
/// gap. The gateway daemons (src/gateway) get their configuration and endpoints from
/// such a store, the daemons of src/daemon from the platform's log and instance list.
namespace mimosahub
{

/// A table of the store.
enum class StoreTable {
    OperatorDocuments, ///< Configuration and orders, written by operators.
    Endpoints, ///< One entry for each endpoint, written by the endpoint.
    Status, ///< Progress of orders, written by daemons.
    Daemons, ///< Addresses at which daemons reach each other; each writes its own.
    Quarantines, ///< Content of requests that crashes endpoints, written by daemons.
    Duties, ///< Lease of the deployment's duties and what was agreed for them, written by daemons.
};

/// The name of \a table in log messages, such as "operator-documents".
[[nodiscard]] std::string_view storeTableName(StoreTable table);

using StoreOffset = Ordinal<struct StoreOffsetTag>; ///< Position of a record in a table's log, from 0.

/// One record of a table.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value; ///< Absent if the record removes the key.
    StoreOffset offset;

    friend bool operator==(const KeyedRecord &, const KeyedRecord &) = default;
};

/// One page of the newest records of all keys.
struct KeyedPage {
    std::vector<KeyedRecord> records; ///< Sorted by key.
    bool more = false; ///< There are further pages.
    StoreOffset end; ///< Offset of the next record to be appended.
    std::string lastKey; ///< Of all items, also unreadable ones; the next page continues after it.
};

/// Consecutive records of a table.
struct KeyedRun {
    std::vector<KeyedRecord> records;
    StoreOffset next; ///< Offset from which to continue reading.
    bool dropped = false; ///< The store has dropped the records from the read's offset up to \a next; records is empty.
    /// Delay before the next read; absent: KeyedFollowerOptions::pause.
    std::optional<Duration> nextReadDelay = std::nullopt;
};

/// The result of a read. Errors: ResourceExhausted above the store's rate limit,
/// Unavailable, DeadlineExceeded.
using KeyedReadResult = absl::StatusOr<KeyedRun>;

/// The result of an append, as far as it is known.
enum class AppendResult {
    Appended,
    Conflict, ///< The table did not end at the expected offset; nothing was appended.
    Refused, ///< Nothing was appended.
    Lost, ///< There was no response: the record may have been appended or may be appended later.
};

/// The name of \a result in log messages, such as "appended".
[[nodiscard]] std::string_view appendResultName(AppendResult result);

/// Access to the store. Control thread only.
class KeyedStore
{
public:
    virtual ~KeyedStore() = default;

    /// The newest records of \a table with keys above \a afterKey.
    virtual http::Awaitable<absl::StatusOr<KeyedPage>> newest(StoreTable table, std::string afterKey) = 0;
    /// The records of \a table from \a from on. Waits up to \a wait until there is one.
    virtual http::Awaitable<KeyedReadResult> read(StoreTable table, StoreOffset from, Duration wait) = 0;
    /// Appends a record if \a expectedEnd is absent or equal to the end of \a table.
    virtual http::Awaitable<AppendResult> append(StoreTable table, std::string key, std::optional<std::string> value,
                                                 std::optional<StoreOffset> expectedEnd) = 0;
};

} // namespace mimosahub
