// Each record about a rollout names it by the position of its start, so that a
// daemon which is late with its finding can't end a later rollout.

#include "control/rollout_table.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace mimosahub
{

namespace
{

Decision noRollout(const ServiceId &service)
{
    return reject(Rejection::NoRollout, absl::StrCat("service ", service.str(), " has no such rollout to end."));
}

void forgetOldest(std::map<VersionId, RecordPosition> &takenBack)
{
    const auto oldest = std::min_element(takenBack.begin(), takenBack.end(),
                                         [](const auto &a, const auto &b) { return a.second < b.second; });
    takenBack.erase(oldest);
}

} // namespace

Decision RolloutTable::apply(const RolloutStart &start, const RecordContext &context, bool serviceKnown)
{
    if (!serviceKnown) {
        return reject(Rejection::UnknownService, absl::StrCat("there is no service ", start.service.str(), "."));
    }
    if (start.due <= start.begin) {
        return reject(Rejection::BadSchedule, "the rollout would be due before it begins.");
    }
    if (start.fromVersion == start.toVersion || start.toVersion.empty()) {
        return reject(Rejection::BadSchedule, "the rollout must lead to another version.");
    }
    const auto it = m_services.find(start.service);
    if (it != m_services.end() && it->second.latest.status == RolloutStatus::Active) {
        const auto &active = it->second.latest;
        return reject(Rejection::RolloutActive,
                      absl::StrCat("the rollout to ", active.toVersion.str(), " by ", active.operatorName, " at ",
                                   active.position.str(), " is active."));
    }
    if (isTakenBack(start.service, start.toVersion) && !start.afterRollback) {
        return reject(Rejection::VersionRolledBack,
                      absl::StrCat("version ", start.toVersion.str(), " was taken back at ",
                                   it->second.takenBack.at(start.toVersion).str(), "."));
    }
    auto &service = m_services[start.service];
    service.takenBack.erase(start.toVersion);
    service.latest = Rollout{.position = context.position,
                             .fromVersion = start.fromVersion,
                             .toVersion = start.toVersion,
                             .begin = start.begin,
                             .due = start.due,
                             .operatorName = start.operatorName,
                             .status = RolloutStatus::Active,
                             .ended = std::nullopt,
                             .reason = std::nullopt,
                             .evidence = ""};
    return accept();
}

Decision RolloutTable::apply(const RolloutAbort &abort, const RecordContext &context)
{
    const auto it = m_services.find(abort.service);
    if (it == m_services.end() || it->second.latest.status != RolloutStatus::Active) {
        return noRollout(abort.service);
    }
    it->second.latest.status = RolloutStatus::Aborted;
    it->second.latest.ended = context.position;
    return accept();
}

Decision RolloutTable::apply(const RolloutRollback &takeBack, const RecordContext &context)
{
    auto *rollout = find(takeBack.service, takeBack.version, takeBack.rollout);
    if (!rollout || (rollout->status != RolloutStatus::Active && rollout->status != RolloutStatus::Done)) {
        return noRollout(takeBack.service);
    }
    rollout->status = RolloutStatus::TakenBack;
    rollout->ended = context.position;
    rollout->reason = takeBack.reason;
    rollout->evidence = takeBack.evidence;
    auto &takenBack = m_services.at(takeBack.service).takenBack;
    takenBack[takeBack.version] = context.position;
    if (takenBack.size() > kMaxTakenBack) {
        forgetOldest(takenBack);
    }
    return accept();
}

Decision RolloutTable::apply(const RolloutDone &done, const RecordContext &context)
{
    auto *rollout = find(done.service, done.version, done.rollout);
    if (!rollout || rollout->status != RolloutStatus::Active) {
        return noRollout(done.service);
    }
    rollout->status = RolloutStatus::Done;
    rollout->ended = context.position;
    return accept();
}

std::optional<Rollout> RolloutTable::latest(const ServiceId &service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? std::nullopt : std::optional(it->second.latest);
}

bool RolloutTable::isTakenBack(const ServiceId &service, const VersionId &version) const
{
    const auto it = m_services.find(service);
    return it != m_services.end() && it->second.takenBack.contains(version);
}

Rollout *RolloutTable::find(const ServiceId &service, const VersionId &version, RecordPosition position)
{
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return nullptr;
    }
    auto &latest = it->second.latest;
    return latest.position == position && latest.toVersion == version ? &latest : nullptr;
}

} // namespace mimosahub
