#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/configuration.h"
#include "mimosahub/endpoint.h"
#include "mimosahub/error.h"
#include "mimosahub/ids.h"
#include "mimosahub/outcome.h"
#include "mimosahub/record.h"
#include "mimosahub/verdict.h"

/// mimosahub serves multi-stage model pipelines from one pool of endpoints that
/// several workspaces share. This header includes all public headers and explains
/// how they relate.
///
/// Shared state and the log
///
/// Equal daemons without disks run between callers and endpoints. Everything that
/// they must agree on is a Record in the platform's append-only log: a publish,
/// an order, a lease, the claim of an idempotency key. Each daemon applies the same
/// records in the order of their Offset and therefore reaches the same Verdict on
/// each:
///
///     auto batch = decodeBatch(bytes);          // An append, as read from the log.
///     if (!batch.ok()) {
///         return batch.status();                // Carries the step and the peer.
///     }
///
/// A publish names the version that each of its objects was based on. If two
/// operators publish changes of the same object concurrently, the record with the
/// lower offset is accepted and the other one gets Rejection::StaleBase.
///
/// Configuration
///
/// A Configuration holds zones, workspaces, profiles, services and pipelines. A
/// Profile defines each workspace's share, the deadline and how traffic moves
/// between versions and zones; each service and pipeline names its profile:
///
///     Profile profile;
///     profile.id = ProfileId("assistant");
///     profile.deadline = 8s;
///     profile.shares[WorkspaceId("depots")] = 0.25;   // A quarter of the pool.
///
/// Only Call::idempotent decides whether a call may be sent again. It has no
/// default in the published JSON, since a wrong default could run a call that has
/// an effect, such as a booking, twice.
///
/// Outcomes
///
/// Each request ends in an answer or in one Refusal, whose Outcome states what is
/// known of the call. NotRun guarantees that no byte of a call was sent to an
/// endpoint, or that each endpoint that received one refused it without running it.
/// Unknown means that the call may have run and that this can't be determined:
///
///     Refusal refusal;
///     refusal.outcome = Outcome::NotRun;
///     refusal.reason = Reason::Overloaded;
///     refusal.retryAfter = 250ms;
///     httpStatus(refusal);                      // 503
///
/// Ids, time and errors
///
/// Ids and ordinals have distinct types (ids.h): a WorkspaceId can't be passed as
/// an EndpointId, nor an Offset as a Sequence. Leases and timeouts use Clock::now(),
/// which is monotonic; Clock::wallTime() is only for due times and the expiry of
/// keys. Errors are absl::Status values made by errorAt(), which attaches the step
/// and the peer; describe() formats one as a line for logs.
