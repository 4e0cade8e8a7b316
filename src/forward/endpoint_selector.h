#pragma once

#include "base/random.h"
#include "forward/endpoint_health.h"
#include "forward/gateway_configuration.h"
#include "forward/listed_endpoint.h"
#include "forward/work_time_estimate.h"
#include "mimosahub/outcome.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Selection of the endpoint for each forwarded request, from what one traffic
/// thread has observed of the endpoints.
namespace mimosahub
{

/// Versions that a send may go to.
struct VersionFilter {
    VersionId version;
    bool wanted = false; ///< Only to endpoints of \a version; otherwise only to all others.

    [[nodiscard]] bool admits(const VersionId &other) const
    {
        return (other == version) == wanted;
    }
};

/// Criteria for the endpoint of one send of a request.
struct EndpointQuery {
    ServiceId service;
    ZoneId zone; ///< Zone of this daemon.
    std::string affinity; ///< Requests with the same value share a cached prompt; empty for no affinity.
    double tokens = 0.0; ///< Prompt tokens: a measure of the work before the response begins.
    std::map<ZoneId, std::uint64_t> inputBytes; ///< Approximate bytes that the endpoint will fetch, by zone.
    bool retryable = true; ///< The request may be sent again, so it may go to an endpoint that failed recently.
    std::vector<EndpointId> exclude; ///< Endpoints that were tried already.
    bool allowPaused = true; ///< A paused endpoint may be chosen if there is no other.
    std::optional<EndpointId> only; ///< Set: no other endpoint may be chosen.
    std::optional<VersionFilter> version; ///< Absent: any version.
};

/// The reason why no endpoint may take the request, and when to retry.
struct NoEndpointChosen {
    Reason reason = Reason::NoEndpoint; ///< NoEndpoint or Overloaded.
    Duration retryAfter{};
    bool resting = false; ///< All that could take it have asked this daemon for a rest.
};

/// How a send ended. Later choices depend on it.
enum class SendEnd {
    Answered, ///< The response is complete and is not a failure of the endpoint.
    ServerError, ///< The endpoint responded with a server error.
    Refused, ///< The endpoint did not run the request.
    Unreachable, ///< No connection could be made.
    Lost, ///< The response was cut off, was invalid or never arrived.
    Dropped, ///< Cancelled for reasons unrelated to the endpoint.
};

struct EndpointSelectorOptions {
    double boundedLoad = 1.3; ///< Affinity is ignored above this multiple of the mean load.
    double boundedSlack = 2.0; ///< Requests added to that bound.
    double latencyRatioWeight = 0.15; ///< Weight of a new sample in an endpoint's latency ratio.
    Duration latencyRatioHalfLife = std::chrono::seconds(4); ///< Of the decay towards 1 without new samples.
    Duration loadHalfLife = std::chrono::milliseconds(250); ///< Half-life of the load that an endpoint reported.
    Duration failedPause = std::chrono::milliseconds(300); ///< After a failed send; doubles with each further one.
    Duration failedPauseMax = std::chrono::seconds(3);
    double errorRateWeight = 0.1; ///< Weight of a new outcome in an endpoint's error rate.
    Duration noEndpointRetry = std::chrono::milliseconds(500);
    Duration overloadedRetry = std::chrono::milliseconds(250);
    double meanLoadWeight = 0.1; ///< Weight of a new report in the mean load of a service's endpoints.
    Duration careAfterRest = std::chrono::seconds(1); ///< For which an endpoint that has rested counts as cold.
    WorkTimeEstimateOptions workTime;
};

/// Keeps the endpoints of all services with the measurements of each, and selects
/// one for each send. It does no I/O and reads no clock: all input comes through
/// calls. Not thread-safe.
class EndpointSelector
{
public:
    explicit EndpointSelector(const EndpointSelectorOptions &options = {}) : m_options(options)
    {
    }

    /// Replaces the list of endpoints. \a configuration holds the limits of services;
    /// endpoints in \a closedZones get no requests.
    void setListing(const std::vector<ListedEndpoint> &endpoints, const GatewayConfiguration &configuration,
                    const std::set<ZoneId> &closedZones, TimePoint now);
    /// \a daemons is the number of daemons, this one included, among which the limits of
    /// cold endpoints are divided; \a rank is this daemon's index among them, from 0.
    void setDaemons(int daemons, int rank);

