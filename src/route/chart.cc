// A chart is validated as a whole when it is loaded, so that an instance can run it
// without checks: names are resolved to indexes, every state can be reached and left,
// and every event has one possible effect. Several guarded transitions on one event are
// allowed: they are tried in the order of the file, before the unguarded one.

#include "route/chart.h"

#include "mimosahub/error.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

namespace mimosahub
{

namespace
{

namespace json = boost::json;

using Names = std::vector<std::string>;

std::string allowedNames(const Names &names)
{
    return names.empty() ? std::string("nothing") : absl::StrJoin(names, ", ");
}

// One transition in the file, with names resolved to indexes.
struct Row {
    std::string path;
    std::vector<std::size_t> from;
    Chart::Transition transition;
};

// Reads a chart's JSON document and collects the errors in it.
class Reader
{
public:
    Reader(std::string_view file, const ChartVocabulary &vocabulary, std::vector<Problem> &problems)
        : m_file(file), m_vocabulary(vocabulary), m_problems(problems)
    {
    }

    void problem(const std::string &path, const std::string &found, const std::string &allowed)
    {
        m_problems.push_back({m_file, path, found, allowed});
    }

    // Unknown keys are reported since most of them are misspelt.
    void checkKeys(const json::object &object, const std::string &path, const Names &allowed)
    {
        for (const auto &entry : object) {
            const std::string key(entry.key());
            if (std::find(allowed.begin(), allowed.end(), key) == allowed.end()) {
                problem(path.empty() ? key : absl::StrCat(path, ".", key), "unknown key", allowedNames(allowed));
            }
        }
    }

    // The strings at object[key], each with its path; empty if the key is absent.
    std::vector<std::pair<std::string, std::string>> strings(const json::object &object, const std::string &path,
                                                             const std::string &key, bool one)
    {
        std::vector<std::pair<std::string, std::string>> result;
        const auto at = path.empty() ? key : absl::StrCat(path, ".", key);
        const auto *value = object.if_contains(key);
        if (value == nullptr) {
            return result;
        }
        if (value->is_string()) {
            result.emplace_back(at, std::string(value->get_string()));
        } else if (value->is_array() && !one) {
            for (std::size_t n = 0; n < value->get_array().size(); ++n) {
                const auto &element = value->get_array()[n];
                const auto path = absl::StrCat(at, "[", n, "]");
                if (element.is_string()) {
                    result.emplace_back(path, std::string(element.get_string()));
                } else {
                    problem(path, json::serialize(element), "a name");
                }
            }
        } else {
            problem(at, json::serialize(*value), one ? "a name" : "a name or a list of names");
        }
        return result;
    }

    // Indexes in \a known of the names at object[key].
    std::vector<std::size_t> positions(const json::object &object, const std::string &path, const std::string &key,
                                       const Names &known, bool one)
    {
        std::vector<std::size_t> result;
        for (const auto &[at, name] : strings(object, path, key, one)) {
            const auto it = std::find(known.begin(), known.end(), name);
            if (it == known.end()) {
                problem(at, name, allowedNames(known));
            } else {
                result.push_back(static_cast<std::size_t>(it - known.begin()));
            }
        }
        return result;
    }

    // Like positions(), for a required key.
    std::vector<std::size_t> required(const json::object &object, const std::string &path, const std::string &key,
                                      const Names &known, bool one)
    {
        if (!object.contains(key)) {
            problem(path.empty() ? key : absl::StrCat(path, ".", key), "nothing", allowedNames(known));
        }
        return positions(object, path, key, known, one);
    }

    void checkDeclaredStates(const json::object &chart)
    {
        const auto declared = required(chart, "", "states", m_vocabulary.states, false);
        std::set<std::size_t> seen;
        for (const auto state : declared) {
            if (!seen.insert(state).second) {
                problem("states", m_vocabulary.states[state], "each state once");
            }
        }
        for (std::size_t state = 0; state < m_vocabulary.states.size(); ++state) {
            if (!seen.contains(state)) {
                problem("states", "nothing", absl::StrCat("also ", m_vocabulary.states[state]));
            }
        }
    }

    std::vector<Row> rows(const json::object &chart)
    {
        std::vector<Row> result;
        const auto *list = chart.if_contains("transitions");
        if (list == nullptr || !list->is_array()) {
            problem("transitions", list == nullptr ? "nothing" : json::serialize(*list), "a list of transitions");
            return result;
        }
        for (std::size_t n = 0; n < list->get_array().size(); ++n) {
            const auto path = absl::StrCat("transitions[", n, "]");
            const auto *object = list->get_array()[n].if_object();
            if (object == nullptr) {
                problem(path, json::serialize(list->get_array()[n]), "a transition");
                continue;
            }
            if (auto row = readRow(*object, path)) {
                result.push_back(std::move(*row));
            }
        }
        return result;
    }

    // An event must not have two effects in a state: at most one unguarded transition,
    // and each guard once, since the second could never be taken.
    void checkDeterminism(const std::vector<Row> &rows)
    {
        std::set<std::array<std::size_t, 3>> seen;
        for (const auto &row : rows) {
            for (const auto from : row.from) {
                if (!seen.insert({from, row.transition.event, row.transition.guard}).second) {
                    problem(row.path,
                            absl::StrCat("a second transition from ", m_vocabulary.states[from], " on ",
                                         m_vocabulary.events[row.transition.event]),
                            "one without a guard, and one for each guard");
                }
            }
        }
    }

