#pragma once

#include "follow/mark_board.h"

#include <optional>

namespace mimosahub
{

struct TableEvidenceOptions {
    Duration wait{}; ///< Longest wait of one read for a record,
    Duration relyingWait{}; ///< and while other daemons tell that nothing is missing; 0: never relies on them.
    Duration longestAge{}; ///< Older evidence is no reason to wait on.
    Duration grace = std::chrono::milliseconds(200); ///< For an answer on its way when another daemon knows more.
};

/// How sure a daemon is to know all of a table: from its own reads, and from other
/// daemons' marks. While these are fresh a read may wait long for a record; one
/// that was lost on its way is found by what others know.
class TableEvidence
{
public:
    explicit TableEvidence(const TableEvidenceOptions &options) : m_options(options)
    {
    }

    /// A read from \a sentAt on brought nothing new: the table ended at \a next.
    void readNothing(TimePoint sentAt);
    /// All before \a next is known here; takes what others said.
    void compare(StoreOffset next, const std::optional<MarkBoard::Heard> &heard, TimePoint now);

    /// How long the next read may wait.
    [[nodiscard]] Duration wait(TimePoint now) const;
    /// Whether a read that waits long is to be given up for a new one.
    [[nodiscard]] bool needsRead(TimePoint now) const;
    /// The table ended at the position known here at this time; absent if never known.
    [[nodiscard]] std::optional<TimePoint> provenAt() const
    {
        return m_provenAt;
    }

private:
    [[nodiscard]] bool isFresh(TimePoint now) const;

    TableEvidenceOptions m_options;
    std::optional<TimePoint> m_provenAt;
    std::optional<TimePoint> m_heardAt; ///< Another daemon told something that agrees.
    std::optional<TimePoint> m_behindSince; ///< Another daemon knows more since then.
};

} // namespace mimosahub
