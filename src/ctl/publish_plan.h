#pragma once

#include "ctl/answers.h"

#include <string>
#include <vector>

namespace mimosahub::ctl
{

/// One change that a publish makes.
struct PlannedChange {
    ObjectKey key;
    Offset base; ///< Version that the change is made from; 0 = there is no such object.
    boost::json::value before; ///< Null if there is no such object.
    boost::json::value after; ///< Null to remove the object.
};

/// What differs between \a wanted and \a published, in the order of kinds. Objects
/// that \a wanted lacks are removed only with \a prune, since another file may
/// hold them.
[[nodiscard]] std::vector<PlannedChange> planChanges(const ObjectMap &wanted, const PublishedObjects &published,
                                                     bool prune);

/// \a change for people: one line for the object and one for each field that differs.
[[nodiscard]] std::string describeChange(const PlannedChange &change);

/// The body of POST /v1/publish.
[[nodiscard]] boost::json::object publishBody(const std::vector<PlannedChange> &changes,
                                              const std::string &operatorName);

} // namespace mimosahub::ctl
