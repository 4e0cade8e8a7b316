// Power of two choices: picks two random endpoints and takes the one with the shorter
// expected wait. This is nearly as good as the shortest wait of all, takes constant
// time, and avoids the thundering herd that arises when many daemons follow the same
// stale report to the same idle endpoint. The version is chosen first, since its
// share of traffic is guaranteed, then the zone, then the endpoint. A prompt prefix
// goes to the endpoint that probably has it cached, unless that endpoint's load
// exceeds the bound; rendezvous hashing makes all daemons choose the same endpoint
// without communication. No path below exceeds EndpointRow::callLimit().

#include "route/endpoint_chooser.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mimosahub
{

namespace
{

// Inputs of one choice.
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

// Whether the call may go to \a row now, other than as a probe.
bool canAccept(const Search &search, const EndpointRow &row)
{
    return row.state != EndpointState::Failing && row.mayStartCall() && !isExcluded(search, row);
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

// The first endpoint with a free slot, in order from a random start. This finds one
// also in a group in which few have free slots.
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

// The endpoint that probably caches the prefix: its holder according to cache events,
// otherwise the one with the highest rendezvous weight, among the endpoints with a
// free slot and a load within the bound.
Candidate affinityCandidate(const Search &search, const EndpointGroup &group, const std::optional<EndpointId> &holder)
{
    int total = 0;
    int limits = 0;
    for (const auto &row : group.rows) {
        total += row.inFlight->value();
        limits += row.callLimit();
    }
    // Each endpoint's bound is proportional to its limit, so that a cold endpoint
    // isn't compared with the mean load of warm ones.
    const double load = limits == 0 ? 0.0 : search.options.boundedLoad * (total + 1) / limits;
    const EndpointRow *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto &row : group.rows) {
        if (row.inFlight->value() + 1 > std::ceil(load * row.callLimit()) || !canAccept(search, row)) {
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

// The endpoint with the least wait in the local zone's groups (\a near), or in those
// of the other zones.
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

// The best endpoint of one version: the local zone's, unless another zone's wait is
// shorter by more than crossZoneCost. The first round skips a ramping zone at random,
// according to its factor; the second round uses it only if no other zone has a free
// slot. Prefix affinity is evaluated only in the chosen group, since it scans all
// endpoints of a group.
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
            if (row.state == EndpointState::Failing && row.mayStartCall() && !isExcluded(search, row)) {
                return &row;
            }
        }
    }
    return nullptr;
}

// Draws a version at random by weight. Only the version with the highest weight may
// replace another: otherwise an overloaded old version would push a new version's
// traffic above its share.
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

// Why no endpoint was found, and when a slot will probably be free.
NotChosen refusal(const Search &search, std::span<const EndpointGroup> groups)
{
    const auto &options = search.options;
    std::optional<Duration> soonest;
    for (const auto &group : groups) {
        for (const auto &row : group.rows) {
            if (row.state != EndpointState::Failing && row.callLimit() > 0) {
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

// Acquires a slot of the candidate; nullopt if another thread took the last one.
std::optional<Chosen> acquire(const Candidate &candidate)
{
    const auto &row = *candidate.row;
    auto slot = row.tryAcquireSlot();
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
        // Once the endpoint has had time to finish the reported calls, its load is as
        // unknown as without a report. Following an old report makes all daemons
        // overload the endpoints that were idle at its time.
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
