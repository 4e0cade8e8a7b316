// Only parts of snapshots newer than the newest complete one are tracked. When a
// snapshot becomes complete, older partial ones are useless and are dropped.

#include "control/snapshot_table.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace mimosahub
{

Decision SnapshotTable::apply(const SnapshotPart &part, const RecordContext &context)
{
    const SnapshotId id{part.through, part.digest, part.parts};
    if (part.parts == 0 || part.parts > kMaxParts || part.part >= part.parts
        || part.through >= context.position.offset) {
        return reject(
            Rejection::BadSnapshot,
            absl::StrCat("part ", part.part, " of ", part.parts, " through ", part.through.value(), " is impossible."));
    }
    if (m_newest && id.through <= m_newest->id.through) {
        return accept();
    }
    auto &partial = m_partial.try_emplace(id, PartialSnapshot{context.position.offset, {}}).first->second;
    const auto it = std::lower_bound(partial.seen.begin(), partial.seen.end(), part.part);
    if (it == partial.seen.end() || *it != part.part) {
        partial.seen.insert(it, part.part);
    }
    if (partial.seen.size() == part.parts) {
        m_newest = CompleteSnapshot{id, partial.firstPart};
        std::erase_if(m_partial, [&](const auto &entry) { return entry.first.through <= id.through; });
    } else if (m_partial.size() > kMaxPartial) {
        m_partial.erase(m_partial.begin());
    }
    return accept();
}

} // namespace mimosahub
