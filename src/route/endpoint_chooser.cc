// Two random endpoints and the shorter expected wait of the two: nearly as good
// as the shortest wait of all, in constant time, and without the herd that forms
// when many daemons follow the same lagging report to the same idle endpoint.
// Version comes first (its share is a promise), then zone, then endpoint. A
// prompt prefix goes to the endpoint that probably has it cached, unless that one
// is loaded above the bound; rendezvous hashing makes all daemons agree on it
// without talking. No path below takes a call beyond EndpointRow::usable().

#include "route/endpoint_chooser.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mimosahub
{

namespace
{

// What is known of one choice while it is made.
struct Search {
    const ChoiceRequest &request;
    const LeastWaitOptions &options;
    TimePoint now;
    Random &random;
};

struct Candidate {
    const EndpointRow *row = nullptr;
    Duration wait{};
    const EndpointGroup *group = nullptr;

    explicit operator bool() const
    {
        return row != nullptr;
    }
};

bool isExcluded(const Search &search, const EndpointRow &row)
{
    const auto &exclude = search.request.exclude;
    return std::find(exclude.begin(), exclude.end(), row.info.id) != exclude.end();
}

// Whether the call may go to \a row now, probes apart.
bool canAccept(const Search &search, const EndpointRow &row)
{
    return row.state != EndpointState::Failing && row.hasRoom() && !isExcluded(search, row);
}

Candidate candidate(const Search &search, const EndpointRow &row)
{
    return {&row, expectedWait(row, search.now)};
}

Candidate shorter(const Candidate &a, const Candidate &b)
{
    if (!a || !b) {
        return a ? a : b;
    }
    return b.wait < a.wait ? b : a;
}

// The first endpoint with room, from a random one on: so that a group in which
// few have room still finds them.
Candidate anyWithFreeSlot(const Search &search, const std::vector<EndpointRow> &rows)
{
    const auto start = search.random.below(rows.size());
    for (std::size_t n = 0; n < rows.size(); ++n) {
        const auto &row = rows[(start + n) % rows.size()];
        if (canAccept(search, row)) {
            return candidate(search, row);
        }
    }
    return {};
}

Candidate bestOfTwo(const Search &search, const std::vector<EndpointRow> &rows)
{
    Candidate best;
    for (int n = 0; n < 2; ++n) {
        const auto &row = rows[search.random.below(rows.size())];
        if (canAccept(search, row)) {
            best = shorter(best, candidate(search, row));
        }
    }
    return best ? best : anyWithFreeSlot(search, rows);
}

std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    // Finalizer of SplitMix64: cheap, and good enough to rank endpoints.
    std::uint64_t n = a ^ (b * 0x9E3779B97F4A7C15ULL);
    n = (n ^ (n >> 30)) * 0xBF58476D1CE4E5B9ULL;
    n = (n ^ (n >> 27)) * 0x94D049BB133111EBULL;
    return n ^ (n >> 31);
}

// The endpoint that a prefix belongs to: the holder by cache events, else the
// one of the highest rendezvous weight, among those with room under the bound.
Candidate affinityCandidate(const Search &search, const EndpointGroup &group, const std::optional<EndpointId> &holder)
{
    int total = 0;
    int limits = 0;
    for (const auto &row : group.rows) {
        total += row.inFlight->value();
        limits += row.usable();
    }
    // Each endpoint's bound is its part of the load by limit, so that a cold one
    // isn't held to the mean of warm ones.
    const double load = limits == 0 ? 0.0 : search.options.boundedLoad * (total + 1) / limits;
    const EndpointRow *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto &row : group.rows) {
        if (row.inFlight->value() + 1 > std::ceil(load * row.usable()) || !canAccept(search, row)) {
            continue;
        }
        if (holder && row.info.id == *holder) {
            return candidate(search, row);
        }
        const auto weight = mix(*search.request.prefixHash, row.hash);
        if (best == nullptr || weight > bestWeight) {
            best = &row;
            bestWeight = weight;
        }
    }
    return best == nullptr ? Candidate() : candidate(search, *best);
}

// The least wait among the near zone's groups, or among the others'.
Candidate bestByProximity(const Search &search, std::span<const EndpointGroup> groups, const VersionId *version,
                          bool near, bool skipRamping)
{
    Candidate best;
    for (const auto &group : groups) {
        if ((group.zone == search.request.zone) != near || (version != nullptr && group.version != *version)
            || group.zoneFactor <= 0.0
            || (skipRamping && group.zoneFactor < 1.0 && search.random.uniform() >= group.zoneFactor)) {
            continue;
        }
        auto candidate = bestOfTwo(search, group.rows);
        candidate.group = &group;
        best = shorter(best, candidate);
    }
    return best;
}

// The best endpoint of one version: the near zone's, unless another zone's wait
// is shorter by more than the way there costs. A zone that is ramping up is
// passed over at random by its factor in the first round, and used in the second
// only if no other has room. Affinity is looked for in the one group that was
// chosen, since it looks at every endpoint of a group.
Candidate bestOfVersion(const Search &search, std::span<const EndpointGroup> groups, const VersionId *version,
                        const std::optional<EndpointId> &holder)
{
    const auto cost = search.options.crossZoneCost;
    Candidate best;
    for (const bool skipRamping : {true, false}) {
        const auto near = bestByProximity(search, groups, version, true, skipRamping);
        const auto far =
            near && near.wait <= cost ? Candidate() : bestByProximity(search, groups, version, false, skipRamping);
        best = near && far && far.wait + cost < near.wait ? far : (near ? near : far);
        if (best) {
            break;
        }
    }
    if (!best || !search.request.prefixHash) {
        return best;
    }
    const auto cached = affinityCandidate(search, *best.group, holder);
    return cached && cached.wait <= best.wait + search.request.prefixSaving ? cached : best;
}

