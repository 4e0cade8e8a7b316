// Chooses the usable endpoint with the lowest cost: its load (calls in flight from
// this daemon and those that the endpoint last reported) divided by its slots,
// multiplied by its recent latency ratio. A request whose prompt is shared by
// others goes to the endpoint that rendezvous hashing selects, so that all daemons
// agree without communication, unless that endpoint is slow or loaded above its
// bound.
//
// Where endpoints report how long work takes on their machines, the cost uses this as well
// (WorkTimeEstimate), and the request goes to the cheaper of two endpoints that are drawn with
// weights: daemons whose information is equally old would otherwise all choose the same one.
//
// Measurements decay: a slow endpoint counts as typical again after a while and so
// gets trial requests. An endpoint that failed is paused and then tried first with
// requests that may be sent again.
//
// The request rate of a cold endpoint is limited over all daemons together. Each
// daemon computes its share without communication: the rate divided by the number
// of daemons. Where that is below one, a rank derived from a hash decides which
// daemons may send at all.

#include "forward/endpoint_selector.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosahub
{

namespace
{

constexpr double kTypicalLatencyRatio = 1.2; ///< Up to this ratio an endpoint counts as no slower than others.
constexpr double kSlowLatencyRatio = 2.0; ///< Above this ratio an endpoint counts as slow and affinity is ignored.
constexpr double kMinTimeEstimate = 0.5; ///< Of the usual time: below it, other endpoints are rather slow.
constexpr double kErrorRateMargin = 0.2; ///< Excess over the service's error rate that is the endpoint's own.
constexpr double kErrorRateCost = 8.0; ///< Cost per unit of error rate above the margin.
constexpr double kOtherZoneCost = 0.02; ///< Added to the cost of an endpoint in another zone.
constexpr double kFetchCostPerByte = 2e-8; ///< Cost of each byte that the endpoint fetches from another zone.
constexpr Duration kColdWindow = std::chrono::seconds(1);

double decayFactor(Duration age, Duration halfLife)
{
    if (age <= Duration::zero()) {
        return 1.0;
    }
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(halfLife.count()));
}

} // namespace

void EndpointSelector::setDaemons(int daemons, int rank)
{
    m_daemons = std::max(1, daemons);
    m_rank = rank;
}

void EndpointSelector::setListing(const std::vector<ListedEndpoint> &endpoints,
                                  const GatewayConfiguration &configuration, const std::set<ZoneId> &closedZones,
                                  TimePoint now)
{
    for (auto &[name, service] : m_services) {
        for (auto &[id, state] : service.endpoints) {
            state.usable = false;
        }
    }
    for (const auto &rule : configuration.parts().services) {
        auto &service = m_services[rule.id];
        service.coldTime = rule.coldTime;
        service.coldRate = rule.coldRate;
    }
    for (const auto &listed : endpoints) {
        auto &service = m_services[listed.info.service];
        auto &state = service.endpoints.try_emplace(listed.info.id, State(m_options.workTime)).first->second;
        const bool isNew = state.listed.info.id.empty();
        if (!isNew && state.listed.startedAtMs != listed.startedAtMs) {
            const int running = state.running;
            state = State(m_options.workTime);
            state.running = running;
        }
        const bool newEntry =
            isNew || state.listed.sequence != listed.sequence || state.listed.startedAtMs != listed.startedAtMs;
        if (newEntry && listed.coldLeft > Duration::zero()) {
            state.coldUntil = std::max(state.coldUntil, now + listed.coldLeft);
        }
        const bool closed = closedZones.contains(listed.info.zone);
        if (closed) {
            // Endpoints of a closed zone may be cold when the zone opens again.
            state.coldUntil = std::max(state.coldUntil, now + service.coldTime);
        }
        state.listed = listed;
        state.usable = !listed.info.leaving && !closed;
        m_serviceOf[listed.info.id] = listed.info.service;
    }
    for (auto &[service, serviceState] : m_services) {
        std::erase_if(serviceState.endpoints, [&, &service = service](const auto &entry) {
            const bool gone = !entry.second.usable && entry.second.running == 0;
            if (gone && !closedZones.contains(entry.second.listed.info.zone)) {
                const auto it = m_serviceOf.find(entry.first);
                if (it != m_serviceOf.end() && it->second == service) { // It may have changed to another one.
                    m_serviceOf.erase(it);
                }
                return true;
            }
            return false;
        });
    }
}

