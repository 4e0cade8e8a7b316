#pragma once

#include "control/claim_table.h"
#include "control/endpoint_order_table.h"
#include "control/exclusion_table.h"
#include "control/lease_table.h"
#include "control/membership_table.h"
#include "control/object_table.h"
#include "control/rollout_table.h"
#include "control/snapshot_table.h"
#include "control/trusted_time.h"
#include "control/writer_table.h"
#include "mimosahub/verdict.h"

#include <absl/status/statusor.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mimosahub
{

/// The replicated state machine that all daemons agree on. It is a function of the
/// log alone, which the platform provides to all daemons; an append is one entry of
/// the log, a batch of records of one writer. Two states that have applied the same
/// offset are equal, whether they applied every append or started from a snapshot. A
/// value type; copies share the configuration.
class ControlState
{
public:
    /// Applies the append at \a offset. An append at or below appliedOffset() is
    /// ignored (the result has no verdicts). Error: OutOfRange if appends in
    /// between are missing; the state is unchanged then.
    absl::StatusOr<AppliedBatch> apply(Offset offset, std::string_view data);

    /// The last offset applied; 0 = none.
    [[nodiscard]] Offset appliedOffset() const
    {
        return m_appliedOffset;
    }
    /// The configuration in force; never null.
    [[nodiscard]] std::shared_ptr<const Configuration> configuration() const
    {
        return m_objects.configuration();
    }
    /// The published objects with their versions and texts.
    [[nodiscard]] const std::map<ObjectKey, PublishedObject> &objects() const
    {
        return m_objects.objects();
    }
    /// Offset of the last change of \a object, which the next change must name as its
    /// base; none if it doesn't exist.
    [[nodiscard]] std::optional<Offset> versionOf(const ObjectKey &object) const
    {
        return m_objects.versionOf(object);
    }
    [[nodiscard]] const std::map<ZoneId, Exclusion> &zonesOut() const
    {
        return m_exclusions.zonesOut();
    }
    [[nodiscard]] const std::map<EndpointId, Exclusion> &drainedEndpoints() const
    {
        return m_exclusions.drainedEndpoints();
    }
    [[nodiscard]] const RolloutTable &rollouts() const
    {
        return m_rollouts;
    }
    /// Pending and recently completed orders to endpoints.
    [[nodiscard]] const std::map<RecordPosition, EndpointOrderState> &endpointOrders() const
    {
        return m_endpointOrders.orders();
    }
    [[nodiscard]] const MembershipTable &membership() const
    {
        return m_membership;
    }
    [[nodiscard]] const std::map<InstanceId, Member> &members() const
    {
        return m_membership.members();
    }
    /// Offset of the last change of membership.
    [[nodiscard]] Offset membershipEpoch() const
    {
        return m_membership.epoch();
    }
    /// The holder of \a name; none if the lease is free.
    [[nodiscard]] std::optional<Lease> lease(const LeaseName &name) const
    {
        return m_leases.lease(name);
    }
    [[nodiscard]] const std::map<LeaseName, Lease> &leases() const
    {
        return m_leases.leases();
    }
    /// The claim of \a key: the daemon that runs its call, and the call's answer once it
    /// is recorded; none if the key isn't claimed.
    [[nodiscard]] std::optional<ClaimState> claim(const WorkspaceId &workspace, const IdempotencyKey &key) const
    {
        return m_claims.claim(workspace, key);
    }
    /// Number of claimed idempotency keys.
    [[nodiscard]] std::size_t claimCount() const
    {
        return m_claims.size();
    }
    /// The offset at which the append of \a writer was applied; none once it has left the
    /// window of the writer's latest appends (see WriterTable).
    [[nodiscard]] std::optional<Offset> appendOffset(const InstanceId &writer, Incarnation incarnation,
                                                     Sequence sequence) const
    {
        return m_writers.offsetOf(writer, incarnation, sequence);
    }
    /// The newest snapshot whose parts have all been applied.
    [[nodiscard]] const std::optional<CompleteSnapshot> &newestSnapshot() const
    {
        return m_snapshots.newest();
    }

    /// The whole state as JSON text, the same on every daemon.
    [[nodiscard]] std::string encode() const;
    /// Reads what encode() wrote. Errors: InvalidArgument for damaged text,
    /// FailedPrecondition if its configuration doesn't pass this program's checks.
    [[nodiscard]] static absl::StatusOr<ControlState> decode(std::string_view text);

    friend bool operator==(const ControlState &, const ControlState &) = default;

private:
    template<class Archive>
    friend void describe(Archive &archive, ControlState &it);

    void applyRecords(const DecodedBatch &batch, AppliedBatch &applied);
    Decision applyRecord(const Record &record, const RecordContext &context);

    Offset m_appliedOffset;
    WriterTable m_writers;
    TrustedTime m_time;
    ObjectTable m_objects;
    ExclusionTable m_exclusions;
    RolloutTable m_rollouts;
    EndpointOrderTable m_endpointOrders;
    LeaseTable m_leases;
    ClaimTable m_claims;
    MembershipTable m_membership;
    SnapshotTable m_snapshots;
};

} // namespace mimosahub
