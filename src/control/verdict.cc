// One table names every rejection, in the order of the enumeration.

#include "mimosahub/verdict.h"

#include <array>

namespace mimosahub
{

namespace
{

constexpr std::array<std::string_view, 26> kRejections = {
    "none",
    "damaged",
    "unknown-format",
    "too-large",
    "stale-incarnation",
    "stale-sequence",
    "stale-base",
    "invalid-configuration",
    "unknown-zone",
    "unknown-service",
    "unknown-endpoint",
    "rollout-active",
    "no-rollout",
    "bad-schedule",
    "version-taken-back",
    "stale-lease",
    "bad-duration",
    "claim-taken",
    "key-reused",
    "claim-expired",
    "unknown-claim",
    "unknown-order",
    "already-member",
    "not-member",
    "too-many",
    "bad-snapshot",
};
static_assert(kRejections.size() == static_cast<std::size_t>(Rejection::BadSnapshot) + 1);

} // namespace

std::string_view rejectionName(Rejection rejection)
{
    return kRejections.at(static_cast<std::size_t>(rejection));
}

} // namespace mimosahub
