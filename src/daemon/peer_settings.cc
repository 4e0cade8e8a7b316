// The cores of membership, freshness and slot leases know no settings, so that they
// can be tested without them; here the settings become their options.

#include "daemon/peer_settings.h"

namespace mimosahub
{

FreshnessOptions freshnessOptionsOf(const Settings &settings)
{
    FreshnessOptions options;
    options.lease = settings.timeouts.freshness;
    return options;
}

ConfirmationOptions confirmationOptionsOf(const Settings &settings)
{
    ConfirmationOptions options;
    options.freshnessLease = settings.timeouts.freshness;
    return options;
}

MembershipOptions membershipOptionsOf(const Settings &settings)
{
    MembershipOptions options;
    options.exchangeInterval = settings.timeouts.heartbeat;
    return options;
}

SlotLeaseOptions slotLeaseOptionsOf(const Settings &settings)
{
    SlotLeaseOptions options;
    options.lease = settings.timeouts.slotLease;
    // Midway: a heartbeat that is a little late comes first, one that was lost is made up for.
    options.renewAfter = (settings.timeouts.heartbeat + settings.timeouts.slotLease) / 2;
    options.freshnessLease = settings.timeouts.freshness;
    return options;
}

} // namespace mimosahub
