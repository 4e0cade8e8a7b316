// mimosahubd: one daemon of the group. Exit codes: 0 stopped as planned, 1 could
// not start, 2 bad command line or settings, 3 stopped because another process has
// taken over the instance.

#include "base/log.h"
#include "base/metrics.h"
#include "config/document.h"
#include "config/settings.h"
#include "daemon/control_thread.h"
#include "daemon/operator_api.h"
#include "daemon/traffic_thread.h"
#include "gateway/gateway_daemon.h"
#include "http/memory_shares.h"
#include "platform/call_messages.h"
#include "platform/documents.h"
#include "platform/duty_messages.h"
#include "platform/store_client.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>

namespace
{

using namespace mimosahub;
namespace options = boost::program_options;

constexpr int kStartError = 1;
constexpr int kUsageError = 2;
constexpr int kSuperseded = 3;
/// Time between looks at the open requests while draining.
constexpr auto kDrainPoll = std::chrono::milliseconds(20);
/// Longest wait for the record of the leave.
constexpr Duration kLeavePatience = std::chrono::seconds(3);
/// Kept from the drain for writing the last answers.
constexpr auto kLastAnswers = std::chrono::milliseconds(300);
/// Requests that the balancer still sends after /readyz says no are served for so long.
constexpr auto kBalancerLag = std::chrono::milliseconds(1000);

using TrafficThreads = std::vector<std::unique_ptr<TrafficThread>>;

std::uint64_t openRequests(const TrafficThreads &threads)
{
    std::uint64_t n = 0;
    for (const auto &thread : threads) {
        n += thread->openRequests();
    }
    return n;
}

/// Waits for a signal, or until somebody stops \a io.
void waitForSignal(boost::asio::io_context &io)
{
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([](const boost::system::error_code &, int) {});
    io.run();
}

/// Finishes open requests; new ones are served until the balancer has noticed.
void drain(TrafficThreads &threads, const Clock &clock, Duration longest)
{
    const auto begin = clock.now();
    for (const auto &thread : threads) {
        thread->drain(begin + longest - kLastAnswers);
    }
    std::this_thread::sleep_for(kBalancerLag);
    for (const auto &thread : threads) {
        thread->stopAccepting();
    }
    while (openRequests(threads) > 0 && clock.now() - begin < longest) {
        std::this_thread::sleep_for(kDrainPoll);
    }
}

absl::Status openTraffic(const TrafficShared &shared, std::uint64_t seed, TrafficThreads &threads)
{
    auto address = shared.settings.listen.callers;
    for (int i = 0; i < shared.settings.threads.traffic; ++i) {
        auto thread = TrafficThread::create(shared, address, i, seed + static_cast<std::uint64_t>(i));
        if (!thread.ok()) {
            return thread.status();
        }
        address.port = (*thread)->port();
        threads.push_back(std::move(*thread));
    }
    return absl::OkStatus();
}

int fail(const absl::Status &status)
{
    logEvent(LogLevel::Error, "start-failed").with(status);
    return kStartError;
}

int runDaemon(const Settings &settings)
{
    http::boundHeap();
    SystemClock clock;
    const auto output = LogOutput::open(std::cerr, settings.log.level, settings.log.format, clock);
    MetricRegistry metrics;
    TrafficViews views(std::make_shared<TrafficView>());
    LeastWaitPolicy leastWait;
    RoundRobinPolicy roundRobin;
    EndpointPolicy *policy = &leastWait;
    if (settings.policy.mode == PolicyMode::Baseline) {
        policy = &roundRobin;
    }
    // Work that the control thread still holds when it goes can hold requests of
    // the traffic threads, so these go after it.
    TrafficThreads threads;
    const auto opened = ControlThread::create(clock, settings, metrics, views);
    if (!opened.ok()) {
        return fail(opened.status());
    }
    auto &control = **opened;
    RequestMetrics requestMetrics(metrics);
    boost::asio::io_context stopping(1);
    control.setOnSuperseded([&] { stopping.stop(); });
    OperatorApi operators(control, clock, metrics, requestMetrics,
                          http::MemoryShares::of(settings.limits.memoryMb).operators);
    if (const auto status = operators.listen(settings.listen.operators); !status.ok()) {
        return fail(status);
    }
    const TrafficShared shared{
        clock,   settings,       views,  control.peers().freshness(), *policy, control.feedback(), control.workspaces(),
        control, requestMetrics, metrics};
    const auto seed = static_cast<std::uint64_t>(clock.wallTime().time_since_epoch().count());
    if (const auto status = openTraffic(shared, seed, threads); !status.ok()) {
        return fail(status);
    }
    for (const auto &thread : threads) {
        operators.addCallersServer(thread->serverCounters());
    }
    control.start();
    for (const auto &thread : threads) {
        thread->start();
    }
    logEvent(LogLevel::Info, "started")
        .with("instance", settings.instance.id)
        .with("callers", static_cast<int>(threads.front()->port()))
        .with("operators", static_cast<int>(operators.port()))
        .with("peers", static_cast<int>(control.peers().listening().port));
    waitForSignal(stopping);
    control.post([&] { control.takeLifeEvent(life::StopAsked()); });
    drain(threads, clock, settings.timeouts.drain);
    control.post([&] { control.takeLifeEvent(life::Drained()); });
    control.leave(kLeavePatience);
    control.post([&] { control.takeLifeEvent(life::Left()); });
    for (const auto &thread : threads) {
        thread->stop();
    }
    control.stop();
    logEvent(LogLevel::Info, "stopped").with("instance", settings.instance.id);
    return control.superseded() ? kSuperseded : 0;
}

/// Where the settings are if the command line doesn't say.
constexpr const char *kSettingsVariable = "MIMOSAHUB_CONFIG";

int runOnPlatform(const GatewaySettings &settings, const std::string &path)
{
    const platform::PlatformCalls calls;
    const platform::PlatformDocuments documents;
    const platform::PlatformDuties duties;
    const auto makeStore = [](http::ConnectionPool &pool, const Address &address) {
        return std::make_unique<platform::StoreClient>(pool, address);
    };
    return runGateway(settings, {calls, documents, duties, makeStore, [path] { return GatewaySettings::load(path); }});
}

/// Checks the settings in \a path and, unless \a checkOnly, runs the kind of daemon
/// that they describe.
int runSettings(const std::string &path, bool checkOnly)
{
    const auto text = readTextFile(path);
    if (!text.ok()) {
        std::cerr << problemLines(text.problems());
        return kUsageError;
    }
    if (isGatewayDocument(text.value())) {
        const auto settings = GatewaySettings::parse(path, text.value());
        if (!settings.ok()) {
            std::cerr << problemLines(settings.problems());
            return kUsageError;
        }
        return checkOnly ? 0 : runOnPlatform(settings.value(), path);
    }
    const auto settings = Settings::parse(path, text.value());
    if (!settings.ok()) {
        std::cerr << problemLines(settings.problems());
        return kUsageError;
    }
    return checkOnly ? 0 : runDaemon(settings.value());
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description described("mimosahubd [options] SETTINGS");
    options::positional_options_description positions;
    positions.add("settings", 1);
    auto add = described.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("check", "check the settings and exit");
    add("settings", options::value<std::string>(), "settings file, JSON with comments");
    options::variables_map arguments;
    try {
        options::store(options::command_line_parser(argc, argv).options(described).positional(positions).run(),
                       arguments);
    } catch (const options::error &error) {
        std::cerr << "mimosahubd: " << error.what() << '\n';
        return kUsageError;
    }
    if (arguments.count("help") != 0) {
        std::cout << described;
        return 0;
    }
    if (arguments.count("version") != 0) {
        std::cout << "mimosahubd " << MIMOSAHUB_VERSION << '\n';
        return 0;
    }
    const char *fromEnvironment = std::getenv(kSettingsVariable);
    if (arguments.count("settings") == 0 && fromEnvironment == nullptr) {
        std::cerr << "mimosahubd: no settings file given\n" << described;
        return kUsageError;
    }
    const auto path =
        arguments.count("settings") != 0 ? arguments["settings"].as<std::string>() : std::string(fromEnvironment);
    return runSettings(path, arguments.count("check") != 0);
}
