// Builds the body of an order from its words; whether the order makes sense is
// for the log's fold to decide, so that racing operators get one answer.

#include "ctl/session.h"

#include "base/nearest.h"
#include "mimosahub/error.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include <array>

namespace mimosahub::ctl
{

namespace
{

absl::Status usage(const std::string &message)
{
    return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "", message);
}

// An order whose words, after its name, are the values of fields.
struct OrderRow {
    std::string_view name;
    std::vector<const char *> fields;
};

const std::vector<OrderRow> &orderRows()
{
    static const std::vector<OrderRow> rows = {
        {"zone", {"direction", "zone"}},
        {"drain", {"endpoint"}},
        {"undrain", {"endpoint"}},
        {"rollout", {"service", "from", "to"}},
        {"abort", {"service"}},
        {"load-model", {"endpoint", "argument"}},
        {"load-adapter", {"endpoint", "argument"}},
        {"change-role", {"endpoint", "argument"}},
    };
    return rows;
}

absl::StatusOr<OrderRow> findOrder(const std::string &name, std::size_t words)
{
    std::vector<std::string> known;
    for (const auto &row : orderRows()) {
        if (row.name == name && row.fields.size() == words) {
            return row;
        }
        if (row.name == name) {
            return usage(absl::StrCat("order ", name, " takes ", row.fields.size(),
                                      row.fields.size() == 1 ? " argument" : " arguments",
                                      "; see mimosahubctl --help"));
        }
        known.emplace_back(row.name);
    }
    const auto nearest = nearestName(name, known);
    return usage(absl::StrCat("unknown order \"", name, "\"",
                              nearest.empty() ? "" : absl::StrCat("; did you mean \"", nearest, "\"?")));
}

} // namespace

absl::StatusOr<boost::json::object> Session::orderBody() const
{
    const auto &words = m_line.arguments;
    const auto row = findOrder(words.front(), words.size() - 1);
    if (!row.ok()) {
        return row.status();
    }
    boost::json::object body{{"operator", m_line.operatorName}, {"order", row->name}};
    for (std::size_t i = 0; i < row->fields.size(); ++i) {
        body[row->fields[i]] = words[i + 1];
    }
    if (row->name == "zone") {
        if (words[1] != "out" && words[1] != "in") {
            return usage("order zone takes \"out\" or \"in\", then the zone");
        }
        body["order"] = "zone-" + words[1];
        body.erase("direction");
    }
    const bool rollout = row->name == "rollout";
    if (rollout != m_line.begin.has_value() || rollout != m_line.due.has_value()
        || (m_line.afterRollback && !rollout)) {
        return usage("--begin and --due are needed for a rollout, and they and --after-take-back have no meaning else");
    }
    if (rollout) {
        if (*m_line.due <= *m_line.begin) {
            return usage("--due must be after --begin");
        }
        body["begin_ms"] = m_line.begin->time_since_epoch().count();
        body["due_ms"] = m_line.due->time_since_epoch().count();
        body["after_take_back"] = m_line.afterRollback;
    }
    return body;
}

ExitCode Session::order()
{
    const auto body = orderBody();
    return body.ok() ? sendChange("/v1/orders", *body) : fail(body.status());
}

} // namespace mimosahub::ctl
