# Protocol by which daemons that forward requests hand off pieces of stages to the
# planner of a service. Messages are packed on the wire. Fields may be added but
# not removed or changed; they are documented at the C++ types of the same names in
# src/forward.
@0xe2b7d0c94f5a1836;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mimosahub::wire");

struct ZoneBytes {
  zone @0 :Text;
  bytes @1 :UInt64;
}

struct PieceOrder {
  service @0 :Text;
  request @1 :Text;
  stage @2 :UInt16;
  pieces @3 :UInt16;
  key @4 :Text;
  inputs @5 :List(Text);
  localBytes @6 :List(ZoneBytes);
  resultBytes @7 :UInt64;
  dueUs @8 :Int64;  # Microseconds after sending; negative if in the past.
  expiresUs @9 :Int64;
  rank @10 :UInt16;
}

struct PieceOrderResult {
  outcome @0 :UInt8;
  handles @1 :List(Text);
}

struct BatchLoad {
  service @0 :Text;
  queued @1 :UInt32;
  endpoints @2 :UInt16;
  waitUs @3 :Int64;
  callUs @4 :Int64;
  restUs @5 :Int64;
}

struct TableRecord {
  key @0 :Data;
  value @1 :Data;
  gone @2 :Bool;
  offset @3 :UInt64;
}

struct VersionOutcomes {
  finished @0 :UInt64;
  failed @1 :UInt64;
  slow @2 :UInt64;
}

struct RouteOutcomes {
  caller @0 :Text;
  zone @1 :Text;
  from @2 :VersionOutcomes;
  to @3 :VersionOutcomes;
}

struct SplitReport {
  service @0 :Text;
  target @1 :Text;
  record @2 :UInt64;
  daemon @3 :Text;
  incarnation @4 :UInt64;
  elapsedUs @5 :Int64;
  phase @6 :UInt8;
  fault @7 :Text;
  routes @8 :List(RouteOutcomes);
  targetSends @9 :UInt64;
  oldSends @10 :UInt64;
}

struct CrashReport {
  service @0 :Text;
  part @1 :Text;
  endpoint @2 :Text;
  startedAtMs @3 :Int64;
  sentAgeUs @4 :Int64;
  crashAgeUs @5 :Int64;
  kind @6 :UInt8;
  request @7 :UInt64;
}

struct AnswerReport {
  service @0 :Text;
  part @1 :Text;
  ageUs @2 :Int64;
  kind @3 :UInt8;
}

struct Quarantine {
  service @0 :Text;
  part @1 :Text;
  number @2 :UInt32;
  ended @3 :Bool;
  trials @4 :UInt32;
  answeredBefore @5 :Bool;
  crashes @6 :UInt32;
  sinceAgeUs @7 :Int64;
  changedAgeUs @8 :Int64;
  kind @9 :UInt8;
  with @10 :List(Text);
}

struct QuarantineMessage {
  digest @0 :UInt64;
  crashes @1 :List(CrashReport);
  answers @2 :List(AnswerReport);
  quarantines @3 :List(Quarantine);
}

struct EndpointStart {
  endpoint @0 :Text;
  startedAtMs @1 :Int64;
}

struct WorkspaceCount {
  workspace @0 :Text;
  count @1 :UInt64;
}

struct UsageWindow {
  window @0 :Int64;
  counts @1 :List(WorkspaceCount);
}

struct ZoneLoad {
  service @0 :Text;
  zone @1 :Text;
  inFlight @2 :UInt64;
}

struct DutyReport {
  source @0 :Text;
  incarnation @1 :UInt64;
  summed @2 :Bool;
  windows @3 :List(UsageWindow);
  loads @4 :List(ZoneLoad);
  token @5 :UInt64;
  zone @6 :Text;
}

interface StageProtocol {
  run @0 (order :PieceOrder) -> (result :PieceOrderResult, load :BatchLoad);
  release @1 (service :Text, handles :List(Text)) -> ();
  ping @2 () -> (loads :List(BatchLoad));
  readTable @3 (table :UInt8, from :UInt64, era :UInt64) -> (known :Bool, ageUs :Int64, next :UInt64, records :List(TableRecord), documents :UInt64, era :UInt64, documentsEra :UInt64);
  reportSplit @4 (report :SplitReport) -> (known :Bool, phase :UInt8, reason :Text, targetCap :UInt64, triedRoutes :List(Text));
  exchangeQuarantines @5 (message :QuarantineMessage) -> (message :QuarantineMessage);
  tellLeaving @6 (endpoints :List(EndpointStart)) -> ();
  reportDuties @7 (report :DutyReport) -> (incarnation :UInt64, token :UInt64);
}
