// Reads one group by one function, as config/settings.cc does.

#include "gateway/gateway_settings.h"

#include "config/document.h"
#include "config/object_reader.h"
#include "config/settings_reader.h"

#include <boost/json.hpp>

namespace mimosahub
{

namespace
{

using namespace std::chrono_literals;

constexpr Range<Duration> kLeavingBound = {100ms, 2min};
constexpr Range<Duration> kConfigurationBound = {500ms, 2min};
constexpr Range<Duration> kPeriod = {0ms, 1h};
constexpr Range<double> kRatio = {0.0, 10.0};
constexpr Range<double> kShare = {0.0, 1.0};
constexpr Range<double> kCapacity = {1e-6, 1e6};
constexpr Range<double> kExtra = {0.0, 1e9};
constexpr Range<Duration> kLease = {100ms, 1h};
constexpr Range<Duration> kUsageWindow = {100ms, 24h};
constexpr Range<int> kMemoryMb = {64, 1'000'000};
constexpr Range<int> kBufferMb = {1, 1'000'000};
constexpr Range<Duration> kRoomWait = {0ms, 1min};
constexpr Range<int> kDescriptors = {256, 10'000'000};

constexpr const char *kUsageReport = "usage_report";
constexpr const char *kAutoscale = "autoscale";

GatewayListenSettings readListen(ObjectReader reader)
{
    GatewayListenSettings listen;
    readAddress(reader, "callers", listen.callers);
    readAddress(reader, "readiness", listen.readiness);
    readAddress(reader, "peers", listen.peers);
    readAddress(reader, "metrics", listen.metrics);
    reader.finish();
    return listen;
}

StoreSettings readStore(ObjectReader reader)
{
    StoreSettings store;
    readAddress(reader, "address", store.address);
    reader.duration("leaving_bound", store.leavingBound, kLeavingBound);
    reader.duration("configuration_bound", store.configurationBound, kConfigurationBound);
    reader.duration("lapse_grace", store.lapseGrace, kPeriod);
    reader.finish();
    return store;
}

SecondSendSettings readSecondSends(ObjectReader reader)
{
    SecondSendSettings settings;
    reader.number("ratio", settings.ratio, kRatio);
    reader.number("extra", settings.extra, kExtra);
    reader.duration("window", settings.window, kPeriod);
    reader.finish();
    return settings;
}

RolloutSettings readRollouts(ObjectReader reader)
{
    RolloutSettings settings;
    reader.number("exposure_share", settings.exposureShare, kShare);
    reader.number("exposure_slack", settings.exposureSlack, kExtra);
    reader.finish();
    return settings;
}

InstanceLimits readLimits(ObjectReader reader)
{
    InstanceLimits limits;
    reader.integer("memory_mb", limits.memoryMb, kMemoryMb);
    reader.integer("descriptors", limits.descriptors, kDescriptors);
    if (reader.has("buffer_mb")) {
        reader.integer("buffer_mb", limits.bufferMb.emplace(), kBufferMb);
    }
    reader.duration("room_wait", limits.roomWait, kRoomWait);
    reader.finish();
    return limits;
}

DutySettings readDuties(ObjectReader reader)
{
    DutySettings duties;
    readAddress(reader, "address", duties.address);
    reader.items("names", [&](const boost::json::value &value, const Place & /*place*/) {
        const auto *name = value.if_string();
        if (name != nullptr && *name == kUsageReport) {
            duties.usageReport = true;
        } else if (name != nullptr && *name == kAutoscale) {
            duties.autoscale = true;
        } else {
            duties.unknown.push_back(shown(value));
        }
    });
    reader.number("calls_per_second", duties.callsPerSecond, kExtra);
    reader.flag("fence_checked", duties.fenceChecked);
    reader.duration("lease", duties.lease, kLease);
    reader.duration("resume_slack", duties.resumeSlack, kPeriod);
    reader.duration("usage_window", duties.usageWindow, kUsageWindow);
    reader.duration("usage_due", duties.usageDue, kPeriod);
    reader.number("usage_tolerance", duties.usageTolerance, kShare);
    reader.finish();
    return duties;
}

} // namespace

Checked<GatewaySettings> GatewaySettings::parse(std::string_view file, std::string_view text)
{
    const auto document = parseDocument(file, text);
    if (!document.ok()) {
        return Checked<GatewaySettings>(document.problems());
    }
    std::vector<Problem> problems;
    ObjectReader reader(document.value(), {std::string(file), ""}, problems);
    GatewaySettings settings;
    settings.instance = readInstance(reader.object("instance"));
    settings.listen = readListen(reader.object("listen"));
    settings.store = readStore(reader.object("store"));
    settings.secondSends = readSecondSends(reader.object("second_sends"));
    if (reader.has("rollouts")) {
        settings.rollouts = readRollouts(reader.object("rollouts"));
    }
    if (reader.has("duties")) {
        settings.duties = readDuties(reader.object("duties"));
    }
    settings.limits = readLimits(reader.object("limits"));
    reader.duration("grace", settings.grace, kPeriod);
    reader.number("capacity", settings.capacity, kCapacity);
    settings.log = readLog(reader.object("log"));
    reader.finish();
    return {std::move(settings), std::move(problems)};
}

Checked<GatewaySettings> GatewaySettings::load(const std::string &path)
{
    const auto text = readTextFile(path);
    return text.ok() ? parse(path, text.value()) : Checked<GatewaySettings>(text.problems());
}

std::vector<std::string> GatewaySettings::disabledFeatures() const
{
    std::vector<std::string> names;
    if (!rollouts) {
        names.emplace_back("rollouts");
    }
    if (!duties || !duties->usageReport) {
        names.emplace_back(kUsageReport);
    }
    if (!duties || !duties->autoscale) {
        names.emplace_back(kAutoscale);
    }
    if (duties) {
        names.insert(names.end(), duties->unknown.begin(), duties->unknown.end());
    }
    return names;
}

bool isGatewayDocument(std::string_view text)
{
    const auto document = parseDocument("", text);
    return document.ok() && document.value().is_object() && document.value().get_object().contains("store");
}

} // namespace mimosahub
