#pragma once

#include "follow/keyed_store.h"

namespace mimosahub
{

/// What one daemon tells others of a table that it follows.
struct TableMark {
    StoreTable table = StoreTable::OperatorDocuments;
    StoreOffset end; ///< Where the table ended,
    Duration age{}; ///< so long ago at most.

    friend bool operator==(const TableMark &, const TableMark &) = default;
};

} // namespace mimosahub
