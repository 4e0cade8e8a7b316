// One table names each command with its options and the number of its
// arguments: what a command would ignore is refused, since an operator who
// typed it expects it to matter.

#include "ctl/command_line.h"

#include "base/nearest.h"
#include "config/address.h"
#include "config/duration.h"
#include "ctl/wall_time.h"
#include "mimosahub/error.h"

#include <absl/strings/str_cat.h>
#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace mimosahub::ctl
{

namespace
{

namespace options = boost::program_options;
using Names = std::vector<std::string>;

struct CommandRow {
    std::string name;
    std::string usage;
    std::string summary;
    std::size_t least; // Arguments after the command.
    std::size_t most;
    Names options;
    bool needsDaemon = true;
};

constexpr std::size_t kAnyNumber = 1000;
constexpr std::array<const char *, 4> kGlobalOptions = {"help", "version", "json", "daemon"};

const std::vector<CommandRow> &commandRows()
{
    static const std::vector<CommandRow> rows = {
        {"check", "FILE...", "check settings and deployments, reporting every problem", 1, kAnyNumber, {}, false},
        {"diff", "FILE", "show how a deployment differs from what is published", 1, 1, {"prune"}},
        {"publish",
         "FILE",
         "publish what differs, all of it or nothing",
         1,
         1,
         {"prune", "base", "dry-run", "operator", "wait", "timeout"}},
        {"order",
         "ORDER ARGUMENT...",
         "give an order; the orders are listed below",
         2,
         4,
         {"operator", "wait", "wait-done", "timeout", "begin", "due", "after-take-back"}},
        {"orders", "", "list the orders and how far they are", 0, 0, {}},
        {"status", "[OFFSET]", "tell how far a change has got", 0, 1, {"wait", "wait-done", "timeout"}},
        {"explain", "service|endpoint|workspace NAME", "tell why traffic goes where it goes", 2, 2, {}},
        {"top", "", "show the present load of one daemon", 0, 0, {}},
        {"duties", "", "show which daemon carries out the deployment's duties (metrics address)", 0, 0, {}},
        {"quarantines", "", "list the content of requests under which endpoints crashed (metrics address)", 0, 0, {}},
        {"end-quarantine", "SERVICE CONTENT", "serve requests with that content again (metrics address)", 2, 2, {}},
    };
    return rows;
}

constexpr const char *kHelpTail = R"(
Orders:
  zone out|in ZONE
  drain|undrain ENDPOINT
  rollout SERVICE FROM TO --begin TIME --due TIME
  abort SERVICE
  load-model|load-adapter|change-role ENDPOINT ARGUMENT

TIME is "now", a delay such as "+30min", or UTC such as 2026-12-05T06:00:00Z.

Exit codes:
  0  done
  1  rejected: the change has no effect
  2  bad command line, or a file with problems
  3  no daemon could be reached; nothing was sent
  4  not accepted, for example while the platform's log is down; no effect
  5  accepted, but not in force or done when the timeout passed
  6  the rollout was taken back, or the order failed
  7  sent, but the answer was lost; look at "diff" or "orders"
  8  a daemon answered with an error, or with what this version can't read
)";

options::options_description describeOptions()
{
    options::options_description all("Options");
    const auto text = [] { return options::value<std::string>(); };
    options::options_description_easy_init add = all.add_options();
    add("help", "show this help");
    add("version", "show the version");
    add("json", "write JSON, one object a line, instead of text");
    add("daemon", options::value<Names>()->composing(),
        "IP:PORT of a daemon for operators; repeat it to try others next");
    add("operator", text(), "who gives the change; default: the environment's USER");
    add("dry-run", "check and show the changes without publishing them");
    add("prune", "remove published objects that the file doesn't have");
    add("base", text(), "refuse to change objects that were changed after this offset");
    add("wait", "wait until the change is in force on all daemons");
    add("wait-done", "wait until the order is done or taken back");
    add("timeout", text(), "longest wait, default 30s");
    add("begin", text(), "when a rollout begins");
    add("due", text(), "when a rollout must be done");
    add("after-take-back", "roll out though the version was taken back before");
    return all;
}

absl::Status usage(const std::string &message)
{
    return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "", message);
}

// Values by option as they were typed.
options::variables_map parseOptions(const Names &arguments)
{
    options::options_description hidden;
    hidden.add(describeOptions());
    hidden.add_options()("arguments", options::value<Names>());
    options::positional_options_description positional;
    positional.add("arguments", -1);
    options::variables_map values;
    // Guessing an abbreviated option would make scripts depend on today's set.
    const int style = options::command_line_style::default_style & ~options::command_line_style::allow_guessing;
    options::store(options::command_line_parser(arguments).options(hidden).positional(positional).style(style).run(),
                   values);
    return values;
}

