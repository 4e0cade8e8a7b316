#pragma once

#include "mimosahub/body_digest.h"
#include "mimosahub/clock.h"
#include "mimosahub/endpoint.h"
#include "mimosahub/ids.h"
#include "mimosahub/object_key.h"
#include "mimosahub/outcome.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

/// What daemons write to the platform's log. One append carries one batch of
/// records; control state is the fold of all batches by offset.
namespace mimosahub
{

/// Where one record stands: the offset of its append and its index there.
struct RecordPosition {
    Offset offset;
    std::uint32_t index = 0;

    /// "OFFSET.INDEX".
    [[nodiscard]] std::string str() const;
    friend bool operator==(const RecordPosition &, const RecordPosition &) = default;
    friend std::strong_ordering operator<=>(const RecordPosition &a, const RecordPosition &b)
    {
        return std::tie(a.offset, a.index) <=> std::tie(b.offset, b.index);
    }
};

/// One change of a published object.
struct ObjectChange {
    ObjectKey object;
    Offset base; ///< The object's last accepted change; 0 = it must not exist.
    std::optional<std::string> spec; ///< The new content as JSON text; absent = remove the object.

    friend bool operator==(const ObjectChange &, const ObjectChange &) = default;
};

/// Changes of the configuration that are accepted together or not at all.
struct Publish {
    std::string operatorName;
    std::vector<ObjectChange> changes;

    friend bool operator==(const Publish &, const Publish &) = default;
};

/// Takes an availability zone out, or brings it back.
struct ZoneOrder {
    ZoneId zone;
    bool out = false;
    std::string operatorName;

    friend bool operator==(const ZoneOrder &, const ZoneOrder &) = default;
};

/// Starts or ends the draining of one endpoint.
struct DrainOrder {
    EndpointId endpoint;
    ServiceId service; ///< The endpoint's service by the instance list of the daemon that took the order.
    bool on = false;
    std::string operatorName;

    friend bool operator==(const DrainOrder &, const DrainOrder &) = default;
};

/// Moves a service's traffic to another version over a schedule.
struct RolloutStart {
    ServiceId service;
    VersionId fromVersion;
    VersionId toVersion;
    WallTime begin{};
    WallTime due{};
    bool afterRollback = false; ///< Roll out though this version was taken back before.
    std::string operatorName;

    friend bool operator==(const RolloutStart &, const RolloutStart &) = default;
};

/// Ends a service's active rollout and keeps the old version.
struct RolloutAbort {
    ServiceId service;
    std::string operatorName;

    friend bool operator==(const RolloutAbort &, const RolloutAbort &) = default;
};

/// Why a version was taken back.
enum class RollbackReason {
    Failures, ///< It fails more often than the old version.
    Slowness, ///< It is slower than the old version.
};

/// Records that a daemon found a version at fault.
struct RolloutRollback {
    ServiceId service;
    VersionId version;
    RecordPosition rollout; ///< The RolloutStart.
    RollbackReason reason = RollbackReason::Failures;
    std::string evidence; ///< The counts that led to it, for people.

    friend bool operator==(const RolloutRollback &, const RolloutRollback &) = default;
};

/// Records that a version carries all traffic of its service.
struct RolloutDone {
    ServiceId service;
    VersionId version;
    RecordPosition rollout; ///< The RolloutStart.

    friend bool operator==(const RolloutDone &, const RolloutDone &) = default;
};

/// What an endpoint can be told to do.
enum class EndpointAction {
    LoadModel,
    LoadAdapter,
    ChangeRole,
};

/// Tells one endpoint to load a model or adapter, or to change its role.
struct EndpointOrder {
    EndpointId endpoint;
    ServiceId service; ///< The endpoint's service by the instance list of the daemon that took the order.
    EndpointAction action = EndpointAction::LoadModel;
    std::string argument;
    std::string operatorName;

    friend bool operator==(const EndpointOrder &, const EndpointOrder &) = default;
};

/// Records how an EndpointOrder ended, as read back from the endpoint.
struct EndpointOrderDone {
    RecordPosition order;
    bool succeeded = false;
    std::string result;

    friend bool operator==(const EndpointOrderDone &, const EndpointOrderDone &) = default;
};

/// Takes a lease whose term the writer has seen run out, or that is free.
struct LeaseAcquire {
    LeaseName name;
    FencingNumber previous; ///< The last holder's number; 0 = the lease is free.
    Offset lastRenewal; ///< The last grant or renewal that the writer has folded; 0 = the lease is free.
    std::chrono::milliseconds duration{}; ///< Term, on the holder's monotonic clock.

    friend bool operator==(const LeaseAcquire &, const LeaseAcquire &) = default;
};

/// Starts the holder's term anew.
struct LeaseRenew {
    LeaseName name;
    FencingNumber fencing;

    friend bool operator==(const LeaseRenew &, const LeaseRenew &) = default;
};

/// Gives a lease up before its term ends.
struct LeaseRelease {
    LeaseName name;
    FencingNumber fencing;

