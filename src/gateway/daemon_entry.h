#pragma once

#include "forward/daemon_directory.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace mimosahub
{

/// The document by which a daemon makes itself known to the others.
[[nodiscard]] std::string writeDaemonEntry(const DaemonEntry &entry);
/// Reads the document of the daemon \a id. Error: InvalidArgument.
[[nodiscard]] absl::StatusOr<DaemonEntry> readDaemonEntry(std::string_view id, std::string_view document);

} // namespace mimosahub