    void checkReachable(const std::vector<Row> &rows, std::size_t initial)
    {
        std::set<std::size_t> reached = {initial};
        for (bool grown = true; grown;) {
            grown = false;
            for (const auto &row : rows) {
                const auto isReached = [&](std::size_t from) { return reached.contains(from); };
                if (std::any_of(row.from.begin(), row.from.end(), isReached)) {
                    grown = reached.insert(row.transition.to).second || grown;
                }
            }
        }
        for (std::size_t state = 0; state < m_vocabulary.states.size(); ++state) {
            if (!reached.contains(state)) {
                problem("states", m_vocabulary.states[state],
                        absl::StrCat("only states that can be reached from ", m_vocabulary.states[initial]));
            }
        }
    }

    void checkFinalStates(const std::vector<Row> &rows, const std::vector<std::size_t> &final)
    {
        for (std::size_t state = 0; state < m_vocabulary.states.size(); ++state) {
            const bool leaves = std::any_of(rows.begin(), rows.end(), [&](const Row &row) {
                return row.transition.to != state
                    && std::find(row.from.begin(), row.from.end(), state) != row.from.end();
            });
            const bool isFinal = std::find(final.begin(), final.end(), state) != final.end();
            if (!leaves && !isFinal) {
                problem("states", absl::StrCat(m_vocabulary.states[state], " without a transition to another state"),
                        "a transition to another state, or the state listed in final");
            }
            if (leaves && isFinal) {
                problem("final", m_vocabulary.states[state], "only states without a transition to another state");
            }
        }
    }

private:
    std::optional<Row> readRow(const json::object &object, const std::string &path)
    {
        const auto before = m_problems.size();
        checkKeys(object, path, {"from", "event", "guard", "to", "actions"});
        Row row;
        row.path = path;
        row.from = required(object, path, "from", m_vocabulary.states, false);
        const auto event = required(object, path, "event", m_vocabulary.events, true);
        const auto guard = positions(object, path, "guard", m_vocabulary.guards, true);
        const auto to = required(object, path, "to", m_vocabulary.states, true);
        row.transition.actions = positions(object, path, "actions", m_vocabulary.actions, false);
        if (m_problems.size() != before) {
            return std::nullopt;
        }
        row.transition.event = event.front();
        row.transition.guard = guard.empty() ? Chart::kNoGuard : guard.front();
        row.transition.to = to.front();
        return row;
    }

    std::string m_file;
    const ChartVocabulary &m_vocabulary;
    std::vector<Problem> &m_problems;
};

absl::Status invalidChart(std::string_view file, std::size_t count)
{
    return errorAt(absl::StatusCode::kInvalidArgument, Step::Settings, "",
                   absl::StrCat(std::string(file), ": ", count, " errors"));
}

} // namespace

absl::StatusOr<Chart> Chart::parse(std::string_view text, std::string_view file, const ChartVocabulary &vocabulary,
                                   std::vector<Problem> &problems)
{
    const auto before = problems.size();
    Reader reader(file, vocabulary, problems);
    json::parse_options options;
    options.allow_comments = true;
    boost::system::error_code ec;
    const auto document = json::parse(text, ec, {}, options);
    if (ec || !document.is_object()) {
        reader.problem("", ec ? ec.message() : "no object", "a chart in JSON with comments");
        return invalidChart(file, 1);
    }
    const auto &object = document.get_object();
    reader.checkKeys(object, "", {"states", "initial", "final", "transitions"});
    reader.checkDeclaredStates(object);
    const auto initial = reader.required(object, "", "initial", vocabulary.states, true);
    const auto final = reader.positions(object, "", "final", vocabulary.states, false);
    const auto rows = reader.rows(object);
    reader.checkDeterminism(rows);
    // The graph is checked only if its parts are valid: a misspelt name would
    // otherwise be reported a second time as a missing transition.
    if (problems.size() == before) {
        reader.checkReachable(rows, initial.front());
        reader.checkFinalStates(rows, final);
    }
    if (problems.size() != before) {
        return invalidChart(file, problems.size() - before);
    }
    Chart chart;
    chart.m_initial = initial.front();
    chart.m_stateNames = vocabulary.states;
    chart.m_transitions.resize(vocabulary.states.size());
    for (const auto &row : rows) {
        for (const auto from : row.from) {
            chart.m_transitions[from].push_back(row.transition);
        }
    }
    for (auto &transitions : chart.m_transitions) {
        std::stable_partition(transitions.begin(), transitions.end(),
                              [](const Transition &it) { return it.guard != kNoGuard; });
    }
    return chart;
}

absl::StatusOr<Chart> Chart::load(const std::string &path, const ChartVocabulary &vocabulary,
                                  std::vector<Problem> &problems)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in) {
        problems.push_back({path, "", "no readable file", "a chart in JSON with comments"});
        return invalidChart(path, 1);
    }
    return parse(text.str(), path, vocabulary, problems);
}

const Chart::Transition *ChartInstance::fire(std::size_t event, const ChartGuards &guards)
{
    for (const auto &it : m_chart->transitions(m_state)) {
        if (it.event == event && (it.guard == Chart::kNoGuard || guards.holds(it.guard))) {
            m_state = it.to;
            return &it;
        }
    }
    return nullptr;
}

} // namespace mimosahub
