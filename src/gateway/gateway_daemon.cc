// Opens the parts, waits for a signal, and stops them in order: first not ready,
// then no new connections, and the end once all requests are answered or the
// platform's patience is nearly over.

#include "gateway/gateway_daemon.h"

#include "base/hash.h"
#include "base/log.h"
#include "daemon/process_metrics.h"
#include "gateway/gateway_traffic.h"

#include <absl/strings/str_join.h>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

#include <iostream>

namespace mimosahub
{

namespace
{

constexpr int kStartError = 1;
/// Kept from the grace time for the process's own end.
constexpr Duration kExitTime = std::chrono::milliseconds(1200);
/// The balancer goes on sending connections for so long after readiness ended.
constexpr Duration kBalancerLag = std::chrono::milliseconds(2500);
constexpr Duration kLastAnswers = std::chrono::milliseconds(150); ///< For answers on their way.
constexpr Duration kDrainPoll = std::chrono::milliseconds(50);

/// The small servers for the balancer, and for metrics and operators.
class SideServers
{
public:
    /// All arguments must outlive the servers.
    SideServers(boost::asio::io_context &io, const Clock &clock, MetricRegistry &metrics, GatewayTraffic &traffic,
                const DutyBoard &duties, std::uint64_t memoryBytes)
        : m_io(io),
          m_clock(clock),
          m_metrics(metrics),
          m_traffic(traffic),
          m_duties(duties),
          m_process(metrics),
          m_memoryMetrics(clock, metrics, "operators", memoryBytes),
          m_memory(clock, {.budget = memoryBytes})
    {
        m_memory.setObserver(&m_memoryMetrics);
        m_process.addServer("callers", traffic.serverCounters());
    }

    absl::Status listen(const GatewayListenSettings &settings, std::function<bool()> ready)
    {
        const auto readiness = [ready = std::move(ready)](http::Exchange &exchange) -> http::Awaitable<void> {
            const int status = ready() ? 200 : 503;
            co_await exchange.answer(http::makeResponse(status, "text/plain", ""));
        };
        if (auto status = add(settings.readiness, readiness); !status.ok()) {
            return status;
        }
        const auto metrics = [this](http::Exchange &exchange) -> http::Awaitable<void> {
            const auto path = http::pathOf(http::fromBeast(exchange.request().target()));
            if (path == "/quarantines") {
                co_await exchange.answer(
                    http::makeResponse(200, http::kJsonType, m_traffic.quarantines().render(m_clock.now())));
                co_return;
            }
            if (path == "/duties") {
                co_await exchange.answer(http::makeResponse(200, http::kJsonType, m_duties.status()));
                co_return;
            }
            if (path == "/quarantines/end") {
                co_await exchange.answer(endQuarantine(exchange.request()));
                co_return;
            }
            m_process.update();
            co_await exchange.answer(http::makeResponse(200, "text/plain; version=0.0.4", m_metrics.render()));
        };
        return add(settings.metrics, metrics);
    }

private:
    /// Ends the quarantine that the body of \a request names.
    http::Response endQuarantine(const http::Request &request)
    {
        boost::json::error_code ec;
        const auto body = boost::json::parse(request.body(), ec);
        const auto *object = ec ? nullptr : body.if_object();
        const auto *service = object == nullptr ? nullptr : object->if_contains("service");
        const auto *part = object == nullptr ? nullptr : object->if_contains("part");
        if (request.method() != http::beast::http::verb::post || service == nullptr || part == nullptr
            || !service->is_string() || !part->is_string()) {
            return http::makeResponse(400, http::kJsonType, R"({"error": "POST {\"service\": ..., \"part\": ...}"})");
        }
        const ServiceId named(std::string(service->get_string()));
        const std::string id(part->get_string());
        logEvent(LogLevel::Info, "quarantine-end-asked").with("service", named).with("part", std::string_view(id));
        m_traffic.endQuarantine(named, id);
        return http::makeResponse(202, http::kJsonType, "{}");
    }

    absl::Status add(const Address &address, http::Handler handler)
    {
        auto server = http::Server::listen(m_io, address, http::ServerOptions::forOperators(), std::move(handler));
        if (server.ok()) {
            (*server)->setMemory(m_memory);
            (*server)->start();
            m_servers.push_back(*server);
        }
        return server.status();
    }

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    MetricRegistry &m_metrics;
    GatewayTraffic &m_traffic;
    const DutyBoard &m_duties;
    ProcessMetrics m_process;
    http::MemoryMetrics m_memoryMetrics;
    http::MemoryAccount m_memory;
    std::vector<std::shared_ptr<http::Server>> m_servers;
};

int fail(const absl::Status &status)
{
    logEvent(LogLevel::Error, "start-failed").with(status);
    return kStartError;
}

/// The process's signals, caught from the construction on: one that comes while the
/// daemon starts is kept until it is waited for.
class Signals
{
public:
    /// Runs until SIGTERM or SIGINT; \a onHangUp is called for each SIGHUP.
    void waitForStop(const std::function<void()> &onHangUp)
    {
        wait(onHangUp);
        m_io.run();
    }

private:
    void wait(const std::function<void()> &onHangUp)
    {
        m_signals.async_wait([this, &onHangUp](const boost::system::error_code &ec, int signal) {
            if (!ec && signal == SIGHUP) {
                onHangUp();
                wait(onHangUp);
            }
        });
    }