int EndpointSelector::coldAllowance(const ServiceState &service, const EndpointId &endpoint) const
{
    const auto limit = static_cast<int>(service.coldRate);
    const int each = limit / m_daemons;
    const int rest = limit % m_daemons;
    const auto start = hashBytes(endpoint.str()) % static_cast<std::uint64_t>(m_daemons);
    const auto place = (static_cast<std::uint64_t>(m_rank) + start) % static_cast<std::uint64_t>(m_daemons);
    return each + (place < static_cast<std::uint64_t>(rest) ? 1 : 0);
}

// Where endpoints report work times, an old load counts as the mean one: as zero, it would draw
// all daemons to the endpoint of which they have heard least.
double EndpointSelector::loadOf(const ServiceState &service, const State &state, TimePoint now) const
{
    const double others = std::max(0, state.reportedLoad - state.running);
    const double mean = state.workTime.isReported(now) ? std::max(0.0, service.meanLoad - state.running) : 0.0;
    return state.running + mean + (others - mean) * decayFactor(now - state.reportedAt, m_options.loadHalfLife);
}

double EndpointSelector::currentLatencyRatio(const State &state, TimePoint now) const
{
    const double latencyRatio =
        1.0 + (state.latencyRatio - 1.0) * decayFactor(now - state.latencySampledAt, m_options.latencyRatioHalfLife);
    return latencyRatio > kTypicalLatencyRatio ? latencyRatio : std::min(1.0, latencyRatio);
}

double EndpointSelector::timeEstimate(const State &state, TimePoint now) const
{
    return std::max(kMinTimeEstimate, state.workTime.at(currentLatencyRatio(state, now), now));
}

double EndpointSelector::costOf(const ServiceState &service, const State &state, const EndpointQuery &query,
                                TimePoint now) const
{
    const double load = loadOf(service, state, now) / std::max(1, state.listed.slots);
    const double excessErrorRate = std::max(0.0, state.errorRate - service.errorRate - kErrorRateMargin);
    const double zoneCost = state.listed.info.zone == query.zone ? 0.0 : kOtherZoneCost;
    double fetchedBytes = 0.0;
    for (const auto &[zone, bytes] : query.inputBytes) {
        fetchedBytes += zone == state.listed.info.zone ? 0.0 : static_cast<double>(bytes);
    }
    return (0.1 + load) * timeEstimate(state, now) + kErrorRateCost * excessErrorRate + zoneCost
        + kFetchCostPerByte * fetchedBytes;
}

bool EndpointSelector::mayUse(const ServiceState &service, State &state, const EndpointQuery &query,
                              TimePoint now) const
{
    if (!state.usable || now < state.restsUntil) {
        return false;
    }
    if (query.only && *query.only != state.listed.info.id) {
        return false;
    }
    if (query.version && !query.version->admits(state.listed.info.version)) {
        return false;
    }
    const auto &exclude = query.exclude;
    if (std::find(exclude.begin(), exclude.end(), state.listed.info.id) != exclude.end()) {
        return false;
    }
    if (service.coldRate > 0.0 && now < state.coldUntil) {
        while (!state.coldSends.empty() && now - state.coldSends.front() >= kColdWindow) {
            state.coldSends.pop_front();
        }
        return static_cast<int>(state.coldSends.size()) < coldAllowance(service, state.listed.info.id);
    }
    return true;
}

