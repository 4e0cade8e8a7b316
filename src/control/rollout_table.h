#pragma once

#include "control/decision.h"
#include "control/json_archive.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace mimosahub
{

/// What has become of a rollout.
enum class RolloutStatus {
    Active,
    Done, ///< The new version carries all traffic.
    Aborted, ///< An operator ended it; the old version carries all traffic.
    TakenBack, ///< The new version was at fault; the old one carries all traffic.
};

/// The latest rollout of one service.
struct Rollout {
    RecordPosition position; ///< Its RolloutStart; names the rollout.
    VersionId fromVersion;
    VersionId toVersion;
    WallTime begin{};
    WallTime due{};
    std::string operatorName;
    RolloutStatus status = RolloutStatus::Active;
    std::optional<RecordPosition> ended; ///< The record that ended it.
    std::optional<RollbackReason> reason; ///< Set when taken back.
    std::string evidence; ///< Set when taken back.

    friend bool operator==(const Rollout &, const Rollout &) = default;
};

/// What is known of one service's rollouts.
struct ServiceRollouts {
    Rollout latest;
    std::map<VersionId, RecordPosition> takenBack; ///< Versions taken back, and when.

    friend bool operator==(const ServiceRollouts &, const ServiceRollouts &) = default;
};

/// Rollouts by service, at most one active in each. A version taken back stays
/// so: it can be rolled out again only by an order that says so, which then
/// lifts the mark. A version may also be found at fault after its rollout was
/// done; that takes back the service's latest rollout.
class RolloutTable
{
public:
    /// Versions taken back that are remembered for one service; the oldest is forgotten first.
    static constexpr std::size_t kMaxTakenBack = 64;

    /// \a serviceKnown: the configuration has the service.
    Decision apply(const RolloutStart &start, const RecordContext &context, bool serviceKnown);
    Decision apply(const RolloutAbort &abort, const RecordContext &context);
    Decision apply(const RolloutRollback &takeBack, const RecordContext &context);
    Decision apply(const RolloutDone &done, const RecordContext &context);

    [[nodiscard]] const std::map<ServiceId, ServiceRollouts> &services() const
    {
        return m_services;
    }
    /// The latest rollout of \a service, if it had any.
    [[nodiscard]] std::optional<Rollout> latest(const ServiceId &service) const;
    /// True if \a version was taken back in \a service.
    [[nodiscard]] bool isTakenBack(const ServiceId &service, const VersionId &version) const;

    template<class Archive>
    friend void describe(Archive &archive, RolloutTable &it)
    {
        archive.field("services", it.m_services);
    }
    friend bool operator==(const RolloutTable &, const RolloutTable &) = default;

private:
    /// The latest rollout of \a service if it is \a position's to \a version; else null.
    Rollout *find(const ServiceId &service, const VersionId &version, RecordPosition position);

    std::map<ServiceId, ServiceRollouts> m_services;
};

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
    archive.field("takenBack", it.takenBack);
}

} // namespace mimosahub
