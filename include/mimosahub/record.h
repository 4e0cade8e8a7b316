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

/// The records that daemons write to the platform's log. One append carries one
/// batch of records; the control state results from applying all batches in the
/// order of their offsets.
namespace mimosahub
{

/// Position of one record: the offset of its append and its index within it.
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

/// A change of one published object.
struct ObjectChange {
    ObjectKey object;
    Offset base; ///< Offset of the object's last accepted change; 0 = it must not exist.
    std::optional<std::string> spec; ///< The new content as JSON text; absent = remove the object.

    friend bool operator==(const ObjectChange &, const ObjectChange &) = default;
};

/// Changes of the configuration that are accepted or rejected as a whole.
struct Publish {
    std::string operatorName;
    std::vector<ObjectChange> changes;

    friend bool operator==(const Publish &, const Publish &) = default;
};

/// Takes an availability zone out of service, or puts it back in service.
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
    WallTime begin{}; ///< When the new version gets its first share of the traffic.
    WallTime due{}; ///< When the new version is scheduled to carry all traffic.
    bool afterRollback = false; ///< Start although this version was rolled back before.
    std::string operatorName;

    friend bool operator==(const RolloutStart &, const RolloutStart &) = default;
};

/// Ends a service's active rollout and keeps the old version.
struct RolloutAbort {
    ServiceId service;
    std::string operatorName;

    friend bool operator==(const RolloutAbort &, const RolloutAbort &) = default;
};

/// Why a version was rolled back.
enum class RollbackReason {
    Failures, ///< It fails more often than the old version.
    Slowness, ///< It is slower than the old version.
};

/// Records that a daemon found a version faulty and rolled it back.
struct RolloutRollback {
    ServiceId service;
    VersionId version;
    RecordPosition rollout; ///< Position of the RolloutStart.
    RollbackReason reason = RollbackReason::Failures;
    std::string evidence; ///< The counts behind the decision, as readable text.

    friend bool operator==(const RolloutRollback &, const RolloutRollback &) = default;
};

/// Records that a version carries all traffic of its service.
struct RolloutDone {
    ServiceId service;
    VersionId version;
    RecordPosition rollout; ///< Position of the RolloutStart.

    friend bool operator==(const RolloutDone &, const RolloutDone &) = default;
};

/// Actions that an endpoint can be ordered to perform.
enum class EndpointAction {
    LoadModel,
    LoadAdapter,
    ChangeRole,
};

/// Orders one endpoint to load a model or adapter, or to change its role.
struct EndpointOrder {
    EndpointId endpoint;
    ServiceId service; ///< The endpoint's service by the instance list of the daemon that took the order.
    EndpointAction action = EndpointAction::LoadModel;
    std::string argument; ///< The model version, adapter or role, as passed on to the endpoint.
    std::string operatorName;

    friend bool operator==(const EndpointOrder &, const EndpointOrder &) = default;
};

/// Records the result of an EndpointOrder, as read back from the endpoint.
struct EndpointOrderDone {
    RecordPosition order;
    bool succeeded = false;
    std::string result; ///< Readable description of the result.

    friend bool operator==(const EndpointOrderDone &, const EndpointOrderDone &) = default;
};

/// Acquires a lease that is free or whose term has expired as observed by the writer.
struct LeaseAcquire {
    LeaseName name;
    FencingNumber previous; ///< The last holder's fencing number; 0 = the lease is free.
    Offset lastRenewal; ///< Offset of the last grant or renewal that the writer has applied; 0 = the lease is free.
    std::chrono::milliseconds duration{}; ///< Term in milliseconds, measured by the holder's monotonic clock.

    friend bool operator==(const LeaseAcquire &, const LeaseAcquire &) = default;
};

/// Renews the lease: the holder's term starts again.
struct LeaseRenew {
    LeaseName name;
    FencingNumber fencing;

    friend bool operator==(const LeaseRenew &, const LeaseRenew &) = default;
};

/// Releases a lease before its term ends.
struct LeaseRelease {
    LeaseName name;
    FencingNumber fencing;

    friend bool operator==(const LeaseRelease &, const LeaseRelease &) = default;
};

/// Reserves an idempotency key before its call is sent, so that the call is sent at most once.
struct Claim {
    WorkspaceId workspace;
    IdempotencyKey key;
    RecordedDigest bodyDigest; ///< Digest of the call and its body; distinguishes a repeat from a reuse of the key.
    WallTime expiry{}; ///< From this time on, repeats of the key are refused.

    friend bool operator==(const Claim &, const Claim &) = default;
};

