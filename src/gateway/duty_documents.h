#pragma once

#include "forward/duty_lease.h"
#include "forward/duty_report.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

/// The documents of the table of duties.
namespace mimosahub
{

inline constexpr std::string_view kDutyLeaseKey = "lease";

/// Counts of a window that are never changed again.
struct AgreedUsage {
    UsageWindowNumber window = 0;
    UsageCounts counts;
};

/// The key of the counts agreed for \a window; a later window replaces an earlier one.
[[nodiscard]] std::string agreedUsageKey(UsageWindowNumber window);
/// Whether \a key is one of agreedUsageKey().
[[nodiscard]] bool isAgreedUsageKey(std::string_view key);

[[nodiscard]] std::string writeDutyLease(const DutyLeaseRecord &record);
/// Error: InvalidArgument.
[[nodiscard]] absl::StatusOr<DutyLeaseRecord> readDutyLease(std::string_view document);
[[nodiscard]] std::string writeAgreedUsage(const AgreedUsage &agreed);
/// Error: InvalidArgument.
[[nodiscard]] absl::StatusOr<AgreedUsage> readAgreedUsage(std::string_view document);

} // namespace mimosahub