    boost::asio::io_context m_io{1};
    boost::asio::signal_set m_signals{m_io, SIGINT, SIGTERM, SIGHUP};
};

/// Reads the settings again. What can change in a running process takes effect;
/// settings with problems change nothing.
void reload(const GatewayAdapter &adapter, const GatewaySettings &settings, GatewayTraffic &traffic)
{
    const auto read = adapter.reload();
    if (!read.ok()) {
        logEvent(LogLevel::Error, "reload-failed").with("problems", problemLines(read.problems()));
        return;
    }
    const auto &fresh = read.value();
    const bool needsRestart = fresh.listen.callers != settings.listen.callers
        || fresh.store.address != settings.store.address || fresh.instance.id != settings.instance.id;
    traffic.setSecondSends(fresh.secondSends);
    logEvent(LogLevel::Info, "reloaded").with("needs_restart", needsRestart);
}

/// Waits until all requests are answered or \a longest is over; then gives up the rest.
void drain(GatewayTraffic &traffic, const Clock &clock, Duration longest)
{
    const auto begin = clock.now();
    traffic.drain();
    std::this_thread::sleep_for(std::min(kBalancerLag, longest));
    traffic.refuseNew();
    while (traffic.openRequests() > 0 && clock.now() - begin < longest) {
        std::this_thread::sleep_for(kDrainPoll);
    }
    traffic.cutShort();
    std::this_thread::sleep_for(kLastAnswers);
}

} // namespace

int runGateway(const GatewaySettings &settings, const GatewayAdapter &adapter)
{
    http::boundHeap();
    Signals signals;
    SystemClock clock;
    const auto output = LogOutput::open(std::cout, settings.log.level, settings.log.format, clock);
    MetricRegistry metrics;
    GatewayViews views(std::make_shared<GatewayView>());
    const auto seed =
        hashBytes(settings.instance.id.str(), static_cast<std::uint64_t>(clock.wallTime().time_since_epoch().count()));
    TableRelay endpointTable;
    DutyBoard duties;
    auto traffic =
        GatewayTraffic::create({clock, settings, views, adapter.calls, duties, endpointTable, metrics}, seed);
    if (!traffic.ok()) {
        return fail(traffic.status());
    }
    GatewayControl control(
        clock, settings, adapter.documents, adapter.makeStore, **traffic, endpointTable, {adapter.duties, duties},
        metrics, views,
        {[&] { (*traffic)->viewChanged(); },
         [&](std::vector<Quarantine> stored) { (*traffic)->takeStoredQuarantines(std::move(stored)); }},
        seed + 1);
    (*traffic)->connectRollouts(
        {[&](const WantedStatus &wanted) { control.wantStatus(wanted); }, [&] { control.measureStore(); }});
    (*traffic)->connectQuarantine(
        {[&](const Quarantine &quarantine, bool own) { control.wantQuarantine(quarantine, own); },
         [&](const Quarantine &quarantine, std::function<void(bool)> onResult) {
             control.claimTrial(quarantine, std::move(onResult));
         }});
    std::atomic<bool> serving{true};
    SideServers sides(control.io(), clock, metrics, **traffic, duties, settings.limits.memoryShares().operators);
    if (const auto status = sides.listen(settings.listen, [&] { return serving && control.caughtUp(); });
        !status.ok()) {
        return fail(status);
    }
    (*traffic)->start();
    control.start();
    if (const auto features = settings.disabledFeatures(); !features.empty()) {
        logEvent(LogLevel::Info, "features-disabled").with("features", absl::StrJoin(features, ", "));
    }
    logEvent(LogLevel::Info, "started")
        .with("instance", settings.instance.id)
        .with("zone", settings.instance.zone)
        .with("callers", settings.listen.callers.str());
    signals.waitForStop([&] { reload(adapter, settings, **traffic); });
    logEvent(LogLevel::Info, "draining").with("open", (*traffic)->openRequests());
    serving = false;
    control.leave();
    drain(**traffic, clock, settings.grace - kExitTime);
    control.stop();
    (*traffic)->stop();
    logEvent(LogLevel::Info, "stopped").with("instance", settings.instance.id);
    return 0;
}

} // namespace mimosahub