/// The result of a claimed call.
struct ClaimAnswer {
    Outcome outcome = Outcome::Unknown;
    int httpStatus = 0;
    std::optional<std::string> body; ///< The answer that repeats get, in UTF-8; absent if too large to keep.

    friend bool operator==(const ClaimAnswer &, const ClaimAnswer &) = default;
};

/// Ends a claim; accepted only from the incarnation that wrote the claim.
struct ClaimOutcome {
    RecordPosition claim;
    /// Absent = released: the call did not run and won't, since no byte of it was sent or its endpoint refused it.
    std::optional<ClaimAnswer> answer;

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

/// Removes another incarnation that is unresponsive.
struct MemberEvict {
    InstanceId instance;
    Incarnation incarnation;

    friend bool operator==(const MemberEvict &, const MemberEvict &) = default;
};

/// One part of a snapshot of the control state. All daemons encode a given state
/// identically, so parts from different writers can be combined.
struct SnapshotPart {
    Offset through; ///< The last offset that the state includes.
    std::uint32_t part = 0; ///< Index of this part, from 0.
    std::uint32_t parts = 1; ///< Number of parts of the snapshot.
    std::uint64_t digest = 0; ///< Hash of the whole encoded state.
    std::string data;

    friend bool operator==(const SnapshotPart &, const SnapshotPart &) = default;
};

using Record = std::variant<Publish, ZoneOrder, DrainOrder, RolloutStart, RolloutAbort, RolloutRollback, RolloutDone,
                            EndpointOrder, EndpointOrderDone, LeaseAcquire, LeaseRenew, LeaseRelease, Claim,
                            ClaimOutcome, MemberJoin, MemberLeave, MemberEvict, SnapshotPart>;

/// Identifies the writer of a batch and the time of writing.
struct BatchHeader {
    InstanceId writer;
    Incarnation incarnation;
    Sequence sequence;
    WallTime stamp{}; ///< The writer's calendar time; used only to remove claims that expired long ago.

    friend bool operator==(const BatchHeader &, const BatchHeader &) = default;
};

/// The content of one append.
struct RecordBatch {
    BatchHeader header;
    std::vector<Record> records;

    friend bool operator==(const RecordBatch &, const RecordBatch &) = default;
};

/// A decoded batch. A record that fails to decode doesn't affect the others.
struct DecodedBatch {
    BatchHeader header;
    std::vector<absl::StatusOr<Record>> records;
};

inline constexpr std::size_t kMaxBatchBytes = std::size_t(512) * 1024; ///< In bytes; a longer append counts as damaged.
inline constexpr std::size_t kMaxBatchRecords = 1024; ///< An append with more records counts as damaged.
inline constexpr std::size_t kMaxNameBytes = 256; ///< Limit for ids and for names of operators.
inline constexpr std::size_t kMaxTextBytes = 1024; ///< Limit for evidence, arguments and results.
inline constexpr std::size_t kMaxSpecBytes = std::size_t(64) * 1024; ///< Limit for the JSON text of one object.
inline constexpr std::size_t kMaxAnswerBytes = std::size_t(4) * 1024; ///< Limit for the answer kept with a claim.
inline constexpr std::size_t kMaxSnapshotPartBytes = std::size_t(96) * 1024; ///< Limit for the data of one part.
inline constexpr std::chrono::milliseconds kMaxLeaseDuration = std::chrono::hours(1);

/// The record's kind as written to the log, for example "zone-order".
[[nodiscard]] std::string_view kindOf(const Record &record);

/// Encodes one record as compact JSON.
[[nodiscard]] std::string encodeRecord(const Record &record);
/// Encodes an append that carries \a encodedRecords, each made by encodeRecord().
[[nodiscard]] std::string encodeBatch(const BatchHeader &header, const std::vector<std::string> &encodedRecords);
/// Encodes an append that carries \a batch.
[[nodiscard]] std::string encodeBatch(const RecordBatch &batch);

/// Decodes one record. Errors: Unimplemented for an unknown kind, InvalidArgument
/// for missing, unknown or invalid fields, ResourceExhausted for text over a limit.
[[nodiscard]] absl::StatusOr<Record> decodeRecord(std::string_view data);
/// Decodes one append. Errors: Unimplemented for an unknown format version,
/// InvalidArgument for damaged JSON or header, ResourceExhausted for an
/// oversized append. The input may be untrusted.
[[nodiscard]] absl::StatusOr<DecodedBatch> decodeBatch(std::string_view data);

} // namespace mimosahub
