#pragma once

#include "http/awaitable.h"
#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <ostream>
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

/// Increases each time that the store comes back from a copy of itself; 0 for a store that states none.
using StoreEra = Ordinal<struct StoreEraTag>;

/// Position of a record in a table's log: the store's era, and the offset from 0. In a new era offsets are assigned
/// again from the end of the copy on, so that a position of a later era is after all of an earlier one.
class StoreOffset
{
public:
    constexpr StoreOffset() = default;
    constexpr explicit StoreOffset(std::uint64_t value, StoreEra era = {}) : m_era(era), m_value(value)
    {
    }

    [[nodiscard]] constexpr std::uint64_t value() const
    {
        return m_value;
    }
    [[nodiscard]] constexpr StoreEra era() const
    {
        return m_era;
    }
    [[nodiscard]] constexpr StoreOffset next() const
    {
        return StoreOffset(m_value + 1, m_era);
    }

    friend constexpr bool operator==(const StoreOffset &, const StoreOffset &) = default;
    friend constexpr std::strong_ordering operator<=>(const StoreOffset &a, const StoreOffset &b)
    {
        return a.m_era == b.m_era ? a.m_value <=> b.m_value : a.m_era <=> b.m_era;
    }
    friend std::ostream &operator<<(std::ostream &out, const StoreOffset &offset)
    {
        return out << offset.m_era << ':' << offset.m_value;
    }

private:
    StoreEra m_era;
    std::uint64_t m_value = 0;
};

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
    /// The store has dropped the records from the read's offset up to \a next, or came back from a copy, which
    /// \a next shows by its era; records is empty.
    bool dropped = false;
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
    /// There was no response: the record may have been appended or may be appended later. Also if the condition
    /// was checked against the log of another era.
    Lost,
};

/// The name of \a result in log messages, such as "appended".
[[nodiscard]] std::string_view appendResultName(AppendResult result);

/// Access to the store. Control thread only. Responses of an earlier era than one known are errors.
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