EndpointSelector::State *EndpointSelector::affinityTarget(const ServiceState &service,
                                                          const std::vector<State *> &candidates,
                                                          const EndpointQuery &query, TimePoint now) const
{
    double total = 0.0;
    for (const auto *state : candidates) {
        total += state->running;
    }
    const double mean = (total + 1.0) / static_cast<double>(candidates.size());
    const double bound = mean * m_options.boundedLoad + m_options.boundedSlack;
    State *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (auto *state : candidates) {
        const bool loaded = state->running + 1 > bound || loadOf(service, *state, now) >= state->listed.slots;
        const bool failing = state->errorRate > service.errorRate + kErrorRateMargin;
        if (loaded || failing || timeEstimate(*state, now) > kSlowLatencyRatio) {
            continue;
        }
        const auto weight = rendezvousWeight(query.affinity, state->listed.info.id.str());
        if (best == nullptr || weight > bestWeight) {
            best = state;
            bestWeight = weight;
        }
    }
    return best;
}

std::vector<EndpointSelector::State *> EndpointSelector::candidates(ServiceState &service, const EndpointQuery &query,
                                                                    TimePoint now) const
{
    std::vector<State *> healthy;
    std::vector<State *> paused;
    for (auto &[id, state] : service.endpoints) {
        if (mayUse(service, state, query, now)) {
            (state.pausedUntil > now ? paused : healthy).push_back(&state);
        }
    }
    // After a pause, an endpoint at first gets only requests that may be sent again, if there is any other endpoint.
    if (!query.retryable
        && std::any_of(healthy.begin(), healthy.end(), [](auto *state) { return state->failures == 0; })) {
        std::erase_if(healthy, [](const auto *state) { return state->failures > 0; });
    }
    return healthy.empty() && query.allowPaused ? paused : healthy;
}

std::optional<EndpointInfo> EndpointSelector::preferred(const EndpointQuery &query, TimePoint now)
{
    const auto it = m_services.find(query.service);
    if (it == m_services.end() || query.affinity.empty()) {
        return std::nullopt;
    }
    const auto usable = candidates(it->second, query, now);
    const auto *state = usable.empty() ? nullptr : affinityTarget(it->second, usable, query, now);
    return state == nullptr ? std::nullopt : std::optional(state->listed.info);
}

/// Two of \a candidates, or all if there are fewer, with weights by slots over expected time.
std::vector<EndpointSelector::State *> EndpointSelector::drawTwo(std::vector<State *> candidates, TimePoint now,
                                                                 Random &random) const
{
    std::vector<State *> drawn;
    while (drawn.size() < 2 && !candidates.empty()) {
        std::vector<double> weights;
        double total = 0.0;
        for (const auto *state : candidates) {
            weights.push_back(std::max(1, state->listed.slots) / timeEstimate(*state, now));
            total += weights.back();
        }
        std::size_t n = 0;
        for (double left = random.uniform() * total; n + 1 < weights.size() && left >= weights[n]; ++n) {
            left -= weights[n];
        }
        drawn.push_back(candidates[n]);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(n));
    }
    return drawn;
}

EndpointSelector::State *EndpointSelector::cheapest(const ServiceState &service, const std::vector<State *> &candidates,
                                                    const EndpointQuery &query, TimePoint now, Random &random) const
{
    State *best = nullptr;
    double bestCost = 0.0;
    const auto start = random.below(candidates.size());
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        auto *state = candidates[(start + n) % candidates.size()];
        const double cost = costOf(service, *state, query, now);
        if (best == nullptr || cost < bestCost) {
            best = state;
            bestCost = cost;
        }
    }
    return best;
}

