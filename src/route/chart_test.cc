// Introduces every kind of error that the loader must detect at every place of every
// chart.

#include "route/chart.h"
#include "route/endpoint_condition.h"
#include "route/rollout_gate.h"
#include "route/zone_traffic.h"

#include <boost/json.hpp>

#include <criterion/criterion.h>
#include <fstream>
#include <sstream>

using namespace mimosahub;
namespace json = boost::json;

namespace
{

struct ChartFile {
    const char *path;
    const ChartVocabulary &vocabulary;
};

const ChartFile kFiles[] = {
    {"charts/endpoint.json", endpointVocabulary()},
    {"charts/rollout.json", rolloutVocabulary()},
    {"charts/zone.json", zoneVocabulary()},
};

json::object read(const ChartFile &file)
{
    std::ifstream in(file.path);
    std::ostringstream text;
    text << in.rdbuf();
    json::parse_options options;
    options.allow_comments = true;
    return json::parse(text.str(), {}, options).as_object();
}

// Whether the loader rejects \a chart with a problem at \a path that mentions
// \a found.
bool rejects(const ChartFile &file, const json::object &chart, const std::string &path, const std::string &found)
{
    std::vector<Problem> problems;
    const auto result = Chart::parse(json::serialize(chart), file.path, file.vocabulary, problems);
    return !result.ok() && std::any_of(problems.begin(), problems.end(), [&](const Problem &it) {
        return it.path == path && it.found.find(found) != std::string::npos;
    });
}

json::array &transitionsOf(json::object &chart)
{
    return chart["transitions"].as_array();
}

bool leadsFrom(const json::value &transition, const std::string &state)
{
    const json::value wanted(state);
    const auto &from = transition.at("from");
    return from == wanted
        || (from.is_array()
            && std::find(from.as_array().begin(), from.as_array().end(), wanted) != from.as_array().end());
}

} // namespace

Test(chart, accepts_the_charts_in_the_repository)
{
    for (const auto &file : kFiles) {
        std::vector<Problem> problems;
        cr_expect(Chart::load(file.path, file.vocabulary, problems).ok(), "%s", file.path);
        cr_expect(problems.empty());
    }
}

Test(chart, rejects_every_unknown_name)
{
    for (const auto &file : kFiles) {
        const auto good = read(file);
        for (std::size_t n = 0; n < good.at("transitions").as_array().size(); ++n) {
            const auto path = "transitions[" + std::to_string(n) + "]";
            for (const char *key : {"from", "event", "guard", "to", "actions"}) {
                auto chart = good;
                transitionsOf(chart)[n].as_object()[key] = "nonesuch";
                cr_expect(rejects(file, chart, path + "." + key, "nonesuch"), "%s %s", file.path, key);
            }
            auto chart = good;
            transitionsOf(chart)[n].as_object()["gaurd"] = "x";
            cr_expect(rejects(file, chart, path + ".gaurd", "unknown key"));
        }
        auto chart = good;
        chart["initial"] = "nonesuch";
        cr_expect(rejects(file, chart, "initial", "nonesuch"));
    }
}

Test(chart, rejects_missing_parts_and_reports_all_errors_at_once)
{
    for (const auto &file : kFiles) {
        const auto good = read(file);
        for (const char *key : {"from", "event", "to"}) {
            auto chart = good;
            transitionsOf(chart)[0].as_object().erase(key);
            cr_expect(rejects(file, chart, std::string("transitions[0].") + key, "nothing"));
        }
        for (std::size_t n = 0; n < file.vocabulary.states.size(); ++n) {
            auto chart = good;
            auto &states = chart["states"].as_array();
            states.erase(states.begin() + static_cast<std::ptrdiff_t>(n));
            chart["initial"] = "nonesuch";
            cr_expect(rejects(file, chart, "states", "nothing"));
            cr_expect(rejects(file, chart, "initial", "nonesuch"));
        }
    }
}

Test(chart, rejects_a_second_transition_on_one_event)
{
    for (const auto &file : kFiles) {
        const auto good = read(file);
        for (std::size_t n = 0; n < good.at("transitions").as_array().size(); ++n) {
            auto chart = good;
            auto &transitions = transitionsOf(chart);
            transitions.push_back(transitions[n]);
            const auto path = "transitions[" + std::to_string(transitions.size() - 1) + "]";
            cr_expect(rejects(file, chart, path, "a second transition"), "%s %zu", file.path, n);
        }
    }
}

Test(chart, rejects_states_that_can_not_be_reached_or_left)
{
    for (const auto &file : kFiles) {
        const auto good = read(file);
        for (const auto &state : file.vocabulary.states) {
            auto chart = good;
            auto &transitions = transitionsOf(chart);
            for (auto it = transitions.begin(); it != transitions.end();) {
                it = it->at("to") == json::value(state) ? transitions.erase(it) : std::next(it);
            }
            cr_expect(good.at("initial") == json::value(state) || rejects(file, chart, "states", state));

            chart = good;
            bool leaves = false;
            auto &rest = transitionsOf(chart);
            for (auto it = rest.begin(); it != rest.end();) {
                const bool from = leadsFrom(*it, state);
                leaves = leaves || from;
                it = from ? rest.erase(it) : std::next(it);
            }
            cr_expect(!leaves || rejects(file, chart, "states", state + " without a transition to another state"),
                      "%s %s", file.path, state.c_str());

            chart = good;
            chart["final"] = json::array{json::value(state)};
            cr_expect(!leaves || rejects(file, chart, "final", state));
        }
    }
}
