#pragma once

#include "config/configuration_codec.h"

#include <string>
#include <string_view>

namespace mimosahub
{

/// Reads a deployment, a document of the groups "zones", "workspaces",
/// "profiles", "services" and "pipelines", each an object by name, and checks it
/// as a whole. Gives the objects as they are to be published.
[[nodiscard]] Checked<ObjectMap> parseDeployment(std::string_view file, std::string_view text);

} // namespace mimosahub