std::variant<ListedEndpoint, NoEndpointChosen> EndpointSelector::choose(const EndpointQuery &query, TimePoint now,
                                                                        Random &random)
{
    const auto it = m_services.find(query.service);
    if (it == m_services.end()) {
        return NoEndpointChosen{Reason::NoEndpoint, m_options.noEndpointRetry};
    }
    auto &service = it->second;
    const auto usable = candidates(service, query, now);
    if (usable.empty()) {
        if (const auto rest = restOf(query.service, now)) {
            return NoEndpointChosen{Reason::Overloaded, *rest, /*resting=*/true};
        }
        const bool any = std::any_of(service.endpoints.begin(), service.endpoints.end(),
                                     [](const auto &entry) { return entry.second.usable; });
        return any ? NoEndpointChosen{Reason::Overloaded, m_options.overloadedRetry}
                   : NoEndpointChosen{Reason::NoEndpoint, m_options.noEndpointRetry};
    }
    State *chosen = query.affinity.empty() ? nullptr : affinityTarget(service, usable, query, now);
    if (chosen == nullptr) {
        const bool reported = std::any_of(usable.begin(), usable.end(),
                                          [&](const auto *state) { return state->workTime.isReported(now); });
        chosen = cheapest(service, reported ? drawTwo(usable, now, random) : usable, query, now, random);
    }
    ++chosen->running;
    chosen->tokens += query.tokens;
    if (now < chosen->coldUntil) {
        chosen->coldSends.push_back(now);
    }
    return chosen->listed;
}

void EndpointSelector::end(const EndpointId &endpoint, const EndpointQuery &query, SendEnd how,
                           std::optional<double> latencyRatio, TimePoint now)
{
    auto *found = find(endpoint, query.service);
    if (found == nullptr) {
        return;
    }
    auto &service = m_services.at(query.service);
    auto &state = *found;
    endFlight(state, query);
    if (latencyRatio) {
        state.latencyRatio = currentLatencyRatio(state, now);
        if (*latencyRatio > 0.0 && state.latencyRatio > 0.0) {
            state.workTime.recordOutcome(*latencyRatio, state.latencyRatio, now);
        }
        state.latencyRatio += m_options.latencyRatioWeight * (*latencyRatio - state.latencyRatio);
        state.latencySampledAt = now;
    }
    if (how == SendEnd::Answered || how == SendEnd::ServerError || how == SendEnd::Lost) {
        const double errorSample = how == SendEnd::Answered ? 0.0 : 1.0;
        state.errorRate += m_options.errorRateWeight * (errorSample - state.errorRate);
        service.errorRate += m_options.errorRateWeight * (errorSample - service.errorRate)
            / static_cast<double>(service.endpoints.size());
    }
    if (how == SendEnd::Answered || how == SendEnd::ServerError) {
        state.failures = 0;
    } else if (how == SendEnd::Unreachable || how == SendEnd::Lost) {
        pause(state, how, now);
    }
    updateHealth(state, now);
}

void EndpointSelector::endFlight(State &state, const EndpointQuery &query)
{
    state.running = std::max(0, state.running - 1);
    state.tokens = std::max(0.0, state.tokens - query.tokens);
}

void EndpointSelector::cancel(const EndpointId &endpoint, const EndpointQuery &query, TimePoint chosenAt)
{
    auto *state = find(endpoint, query.service);
    if (state == nullptr) {
        return;
    }
    endFlight(*state, query);
    const auto it = std::find(state->coldSends.begin(), state->coldSends.end(), chosenAt);
    if (it != state->coldSends.end()) {
        state->coldSends.erase(it);
    }
}

void EndpointSelector::updateHealth(State &state, TimePoint now)
{
    const double latencyRatio = currentLatencyRatio(state, now);
    const auto health = state.pausedUntil > now ? EndpointHealth::Paused
        : latencyRatio > kSlowLatencyRatio      ? EndpointHealth::Slow
                                                : EndpointHealth::Healthy;
    m_healthLog.record(state.health, {state.listed.info.id, health, state.failures, latencyRatio});
}

void EndpointSelector::pause(State &state, SendEnd how, TimePoint now) const
{
    constexpr int kMaxDoublings = 4;
    ++state.failures;
    // A single lost response is weak evidence and causes no pause; a failed connection is strong evidence.
    const int doublings = std::min(state.failures - (how == SendEnd::Lost ? 2 : 1), kMaxDoublings);
    if (doublings >= 0) {
        const auto delay = m_options.failedPause * (1 << doublings);
        state.pausedUntil = now + std::min<Duration>(delay, m_options.failedPauseMax);
    }
}

