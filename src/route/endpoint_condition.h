#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/configuration.h"
#include "route/chart.h"

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <optional>

/// What one daemon believes of one endpoint, and how many concurrent calls the
/// endpoint bears in that condition, counted over all daemons.
namespace mimosahub
{

/// States of charts/endpoint.json.
enum class EndpointState {
    Cold, ///< Just started, or turned cold again: bears coldLimit calls.
    Warming, ///< Answers in time; its limit grows by steps.
    Warm, ///< Bears warmLimit calls.
    Failing, ///< Gets no work but one probe at a time.
    Leaving, ///< About to stop: no new work.
    Gone, ///< No longer listed.
};

/// "cold", "warming" and so on, as in the chart.
[[nodiscard]] std::string_view endpointStateName(EndpointState state);

/// The names that charts/endpoint.json may use.
[[nodiscard]] const ChartVocabulary &endpointVocabulary();

/// What an endpoint says of its own load.
struct LoadReport {
    Duration age{}; ///< Time since the endpoint took the report.
    int running = 0; ///< Calls it works on, of all daemons.
    int queued = 0; ///< Calls that wait at the endpoint.
    bool cold = false; ///< It says that it is in cold start.
    std::optional<Duration> uptime; ///< Time since its process started.
};

/// One answer of an endpoint.
struct AnswerTiming {
    Duration latency{}; ///< From send to whole answer.
    Duration expected{}; ///< What a warm endpoint is expected to take for this call.
    double poolRatio = 1.0; ///< Recent median of latency / expected over the service's warm endpoints.
};

/// Limits and thresholds of one service's endpoints.
struct EndpointConditionOptions {
    int coldLimit = 1; ///< Concurrent calls in cold start.
    int warmLimit = 16; ///< Concurrent calls when warm.
    int answersToWarm = 3; ///< Answers in time, in a row, that end the cold state.
    int reportsToWarmLimit = 8; ///< Warm reports that take the limit from coldLimit to warmLimit without answers.
    double slowRatio = 3.0; ///< An answer is slow above this multiple of the usual latency.
    std::size_t slowWindow = 3; ///< Newest answers that are looked at for coldness.
    int minSlowAnswers = 2; ///< Slow ones among them that show it.
    int failureThreshold = 5; ///< Failures in a row that make it failing.
    std::size_t typicalWindow = 31; ///< Newest warm answers that give the usual latency.
    Duration coldTimeout = 30s; ///< Steady answers for this long end the cold state, however slow.
    Duration probeInterval = 1s; ///< Time to the first probe of a failing endpoint; doubles with each failure.
    Duration probeIntervalMax = 15s;

    /// Limits of \a service, defaults for the rest.
    [[nodiscard]] static EndpointConditionOptions of(const Service &service);
};

/// How many concurrent calls an endpoint may have, counted over all daemons.
struct EndpointLimit {
    int calls = 0;
    bool probe = false; ///< One idempotent call may be sent to see whether a failing endpoint works again.

    friend bool operator==(const EndpointLimit &, const EndpointLimit &) = default;
};

/// Runs charts/endpoint.json for one endpoint. Times passed in never decrease.
class EndpointCondition : private ChartGuards
{
public:
    EndpointCondition(const Chart &chart, const EndpointConditionOptions &options, TimePoint now);

    /// The instance list holds the endpoint.
    void listed(bool leaving, TimePoint now);
    /// The instance list no longer holds the endpoint.
    void unlisted(TimePoint now);
    void reported(const LoadReport &report, TimePoint now);
    void answered(const AnswerTiming &timing, TimePoint now);
    /// A call broke off, timed out or was answered with a fault of the endpoint;
    /// faults of the request don't count.
    void failed(TimePoint now);
    /// A probe was sent; the next is due only after its answer or the interval.
    void probed(TimePoint now);
    /// Time has passed.
    void tick(TimePoint now);

    [[nodiscard]] EndpointState state() const
    {
        return static_cast<EndpointState>(m_chart.state());
    }
    /// When the present state was entered.
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
    bool m_handlingReport = false; ///< The event in hand is a report.
    std::optional<TimePoint> m_coldReportedAt; ///< When the newest report arrived, if it says cold.
    std::optional<TimePoint> m_processStart; ///< Start of the endpoint's process, from its uptime.
    double m_adoptedRatio = 1.0; ///< Least usual latency / expected; above 1 if expectations proved too low.
    boost::circular_buffer<double> m_recentRatios; ///< latency / expected of the newest answers.
    boost::circular_buffer<bool> m_recentSlow; ///< Whether the newest answers were slow.
    boost::circular_buffer<double> m_typicalRatios; ///< latency / expected of timely answers of the warm endpoint.
};

} // namespace mimosahub
