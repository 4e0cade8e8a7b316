#pragma once

#include "control/decision.h"
#include "control/json_archive.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace mimosahub
{

/// The status of a rollout.
enum class RolloutStatus {
    Active,
    Done, ///< The new version receives all traffic.
    Aborted, ///< An operator ended it; the old version receives all traffic.
    RolledBack, ///< The new version was faulty; the old one receives all traffic.
};

/// The latest rollout of one service.
struct Rollout {
    RecordPosition position; ///< Position of its RolloutStart; identifies the rollout.
    VersionId fromVersion;
    VersionId toVersion;
    WallTime begin{};
    WallTime due{}; ///< When the new version is to have all traffic.
    std::string operatorName;
    RolloutStatus status = RolloutStatus::Active;
    std::optional<RecordPosition> ended; ///< The record that ended it.
    std::optional<RollbackReason> reason; ///< Set when rolled back.
    std::string evidence; ///< Set when rolled back.

    friend bool operator==(const Rollout &, const Rollout &) = default;
};

/// The rollouts of one service.
struct ServiceRollouts {
    Rollout latest;
    std::map<VersionId, RecordPosition> rolledBack; ///< Versions rolled back, with the position of the rollback.

    friend bool operator==(const ServiceRollouts &, const ServiceRollouts &) = default;
};

/// Rollouts by service, at most one active for each. A version that was rolled
/// back stays marked: only an order that says so explicitly can roll it out
/// again, which clears the mark. A version may also be found faulty after its
/// rollout was done; this rolls back the service's latest rollout.
class RolloutTable
{
public:
    /// Number of rolled back versions kept for one service; the oldest is evicted first.
    static constexpr std::size_t kMaxRolledBack = 64;

    /// \a serviceKnown: whether the configuration contains the service.
    Decision apply(const RolloutStart &start, const RecordContext &context, bool serviceKnown);
    Decision apply(const RolloutAbort &abort, const RecordContext &context);
    Decision apply(const RolloutRollback &rollback, const RecordContext &context);
    Decision apply(const RolloutDone &done, const RecordContext &context);

    [[nodiscard]] const std::map<ServiceId, ServiceRollouts> &services() const
    {
        return m_services;
    }
    /// The latest rollout of \a service, if it had any.
    [[nodiscard]] std::optional<Rollout> latest(const ServiceId &service) const;
    /// True if \a version was rolled back in \a service.
    [[nodiscard]] bool isRolledBack(const ServiceId &service, const VersionId &version) const;

    template<class Archive>
    friend void describe(Archive &archive, RolloutTable &it)
    {
        archive.field("services", it.m_services);
    }
    friend bool operator==(const RolloutTable &, const RolloutTable &) = default;

private:
    /// The latest rollout of \a service if it started at \a position and leads to \a version; else null.
    Rollout *find(const ServiceId &service, const VersionId &version, RecordPosition position);

    std::map<ServiceId, ServiceRollouts> m_services;
};

// The names "taken-back" and, below, "takenBack" are part of the stored format: snapshots
// in the log hold them, so they don't change with the identifiers.
template<>
struct EnumNames<RolloutStatus> {
    static constexpr std::array<std::string_view, 4> names = {"active", "done", "aborted", "taken-back"};
};

template<class Archive>
void describe(Archive &archive, Rollout &it)
{
    archive.field("position", it.position);
    archive.field("from", it.fromVersion);
    archive.field("to", it.toVersion);
    archive.field("begin", it.begin);
    archive.field("due", it.due);
    archive.field("operator", it.operatorName);
    archive.field("status", it.status);
    archive.field("ended", it.ended);
    archive.field("reason", it.reason);
    archive.field("evidence", it.evidence, kMaxTextBytes);
}

template<class Archive>
void describe(Archive &archive, ServiceRollouts &it)
{
    archive.field("latest", it.latest);
    archive.field("takenBack", it.rolledBack);
}

} // namespace mimosahub
