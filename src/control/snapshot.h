#pragma once

#include "control/control_state.h"
#include "mimosahub/record.h"

#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahub
{

/// The snapshot of \a state through its last applied offset, as records of
/// bounded size. Equal states give equal parts, so it is harmless if two daemons
/// take the same snapshot.
[[nodiscard]] std::vector<SnapshotPart> makeSnapshot(const ControlState &state);

/// Collects snapshot parts while the log is scanned and finds the newest
/// snapshot that is complete and valid.
class SnapshotCollector
{
public:
    /// Adds the snapshot parts of one append; ignores all other records.
    void add(std::string_view append);
    /// The state of the newest complete snapshot; snapshots that can't be read
    /// are skipped. None if there is no such snapshot through \a least or later.
    [[nodiscard]] std::optional<ControlState> newest(Offset least) const;

private:
    using Parts = std::map<std::uint32_t, std::string>;

    std::map<SnapshotId, Parts> m_snapshots;
};

} // namespace mimosahub
