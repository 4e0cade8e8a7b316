# Protocol between the daemons of one group. Messages are packed on the wire.
# Fields may be added but not removed or changed; they are documented at the C++
# types of the same names in src/peer.
@0xc7f1a8c2f0d94e6b;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mimosahub::wire");

struct Heartbeat {
  sender @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  echo @3 :UInt64;
  echoIncarnation @4 :UInt64;
  epoch @5 :UInt64;
  applied @6 :UInt64;
  leaving @7 :Bool;
  ages @8 :Data;
  agesAppliedLeast @9 :UInt64;
  agesAppliedSpread @10 :UInt64;  # agesAppliedMost minus agesAppliedLeast.
  slotRequest @11 :SlotRequest;
  slotReply @12 :SlotReply;
  load @13 :LoadDigest;
}

struct SlotAsk {
  resource @0 :UInt32;
  wanted @1 :UInt16;
  held @2 :UInt16;
  inUse @3 :UInt16;
  cold @4 :Bool;
}

struct SlotRequest {
  epoch @0 :UInt64;
  sequence @1 :UInt64;
  asks @2 :List(SlotAsk);
}

struct SlotGrant {
  resource @0 :UInt32;
  slots @1 :UInt16;
}

struct SlotReply {
  request @0 :UInt64;
  leaseMs @1 :UInt32;
  grants @2 :List(SlotGrant);
}

struct DigestName {
  index @0 :UInt16;
  usage @1 :Bool;
  parts @2 :List(Text);
}

struct DigestOutcome {
  index @0 :UInt16;
  ok @1 :UInt64;
  failed @2 :UInt64;
  latencySumMs @3 :UInt64;
  latency @4 :List(UInt32);  # Without trailing empty buckets.
}

struct DigestUsage {
  index @0 :UInt16;
  inUse @1 :UInt16;
  version @2 :UInt32;
}

struct LoadDigest {
  names @0 :List(DigestName);
  outcomes @1 :List(DigestOutcome);
  usage @2 :List(DigestUsage);
}

struct RecordRun {
  first @0 :UInt64;
  records @1 :List(Data);
  head @2 :UInt64;
}

interface PeerProtocol {
  exchange @0 (heartbeat :Heartbeat) -> (heartbeat :Heartbeat);
  pushRecords @1 (run :RecordRun) -> (applied :UInt64);
  fetchRecords @2 (first :UInt64, limit :UInt32) -> (run :RecordRun);
}