    /// Chooses an endpoint and counts a send to it as in flight until end() or cancel() is called.
    [[nodiscard]] std::variant<ListedEndpoint, NoEndpointChosen> choose(const EndpointQuery &query, TimePoint now,
                                                                        Random &random);
    /// The endpoint that the query's affinity selects, if it may be used now.
    [[nodiscard]] std::optional<EndpointInfo> preferred(const EndpointQuery &query, TimePoint now);
    /// Records that a send ended. \a latencyRatio is the time to the response or its
    /// first event, divided by the typical time of such a request; absent if there was
    /// no response.
    void end(const EndpointId &endpoint, const EndpointQuery &query, SendEnd how, std::optional<double> latencyRatio,
             TimePoint now);
    /// Takes back a choice that choose() made at \a chosenAt: nothing was sent.
    void cancel(const EndpointId &endpoint, const EndpointQuery &query, TimePoint chosenAt);
    /// Records that the endpoint was silent for longer than usual while a send to it goes
    /// on. Like a lost response, a single one is weak evidence.
    void recordSilence(const EndpointId &endpoint, TimePoint now);
    /// Records that \a endpoint gets nothing until \a until, since it wants a rest, and after that
    /// for a while no more than a cold one. A later start of it is not meant.
    void recordRest(const EndpointStart &endpoint, TimePoint until);
    /// Records the load that the endpoint reported: requests that run and that wait there.
    void recordLoad(const EndpointId &endpoint, int running, int queued, TimePoint now);
    /// Records how long work takes at the endpoint now, as it reported it.
    void recordWorkTime(const EndpointId &endpoint, WorkTimeRatio ratio, TimePoint now);
    /// Whether the endpoint is listed, is not leaving and its zone is open.
    [[nodiscard]] bool isUsable(const EndpointId &endpoint) const;
    /// Whether the endpoint is usable and doesn't rest.
    [[nodiscard]] bool mayCall(const EndpointId &endpoint, TimePoint now) const;
    /// The time until an endpoint of \a service may be used, if all that are usable rest.
    [[nodiscard]] std::optional<Duration> restOf(const ServiceId &service, TimePoint now) const;
    /// Whether the endpoint is slow since it has just started.
    [[nodiscard]] bool isCold(const EndpointId &endpoint, TimePoint now) const;
    /// Changes of health since the last call.
    [[nodiscard]] std::vector<EndpointHealthChange> takeHealthChanges()
    {
        return m_healthLog.take();
    }
    /// Requests of \a service that this daemon has in flight.
    [[nodiscard]] int inFlight(const ServiceId &service) const;
    /// Requests that this daemon has in flight, by service and zone of the endpoint. Contains a zero
    /// for each service and zone with endpoints and without requests.
    [[nodiscard]] std::map<std::pair<ServiceId, ZoneId>, std::uint64_t> inFlightByZone() const;

private:
    struct State {
        explicit State(const WorkTimeEstimateOptions &options) : workTime(options)
        {
        }

        ListedEndpoint listed;
        bool usable = false; ///< It is listed, is not leaving and its zone is open.
        TimePoint coldUntil;
        std::deque<TimePoint> coldSends; ///< Times of the sends within the last second while it is cold.
        int running = 0; ///< Sends of this daemon that are in flight.
        double tokens = 0.0; ///< Prompt tokens of the sends without a response.
        int reportedLoad = 0;
        TimePoint reportedAt;
        int failures = 0; ///< Consecutive failures.
        TimePoint pausedUntil;
        TimePoint restsUntil; ///< It wants nothing from this daemon before.
        double errorRate = 0.0; ///< Moving average of the share of failed responses.
        double latencyRatio = 1.0; ///< Moving average of response time over typical response time.
        TimePoint latencySampledAt;
        WorkTimeEstimate workTime;
        EndpointHealth health = EndpointHealth::Healthy;
    };
    struct ServiceState {
        int capacity = 0; ///< Requests that one endpoint accepts, including those that wait; 0 if unknown.
        Duration coldTime{};
        double coldRate = 0.0;
        double errorRate = 0.0; ///< Moving average of the share of failed responses, over all endpoints.
        double meanLoad = 0.0; ///< Moving average of the loads that endpoints reported.
        std::map<EndpointId, State> endpoints;
    };

    [[nodiscard]] State *find(const EndpointId &endpoint, const ServiceId &service);
    [[nodiscard]] const State *find(const EndpointId &endpoint) const;
    [[nodiscard]] State *find(const EndpointId &endpoint);
    [[nodiscard]] std::vector<State *> candidates(ServiceState &service, const EndpointQuery &query,
                                                  TimePoint now) const;
    [[nodiscard]] bool mayUse(const ServiceState &service, State &state, const EndpointQuery &query,
                              TimePoint now) const;
    [[nodiscard]] int coldAllowance(const ServiceState &service, const EndpointId &endpoint) const;
    static void endFlight(State &state, const EndpointQuery &query);
    [[nodiscard]] double loadOf(const ServiceState &service, const State &state, TimePoint now) const;
    [[nodiscard]] double currentLatencyRatio(const State &state, TimePoint now) const;
    [[nodiscard]] double timeEstimate(const State &state, TimePoint now) const;
    [[nodiscard]] State *cheapest(const ServiceState &service, const std::vector<State *> &candidates,
                                  const EndpointQuery &query, TimePoint now, Random &random) const;
    [[nodiscard]] std::vector<State *> drawTwo(std::vector<State *> candidates, TimePoint now, Random &random) const;
    [[nodiscard]] double costOf(const ServiceState &service, const State &state, const EndpointQuery &query,
                                TimePoint now) const;
    void pause(State &state, SendEnd how, TimePoint now) const;
    void updateHealth(State &state, TimePoint now);
    [[nodiscard]] State *affinityTarget(const ServiceState &service, const std::vector<State *> &candidates,
                                        const EndpointQuery &query, TimePoint now) const;

    EndpointSelectorOptions m_options;
    std::map<ServiceId, ServiceState> m_services;
    std::map<EndpointId, ServiceId> m_serviceOf;
    EndpointHealthLog m_healthLog;
    int m_daemons = 1;
    int m_rank = 0;
};

} // namespace mimosahub
