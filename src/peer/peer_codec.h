#pragma once

#include "peer/heartbeat.h"
#include "peer/peer_service.h"
#include "wire/peer.capnp.h"

#include <absl/status/statusor.h>

/// Converts the messages between daemons to and from the wire schema.
namespace mimosahub
{

void writeHeartbeat(const Heartbeat &heartbeat, wire::Heartbeat::Builder out);
/// Errors carry the step "parse".
absl::StatusOr<Heartbeat> readHeartbeat(wire::Heartbeat::Reader in);

void writeRecordRun(const RecordRun &run, wire::RecordRun::Builder out);
RecordRun readRecordRun(wire::RecordRun::Reader in);

} // namespace mimosahub
