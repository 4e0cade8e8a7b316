// Text fields are copied. Numbers out of range are clamped, so that a message from
// another release can't violate an invariant of the planner.

#include "peer/stage_codec.h"

#include "peer/wire_values.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr int kMaxPieces = 10'000; ///< Maximum pieces of one order; larger numbers are clamped.

} // namespace

void writeOrder(const ServiceId &service, const PieceOrder &order, TimePoint now, wire::PieceOrder::Builder out)
{
    out.setService(service.str());
    out.setRequest(order.request.str());
    out.setStage(static_cast<std::uint16_t>(order.stage));
    out.setPieces(static_cast<std::uint16_t>(order.pieces));
    out.setKey(order.key.str());
    auto inputs = out.initInputs(static_cast<unsigned>(order.inputs.size()));
    for (unsigned i = 0; i < order.inputs.size(); ++i) {
        inputs.set(i, order.inputs[i].str());
    }
    auto bytes = out.initLocalBytes(static_cast<unsigned>(order.localBytes.size()));
    unsigned at = 0;
    for (const auto &[zone, size] : order.localBytes) {
        bytes[at].setZone(zone.str());
        bytes[at++].setBytes(size);
    }
    out.setResultBytes(order.resultBytes);
    out.setDueUs(toMicroseconds(order.dueAt - now));
    out.setExpiresUs(toMicroseconds(order.expiresAt - now));
    out.setRank(static_cast<std::uint16_t>(std::clamp(order.rank, 0, 65535)));
}

PieceOrder readOrder(wire::PieceOrder::Reader in, TimePoint now)
{
    PieceOrder order;
    order.request = readId<RequestId>(in.getRequest());
    order.stage = in.getStage();
    order.pieces = std::clamp<int>(in.getPieces(), 1, kMaxPieces);
    order.key = readId<PieceKey>(in.getKey());
    for (const auto input : in.getInputs()) {
        order.inputs.push_back(readId<ResultHandle>(input));
    }
    for (const auto bytes : in.getLocalBytes()) {
        order.localBytes[readId<ZoneId>(bytes.getZone())] = bytes.getBytes();
    }
    order.resultBytes = in.getResultBytes();
    order.dueAt = now + fromMicroseconds(in.getDueUs());
    order.expiresAt = now + fromMicroseconds(in.getExpiresUs());
    order.rank = in.getRank();
    return order;
}

void writeResult(const PieceOrderResult &result, wire::PieceOrderResult::Builder out)
{
    out.setOutcome(static_cast<std::uint8_t>(result.outcome));
    auto handles = out.initHandles(static_cast<unsigned>(result.handles.size()));
    for (unsigned i = 0; i < result.handles.size(); ++i) {
        handles.set(i, result.handles[i].str());
    }
}

PieceOrderResult readResult(wire::PieceOrderResult::Reader in)
{
    PieceOrderResult result;
    const bool known = in.getOutcome() <= static_cast<std::uint8_t>(PieceOutcome::Moved);
    result.outcome = known ? static_cast<PieceOutcome>(in.getOutcome()) : PieceOutcome::Failed;
    for (const auto handle : in.getHandles()) {
        result.handles.push_back(readId<ResultHandle>(handle));
    }
    return result;
}

void writeLoad(const ServiceLoad &load, wire::BatchLoad::Builder out)
{
    out.setService(load.service.str());
    out.setQueued(static_cast<std::uint32_t>(std::max(0, load.load.queued)));
    out.setEndpoints(static_cast<std::uint16_t>(std::clamp(load.load.endpoints, 0, 65535)));
    out.setWaitUs(toMicroseconds(std::min<Duration>(load.load.wait, std::chrono::hours(1))));
    out.setCallUs(toMicroseconds(load.load.call));
    out.setRestUs(toMicroseconds(load.load.rest));
}

ServiceLoad readLoad(wire::BatchLoad::Reader in)
{
    ServiceLoad load;
    load.service = readId<ServiceId>(in.getService());
    load.load.queued = static_cast<int>(in.getQueued());
    load.load.endpoints = in.getEndpoints();
    load.load.wait = std::max(Duration::zero(), fromMicroseconds(in.getWaitUs()));
    load.load.call = std::max(Duration::zero(), fromMicroseconds(in.getCallUs()));
    load.load.rest = std::max(Duration::zero(), fromMicroseconds(in.getRestUs()));
    return load;
}

void writeRecord(const KeyedRecord &record, wire::TableRecord::Builder out)
{
    const auto bytes = [](const std::string &text) {
        return capnp::Data::Reader(reinterpret_cast<const kj::byte *>(text.data()), text.size());
    };
    out.setKey(bytes(record.key));
    out.setGone(!record.value);
    if (record.value) {
        out.setValue(bytes(*record.value));
    }
    out.setOffset(record.offset.value());
}

KeyedRecord readRecord(wire::TableRecord::Reader in, StoreEra era)
{
    const auto text = [](capnp::Data::Reader data) { return std::string(data.asChars().begin(), data.size()); };
    KeyedRecord record;
    record.key = text(in.getKey());
    if (!in.getGone()) {
        record.value = text(in.getValue());
    }
    record.offset = StoreOffset(in.getOffset(), era);
    return record;
}