    friend bool operator==(const LeaseRelease &, const LeaseRelease &) = default;
};

/// Reserves an idempotency key before the one and only send of its call.
struct Claim {
    WorkspaceId workspace;
    IdempotencyKey key;
    RecordedDigest bodyDigest; ///< Of the call and its body, to tell a repeat from a reuse.
    WallTime expiry{}; ///< From here on repeats of the key are refused.

    friend bool operator==(const Claim &, const Claim &) = default;
};

/// How a claimed call ended.
struct ClaimAnswer {
    Outcome outcome = Outcome::Unknown;
    int httpStatus = 0;
    std::optional<std::string> body; ///< The answer for repeats, UTF-8; absent when too large to keep.

    friend bool operator==(const ClaimAnswer &, const ClaimAnswer &) = default;
};

/// Ends a claim. Only the claim's own writer may.
struct ClaimOutcome {
    RecordPosition claim;
    std::optional<ClaimAnswer> answer; ///< Absent = released: no byte of the call left and none will.

    friend bool operator==(const ClaimOutcome &, const ClaimOutcome &) = default;
};

/// Adds the writer's incarnation to the members.
struct MemberJoin {
    ZoneId zone;
    Address peerAddress;

    friend bool operator==(const MemberJoin &, const MemberJoin &) = default;
};

/// Removes the writer's incarnation from the members.
struct MemberLeave {
    friend bool operator==(const MemberLeave &, const MemberLeave &) = default;
};

/// Removes another incarnation that has stopped answering.
struct MemberEvict {
    InstanceId instance;
    Incarnation incarnation;

    friend bool operator==(const MemberEvict &, const MemberEvict &) = default;
};

/// One part of a snapshot of the control state. The encoding of a state is
/// the same on every daemon, so parts of two writers complete each other.
struct SnapshotPart {
    Offset through; ///< The last offset that the state holds.
    std::uint32_t part = 0; ///< From 0.
    std::uint32_t parts = 1;
    std::uint64_t digest = 0; ///< Hash of the whole encoded state.
    std::string data;

    friend bool operator==(const SnapshotPart &, const SnapshotPart &) = default;
};

using Record = std::variant<Publish, ZoneOrder, DrainOrder, RolloutStart, RolloutAbort, RolloutRollback, RolloutDone,
                            EndpointOrder, EndpointOrderDone, LeaseAcquire, LeaseRenew, LeaseRelease, Claim,
                            ClaimOutcome, MemberJoin, MemberLeave, MemberEvict, SnapshotPart>;

/// Who wrote a batch, and when.
struct BatchHeader {
    InstanceId writer;
    Incarnation incarnation;
    Sequence sequence;
    WallTime stamp{}; ///< The writer's calendar time; serves only to forget claims long expired.

    friend bool operator==(const BatchHeader &, const BatchHeader &) = default;
};

/// The content of one append.
struct RecordBatch {
    BatchHeader header;
    std::vector<Record> records;

    friend bool operator==(const RecordBatch &, const RecordBatch &) = default;
};

/// A batch as read: each record stands or falls by itself.
struct DecodedBatch {
    BatchHeader header;
    std::vector<absl::StatusOr<Record>> records;
};

inline constexpr std::size_t kMaxBatchBytes = std::size_t(512) * 1024; ///< A longer append is damaged.
inline constexpr std::size_t kMaxBatchRecords = 1024; ///< An append with more records is damaged.
inline constexpr std::size_t kMaxNameBytes = 256; ///< Ids and names of operators.
inline constexpr std::size_t kMaxTextBytes = 1024; ///< Evidence, arguments and results.
inline constexpr std::size_t kMaxSpecBytes = std::size_t(64) * 1024; ///< The JSON text of one object.
inline constexpr std::size_t kMaxAnswerBytes = std::size_t(4) * 1024; ///< The answer kept with a claim.
inline constexpr std::size_t kMaxSnapshotPartBytes = std::size_t(96) * 1024; ///< The data of one snapshot part.
inline constexpr std::chrono::milliseconds kMaxLeaseDuration = std::chrono::hours(1);

/// The record's kind as it stands in the log, for example "zone-order".
[[nodiscard]] std::string_view kindOf(const Record &record);

/// One record as compact JSON.
[[nodiscard]] std::string encodeRecord(const Record &record);
/// The append that carries \a encodedRecords, each made by encodeRecord().
[[nodiscard]] std::string encodeBatch(const BatchHeader &header, const std::vector<std::string> &encodedRecords);
/// The append that carries \a batch.
[[nodiscard]] std::string encodeBatch(const RecordBatch &batch);

/// Reads one record. Errors: Unimplemented for an unknown kind, InvalidArgument
/// for missing, unknown or wrong fields, ResourceExhausted for too much text.
[[nodiscard]] absl::StatusOr<Record> decodeRecord(std::string_view data);
/// Reads one append. Errors: Unimplemented for an unknown format version,
/// InvalidArgument for damaged JSON or header, ResourceExhausted for an
/// oversized append. Never trusts its input.
[[nodiscard]] absl::StatusOr<DecodedBatch> decodeBatch(std::string_view data);

} // namespace mimosahub
