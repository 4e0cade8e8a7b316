// mimosahub-standin: the platform, or a set of endpoints, for trying out and
// testing mimosahub on one machine. Prints one line of JSON with its ports when
// it is ready.

#include "standin/endpoint.h"
#include "standin/platform.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

using namespace mimosahub;
namespace json = boost::json;
namespace options = boost::program_options;

constexpr int kUsageError = 2;
constexpr int kStartError = 1;

Duration millis(const json::object &object, std::string_view key, Duration fallback)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr) {
        return fallback;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value->to_number<double>()));
}

std::string text(const json::object &object, std::string_view key, std::string fallback)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    return value == nullptr ? std::move(fallback) : json::value_to<std::string>(*value);
}

int integer(const json::object &object, std::string_view key, int fallback)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    return value == nullptr ? fallback : value->to_number<int>();
}

standin::EndpointOptions endpointOptions(const json::object &object)
{
    standin::EndpointOptions result;
    result.info.id = EndpointId(text(object, "id", ""));
    result.info.service = ServiceId(text(object, "service", ""));
    result.info.zone = ZoneId(text(object, "zone", ""));
    result.info.version = VersionId(text(object, "version", "v1"));
    result.info.address = {"127.0.0.1", static_cast<std::uint16_t>(integer(object, "port", 0))};
    result.kind = text(object, "kind", "plain") == "engine" ? ServiceKind::Engine : ServiceKind::Plain;
    result.callTime = millis(object, "call_ms", result.callTime);
    result.tokenTime = millis(object, "token_ms", result.tokenTime);
    result.promptTokenTime = millis(object, "prompt_token_ms", result.promptTokenTime);
    result.capacity = integer(object, "capacity", result.capacity);
    result.coldBears = integer(object, "cold_bears", result.coldBears);
    result.coldTime = millis(object, "cold_ms", result.coldTime);
    result.fallTime = millis(object, "fall_ms", result.fallTime);
    result.reportLag = millis(object, "report_lag_ms", result.reportLag);
    result.checksFencing = integer(object, "checks_fencing", 0) != 0;
    result.ledgerFile = text(object, "ledger_file", "");
    result.seed = static_cast<std::uint64_t>(integer(object, "seed", 1));
    return result;
}

json::object describe(const EndpointInfo &info)
{
    return {{"id", info.id.str()},
            {"role", "endpoint"},
            {"service", info.service.str()},
            {"zone", info.zone.str()},
            {"version", info.version.str()},
            {"address", info.address.str()},
            {"leaving", false}};
}

void runUntilSignal(boost::asio::io_context &io)
{
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code &, int) { io.stop(); });
    io.run();
}

int runPlatform(const options::variables_map &arguments)
{
    boost::asio::io_context io(1);
    SystemClock clock;
    standin::PlatformOptions settings;
    settings.address.port = arguments["port"].as<std::uint16_t>();
    settings.log.retainedRecords = arguments["retain"].as<std::size_t>();
    settings.log.appendsPerSecond = arguments["appends-per-second"].as<double>();
    settings.listLag = std::chrono::milliseconds(arguments["list-lag-ms"].as<int>());
    settings.seed = arguments["seed"].as<std::uint64_t>();
    const auto platform = standin::Platform::start(io, clock, settings);
    if (!platform.ok()) {
        std::cerr << platform.status().message() << '\n';
        return kStartError;
    }
    std::cout << json::serialize(json::object{{"platform", (*platform)->port()}}) << std::endl;
    runUntilSignal(io);
    return 0;
}

int runEndpoints(const std::string &file)
{
    std::ifstream in(file);
    std::stringstream content;
    content << in.rdbuf();
    json::error_code ec;
    json::parse_options parseOptions;
    parseOptions.allow_comments = true;
    const auto list = json::parse(content.str(), ec, {}, parseOptions);
    if (!in || ec || !list.is_array()) {
        std::cerr << file << ": not a readable JSON array of endpoints\n";
        return kUsageError;
    }
    boost::asio::io_context io(1);
    SystemClock clock;
    std::vector<std::unique_ptr<standin::Endpoint>> endpoints;
    json::array ready;
    for (const auto &entry : list.get_array()) {
        auto endpoint = standin::Endpoint::start(io, clock, endpointOptions(entry.as_object()));
        if (!endpoint.ok()) {
            std::cerr << endpoint.status().message() << '\n';
            return kStartError;
        }
        ready.push_back(describe((*endpoint)->info()));
        endpoints.push_back(std::move(*endpoint));
    }
    std::cout << json::serialize(json::object{{"endpoints", std::move(ready)}}) << std::endl;
    runUntilSignal(io);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description described("mimosahub-standin platform|endpoints [FILE] [options]");
    options::positional_options_description positions;
    positions.add("role", 1).add("file", 1);
    auto add = described.add_options();
    add("help", "print this help");
    add("role", options::value<std::string>(), "platform, or endpoints");
    add("file", options::value<std::string>()->default_value(""), "endpoints: JSON array of endpoints");
    add("port", options::value<std::uint16_t>()->default_value(0), "platform: TCP port; 0 lets the system choose");
    add("retain", options::value<std::size_t>()->default_value(100000), "platform: records that the log keeps");
    add("appends-per-second", options::value<double>()->default_value(400), "platform: rate limit of the log");
    add("list-lag-ms", options::value<int>()->default_value(500), "platform: lag of the instance list");
    add("seed", options::value<std::uint64_t>()->default_value(1), "seed of all random faults");
    options::variables_map arguments;
    try {
        const auto parsed = options::command_line_parser(argc, argv).options(described).positional(positions).run();
        options::store(parsed, arguments);
    } catch (const options::error &error) {
        std::cerr << "mimosahub-standin: " << error.what() << '\n';
        return kUsageError;
    }
    const auto role = arguments.count("role") != 0 ? arguments["role"].as<std::string>() : "";
    if (arguments.count("help") != 0) {
        std::cout << described;
        return 0;
    }
    if (role == "platform") {
        return runPlatform(arguments);
    }
    if (role == "endpoints") {
        return runEndpoints(arguments["file"].as<std::string>());
    }
    std::cerr << "mimosahub-standin: role '" << role << "'; allowed: platform, endpoints\n";
    return kUsageError;
}