void writeAnswer(const TableAnswer &answer, wire::StageProtocol::ReadTableResults::Builder out)
{
    out.setKnown(true);
    out.setAgeUs(toMicroseconds(answer.age));
    out.setNext(answer.run.next.value());
    out.setEra(answer.run.next.era().value());
    out.setDocuments(answer.documents.value());
    out.setDocumentsEra(answer.documents.era().value());
    auto records = out.initRecords(static_cast<unsigned>(answer.run.records.size()));
    for (unsigned i = 0; i < answer.run.records.size(); ++i) {
        writeRecord(answer.run.records[i], records[i]);
    }
}

std::optional<TableAnswer> readAnswer(wire::StageProtocol::ReadTableResults::Reader in)
{
    if (!in.getKnown()) {
        return std::nullopt;
    }
    TableAnswer answer;
    answer.age = std::max(Duration::zero(), fromMicroseconds(in.getAgeUs()));
    const StoreEra era(in.getEra());
    answer.run.next = StoreOffset(in.getNext(), era);
    answer.documents = StoreOffset(in.getDocuments(), StoreEra(in.getDocumentsEra()));
    for (const auto record : in.getRecords()) {
        answer.run.records.push_back(readRecord(record, era));
    }
    return answer;
}

namespace
{

constexpr std::uint64_t kMaxOutcomes = std::uint64_t(1) << 40U; ///< Larger counts are clamped.

void writeOutcomes(const VersionOutcomes &outcomes, wire::VersionOutcomes::Builder out)
{
    out.setFinished(static_cast<std::uint64_t>(outcomes.finished));
    out.setFailed(static_cast<std::uint64_t>(outcomes.failed));
    out.setSlow(static_cast<std::uint64_t>(outcomes.slow));
}

VersionOutcomes readOutcomes(wire::VersionOutcomes::Reader in)
{
    VersionOutcomes outcomes;
    const auto finished = std::min(in.getFinished(), kMaxOutcomes);
    outcomes.finished = static_cast<std::int64_t>(finished);
    outcomes.failed = static_cast<std::int64_t>(std::min(in.getFailed(), finished));
    outcomes.slow = static_cast<std::int64_t>(std::min(in.getSlow(), finished));
    return outcomes;
}

SplitPhase readPhase(std::uint8_t phase)
{
    return phase <= static_cast<std::uint8_t>(SplitPhase::RolledBack) ? static_cast<SplitPhase>(phase)
                                                                      : SplitPhase::Paused;
}

} // namespace

void writeSplitReport(const SplitReport &report, wire::SplitReport::Builder out)
{
    out.setService(report.rollout.service.str());
    out.setTarget(report.rollout.target.str());
    out.setRecord(report.rollout.record.value());
    out.setDaemon(report.run.daemon.str());
    out.setIncarnation(report.run.incarnation);
    out.setElapsedUs(toMicroseconds(report.elapsed));
    out.setPhase(static_cast<std::uint8_t>(report.phase));
    out.setFault(report.fault);
    out.setTargetSends(report.sends.target);
    out.setOldSends(report.sends.old);
    auto routes = out.initRoutes(static_cast<unsigned>(report.counts.size()));
    unsigned at = 0;
    for (const auto &[key, outcomes] : report.counts) {
        auto route = routes[at++];
        route.setCaller(key.caller);
        route.setZone(key.zone.str());
        writeOutcomes(outcomes.from, route.initFrom());
        writeOutcomes(outcomes.to, route.initTo());
    }
}

SplitReport readSplitReport(wire::SplitReport::Reader in)
{
    SplitReport report;
    report.rollout.service = readId<ServiceId>(in.getService());
    report.rollout.target = readId<VersionId>(in.getTarget());
    report.rollout.record = RolloutRecord(in.getRecord());
    report.run = {readId<InstanceId>(in.getDaemon()), in.getIncarnation()};
    report.elapsed = std::max(Duration::zero(), fromMicroseconds(in.getElapsedUs()));
    report.phase = readPhase(in.getPhase());
    report.fault = std::string(in.getFault().cStr(), in.getFault().size());
    report.sends = {in.getTargetSends(), in.getOldSends()};
    for (const auto route : in.getRoutes()) {
        const RouteKey key{std::string(route.getCaller().cStr(), route.getCaller().size()),
                           readId<ZoneId>(route.getZone())};
        report.counts[key] = {readOutcomes(route.getFrom()), readOutcomes(route.getTo())};
    }
    return report;
}

void writeDecision(const SplitDecision &decision, wire::StageProtocol::ReportSplitResults::Builder out)
{
    out.setKnown(true);
    out.setPhase(static_cast<std::uint8_t>(decision.phase));
    out.setReason(decision.reason);
    out.setTargetCap(decision.targetCap);
    auto routes = out.initTriedRoutes(static_cast<unsigned>(decision.triedRoutes.size()));
    unsigned at = 0;
    for (const auto &route : decision.triedRoutes) {
        routes.set(at++, route.str());
    }
}

std::optional<SplitDecision> readDecision(wire::StageProtocol::ReportSplitResults::Reader in)
{
    if (!in.getKnown()) {
        return std::nullopt;
    }
    SplitDecision decision{
        readPhase(in.getPhase()), std::string(in.getReason().cStr(), in.getReason().size()), in.getTargetCap(), {}};
    for (const auto route : in.getTriedRoutes()) {
        decision.triedRoutes.push_back(readId<RouteId>(route));
    }
    return decision;
}

} // namespace mimosahub
