#pragma once

#include "base/random.h"
#include "forward/endpoint_health.h"
#include "forward/gateway_configuration.h"
#include "forward/listed_endpoint.h"
#include "mimosahub/outcome.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// What one traffic thread knows of the endpoints to which it forwards requests,
/// and its choice among them.
namespace mimosahub
{

/// What is asked for one send of one request.
struct EndpointQuery {
    ServiceId service;
    ZoneId zone; ///< This daemon's.
    std::string affinity; ///< Requests of one value share a cached prompt; empty: none.
    double tokens = 0.0; ///< Of the prompt; how much work it is before the answer begins.
    std::map<ZoneId, std::uint64_t> inputBytes; ///< Where what the endpoint will fetch is, about.
    bool retryable = true; ///< The request may be sent again, so it may go to an endpoint that failed lately.
    std::vector<EndpointId> exclude; ///< Already tried.
};

/// No endpoint may take the request.
struct NoEndpointChosen {
    Reason reason = Reason::NoEndpoint; ///< NoEndpoint or Overloaded.
    Duration retryAfter{};
};

/// How a send ended, for the choice of later ones.
enum class SendEnd {
    Answered, ///< Whole, and no failure of the endpoint.
    ServerError, ///< The endpoint answered with a failure of its own.
    Refused, ///< It did not run the request.
    Unreachable, ///< No connection.
    Lost, ///< Its answer broke off, was wrong or never came.
    Dropped, ///< Given up for reasons that say nothing of the endpoint.
};

struct EndpointSelectorOptions {
    double boundedLoad = 1.3; ///< Affinity yields above this multiple of the mean load.
    double boundedSlack = 2.0; ///< Requests above it at which affinity yields.
    double latencyRatioWeight = 0.15; ///< Weight of a new sample of an endpoint's pace.
    Duration latencyRatioHalfLife = std::chrono::seconds(4); ///< A pace that isn't sampled goes back to the usual one.
    Duration loadHalfLife = std::chrono::milliseconds(250); ///< Of a load that an endpoint stated.
    Duration failedPause = std::chrono::milliseconds(300); ///< After a failed send; doubles with each in a row.
    Duration failedPauseMax = std::chrono::seconds(3);
    double errorRateWeight = 0.1; ///< Weight of a new outcome in an endpoint's share of errors.
    Duration noEndpointRetry = std::chrono::milliseconds(500);
    Duration overloadedRetry = std::chrono::milliseconds(250);
};

/// Endpoints of all services, what was learnt of each, and the choice of one for
/// a send. Pure but for what it is told. One thread at a time.
class EndpointSelector
{
public:
    explicit EndpointSelector(const EndpointSelectorOptions &options = {}) : m_options(options)
    {
    }

    /// Takes the listing. \a configuration gives the limits of services; endpoints of
    /// \a closedZones get nothing.
    void setListing(const std::vector<ListedEndpoint> &endpoints, const GatewayConfiguration &configuration,
                    const std::set<ZoneId> &closedZones, TimePoint now);
    /// \a daemons is the number of daemons over which the limits of cold endpoints are
    /// split, this one included, and \a rank this one's place among them, from 0.
    void setDaemons(int daemons, int rank);

    /// Chooses an endpoint and counts a send to it, which ends with end().
    [[nodiscard]] std::variant<ListedEndpoint, NoEndpointChosen> choose(const EndpointQuery &query, TimePoint now,
                                                                        Random &random);
    /// The endpoint that the query's affinity asks for, if it may be used now.
    [[nodiscard]] std::optional<EndpointInfo> preferred(const EndpointQuery &query, TimePoint now);
    /// A send ended. \a answerTime is the time to the answer or its first event, over
    /// what is usual for such a request; absent if there was none.
    void end(const EndpointId &endpoint, const EndpointQuery &query, SendEnd how, std::optional<double> latencyRatio,
             TimePoint now);
    /// The endpoint stated its load.
    void recordLoad(const EndpointId &endpoint, int running, int queued, TimePoint now);
    /// Beliefs that changed since the last call.
    [[nodiscard]] std::vector<EndpointHealthChange> takeHealthChanges()
    {
        return m_healthLog.take();
    }
    /// Requests of \a service that this daemon has under way.
    [[nodiscard]] int inFlight(const ServiceId &service) const;

private:
    struct State {
        ListedEndpoint listed;
        bool usable = false; ///< Listed, not leaving, in an open zone.
        TimePoint coldUntil;
        std::deque<TimePoint> coldSends; ///< Sends of the last second while cold.
        int running = 0; ///< Sends of this daemon.
        double tokens = 0.0; ///< Prompt tokens of sends that have not been answered.
        int reportedLoad = 0;
        TimePoint reportedAt;
        int failures = 0; ///< In a row.
        TimePoint pausedUntil;
        double errorRate = 0.0; ///< Decayed share of failed answers.
        double latencyRatio = 1.0; ///< Decayed time of its answers over the usual time.
        TimePoint latencySampledAt;
        EndpointHealth health = EndpointHealth::Healthy;
    };
    struct ServiceState {
        int slots = 1; ///< Of one endpoint.
        int capacity = 0; ///< Requests that one endpoint takes in, waiting ones included; 0 if unknown.
        Duration coldTime{};
        double coldRate = 0.0;
        double errorRate = 0.0; ///< Decayed share of failed answers, over all endpoints.
        std::map<EndpointId, State> endpoints;
    };

    [[nodiscard]] std::vector<State *> candidates(ServiceState &service, const EndpointQuery &query,
                                                  TimePoint now) const;
    [[nodiscard]] bool mayUse(const ServiceState &service, State &state, const EndpointQuery &query,
                              TimePoint now) const;
    [[nodiscard]] int coldAllowance(const ServiceState &service, const EndpointId &endpoint) const;
    [[nodiscard]] double loadOf(const State &state, TimePoint now) const;
    [[nodiscard]] double currentLatencyRatio(const State &state, TimePoint now) const;
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
