#pragma once

#include "daemon/operator_views.h"

#include <string>
#include <string_view>

/// The parts that several of the operators' views show, as JSON or in words.
namespace mimosahub
{

/// Unix milliseconds.
[[nodiscard]] std::int64_t toMillis(WallTime time);
/// What every order shows.
[[nodiscard]] boost::json::object orderFields(RecordPosition position, std::string_view operatorName,
                                              std::string_view order);
/// An order to a single endpoint, with its result.
[[nodiscard]] boost::json::object endpointOrderFields(RecordPosition position, const EndpointOrderState &order);
/// An endpoint as this daemon judges it.
[[nodiscard]] boost::json::object endpointFields(const EndpointSummary &endpoint);

/// The summary of the rollout that was ordered at \a position; null if there is none.
[[nodiscard]] const RolloutSummary *summaryOf(const std::vector<RolloutSummary> &rollouts, RecordPosition position);
/// Says that an active rollout is late, or will be, and why; else empty.
[[nodiscard]] std::string lateness(const Rollout &rollout, const RolloutSummary *summary, WallTime wallNow);
/// What an active rollout's entry says beside its state.
[[nodiscard]] std::string activeDetail(const Rollout &rollout, const RolloutSummary *summary, WallTime wallNow);
/// Adds how far a rollout is, in the words and numbers of its gate.
void addProgress(boost::json::object &fields, const RolloutSummary &summary);

/// Part of \a service's pool that \a workspace may use by its profile.
[[nodiscard]] double shareOf(const Configuration &configuration, const Service &service, const WorkspaceId &workspace);
/// Concurrent calls that the listed endpoints of \a service bear, over all daemons.
[[nodiscard]] int capacityOf(const OperatorSources &sources, const ServiceId &service);
/// The calls of \a workspace in \a service at this daemon.
[[nodiscard]] WorkspaceLoad loadOf(const OperatorSources &sources, const ServiceId &service,
                                   const WorkspaceId &workspace);

} // namespace mimosahub
