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

/// A store of tables, each a log of records of which the newest of each key is
/// kept for good. Linearizable; it may be slow, down, or forget older records.
namespace mimosahub
{

/// A table of the store.
enum class StoreTable {
    OperatorDocuments, ///< What operators write: configuration and orders.
    Endpoints, ///< One entry for each endpoint, written by itself.
    Status, ///< How far orders are; written by daemons.
    Daemons, ///< Where daemons reach one another; written by each for itself.
};

/// "operator-documents" and so on, for logs.
[[nodiscard]] std::string_view storeTableName(StoreTable table);

using StoreOffset = Ordinal<struct StoreOffsetTag>; ///< Position of a record in a table's log, from 0.

/// One record of a table.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value; ///< Absent: the key was dropped.
    StoreOffset offset;

    friend bool operator==(const KeyedRecord &, const KeyedRecord &) = default;
};

/// Part of the newest records of all keys.
struct KeyedPage {
    std::vector<KeyedRecord> records; ///< By key.
    bool more = false; ///< Further keys follow.
    StoreOffset end; ///< Where the next record will stand.
};

/// Records of a table in order.
struct KeyedRun {
    std::vector<KeyedRecord> records;
    StoreOffset next; ///< Where to read on.
    bool dropped = false; ///< Records from the read's position up to \a next are no longer kept; none is here.
    std::optional<Duration> nextReadDelay = std::nullopt; ///< How soon to read on, if not as usual.
};

/// Answer of a read. Errors: ResourceExhausted above the store's rate, Unavailable,
/// DeadlineExceeded.
using KeyedReadResult = absl::StatusOr<KeyedRun>;

/// What is known after an append.
enum class AppendResult {
    Appended,
    Conflict, ///< The table did not end where the writer expected; nothing was appended.
    Refused, ///< Nothing was appended.
    Lost, ///< No answer came: it may be appended now or later.
};

/// Access to the store. Control thread only.
class KeyedStore
{
public:
    virtual ~KeyedStore() = default;

    /// The newest records of \a table with keys above \a afterKey.
    virtual http::Awaitable<absl::StatusOr<KeyedPage>> newest(StoreTable table, std::string afterKey) = 0;
    /// The records of \a table from \a from on. Waits up to \a wait for one.
    virtual http::Awaitable<KeyedReadResult> read(StoreTable table, StoreOffset from, Duration wait) = 0;
    /// Appends a record, if \a expectedEnd is absent or \a table ends there.
    virtual http::Awaitable<AppendResult> append(StoreTable table, std::string key, std::optional<std::string> value,
                                                 std::optional<StoreOffset> expectedEnd) = 0;
};

} // namespace mimosahub
