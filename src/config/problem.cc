// A problem is kept as fields until it is shown, so that tools can print it as
// text or JSON and tests can compare the parts.

#include "config/problem.h"

#include <absl/strings/str_cat.h>

namespace mimosahub
{

std::string Problem::str() const
{
    std::string line;
    if (!file.empty()) {
        absl::StrAppend(&line, file, ": ");
    }
    if (!path.empty()) {
        absl::StrAppend(&line, path, ": ");
    }
    absl::StrAppend(&line, "found ", found, "; allowed: ", allowed);
    return line;
}

std::string problemLines(const std::vector<Problem> &problems)
{
    std::string lines;
    for (const auto &problem : problems) {
        absl::StrAppend(&lines, problem.str(), "\n");
    }
    return lines;
}

} // namespace mimosahub
