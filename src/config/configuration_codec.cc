// One pass in the order of kinds: each kind refers only to those before it, so
// that a stage finds its service already built. A reference is checked against
// the names of the published objects, not against those that were read without
// error, so that one error isn't reported again by each object that refers to
// the faulty one.

#include "config/configuration_codec.h"

#include "config/object_reader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace mimosahub
{

namespace
{

struct KindRow {
    ObjectKind kind;
    std::string_view name;
    std::string_view group;
};

constexpr std::array kKinds = {
    KindRow{ObjectKind::Zone, "zone", "zones"},
    KindRow{ObjectKind::Workspace, "workspace", "workspaces"},
    KindRow{ObjectKind::Profile, "profile", "profiles"},
    KindRow{ObjectKind::Service, "service", "services"},
    KindRow{ObjectKind::Pipeline, "pipeline", "pipelines"},
};

constexpr std::array kServiceKinds = {
    Word<ServiceKind>{"engine", ServiceKind::Engine},
    Word<ServiceKind>{"plain", ServiceKind::Plain},
};

constexpr Range<double> kFraction = {0.0, 1.0};
constexpr Range<double> kFirstShare = {0.0001, 0.05};
constexpr Range<double> kSlowdown = {1.01, 100.0};
constexpr Range<int> kGateOutcomes = {1, 1'000'000};
constexpr Range<int> kConcurrency = {1, 100'000};
constexpr Range<int> kPriority = {-100, 100};
constexpr Range<Duration> kDeadline = {std::chrono::milliseconds(10), std::chrono::hours(1)};
constexpr Range<Duration> kRamp = {std::chrono::milliseconds(0), std::chrono::hours(1)};
constexpr Range<Duration> kTypicalTime = {std::chrono::microseconds(100), std::chrono::hours(1)};
constexpr std::size_t kMostStages = 32;
// Decimal fractions such as 0.1 have no exact binary form.
constexpr double kShareSumTolerance = 1e-9;

// Reads all objects of one configuration.
class Builder
{
public:
    Builder(const ObjectMap &objects, std::vector<Problem> &problems, std::string_view file)
        : m_objects(objects), m_problems(problems), m_file(file)
    {
    }

    Configuration build();

private:
    Zone readZone(const std::string &name, ObjectReader &reader);
    Workspace readWorkspace(const std::string &name, ObjectReader &reader);
    Profile readProfile(const std::string &name, ObjectReader &reader);
    void readShares(Profile &profile, ObjectReader &reader);
    Service readService(const std::string &name, ObjectReader &reader);
    Call readCall(const boost::json::value &value, const Place &place);
    Pipeline readPipeline(const std::string &name, ObjectReader &reader);
    Stage readStage(const boost::json::value &value, const Place &place);

    void resolveCall(Stage &stage, const Place &place, bool stated);
    void checkReference(const Place &place, ObjectKind kind, const std::string &name);
    std::vector<std::string> names(ObjectKind kind) const;
    void report(const Place &place, std::string found, std::string allowed);

    const ObjectMap &m_objects;
    std::vector<Problem> &m_problems;
    std::string m_file;
    Configuration m_configuration;
};

void Builder::report(const Place &place, std::string found, std::string allowed)
{
    m_problems.push_back({place.file, place.path, std::move(found), std::move(allowed)});
}

std::vector<std::string> Builder::names(ObjectKind kind) const
{
    std::vector<std::string> names;
    for (auto it = m_objects.lower_bound({kind, ""}); it != m_objects.end() && it->first.kind == kind; ++it) {
        names.push_back(it->first.name);
    }
    return names;
}

void Builder::checkReference(const Place &place, ObjectKind kind, const std::string &name)
{
    // An empty name was reported when it was read.
    if (!name.empty() && !m_objects.contains({kind, name})) {
        report(place, shown(name),
               absl::StrCat("a defined ", std::string(kindName(kind)), "; ", knownNames(name, names(kind))));
    }
}

Zone Builder::readZone(const std::string &name, ObjectReader &reader)
{
    Zone zone{.id = ZoneId(name), .region = {}};
    reader.id("region", zone.region, Presence::Required);
    return zone;
}

Workspace Builder::readWorkspace(const std::string &name, ObjectReader &reader)
{
    Workspace workspace{.id = WorkspaceId(name)};
    reader.integer("priority", workspace.priority, kPriority);
    return workspace;
}

void Builder::readShares(Profile &profile, ObjectReader &reader)
{
    double sum = 0;
    reader.members("shares", [&](std::string_view key, const boost::json::value &value, const Place &place) {
        const double share = value.is_number() ? value.to_number<double>() : -1.0;
        if (share < kFraction.min || share > kFraction.max) {
            report(place, shown(value), "a number from 0 to 1");
            return;
        }
        checkReference(place, ObjectKind::Workspace, std::string(key));
        profile.shares[WorkspaceId(key)] = share;
        sum += share;
    });
    if (sum > 1.0 + kShareSumTolerance) {
        reader.report("shares", absl::StrCat("a sum of ", sum), "shares whose sum is at most 1");
    }
}

Profile Builder::readProfile(const std::string &name, ObjectReader &reader)
{
    Profile profile{.id = ProfileId(name), .shares = {}, .versions = {}, .zones = {}};
    readShares(profile, reader);
    reader.number("default_share", profile.defaultShare, kFraction);
    reader.duration("deadline", profile.deadline, kDeadline, Presence::Required);

    auto versions = reader.object("versions");
    versions.number("first_share", profile.versions.firstShare, kFirstShare);
    versions.integer("gate_outcomes", profile.versions.gateOutcomes, kGateOutcomes);
    versions.number("max_failure_increase", profile.versions.maxFailureIncrease, kFraction);
    versions.number("max_slowdown", profile.versions.maxSlowdown, kSlowdown);
    versions.finish();

    auto zones = reader.object("zones");
    zones.flag("prefer_near", profile.zones.preferNear);
    zones.duration("ramp", profile.zones.ramp, kRamp);
    zones.finish();
    return profile;
}

Call Builder::readCall(const boost::json::value &value, const Place &place)
{
    ObjectReader reader(value, place, m_problems);
    Id<struct CallTag> name;
    Call call;
    reader.id("name", name, Presence::Required);
    // No default: whether a call may be repeated must have been thought of.
    reader.flag("idempotent", call.idempotent, Presence::Required);
    reader.finish();
    call.name = name.str();
    return call;
}

Service Builder::readService(const std::string &name, ObjectReader &reader)
{
    Service service{.id = ServiceId(name), .profile = {}, .calls = {}, .version = {}};
    reader.choice<ServiceKind>("kind", service.kind, kServiceKinds, Presence::Required);
    reader.id("profile", service.profile, Presence::Required);
    checkReference(reader.place().member("profile"), ObjectKind::Profile, service.profile.str());
    std::set<std::string> seen;
    reader.items("calls", [&](const boost::json::value &value, const Place &place) {
        service.calls.push_back(readCall(value, place));
        if (const auto &call = service.calls.back(); !call.name.empty() && !seen.insert(call.name).second) {
            report(place.member("name"), shown(call.name) + " again", "a name that no other call of the service has");
        }
    });
    reader.integer("warm_limit", service.warmLimit, kConcurrency);
    reader.integer("cold_limit", service.coldLimit, kConcurrency);
    reader.duration("typical_time", service.typicalTime, kTypicalTime);
    reader.id("version", service.version);
    reader.flag("checks_fencing", service.checksFencing);
    if (service.kind == ServiceKind::Engine && !service.calls.empty()) {
        reader.report("calls", absl::StrCat(service.calls.size(), " calls"), "none, since the service is an engine");
    }
    if (service.kind == ServiceKind::Plain && !reader.faulty("kind") && service.calls.empty()
        && !reader.faulty("calls")) {
        reader.report("calls", "no call", "at least one call, since the service is plain");
    }
    if (service.coldLimit > service.warmLimit && !reader.faulty("cold_limit") && !reader.faulty("warm_limit")) {
        reader.report("cold_limit", std::to_string(service.coldLimit),
                      absl::StrCat("at most warm_limit, which is ", service.warmLimit));
    }
    return service;
}

Stage Builder::readStage(const boost::json::value &value, const Place &place)
{
    ObjectReader reader(value, place, m_problems);
    Stage stage;
    Id<struct CallTag> call;
    reader.id("id", stage.id, Presence::Required);
    reader.id("service", stage.service, Presence::Required);
    checkReference(place.member("service"), ObjectKind::Service, stage.service.str());
    reader.id("call", call);
    reader.flag("idempotent", stage.idempotent);
    reader.finish();
    stage.call = call.str();
    resolveCall(stage, place, reader.has("idempotent"));
    return stage;
}

Pipeline Builder::readPipeline(const std::string &name, ObjectReader &reader)
{
    Pipeline pipeline{.id = PipelineId(name), .profile = {}, .stages = {}};
    reader.id("profile", pipeline.profile, Presence::Required);
    checkReference(reader.place().member("profile"), ObjectKind::Profile, pipeline.profile.str());
    std::set<StageId> seen;
    reader.items(
        "stages",
        [&](const boost::json::value &value, const Place &place) {
            pipeline.stages.push_back(readStage(value, place));
            const auto &stage = pipeline.stages.back();
            if (!stage.id.empty() && !seen.insert(stage.id).second) {
                report(place.member("id"), shown(stage.id.str()) + " again", "an id that no other stage has");
            }
        },
        Presence::Required);
    if (reader.has("stages") && (pipeline.stages.empty() || pipeline.stages.size() > kMostStages)) {
        reader.report("stages", absl::StrCat(pipeline.stages.size(), " stages"),
                      absl::StrCat("1 to ", kMostStages, " stages"));
    }
    return pipeline;
}

// Checks the call of a stage against its service. A stage that doesn't state
// whether it is idempotent takes that from the call.
void Builder::resolveCall(Stage &stage, const Place &place, bool stated)
{
    const auto it = m_configuration.services.find(stage.service);
    if (it == m_configuration.services.end()) {
        return;
    }
    const Service &service = it->second;
    if (service.kind == ServiceKind::Engine) {
        if (!stage.call.empty()) {
            report(place.member("call"), shown(stage.call), "no call, since the service is an engine");
        }
        return;
    }
    const auto call = std::find_if(service.calls.begin(), service.calls.end(),
                                   [&](const Call &candidate) { return candidate.name == stage.call; });
    if (call == service.calls.end()) {
        std::vector<std::string> known;
        for (const auto &candidate : service.calls) {
            known.push_back(candidate.name);
        }
        report(place.member("call"), stage.call.empty() ? "nothing" : shown(stage.call),
               absl::StrCat("a call of service ", stage.service.str(), "; ", knownNames(stage.call, known)));
        return;
    }
    if (stated && stage.idempotent && !call->idempotent) {
        report(place.member("idempotent"), "true", "false, since the call is not idempotent");
    }
    stage.idempotent = stage.idempotent && call->idempotent;
}

Configuration Builder::build()
{
    for (const auto &[key, value] : m_objects) {
        const Place place = Place{m_file, std::string(groupName(key.kind))}.member(key.name);
        if (!isName(key.name)) {
            report(place, shown(key.name), std::string(kNameRule));
        }
        ObjectReader reader(value, place, m_problems);
        switch (key.kind) {
        case ObjectKind::Zone:
            m_configuration.zones.emplace(key.name, readZone(key.name, reader));
            break;
        case ObjectKind::Workspace:
            m_configuration.workspaces.emplace(key.name, readWorkspace(key.name, reader));
            break;
        case ObjectKind::Profile:
            m_configuration.profiles.emplace(key.name, readProfile(key.name, reader));
            break;
        case ObjectKind::Service:
            m_configuration.services.emplace(key.name, readService(key.name, reader));
            break;
        case ObjectKind::Pipeline:
            m_configuration.pipelines.emplace(key.name, readPipeline(key.name, reader));
            break;
        }
        reader.finish();
    }
    return std::move(m_configuration);
}

} // namespace

std::string_view kindName(ObjectKind kind)
{
    return kKinds.at(static_cast<std::size_t>(kind)).name;
}

std::string_view groupName(ObjectKind kind)
{
    return kKinds.at(static_cast<std::size_t>(kind)).group;
}

std::optional<ObjectKind> kindFromName(std::string_view name)
{
    for (const auto &row : kKinds) {
        if (row.name == name) {
            return row.kind;
        }
    }
    return std::nullopt;
}

Configuration buildConfiguration(const ObjectMap &objects, std::vector<Problem> &problems, std::string_view file)
{
    return Builder(objects, problems, file).build();
}

} // namespace mimosahub