absl::Status checkCommand(const CommandLine &line, const options::variables_map &values)
{
    Names known;
    for (const auto &row : commandRows()) {
        known.push_back(row.name);
    }
    const auto it = std::find(known.begin(), known.end(), line.command);
    if (it == known.end()) {
        const auto nearest = nearestName(line.command, known);
        return usage(absl::StrCat("unknown command \"", line.command, "\"",
                                  nearest.empty() ? "" : absl::StrCat("; did you mean \"", nearest, "\"?")));
    }
    const auto &row = commandRows()[static_cast<std::size_t>(it - known.begin())];
    if (line.arguments.size() < row.least || line.arguments.size() > row.most) {
        return usage(absl::StrCat("usage: mimosahubctl ", row.name, row.usage.empty() ? "" : " ", row.usage));
    }
    for (const auto &[name, value] : values) {
        const bool global = std::find(kGlobalOptions.begin(), kGlobalOptions.end(), name) != kGlobalOptions.end();
        const bool own = std::find(row.options.begin(), row.options.end(), name) != row.options.end();
        if (!global && !own && name != "arguments") {
            return usage(absl::StrCat("--", name, " has no meaning for ", row.name));
        }
    }
    if (row.needsDaemon && line.daemons.empty()) {
        return usage("--daemon IP:PORT is missing");
    }
    return absl::OkStatus();
}

absl::Status readDaemons(CommandLine &line, const options::variables_map &values)
{
    if (!values.contains("daemon")) {
        return absl::OkStatus();
    }
    for (const auto &text : values["daemon"].as<Names>()) {
        const auto address = parseAddress(text);
        if (!address || address->port == 0) {
            return usage(absl::StrCat("--daemon: found \"", text, "\"; allowed: IP:PORT with an IPv4 address"));
        }
        line.daemons.push_back(*address);
    }
    return absl::OkStatus();
}

absl::Status readTime(std::optional<WallTime> &out, const options::variables_map &values, const char *name,
                      WallTime now)
{
    if (values.contains(name)) {
        out = parseWallTime(values[name].as<std::string>(), now);
        if (!out) {
            return usage(absl::StrCat("--", name, ": found \"", values[name].as<std::string>(),
                                      "\"; allowed: now, a delay such as +30min, or UTC such as 2026-12-05T06:00:00Z"));
        }
    }
    return absl::OkStatus();
}

absl::Status readValues(CommandLine &line, const options::variables_map &values, const Clock &clock)
{
    if (values.contains("operator")) {
        line.operatorName = values["operator"].as<std::string>();
    }
    if (values.contains("timeout")) {
        const auto timeout = parseDuration(values["timeout"].as<std::string>());
        if (!timeout) {
            return usage("--timeout: allowed: a whole number and a unit (" + std::string(kDurationUnits) + ")");
        }
        line.timeout = *timeout;
    }
    if (values.contains("base")) {
        const auto offset = parseOffset(values["base"].as<std::string>());
        if (!offset) {
            return usage("--base: allowed: an offset of the log");
        }
        line.base = *offset;
    }
    if (auto status = readTime(line.begin, values, "begin", clock.wallTime()); !status.ok()) {
        return status;
    }
    return readTime(line.due, values, "due", clock.wallTime());
}

} // namespace

std::optional<Offset> parseOffset(const std::string &text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = ec == std::errc() && end == text.data() + text.size();
    return whole ? std::optional(Offset(value)) : std::nullopt;
}

absl::StatusOr<CommandLine> CommandLine::parse(const std::vector<std::string> &arguments, const std::string &user,
                                               const Clock &clock)
{
    options::variables_map values;
    try {
        values = parseOptions(arguments);
    } catch (const options::error &error) {
        return usage(error.what());
    }
    CommandLine line;
    line.operatorName = user;
    line.help = values.contains("help");
    line.version = values.contains("version");
    if (line.help || line.version) {
        return line;
    }
    line.json = values.contains("json");
    line.dryRun = values.contains("dry-run");
    line.prune = values.contains("prune");
    line.wait = values.contains("wait");
    line.waitDone = values.contains("wait-done");
    line.afterRollback = values.contains("after-take-back");
    if (values.contains("arguments")) {
        line.arguments = values["arguments"].as<Names>();
    }
    if (line.arguments.empty()) {
        return usage("no command; see mimosahubctl --help");
    }
    line.command = line.arguments.front();
    line.arguments.erase(line.arguments.begin());
    for (const auto &status :
         {readDaemons(line, values), readValues(line, values, clock), checkCommand(line, values)}) {
        if (!status.ok()) {
            return status;
        }
    }
    return line;
}

std::string helpText()
{
    std::ostringstream out;
    out << "Usage: mimosahubctl [OPTION]... COMMAND [ARGUMENT]...\n\nCommands:\n";
    for (const auto &row : commandRows()) {
        const auto form = row.name + (row.usage.empty() ? "" : " ") + row.usage;
        out << "  " << form << std::string(form.size() < 40 ? 40 - form.size() : 1, ' ') << row.summary << "\n";
    }
    out << "\n" << describeOptions() << kHelpTail;
    return out.str();
}

} // namespace mimosahub::ctl
