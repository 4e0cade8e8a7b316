#pragma once

#include "forward/quarantine_news.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

/// Quarantines as the store holds them.
namespace mimosahub
{

/// The key of a part's quarantine.
[[nodiscard]] std::string quarantineKey(const ContentId &content);
/// The document for \a quarantine. Its times are wall-clock times.
[[nodiscard]] std::string writeQuarantineDocument(const Quarantine &quarantine, const Clock &clock);
/// Error: InvalidArgument.
[[nodiscard]] absl::StatusOr<Quarantine> readQuarantineDocument(std::string_view key, std::string_view document,
                                                                const Clock &clock);

} // namespace mimosahub
