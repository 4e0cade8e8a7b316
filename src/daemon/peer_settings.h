#pragma once

#include "config/settings.h"
#include "peer/confirmation.h"
#include "peer/freshness.h"
#include "peer/membership.h"
#include "peer/slot_lease.h"

namespace mimosahub
{

/// The options of the freshness lease that \a settings decide.
[[nodiscard]] FreshnessOptions freshnessOptionsOf(const Settings &settings);
/// The options of confirmations that \a settings decide.
[[nodiscard]] ConfirmationOptions confirmationOptionsOf(const Settings &settings);
/// The options of membership that \a settings decide.
[[nodiscard]] MembershipOptions membershipOptionsOf(const Settings &settings);
/// The options of slot leases that \a settings decide.
[[nodiscard]] SlotLeaseOptions slotLeaseOptionsOf(const Settings &settings);

} // namespace mimosahub
