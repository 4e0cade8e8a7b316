#pragma once

#include "control/json_archive.h"
#include "mimosahub/record.h"

/// The fields of each record and of the batch header in the log.
namespace mimosahub
{

template<class Archive>
void describe(Archive &archive, BatchHeader &it)
{
    archive.field("w", it.writer);
    archive.field("i", it.incarnation);
    archive.field("s", it.sequence);
    archive.field("t", it.stamp);
}

template<class Archive>
void describe(Archive &archive, ObjectChange &it)
{
    archive.field("object", it.object);
    archive.field("base", it.base);
    archive.field("spec", it.spec, kMaxSpecBytes);
}

template<class Archive>
void describe(Archive &archive, Publish &it)
{
    archive.field("operator", it.operatorName);
    archive.field("changes", it.changes);
}

template<class Archive>
void describe(Archive &archive, ZoneOrder &it)
{
    archive.field("zone", it.zone);
    archive.field("out", it.out);
    archive.field("operator", it.operatorName);
}

template<class Archive>
void describe(Archive &archive, DrainOrder &it)
{
    archive.field("endpoint", it.endpoint);
    archive.field("service", it.service);
    archive.field("on", it.on);
    archive.field("operator", it.operatorName);
}

template<class Archive>
void describe(Archive &archive, RolloutStart &it)
{
    archive.field("service", it.service);
    archive.field("from", it.fromVersion);
    archive.field("to", it.toVersion);
    archive.field("begin", it.begin);
    archive.field("due", it.due);
    archive.field("afterTakeBack", it.afterRollback);
    archive.field("operator", it.operatorName);
}

template<class Archive>
void describe(Archive &archive, RolloutAbort &it)
{
    archive.field("service", it.service);
    archive.field("operator", it.operatorName);
}

template<class Archive>
void describe(Archive &archive, RolloutRollback &it)
{
    archive.field("service", it.service);
    archive.field("version", it.version);
    archive.field("rollout", it.rollout);
    archive.field("reason", it.reason);
    archive.field("evidence", it.evidence, kMaxTextBytes);
}

template<class Archive>
void describe(Archive &archive, RolloutDone &it)
{
    archive.field("service", it.service);
    archive.field("version", it.version);
    archive.field("rollout", it.rollout);
}

template<class Archive>
void describe(Archive &archive, EndpointOrder &it)
{
    archive.field("endpoint", it.endpoint);
    archive.field("service", it.service);
    archive.field("action", it.action);
    archive.field("argument", it.argument, kMaxTextBytes);
    archive.field("operator", it.operatorName);
}

template<class Archive>
void describe(Archive &archive, EndpointOrderDone &it)
{
    archive.field("order", it.order);
    archive.field("succeeded", it.succeeded);
    archive.field("result", it.result, kMaxTextBytes);
}

template<class Archive>
void describe(Archive &archive, LeaseAcquire &it)
{
    archive.field("name", it.name);
    archive.field("previous", it.previous);
    archive.field("lastRenewal", it.lastRenewal);
    archive.field("duration", it.duration);
}

template<class Archive>
void describe(Archive &archive, LeaseRenew &it)
{
    archive.field("name", it.name);
    archive.field("fencing", it.fencing);
}

template<class Archive>
void describe(Archive &archive, LeaseRelease &it)
{
    archive.field("name", it.name);
    archive.field("fencing", it.fencing);
}

template<class Archive>
void describe(Archive &archive, Claim &it)
{
    archive.field("workspace", it.workspace);
    archive.field("key", it.key);
    archive.field("body", it.bodyDigest);
    archive.field("expiry", it.expiry);
}

template<class Archive>
void describe(Archive &archive, ClaimAnswer &it)
{
    archive.field("outcome", it.outcome);
    archive.field("status", it.httpStatus);
    archive.field("body", it.body, kMaxAnswerBytes);
}

template<class Archive>
void describe(Archive &archive, ClaimOutcome &it)
{
    archive.field("claim", it.claim);
    archive.field("answer", it.answer);
}

template<class Archive>
void describe(Archive &archive, MemberJoin &it)
{
    archive.field("zone", it.zone);
    archive.field("address", it.peerAddress);
}

template<class Archive>
void describe(Archive & /*archive*/, MemberLeave & /*it*/)
{
}

template<class Archive>
void describe(Archive &archive, MemberEvict &it)
{
    archive.field("instance", it.instance);
    archive.field("incarnation", it.incarnation);
}

template<class Archive>
void describe(Archive &archive, SnapshotPart &it)
{
    archive.field("through", it.through);
    archive.field("part", it.part);
    archive.field("parts", it.parts);
    archive.field("digest", it.digest);
    archive.field("data", it.data, kMaxSnapshotPartBytes);
}

} // namespace mimosahub
