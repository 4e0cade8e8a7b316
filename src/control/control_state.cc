// The fold: tells duplicates apart, then hands each record to the one table
// that decides on it. Verdicts depend on the log's content alone, never on a
// clock, a setting or the daemon, so daemons agree without talking. What can't
// be read is rejected with a reason and the fold goes on: an append that one
// daemon could stop at would stop all of them for good.

#include "control/control_state.h"

#include "control/json_archive.h"
#include "control/record_fields.h"

#include <absl/strings/str_cat.h>
#include <boost/json/serialize.hpp>

namespace mimosahub
{

namespace
{

Rejection rejectionOf(const absl::Status &status)
{
    switch (status.code()) {
    case absl::StatusCode::kUnimplemented:
        return Rejection::UnknownFormat;
    case absl::StatusCode::kResourceExhausted:
        return Rejection::TooLarge;
    default:
        return Rejection::Damaged;
    }
}

Verdict wholeAppendRejected(Offset offset, Rejection rejection, std::string message)
{
    return {{offset, 0}, rejection, std::move(message), {}};
}

} // namespace

template<class Archive>
void describe(Archive &archive, ControlState &it)
{
    archive.field("applied", it.m_appliedOffset);
    archive.field("writers", it.m_writers);
    archive.field("time", it.m_time);
    archive.field("objects", it.m_objects);
    archive.field("exclusions", it.m_exclusions);
    archive.field("rollouts", it.m_rollouts);
    archive.field("endpointOrders", it.m_endpointOrders);
    archive.field("leases", it.m_leases);
    archive.field("claims", it.m_claims);
    archive.field("membership", it.m_membership);
    archive.field("snapshots", it.m_snapshots);
}

absl::StatusOr<AppliedBatch> ControlState::apply(Offset offset, std::string_view data)
{
    AppliedBatch applied;
    applied.offset = offset;
    if (offset <= m_appliedOffset) {
        return applied;
    }
    if (offset != m_appliedOffset.next()) {
        return errorAt(absl::StatusCode::kOutOfRange, Step::Apply, "",
                       absl::StrCat("offset ", offset.value(), " does not follow ", m_appliedOffset.value()));
    }
    m_appliedOffset = offset;
    const auto batch = decodeBatch(data);
    if (!batch.ok()) {
        applied.verdicts.push_back(
            wholeAppendRejected(offset, rejectionOf(batch.status()), std::string(batch.status().message())));
        return applied;
    }
    applied.header = batch->header;
    switch (m_writers.admit(batch->header, offset)) {
    case WriterTable::Freshness::New:
        m_time.observe(batch->header);
        m_claims.forgetExpired(m_time.passed());
        applyRecords(*batch, applied);
        break;
    case WriterTable::Freshness::Duplicate:
        applied.firstOffset =
            m_writers.offsetOf(batch->header.writer, batch->header.incarnation, batch->header.sequence);
        break;
    case WriterTable::Freshness::StaleIncarnation:
        applied.verdicts.push_back(wholeAppendRejected(offset, Rejection::StaleIncarnation,
                                                       "a later incarnation of the writer has written already."));
        break;
    case WriterTable::Freshness::StaleSequence:
        applied.verdicts.push_back(
            wholeAppendRejected(offset, Rejection::StaleSequence, "the sequence is below the writer's window."));
        break;
    }
    return applied;
}

void ControlState::applyRecords(const DecodedBatch &batch, AppliedBatch &applied)
{
    for (std::size_t i = 0; i < batch.records.size(); ++i) {
        const auto &record = batch.records[i];
        const RecordContext context{batch.header, {applied.offset, static_cast<std::uint32_t>(i)}};
        auto decision = record.ok() ? applyRecord(*record, context)
                                    : reject(rejectionOf(record.status()), std::string(record.status().message()));
        applied.verdicts.push_back(
            {context.position, decision.rejection, std::move(decision.message), std::move(decision.problems)});
    }
}

Decision ControlState::applyRecord(const Record &record, const RecordContext &context)
{
    struct Visitor {
        ControlState &state;
        const RecordContext &context;

        [[nodiscard]] bool known(const ServiceId &service) const
        {
            return state.configuration()->services.contains(service);
        }
        Decision operator()(const Publish &it) const
        {
            return state.m_objects.apply(it, context);
        }
        Decision operator()(const ZoneOrder &it) const
        {
            return state.m_exclusions.apply(it, context, state.configuration()->zones.contains(it.zone));
        }
        Decision operator()(const DrainOrder &it) const
        {
            return state.m_exclusions.apply(it, context, known(it.service));
        }
        Decision operator()(const RolloutStart &it) const
        {
            return state.m_rollouts.apply(it, context, known(it.service));
        }
        Decision operator()(const RolloutAbort &it) const
        {
            return state.m_rollouts.apply(it, context);
        }
        Decision operator()(const RolloutRollback &it) const
        {
            return state.m_rollouts.apply(it, context);
        }
        Decision operator()(const RolloutDone &it) const
        {
            return state.m_rollouts.apply(it, context);
        }
        Decision operator()(const EndpointOrder &it) const
        {
            return state.m_endpointOrders.apply(it, context, known(it.service));
        }
        Decision operator()(const EndpointOrderDone &it) const
        {
            return state.m_endpointOrders.apply(it, context);
        }
        Decision operator()(const LeaseAcquire &it) const
        {
            return state.m_leases.apply(it, context);
        }
        Decision operator()(const LeaseRenew &it) const
        {
            return state.m_leases.apply(it, context);
        }
        Decision operator()(const LeaseRelease &it) const
        {
            return state.m_leases.apply(it, context);
        }
        Decision operator()(const Claim &it) const
        {
            return state.m_claims.apply(it, context, state.m_time.passed());
        }
        Decision operator()(const ClaimOutcome &it) const
        {
            return state.m_claims.apply(it, context);
        }
        Decision operator()(const MemberJoin &it) const
        {
            return state.m_membership.apply(it, context);
        }
        Decision operator()(const MemberLeave &it) const
        {
            return state.m_membership.apply(it, context);
        }
        Decision operator()(const MemberEvict &it) const
        {
            return state.m_membership.apply(it, context);
        }
        Decision operator()(const SnapshotPart &it) const
        {
            return state.m_snapshots.apply(it, context);
        }
    };
    return std::visit(Visitor{*this, context}, record);
}

std::string ControlState::encode() const
{
    return boost::json::serialize(JsonWriter::toJson(*this));
}

absl::StatusOr<ControlState> ControlState::decode(std::string_view text)
{
    const auto json = parseJson(text);
    if (!json.ok()) {
        return json.status();
    }
    ControlState state;
    JsonReader reader(*json);
    reader.fields(state);
    if (auto status = reader.finish(); !status.ok()) {
        return status;
    }
    if (auto status = state.m_objects.rebuild(); !status.ok()) {
        return status;
    }
    return state;
}

} // namespace mimosahub
