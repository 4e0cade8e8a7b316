#pragma once

#include "forward/batch_planner.h"
#include "peer/stage_service.h"
#include "wire/stage.capnp.h"

/// Converts the messages of the stage protocol. Times are sent relative to the moment
/// of writing, since the clocks of instances differ.
namespace mimosahub
{

void writeOrder(const ServiceId &service, const PieceOrder &order, TimePoint now, wire::PieceOrder::Builder out);
[[nodiscard]] PieceOrder readOrder(wire::PieceOrder::Reader in, TimePoint now);

void writeResult(const PieceOrderResult &result, wire::PieceOrderResult::Builder out);
[[nodiscard]] PieceOrderResult readResult(wire::PieceOrderResult::Reader in);

void writeLoad(const ServiceLoad &load, wire::BatchLoad::Builder out);
[[nodiscard]] ServiceLoad readLoad(wire::BatchLoad::Reader in);

void writeRecord(const KeyedRecord &record, wire::TableRecord::Builder out);
[[nodiscard]] KeyedRecord readRecord(wire::TableRecord::Reader in);
void writeAnswer(const TableAnswer &answer, wire::StageProtocol::ReadTableResults::Builder out);
[[nodiscard]] std::optional<TableAnswer> readAnswer(wire::StageProtocol::ReadTableResults::Reader in);

void writeSplitReport(const SplitReport &report, wire::SplitReport::Builder out);
[[nodiscard]] SplitReport readSplitReport(wire::SplitReport::Reader in);
void writeDecision(const SplitDecision &decision, wire::StageProtocol::ReportSplitResults::Builder out);
[[nodiscard]] std::optional<SplitDecision> readDecision(wire::StageProtocol::ReportSplitResults::Reader in);

} // namespace mimosahub
