// The commands that start from a file: check, diff and publish.

#include "config/deployment.h"
#include "config/document.h"
#include "config/object_reader.h"
#include "config/settings.h"
#include "ctl/publish_plan.h"
#include "ctl/session.h"
#include "gateway/gateway_settings.h"
#include "mimosahub/error.h"
#include "platform/settings_template.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include <algorithm>
#include <iterator>

namespace mimosahub::ctl
{

namespace
{

// One checked file.
struct FileReport {
    std::string file;
    std::string content; ///< What the file holds, for people.
    std::vector<Problem> problems;
    ZoneId zone; ///< Of right settings.
    std::vector<std::string> zones; ///< Of a right deployment.
};

// Settings name what only a daemon has; all else is taken for a deployment.
bool holdsSettings(const boost::json::value &document)
{
    const auto *object = document.if_object();
    return object && (object->contains("instance") || object->contains("listen") || object->contains("platform"));
}

std::string contentOf(const ObjectMap &objects)
{
    std::string text;
    for (const auto kind : kObjectKinds) {
        const auto n =
            std::count_if(objects.begin(), objects.end(), [&](const auto &it) { return it.first.kind == kind; });
        absl::StrAppend(&text, text.empty() ? "" : ", ", n, " ", std::string(groupName(kind)));
    }
    return text;
}

FileReport checkSettings(const std::string &file, const std::string &text)
{
    FileReport report;
    report.file = file;
    const auto settings = Settings::parse(file, text);
    report.problems = settings.problems();
    if (settings.ok()) {
        report.content = "settings of " + settings.value().instance.id.str();
        report.zone = settings.value().instance.zone;
    }
    return report;
}

FileReport checkGatewaySettings(const std::string &file, const std::string &text)
{
    FileReport report;
    report.file = file;
    const auto settings = GatewaySettings::parse(file, text);
    report.problems = settings.problems();
    if (settings.ok()) {
        report.content = "settings of " + settings.value().instance.id.str();
    }
    return report;
}

/// Checks a template as it is filled in with all fields, and without each group that may be absent.
FileReport checkTemplate(const std::string &file, const std::string &text)
{
    FileReport report;
    report.file = file;
    report.content = "template of settings";
    const auto checkWith = [&](const boost::json::object &fields) {
        const auto filled = platform::renderTemplate(text, fields);
        if (!filled.ok()) {
            report.problems.push_back({file, "", std::string(filled.status().message()), "a template"});
            return;
        }
        const auto found = checkGatewaySettings(file, *filled).problems;
        report.problems.insert(report.problems.end(), found.begin(), found.end());
    };
    checkWith(platform::exampleFields());
    for (const auto &group : platform::optionalFields()) {
        if (report.problems.empty()) {
            checkWith(platform::withoutGroup(platform::exampleFields(), group));
        }
    }
    return report;
}

FileReport checkDeployment(const std::string &file, const std::string &text)
{
    FileReport report;
    report.file = file;
    const auto deployment = parseDeployment(file, text);
    report.problems = deployment.problems();
    if (deployment.ok()) {
        report.content = contentOf(deployment.value());
        for (const auto &[key, spec] : deployment.value()) {
            if (key.kind == ObjectKind::Zone) {
                report.zones.push_back(key.name);
            }
        }
    }
    return report;
}

FileReport checkFile(const std::string &file)
{
    const auto text = readTextFile(file);
    if (!text.ok()) {
        return {file, "", text.problems(), ZoneId(), {}};
    }
    if (platform::isTemplate(text.value())) {
        return checkTemplate(file, text.value());
    }
    if (isGatewayDocument(text.value())) {
        return checkGatewaySettings(file, text.value());
    }
    const auto document = parseDocument(file, text.value());
    const bool settings = document.ok() && holdsSettings(document.value());
    return settings ? checkSettings(file, text.value()) : checkDeployment(file, text.value());
}

// Settings must name a zone of a deployment that is checked with them, if one is.
void checkZones(std::vector<FileReport> &reports)
{
    std::vector<std::string> zones;
    for (const auto &report : reports) {
        zones.insert(zones.end(), report.zones.begin(), report.zones.end());
    }
    for (auto &report : reports) {
        const auto &zone = report.zone.str();
        if (!zone.empty() && !zones.empty() && std::find(zones.begin(), zones.end(), zone) == zones.end()) {
            report.problems.push_back(
                {report.file, "instance.zone", shown(zone), "a zone of the deployments; " + knownNames(zone, zones)});
        }
    }
}

boost::json::object reportJson(const FileReport &report)
{
    boost::json::array problems;
    for (const auto &problem : report.problems) {
        problems.push_back(
            boost::json::object{{"path", problem.path}, {"found", problem.found}, {"allowed", problem.allowed}});
    }
    return {{"file", report.file}, {"ok", report.problems.empty()}, {"problems", std::move(problems)}};
}

} // namespace

ExitCode Session::check()
{
    std::vector<FileReport> reports;
    std::transform(m_line.arguments.begin(), m_line.arguments.end(), std::back_inserter(reports), checkFile);
    checkZones(reports);
    boost::json::array list;
    std::size_t problems = 0;
    for (const auto &report : reports) {
        problems += report.problems.size();
        if (m_line.json) {
            list.push_back(reportJson(report));
        } else if (report.problems.empty()) {
            m_environment.out << report.file << ": right: " << report.content << "\n";
        } else {
            m_environment.out << problemLines(report.problems);
        }
    }
    if (m_line.json) {
        writeJson(boost::json::object{{"files", std::move(list)}});
    } else if (problems > 0) {
        m_environment.out << problems << (problems == 1 ? " problem" : " problems") << "\n";
    }
    return problems == 0 ? ExitCode::Done : ExitCode::Usage;
}

std::optional<ObjectMap> Session::readDeployment()
{
    const auto &file = m_line.arguments.front();
    const auto text = readTextFile(file);
    const auto deployment = text.ok() ? parseDeployment(file, text.value()) : Checked<ObjectMap>(text.problems());
    if (!deployment.ok()) {
        m_environment.err << problemLines(deployment.problems());
        return std::nullopt;
    }
    return deployment.value();
}

absl::StatusOr<PublishedObjects> Session::fetchPublished()
{
    const auto reply = m_client.get("/v1/objects");
    return reply.ok() ? readObjects(*reply) : reply.status();
}

ExitCode Session::diff()
{
    const auto wanted = readDeployment();
    if (!wanted) {
        return ExitCode::Usage;
    }
    const auto published = fetchPublished();
    if (!published.ok()) {
        return fail(published.status());
    }
    const auto changes = planChanges(*wanted, *published, m_line.prune);
    if (m_line.json) {
        writeJson(publishBody(changes, m_line.operatorName));
        return ExitCode::Done;
    }
    for (const auto &change : changes) {
        m_environment.out << describeChange(change);
    }
    m_environment.out << changes.size() << " changes from offset " << published->applied << "\n";
    return ExitCode::Done;
}

ExitCode Session::publish()
{
    const auto wanted = readDeployment();
    if (!wanted) {
        return ExitCode::Usage;
    }
    const auto published = fetchPublished();
    if (!published.ok()) {
        return fail(published.status());
    }
    const auto changes = planChanges(*wanted, *published, m_line.prune);
    for (const auto &change : changes) {
        if (m_line.base && change.base > *m_line.base) {
            m_environment.err << "rejected: stale-base: " << kindName(change.key.kind) << " " << change.key.name
                              << " was changed at offset " << change.base << "\n";
            return ExitCode::Rejected;
        }
    }
    if (!m_line.json) {
        for (const auto &change : changes) {
            m_environment.out << describeChange(change);
        }
    }
    if (changes.empty() || m_line.dryRun) {
        if (m_line.json) {
            writeJson(publishBody(changes, m_line.operatorName));
        } else {
            m_environment.out << (changes.empty() ? "nothing to publish\n" : "not published: dry run\n");
        }
        return ExitCode::Done;
    }
    return sendChange("/v1/publish", publishBody(changes, m_line.operatorName));
}

} // namespace mimosahub::ctl
