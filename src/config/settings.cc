// Each group is read by one function that names keys and bounds beside each
// other. Relations between values are checked last: they hold for defaults too,
// so that a key left out is checked against those that were written.

#include "config/settings.h"

#include "config/address.h"
#include "config/document.h"
#include "config/duration.h"
#include "config/object_reader.h"
#include "config/settings_reader.h"

#include <absl/strings/str_cat.h>

#include <array>

namespace mimosahub
{

namespace
{

using namespace std::chrono_literals;

constexpr Range<Duration> kShortPeriod = {10ms, 1min};
constexpr Range<Duration> kLongPeriod = {100ms, 1h};
constexpr Range<Duration> kSkew = {0ms, 1min};
constexpr Range<int> kThreads = {1, 256};
constexpr Range<int> kCount = {1, 1'000'000};
constexpr Range<std::size_t> kHeaderBytes = {1U << 10U, 1U << 20U};
constexpr Range<std::size_t> kBodyBytes = {1U << 10U, 1U << 30U};
constexpr Range<int> kMemoryMb = {48, 1 << 20};
constexpr Range<std::size_t> kBufferBytes = {64U << 10U, std::size_t(64) << 30U};

constexpr std::array kLogLevels = {
    Word<LogLevel>{"debug", LogLevel::Debug},
    Word<LogLevel>{"info", LogLevel::Info},
    Word<LogLevel>{"warning", LogLevel::Warning},
    Word<LogLevel>{"error", LogLevel::Error},
};
constexpr std::array kLogFormats = {
    Word<LogFormat>{"text", LogFormat::Text},
    Word<LogFormat>{"json", LogFormat::Json},
};
constexpr std::array kPolicyModes = {
    Word<PolicyMode>{"full", PolicyMode::Full},
    Word<PolicyMode>{"baseline", PolicyMode::Baseline},
};

constexpr std::string_view kAddressRule = "\"IP:PORT\" with an IPv4 address";

using AddressParser = std::optional<Address> (*)(std::string_view);

void readAddressBy(ObjectReader &reader, std::string_view key, Address &out, AddressParser parser,
                   std::string_view allowed)
{
    std::string text;
    reader.text(key, text, Presence::Required, allowed);
    if (text.empty()) {
        return;
    }
    if (const auto address = parser(text)) {
        out = *address;
    } else {
        reader.report(key, shown(text), std::string(allowed));
    }
}

void checkOverlap(ObjectReader &reader, std::string_view key, const Address &a, std::string_view otherKey,
                  const Address &b)
{
    if (overlap(a, b)) {
        reader.report(key, a.str(),
                      absl::StrCat("an address that doesn't overlap with listen.", std::string(otherKey), ", which is ",
                                   b.str()));
    }
}

/// An address that others connect to: the key may be left out, the port not.
void readAdvertised(ObjectReader &reader, std::string_view key, std::optional<Address> &out)
{
    std::string text;
    reader.text(key, text);
    if (text.empty()) {
        return;
    }
    const auto address = parseAddress(text);
    if (address && address->port != 0) {
        out = address;
    } else {
        reader.report(key, shown(text), "\"IP:PORT\" with an IPv4 address and a port other than 0");
    }
}

ListenSettings readListen(ObjectReader reader)
{
    ListenSettings listen;
    readAddress(reader, "callers", listen.callers);
    readAddress(reader, "operators", listen.operators);
    readAddress(reader, "peers", listen.peers);
    readAdvertised(reader, "peers_advertised", listen.peersAdvertised);
    checkOverlap(reader, "operators", listen.operators, "callers", listen.callers);
    checkOverlap(reader, "peers", listen.peers, "callers", listen.callers);
    checkOverlap(reader, "peers", listen.peers, "operators", listen.operators);
    reader.finish();
    return listen;
}

PlatformSettings readPlatform(ObjectReader reader)
{
    constexpr std::string_view kAllowed = "\"http://IP:PORT\" with an IPv4 address";
    PlatformSettings platform;
    readAddressBy(reader, "log", platform.log, parseHttpUrl, kAllowed);
    readAddressBy(reader, "instances", platform.instances, parseHttpUrl, kAllowed);
    reader.finish();
    return platform;
}

ThreadSettings readThreads(ObjectReader reader)
{
    ThreadSettings threads;
    reader.integer("traffic", threads.traffic, kThreads);
    reader.finish();
    return threads;
}

LimitSettings readLimits(ObjectReader reader)
{
    LimitSettings limits;
    reader.integer("header_bytes", limits.headerBytes, kHeaderBytes);
    reader.integer("body_bytes", limits.bodyBytes, kBodyBytes);
    reader.integer("open_connections", limits.openConnections, kCount);
    reader.integer("open_requests_per_workspace", limits.openRequestsPerWorkspace, kCount);
    reader.integer("buffered_bytes_per_workspace", limits.bufferedBytesPerWorkspace, kBufferBytes);
    reader.integer("memory_mb", limits.memoryMb, kMemoryMb);
    if (limits.bufferedBytesPerWorkspace < limits.bodyBytes && !reader.faulty("body_bytes")
        && !reader.faulty("buffered_bytes_per_workspace")) {
        reader.report("buffered_bytes_per_workspace", std::to_string(limits.bufferedBytesPerWorkspace),
                      absl::StrCat("at least body_bytes, which is ", limits.bodyBytes));
    }
    reader.finish();
    return limits;
}

void checkBelow(ObjectReader &reader, std::string_view key, Duration value, std::string_view limitKey, Duration limit)
{
    if (value >= limit && !reader.faulty(key) && !reader.faulty(limitKey)) {
        reader.report(key, formatDuration(value),
                      absl::StrCat("less than ", std::string(limitKey), ", which is ", formatDuration(limit)));
    }
}

TimeoutSettings readTimeouts(ObjectReader reader)
{
    TimeoutSettings timeouts;
    reader.duration("log_poll_interval", timeouts.logPollInterval, kShortPeriod);
    reader.duration("freshness", timeouts.freshness, kShortPeriod);
    reader.duration("heartbeat", timeouts.heartbeat, kShortPeriod);
    reader.duration("slot_lease", timeouts.slotLease, kShortPeriod);
    reader.duration("drain", timeouts.drain, kLongPeriod);
    reader.duration("idle_connection", timeouts.idleConnection, kLongPeriod);
    reader.duration("stage_progress", timeouts.stageProgress, kLongPeriod);
    reader.duration("platform_call", timeouts.platformCall, kShortPeriod);
    reader.duration("platform_kill", timeouts.platformKill, kLongPeriod);
    reader.duration("clock_skew", timeouts.clockSkew, kSkew);
    checkBelow(reader, "log_poll_interval", timeouts.logPollInterval, "freshness", timeouts.freshness);
    checkBelow(reader, "heartbeat", timeouts.heartbeat, "freshness", timeouts.freshness);
    checkBelow(reader, "heartbeat", timeouts.heartbeat, "slot_lease", timeouts.slotLease);
    checkBelow(reader, "drain", timeouts.drain, "platform_kill", timeouts.platformKill);
    reader.finish();
    return timeouts;
}

PolicySettings readPolicy(ObjectReader reader)
{
    PolicySettings policy;
    reader.choice<PolicyMode>("mode", policy.mode, kPolicyModes);
    reader.finish();
    return policy;
}

} // namespace

void readAddress(ObjectReader &reader, std::string_view key, Address &out)
{
    readAddressBy(reader, key, out, parseAddress, kAddressRule);
}

InstanceSettings readInstance(ObjectReader reader)
{
    InstanceSettings instance;
    reader.id("id", instance.id, Presence::Required);
    reader.id("zone", instance.zone, Presence::Required);
    reader.id("region", instance.region, Presence::Required);
    reader.finish();
    return instance;
}

LogSettings readLog(ObjectReader reader)
{
    LogSettings log;
    reader.choice<LogLevel>("level", log.level, kLogLevels);
    reader.choice<LogFormat>("format", log.format, kLogFormats);
    reader.finish();
    return log;
}

Checked<Settings> Settings::parse(std::string_view file, std::string_view text)
{
    const auto document = parseDocument(file, text);
    if (!document.ok()) {
        return Checked<Settings>(document.problems());
    }
    std::vector<Problem> problems;
    ObjectReader reader(document.value(), {std::string(file), ""}, problems);
    Settings settings;
    settings.instance = readInstance(reader.object("instance"));
    settings.listen = readListen(reader.object("listen"));
    settings.platform = readPlatform(reader.object("platform"));
    settings.threads = readThreads(reader.object("threads"));
    settings.limits = readLimits(reader.object("limits"));
    settings.timeouts = readTimeouts(reader.object("timeouts"));
    settings.log = readLog(reader.object("log"));
    reader.text("charts", settings.charts);
    settings.policy = readPolicy(reader.object("policy"));
    reader.finish();
    return {std::move(settings), std::move(problems)};
}

Checked<Settings> Settings::load(const std::string &path)
{
    const auto text = readTextFile(path);
    return text.ok() ? parse(path, text.value()) : Checked<Settings>(text.problems());
}

} // namespace mimosahub
