#pragma once

#include "mimosahub/record.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace mimosahub
{

/// One applied append of a writer.
struct AppliedSequence {
    Sequence sequence;
    Offset offset;

    friend bool operator==(const AppliedSequence &, const AppliedSequence &) = default;
};

/// The last appends of a writer's latest incarnation.
struct WriterState {
    Incarnation incarnation;
    Offset lastOffset;
    std::vector<AppliedSequence> recent; ///< Sorted by sequence; at most kSequenceWindow.

    friend bool operator==(const WriterState &, const WriterState &) = default;
};

/// Distinguishes new appends from duplicates. A daemon has one append in flight,
/// so its new appends arrive in order, but a late copy of an earlier one may follow.
/// A window of the latest sequences shows whether an append is new or such a copy,
/// and would also tolerate bounded reordering. An append below the window is
/// rejected, since it may be a duplicate.
class WriterTable
{
public:
    static constexpr std::size_t kSequenceWindow = 32;
    /// Number of writers kept; the one whose last append is oldest is evicted first.
    static constexpr std::size_t kMaxWriters = 4096;

    enum class Admission {
        New,
        Duplicate,
        StaleIncarnation,
        StaleSequence,
    };

    /// Classifies the append of \a header and, if it is new, records \a offset.
    Admission admit(const BatchHeader &header, Offset offset);
    /// The offset at which the append of \a writer was applied; none once it has left the window.
    [[nodiscard]] std::optional<Offset> offsetOf(const InstanceId &writer, Incarnation incarnation,
                                                 Sequence sequence) const;

    template<class Archive>
    friend void describe(Archive &archive, WriterTable &it)
    {
        archive.field("writers", it.m_writers);
    }
    friend bool operator==(const WriterTable &, const WriterTable &) = default;

private:
    void evictOldest();

    std::map<InstanceId, WriterState> m_writers;
};

template<class Archive>
void describe(Archive &archive, AppliedSequence &it)
{
    archive.field("s", it.sequence);
    archive.field("at", it.offset);
}

template<class Archive>
void describe(Archive &archive, WriterState &it)
{
    archive.field("incarnation", it.incarnation);
    archive.field("last", it.lastOffset);
    archive.field("recent", it.recent);
}

} // namespace mimosahub
