#pragma once

#include "control/decision.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace mimosahub
{

/// Identifies the snapshot that a part belongs to. Two writers' parts of the
/// same state have the same id.
struct SnapshotId {
    Offset through; ///< The last offset applied in the state.
    std::uint64_t digest = 0;
    std::uint32_t parts = 1; ///< Number of parts.

    friend bool operator==(const SnapshotId &, const SnapshotId &) = default;
    friend std::strong_ordering operator<=>(const SnapshotId &a, const SnapshotId &b)
    {
        return std::tie(a.through, a.digest, a.parts) <=> std::tie(b.through, b.digest, b.parts);
    }
};

/// A snapshot whose parts are all in the log.
struct CompleteSnapshot {
    SnapshotId id;
    Offset firstPart; ///< Offset of the earliest part counted towards it.

    friend bool operator==(const CompleteSnapshot &, const CompleteSnapshot &) = default;
};

/// A snapshot with missing parts.
struct PartialSnapshot {
    Offset firstPart;
    std::vector<std::uint32_t> seen; ///< Parts in the log, sorted.

    friend bool operator==(const PartialSnapshot &, const PartialSnapshot &) = default;
};

/// Tracks the newest complete snapshot, so that daemons agree on when the next
/// one is due. The parts themselves are not stored.
class SnapshotTable
{
public:
    /// Number of partial snapshots tracked; the one of the oldest state is evicted first.
    static constexpr std::size_t kMaxPartial = 8;
    static constexpr std::uint32_t kMaxParts = 1024;

    Decision apply(const SnapshotPart &part, const RecordContext &context);

    [[nodiscard]] const std::optional<CompleteSnapshot> &newest() const
    {
        return m_newest;
    }

    template<class Archive>
    friend void describe(Archive &archive, SnapshotTable &it)
    {
        archive.field("newest", it.m_newest);
        archive.field("partial", it.m_partial);
    }
    friend bool operator==(const SnapshotTable &, const SnapshotTable &) = default;

private:
    std::optional<CompleteSnapshot> m_newest;
    std::map<SnapshotId, PartialSnapshot> m_partial;
};

template<class Archive>
void describe(Archive &archive, SnapshotId &it)
{
    archive.field("through", it.through);
    archive.field("digest", it.digest);
    archive.field("parts", it.parts);
}

template<class Archive>
void describe(Archive &archive, CompleteSnapshot &it)
{
    archive.field("id", it.id);
    archive.field("first", it.firstPart);
}

template<class Archive>
void describe(Archive &archive, PartialSnapshot &it)
{
    archive.field("first", it.firstPart);
    archive.field("seen", it.seen);
}

} // namespace mimosahub