// A failing endpoint whose probe is due.
const EndpointRow *dueProbe(const Search &search, std::span<const EndpointGroup> groups, const VersionId *version)
{
    for (const auto &group : groups) {
        if (version != nullptr && group.version != *version) {
            continue;
        }
        for (const auto &row : group.rows) {
            if (row.state == EndpointState::Failing && row.hasRoom() && !isExcluded(search, row)) {
                return &row;
            }
        }
    }
    return nullptr;
}

// Draws a version by weight. Only the heaviest may stand in for another: the
// other way round, an overloaded old version would push traffic above a new
// version's share.
std::vector<const VersionId *> versionsToTry(const Search &search)
{
    const auto &versions = search.request.versions;
    if (versions.empty()) {
        return {nullptr};
    }
    const auto heaviest = std::max_element(versions.begin(), versions.end(),
                                           [](const auto &a, const auto &b) { return a.weight < b.weight; });
    const VersionId *drawn = &heaviest->version;
    double rest = search.random.uniform();
    for (const auto &it : versions) {
        if (rest < it.weight) {
            drawn = &it.version;
            break;
        }
        rest -= it.weight;
    }
    if (drawn == &heaviest->version) {
        return {drawn};
    }
    return {drawn, &heaviest->version};
}

// Why nothing was found, and when a slot will probably be free.
NotChosen refusal(const Search &search, std::span<const EndpointGroup> groups)
{
    const auto &options = search.options;
    std::optional<Duration> soonest;
    for (const auto &group : groups) {
        for (const auto &row : group.rows) {
            if (row.state != EndpointState::Failing && row.usable() > 0) {
                const auto next = row.callTime / std::max(1, row.inFlight->value());
                soonest = std::min(soonest.value_or(next), next);
            }
        }
    }
    if (!soonest) {
        return {Reason::NoEndpoint, options.noEndpointRetryAfter};
    }
    return {Reason::Overloaded, std::clamp(*soonest, options.retryAfterMin, options.retryAfterMax)};
}

// Takes a slot of \a row; another thread may have taken the last one meanwhile.
std::optional<Chosen> acquire(const Candidate &candidate)
{
    const auto &row = *candidate.row;
    auto slot = row.tryTake();
    if (!slot) {
        return std::nullopt;
    }
    return Chosen{row.info, std::move(*slot), row.state == EndpointState::Failing, candidate.wait};
}

} // namespace

Duration expectedWait(const EndpointRow &row, TimePoint now)
{
    const double rate = std::max(1, row.limit);
    double ahead = row.inFlight->value();
    if (row.report) {
        // After the time in which the endpoint works off what it had, its load is
        // as unknown as without a report; following an old one makes all daemons
        // crowd the endpoints that were idle then.
        const double others = std::max(0, row.report->calls - row.report->ownCalls);
        const double decayTime = static_cast<double>(row.callTime.count()) * std::max(1.0, row.report->calls / rate);
        const double age = static_cast<double>(std::max(Duration::zero(), now - row.report->takenAt).count());
        ahead += decayTime > 0.0 ? others * std::exp(-age / decayTime) : 0.0;
    }
    return Duration(static_cast<Duration::rep>(static_cast<double>(row.callTime.count()) * ahead / rate));
}

Choice LeastWaitPolicy::choose(const EndpointTable &table, const ChoiceRequest &request, TimePoint now, Random &random)
{
    const Search search{request, m_options, now, random};
    const auto groups = table.groups(request.service);
    std::optional<EndpointId> holder;
    if (m_hints != nullptr && request.prefixHash) {
        holder = m_hints->holder(*request.prefixHash, now);
    }
    for (const auto *version : versionsToTry(search)) {
        if (request.mayProbe) {
            if (const auto *row = dueProbe(search, groups, version)) {
                if (auto chosen = acquire({row, {}})) {
                    return std::move(*chosen);
                }
            }
        }
        while (const auto best = bestOfVersion(search, groups, version, holder)) {
            if (auto chosen = acquire(best)) {
                return std::move(*chosen);
            }
        }
    }
    return refusal(search, groups);
}

Choice RoundRobinPolicy::choose(const EndpointTable &table, const ChoiceRequest &request, TimePoint, Random &)
{
    const auto groups = table.groups(request.service);
    std::size_t total = 0;
    for (const auto &group : groups) {
        total += group.rows.size();
    }
    if (total == 0) {
        return NotChosen{Reason::NoEndpoint, LeastWaitOptions().noEndpointRetryAfter};
    }
    auto n = m_next.fetch_add(1, std::memory_order_relaxed) % total;
    for (const auto &group : groups) {
        if (n < group.rows.size()) {
            const auto &row = group.rows[n];
            if (!row.inFlight->tryAcquire(std::numeric_limits<int>::max())) {
                break;
            }
            return Chosen{row.info, InFlightSlot(row.inFlight), false, {}};
        }
        n -= group.rows.size();
    }
    return NotChosen{Reason::Overloaded, LeastWaitOptions().retryAfterMin};
}

} // namespace mimosahub
