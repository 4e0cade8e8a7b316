#pragma once

#include "config/problem.h"
#include "mimosahub/configuration.h"
#include "mimosahub/object_key.h"

#include <boost/json/value.hpp>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahub
{

/// The objects of a configuration as they were published.
using ObjectMap = std::map<ObjectKey, boost::json::value>;

/// All kinds, each after those that it may refer to.
inline constexpr std::array kObjectKinds = {ObjectKind::Zone, ObjectKind::Workspace, ObjectKind::Profile,
                                            ObjectKind::Service, ObjectKind::Pipeline};

/// Name of \a kind in records and messages, for example "zone".
[[nodiscard]] std::string_view kindName(ObjectKind kind);
/// Name of the group that holds objects of \a kind in a document, for example "zones".
[[nodiscard]] std::string_view groupName(ObjectKind kind);
/// The kind named \a name, if there is one.
[[nodiscard]] std::optional<ObjectKind> kindFromName(std::string_view name);

/// Builds the typed configuration from its objects and checks it as a whole.
/// Appends every problem found to \a problems; the result counts only if none
/// was added. The verdict depends on nothing but \a objects, so that all
/// daemons reach the same one. \a file is only named in problems.
[[nodiscard]] Configuration buildConfiguration(const ObjectMap &objects, std::vector<Problem> &problems,
                                               std::string_view file = {});

} // namespace mimosahub
