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

/// What is remembered of one writer: its latest incarnation's last appends.
struct WriterState {
    Incarnation incarnation;
    Offset lastOffset;
    std::vector<AppliedSequence> recent; ///< By sequence, at most kSequenceWindow.

    friend bool operator==(const WriterState &, const WriterState &) = default;
};

/// Tells new appends from duplicates. A daemon has one append in flight, so its
/// sequences arrive in order but for late copies; a window of the latest
/// sequences tells both apart and also admits a bounded reordering. An append
/// below the window is rejected, since it can't be told from a duplicate.
class WriterTable
{
public:
    static constexpr std::size_t kSequenceWindow = 32;
    /// Writers remembered; the one silent for longest is forgotten first.
    static constexpr std::size_t kMaxWriters = 4096;

    enum class Admission {
        New,
        Duplicate,
        StaleIncarnation,
        StaleSequence,
    };

    /// Judges the append of \a header and, if it is new, remembers \a offset.
    Admission admit(const BatchHeader &header, Offset offset);
    /// Where the append of \a writer was applied, while it is remembered.
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
