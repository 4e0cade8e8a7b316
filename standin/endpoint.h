#pragma once

#include "base/random.h"
#include "http/server.h"
#include "mimosahub/configuration.h"
#include "mimosahub/endpoint.h"

#include <boost/json.hpp>

#include <deque>
#include <list>
#include <memory>
#include <set>
#include <unordered_map>

namespace mimosahub::standin
{

namespace asio = boost::asio;

/// How one endpoint of the stand-in behaves.
struct EndpointOptions {
    EndpointInfo info;
    ServiceKind kind = ServiceKind::Plain;
    Duration callTime = std::chrono::milliseconds(10); ///< A plain call, alone and warm.
    Duration tokenTime = std::chrono::milliseconds(5); ///< One generated token, alone and warm.
    Duration promptTokenTime = std::chrono::microseconds(100); ///< One computed prompt token.
    int capacity = 16; ///< Concurrent calls before time grows in proportion.
    int coldBears = 1; ///< Concurrent calls borne in cold start; more makes it fall over.
    Duration coldTime{0}; ///< Length of a cold start.
    double coldSlowdown = 4; ///< Factor on all times in cold start.
    Duration fallTime = std::chrono::seconds(2); ///< How long it refuses after falling over.
    Duration reportLag = std::chrono::milliseconds(500); ///< Age of the load report.
    std::size_t cachedPrefixes = 64;
    bool checksFencing = false;
    std::string ledgerFile; ///< Executions are added here, one key a line; survives this process. Empty: none.
    std::uint64_t seed = 1;
};

/// Faults that tests switch on.
struct EndpointFaults {
    double slow = 1; ///< Factor on all times.
    double failRate = 0; ///< Fraction of calls that run and are answered with failStatus.
    int failStatus = 500;
    std::string failRoute; ///< failRate counts only on this call or stage, unless empty.
    int failAbove = 0; ///< Calls fail while more than this many run; 0 is off.
    double refuseRate = 0; ///< Fraction refused before running.
    double shortRate = 0; ///< Fraction of answers cut in the middle.
    double crossedRate = 0; ///< Fraction of answers that echo another request.
    double silentRate = 0; ///< Fraction of calls that run and are never answered.
    double orderFailRate = 0; ///< Fraction of orders answered 503 and not done.
    double dropRate = 0; ///< Fraction of calls whose connection closes after the call ran.
    bool holdBefore = false; ///< Calls with a key wait before they run, until this is switched off.
    bool holdAfter = false; ///< Calls with a key have run, and their answers wait until this is switched off.
};

/// Work an endpoint has done, for tests to check.
struct Ledger {
    struct Execution {
        std::string key;
        std::string request;
        std::string call;
    };
    std::vector<Execution> executions; ///< Calls of a non-idempotent kind that ran, in order.
    std::uint64_t started = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t fallen = 0; ///< Times it fell over in cold start.
    int running = 0;
    int held = 0; ///< Calls that wait under holdBefore or holdAfter.
    int maxRunning = 0;
    int maxRunningCold = 0;
    std::int64_t lastStartMs = 0; ///< Wall time of the last call's start.
    std::uint64_t cachedTokens = 0;
    std::uint64_t computedTokens = 0;
    std::uint64_t generatedTokens = 0;
    double busySeconds = 0; ///< Sum of the calls' running times.
    std::uint64_t staleOrders = 0; ///< Orders refused for an old fencing number.
};

/// Stands in for one endpoint. Plain: POST /calls/NAME. Engine: POST
/// /v1/chat/completions, streamed. Both: GET /load, POST /orders,
/// GET /orders/last. GET /ledger and POST /fault are for tests.
class Endpoint
{
public:
    static absl::StatusOr<std::unique_ptr<Endpoint>> start(asio::io_context &io, const Clock &clock,
                                                           const EndpointOptions &options);

    [[nodiscard]] EndpointInfo info() const;

private:
    struct LoadSample {
        TimePoint at;
        int running = 0;
        bool cold = false;
        std::string version;
    };
    class Running;

    Endpoint(asio::io_context &io, const Clock &clock, EndpointOptions options);
    http::Awaitable<void> handle(http::Exchange &exchange);
    http::Awaitable<void> call(http::Exchange &exchange, std::string_view name);
    http::Awaitable<void> runPlain(http::Exchange &exchange, std::string_view name);
    http::Awaitable<void> runEngine(http::Exchange &exchange);
    http::Awaitable<void> streamTokens(http::Exchange &exchange, const std::string &prompt, int first, int count);
    http::Awaitable<bool> applyFaults(http::Exchange &exchange, std::string_view route);
    http::Awaitable<void> sleepScaled(Duration time);
    http::Awaitable<void> waitWhile(const bool &held);
    void noteExecution(const Ledger::Execution &execution);
    http::Response answerFor(const http::Exchange &exchange, int status, std::string body);
    http::Response load();
    http::Response ledger() const;
    http::Response order(const std::string &body);
    http::Response lastOrder() const;
    http::Response setFaults(const std::string &body);
    Duration promptTime(const std::string &prompt);
    bool isCold() const;
    bool hit(double rate);
    void noteLoad();

    asio::io_context &m_io;
    const Clock &m_clock;
    EndpointOptions m_options;
    EndpointFaults m_faults;
    Ledger m_ledger;
    Random m_random;
    TimePoint m_coldUntil;
    TimePoint m_started;
    TimePoint m_fallenUntil;
    std::deque<LoadSample> m_samples;
    std::list<std::uint64_t> m_prefixes; ///< Least recently used last.
    std::uint64_t m_lastFencing = 0;
    std::vector<std::string> m_orders;
    std::optional<std::string> m_lastOrder; ///< Id of the last order done.
    std::shared_ptr<http::Server> m_server;
};

} // namespace mimosahub::standin