EndpointSelector::State *EndpointSelector::find(const EndpointId &endpoint, const ServiceId &service)
{
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return nullptr;
    }
    const auto state = it->second.endpoints.find(endpoint);
    return state == it->second.endpoints.end() ? nullptr : &state->second;
}

const EndpointSelector::State *EndpointSelector::find(const EndpointId &endpoint) const
{
    const auto service = m_serviceOf.find(endpoint);
    if (service == m_serviceOf.end()) {
        return nullptr;
    }
    const auto &endpoints = m_services.at(service->second).endpoints;
    const auto it = endpoints.find(endpoint);
    return it == endpoints.end() ? nullptr : &it->second;
}

EndpointSelector::State *EndpointSelector::find(const EndpointId &endpoint)
{
    return const_cast<State *>(std::as_const(*this).find(endpoint));
}

bool EndpointSelector::isUsable(const EndpointId &endpoint) const
{
    const auto *state = find(endpoint);
    return state != nullptr && state->usable;
}

bool EndpointSelector::mayCall(const EndpointId &endpoint, TimePoint now) const
{
    const auto *state = find(endpoint);
    return state != nullptr && state->usable && now >= state->restsUntil;
}

void EndpointSelector::recordSilence(const EndpointId &endpoint, TimePoint now)
{
    if (auto *state = find(endpoint)) {
        pause(*state, SendEnd::Lost, now);
        updateHealth(*state, now);
    }
}

void EndpointSelector::recordRest(const EndpointStart &endpoint, TimePoint until)
{
    auto *state = find(endpoint.endpoint);
    if (state == nullptr || state->listed.startedAtMs != endpoint.startedAtMs) {
        return;
    }
    state->restsUntil = std::max(state->restsUntil, until);
    state->coldUntil = std::max(state->coldUntil, until + m_options.careAfterRest);
}

std::optional<Duration> EndpointSelector::restOf(const ServiceId &service, TimePoint now) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return std::nullopt;
    }
    std::optional<TimePoint> earliest;
    for (const auto &[id, state] : it->second.endpoints) {
        if (!state.usable) {
            continue;
        }
        if (state.restsUntil <= now) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(state.restsUntil), state.restsUntil);
    }
    return earliest ? std::optional<Duration>(*earliest - now) : std::nullopt;
}

void EndpointSelector::recordLoad(const EndpointId &endpoint, int running, int queued, TimePoint now)
{
    if (auto *state = find(endpoint)) {
        auto &service = m_services.at(m_serviceOf.at(endpoint));
        service.meanLoad += m_options.meanLoadWeight * (running + queued - service.meanLoad);
        state->reportedLoad = running + queued;
        state->reportedAt = now;
    }
}

void EndpointSelector::recordWorkTime(const EndpointId &endpoint, WorkTimeRatio ratio, TimePoint now)
{
    if (auto *state = find(endpoint)) {
        state->workTime.record(ratio, now);
    }
}

bool EndpointSelector::isCold(const EndpointId &endpoint, TimePoint now) const
{
    const auto *state = find(endpoint);
    return state != nullptr && now < state->coldUntil;
}

std::map<std::pair<ServiceId, ZoneId>, std::uint64_t> EndpointSelector::inFlightByZone() const
{
    std::map<std::pair<ServiceId, ZoneId>, std::uint64_t> sums;
    for (const auto &[service, state] : m_services) {
        for (const auto &[id, endpoint] : state.endpoints) {
            sums[{service, endpoint.listed.info.zone}] += static_cast<std::uint64_t>(std::max(0, endpoint.running));
        }
    }
    return sums;
}

int EndpointSelector::inFlight(const ServiceId &service) const
{
    const auto it = m_services.find(service);
    int n = 0;
    if (it != m_services.end()) {
        for (const auto &[id, state] : it->second.endpoints) {
            n += state.running;
        }
    }
    return n;
}

} // namespace mimosahub
