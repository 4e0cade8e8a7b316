#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/configuration.h"
#include "route/chart.h"

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <optional>

/// One daemon's view of an endpoint's condition, and the number of concurrent calls
/// that the endpoint accepts in that condition, counted over all daemons.
namespace mimosahub
{

/// States of charts/endpoint.json.
enum class EndpointState {
    Cold, ///< Just started, or cold again: accepts coldLimit concurrent calls.
    Warming, ///< Answers in time; its limit grows in steps.
    Warm, ///< Accepts warmLimit concurrent calls.
    Failing, ///< Gets no calls except one probe at a time.
    Leaving, ///< About to stop: gets no new calls.
    Gone, ///< No longer listed.
};

/// Name of \a state in the chart: "cold", "warming" and so on.
[[nodiscard]] std::string_view endpointStateName(EndpointState state);

/// The names that charts/endpoint.json may use.
[[nodiscard]] const ChartVocabulary &endpointVocabulary();

/// Load that an endpoint reports about itself.
struct LoadReport {
    Duration age{}; ///< Time since the endpoint measured it.
    int running = 0; ///< Calls that it processes, from all daemons.
    int queued = 0; ///< Calls queued at the endpoint.
    bool cold = false; ///< The endpoint reports a cold start.
    std::optional<Duration> uptime; ///< Time since the endpoint's process started.
};

/// Latency of one answer of an endpoint.
struct AnswerTiming {
    Duration latency{}; ///< From sending the call to the complete answer.
    Duration expected{}; ///< Expected latency of this call on a warm endpoint.
    double poolRatio = 1.0; ///< Recent median of latency / expected over the service's warm endpoints.
};

/// Limits and thresholds of one service's endpoints.
struct EndpointConditionOptions {
    int coldLimit = 1; ///< Concurrent calls in cold start.
    int warmLimit = 16; ///< Concurrent calls when warm.
    int answersToWarm = 3; ///< Consecutive answers in time that end the cold state.
    int reportsToWarmLimit = 8; ///< Warm reports that raise the limit from coldLimit to warmLimit without answers.
    double slowRatio = 3.0; ///< An answer is slow above this multiple of the typical latency.
    std::size_t slowWindow = 3; ///< Number of newest answers checked for a return to the cold state.
    int minSlowAnswers = 2; ///< Slow answers among them that make the endpoint cold.
    int failureThreshold = 5; ///< Consecutive failures that make the endpoint failing.
    std::size_t typicalWindow = 31; ///< Number of newest warm answers that give the typical latency.
    Duration coldTimeout = 30s; ///< After this time of steady answers the cold state ends, however slow they are.
    Duration probeInterval = 1s; ///< Time to the first probe of a failing endpoint; doubles with each failure.
    Duration probeIntervalMax = 15s;

    /// Limits from \a service; defaults for the rest.
    [[nodiscard]] static EndpointConditionOptions of(const Service &service);
};

/// How many concurrent calls an endpoint may have, counted over all daemons.
struct EndpointLimit {
    int calls = 0;
    bool probe = false; ///< One idempotent call may be sent to check whether a failing endpoint has recovered.

    friend bool operator==(const EndpointLimit &, const EndpointLimit &) = default;
};

/// Runs the state machine of charts/endpoint.json for one endpoint. Times passed in
/// never decrease.
class EndpointCondition : private ChartGuards
{
public:
    EndpointCondition(const Chart &chart, const EndpointConditionOptions &options, TimePoint now);

    /// The instance list contains the endpoint.
    void listed(bool leaving, TimePoint now);
    /// The instance list no longer contains the endpoint.
    void unlisted(TimePoint now);
    void reported(const LoadReport &report, TimePoint now);
    void answered(const AnswerTiming &timing, TimePoint now);
    /// A call was cut off, timed out or got an error that the endpoint caused;
    /// errors caused by the request don't count.
    void failed(TimePoint now);
    /// A probe was sent; the next one is due only after its answer or the probe interval.
    void probed(TimePoint now);
    /// Evaluates the transitions that depend on time.
    void tick(TimePoint now);

    [[nodiscard]] EndpointState state() const
    {
        return static_cast<EndpointState>(m_chart.state());
    }
    /// Time at which the current state was entered.
    [[nodiscard]] TimePoint since() const
    {
        return m_since;
    }
    [[nodiscard]] EndpointLimit limit(TimePoint now) const;

private:
    enum class Event : std::size_t;
    enum class Guard : std::size_t;
    enum class Action : std::size_t;

    [[nodiscard]] bool holds(std::size_t guard) const override;
    void fire(Event event, TimePoint now);
    void run(Action action, TimePoint now);
    [[nodiscard]] bool isReportedCold() const;
    [[nodiscard]] double typicalRatio() const;
    [[nodiscard]] bool isSlow(double ratio, double poolRatio) const;
    void raiseLimit();

    EndpointConditionOptions m_options;
    ChartInstance m_chart;
    TimePoint m_now;
    TimePoint m_since;
    TimePoint m_probeDue;
    Duration m_probeInterval;
    int m_rampLimit;
    int m_consecutiveTimely = 0;
    int m_timelyAtLimit = 0; ///< Answers in time since the limit was last raised.
    int m_consecutiveFailures = 0;
    bool m_handlingReport = false; ///< The current event is a report.
    std::optional<TimePoint> m_coldReportedAt; ///< Arrival of the newest report, if it reports a cold start.
    std::optional<TimePoint> m_processStart; ///< Start of the endpoint's process, computed from its uptime.
    double m_adoptedRatio = 1.0; ///< Least typical latency / expected; above 1 if the expected latency was too low.
    boost::circular_buffer<double> m_recentRatios; ///< latency / expected of the newest answers.
    boost::circular_buffer<bool> m_recentSlow; ///< Whether the newest answers were slow.
    boost::circular_buffer<double> m_typicalRatios; ///< latency / expected of timely answers of the warm endpoint.
};

} // namespace mimosahub
