#pragma once

#include "follow/table_mark.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace mimosahub
{

/// Marks of tables on their way between the thread that follows them and the one
/// that talks to other daemons. Any thread.
class MarkBoard
{
public:
    /// The newest that other daemons said of a table.
    struct Heard {
        StoreOffset end;
        TimePoint provenAt; ///< The table ended there at this time or later.
        TimePoint heardAt;
    };

    /// This daemon has read all of \a table before \a end as of \a provenAt.
    void put(StoreTable table, StoreOffset end, TimePoint provenAt);
    /// Marks for another daemon.
    [[nodiscard]] std::vector<TableMark> take(TimePoint now) const;

    /// Another daemon sent \a marks.
    void hear(const std::vector<TableMark> &marks, TimePoint now);
    [[nodiscard]] std::optional<Heard> heard(StoreTable table) const;

private:
    struct Own {
        StoreOffset end;
        TimePoint provenAt;
    };

    mutable std::mutex m_mutex;
    std::map<StoreTable, Own> m_own;
    std::map<StoreTable, Heard> m_heard;
};

} // namespace mimosahub
