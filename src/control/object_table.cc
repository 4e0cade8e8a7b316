// Compare-and-set on offsets: a change names the offset of the object's last
// accepted change, so of two operators who started from the same version the
// first by offset wins. Specs are kept as the text that was published. Parsing
// and printing a number again may change its last digit, and a daemon that
// restored a snapshot would then hold another state than one that did not.

#include "control/object_table.h"

#include "config/configuration_codec.h"
#include "control/json_archive.h"

#include <absl/strings/str_cat.h>

#include <set>

namespace mimosahub
{

namespace
{

std::string nameOf(const ObjectKey &object)
{
    return absl::StrCat(std::string(enumName(object.kind)), " ", object.name);
}

/// Parses \a spec into \a values, or adds a problem.
void parseSpec(const ObjectKey &object, const std::string &spec, std::map<ObjectKey, boost::json::value> &values,
               std::vector<Problem> &problems)
{
    if (auto json = parseJson(spec); json.ok()) {
        values.insert_or_assign(object, *std::move(json));
    } else {
        problems.push_back({"", nameOf(object), std::string(json.status().message()), "a JSON document"});
    }
}

std::vector<std::string> describeAll(const std::vector<Problem> &problems)
{
    constexpr std::size_t kMaxProblems = 20;
    std::vector<std::string> lines;
    for (const auto &it : problems) {
        if (lines.size() == kMaxProblems) {
            break;
        }
        lines.push_back(it.str());
    }
    return lines;
}

} // namespace

Decision ObjectTable::apply(const Publish &publish, const RecordContext &context)
{
    if (auto decision = checkBases(publish); !decision.accepted()) {
        return decision;
    }
    if (auto decision = checkSize(publish); !decision.accepted()) {
        return decision;
    }
    // The old values of the changed objects, to undo an invalid publish.
    Values undo;
    std::vector<Problem> problems;
    for (const auto &it : publish.changes) {
        if (auto node = m_values.extract(it.object)) {
            undo.insert(std::move(node));
        }
        if (it.spec) {
            parseSpec(it.object, *it.spec, m_values, problems);
        }
    }
    std::shared_ptr<const Configuration> configuration;
    if (problems.empty()) {
        configuration = std::make_shared<Configuration>(buildConfiguration(m_values, problems));
    }
    if (!problems.empty()) {
        for (const auto &it : publish.changes) {
            m_values.erase(it.object);
        }
        m_values.merge(undo);
        return reject(Rejection::InvalidConfiguration, "the configuration would be invalid.", describeAll(problems));
    }
    for (const auto &it : publish.changes) {
        auto &object = m_objects[it.object];
        m_specBytes -= object.spec.size();
        if (it.spec) {
            object = {context.position.offset, publish.operatorName, *it.spec};
            m_specBytes += it.spec->size();
        } else {
            m_objects.erase(it.object);
        }
    }
    m_configuration = std::move(configuration);
    return accept();
}

std::optional<Offset> ObjectTable::versionOf(const ObjectKey &object) const
{
    const auto it = m_objects.find(object);
    return it == m_objects.end() ? std::nullopt : std::optional(it->second.version);
}

absl::Status ObjectTable::rebuild()
{
    m_values.clear();
    m_specBytes = 0;
    std::vector<Problem> problems;
    for (const auto &[key, object] : m_objects) {
        parseSpec(key, object.spec, m_values, problems);
        m_specBytes += object.spec.size();
    }
    auto configuration = std::make_shared<Configuration>(buildConfiguration(m_values, problems));
    if (!problems.empty()) {
        return errorAt(absl::StatusCode::kFailedPrecondition, Step::Apply, "",
                       absl::StrCat("the snapshot's configuration is invalid: ", problems.front().str()));
    }
    m_configuration = std::move(configuration);
    return absl::OkStatus();
}

Decision ObjectTable::checkBases(const Publish &publish) const
{
    if (publish.changes.empty()) {
        return reject(Rejection::Damaged, "the publish changes nothing.");
    }
    std::set<ObjectKey> seen;
    for (const auto &it : publish.changes) {
        if (!seen.insert(it.object).second) {
            return reject(Rejection::Damaged, absl::StrCat(nameOf(it.object), " is named twice."));
        }
        const auto object = m_objects.find(it.object);
        const auto version = object == m_objects.end() ? Offset() : object->second.version;
        const bool removesNothing = !it.spec && object == m_objects.end();
        if (version == it.base && !removesNothing) {
            continue;
        }
        if (object == m_objects.end()) {
            return reject(Rejection::StaleBase,
                          absl::StrCat(nameOf(it.object), " does not exist; the base is ", it.base.value(), "."));
        }
        return reject(Rejection::StaleBase,
                      absl::StrCat(nameOf(it.object), " was changed by ", object->second.operatorName, " at ",
                                   version.value(), "; the base is ", it.base.value(), "."));
    }
    return accept();
}

Decision ObjectTable::checkSize(const Publish &publish) const
{
    std::size_t added = 0;
    std::size_t bytes = m_specBytes;
    for (const auto &it : publish.changes) {
        const auto object = m_objects.find(it.object);
        added += it.spec && object == m_objects.end() ? 1 : 0;
        bytes -= object == m_objects.end() ? 0 : object->second.spec.size();
        bytes += it.spec ? it.spec->size() : 0;
    }
    // Removals always fit, or a full table could never shrink.
    const bool grows = bytes > m_specBytes || added > 0;
    if (grows && (m_objects.size() + added > kMaxObjects || bytes > kMaxSpecBytesInAll)) {
        return reject(Rejection::TooMany, "the configuration would be too large.");
    }
    return accept();
}

} // namespace mimosahub
