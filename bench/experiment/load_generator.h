#pragma once

#include "base/random.h"
#include "http/connection_pool.h"
#include "mimosahub/clock.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace mimosahub::bench
{

/// One stream of requests of one workspace.
struct LoadClass {
    std::string name; ///< For reports, for example "shops/assistant".
    std::string workspace;
    std::string target; ///< Path that is posted to.
    std::string body; ///< "{n}" is replaced by the request's number, "{p}" by one of prompts.
    double perSecond = 1; ///< Mean rate; arrivals are a Poisson process.
    Duration deadline = std::chrono::seconds(2);
    int prompts = 20; ///< Distinct prompt prefixes in the class.
    bool stream = false; ///< The answer is a stream of events with an end mark.
    bool keyed = false; ///< Each request carries an idempotency key of its own.
};

/// A change of one class's rate during a run, counted from its start.
struct RateChange {
    std::string className;
    Duration at{};
    double perSecond = 0;
};

/// How one request ended, as its caller saw it.
struct RequestSample {
    std::size_t classIndex = 0;
    double arrivalSeconds = 0; ///< Since the start of the run.
    double latencySeconds = 0; ///< From arrival to the whole answer or refusal.
    double firstTokenSeconds = 0; ///< From arrival; 0 if there was none.
    double worstGapSeconds = 0; ///< Longest wait between two tokens.
    std::string outcome; ///< "ok", "failed", "not-run", "unknown", or "cut" for an answer that broke off.
    std::string reason; ///< Of a refusal.
    std::string key; ///< Idempotency key, if keyed.
    bool attained = false; ///< Whole, ok, and within the deadline.
};

/// Where daemons listen for callers and operators.
struct DaemonPorts {
    std::uint16_t callers = 0;
    std::uint16_t operators = 0;
};

/// Options of a run.
struct LoadOptions {
    std::vector<DaemonPorts> daemons; ///< Chosen in turn among the ready ones, as the platform's balancer does.
    std::vector<LoadClass> classes;
    std::vector<RateChange> changes;
    Duration duration = std::chrono::seconds(10);
    Duration balancerInterval = std::chrono::milliseconds(500); ///< Between looks at /readyz.
    std::uint64_t seed = 1;
};

/// Open-loop load: arrivals follow the clock and never wait for answers, so that
/// a slow system does not slow its own load.
class LoadGenerator
{
public:
    LoadGenerator(const Clock &clock, LoadOptions options);
    ~LoadGenerator();

    /// Starts the run on a thread of its own.
    void start();
    /// Time since the start.
    [[nodiscard]] Duration elapsed() const;
    /// Waits for the end and the last answers; gives all samples.
    std::vector<RequestSample> finish();

private:
    http::Awaitable<void> arrivals(std::size_t classIndex);
    http::Awaitable<void> request(std::size_t classIndex, std::uint64_t number, TimePoint arrival);
    http::Awaitable<void> attempt(const LoadClass &loadClass, http::Request request, RequestSample &sample,
                                  TimePoint arrival);
    http::Awaitable<void> readAnswer(http::ClientConnection &connection, const LoadClass &loadClass,
                                     RequestSample &sample, TimePoint arrival);
    http::Awaitable<void> watchReadiness();
    http::Request makeRequest(const LoadClass &loadClass, std::uint64_t number, RequestSample &sample);
    [[nodiscard]] double rateOf(const LoadClass &loadClass, Duration at) const;
    [[nodiscard]] std::optional<Address> nextDaemon();
    [[nodiscard]] double since(TimePoint from) const;

    const Clock &m_clock;
    LoadOptions m_options;
    boost::asio::io_context m_io{1};
    http::ConnectionPool m_pool;
    Random m_random;
    std::vector<RequestSample> m_samples;
    std::vector<bool> m_ready;
    std::size_t m_next = 0;
    std::size_t m_open = 0;
    std::size_t m_arriving = 0;
    TimePoint m_start;
    std::thread m_thread;
};

} // namespace mimosahub::bench
