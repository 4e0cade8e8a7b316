// Both versions serve at the same time, so the old one gives the baseline: its rate
// since the rollout began, or its rate around the time of the tested outcomes where
// that is significantly worse, so that a degradation of both versions isn't attributed
// to the new one. Rates are compared, not means: a failure, or an answer above a fixed
// latency, is a hit. This needs no assumption on the distribution of latencies, and
// sums over daemons are plain counts.
//
// A degradation may last for less than a second, and the other daemons send the counts
// of the two versions in different messages. So outcomes are tested in blocks, each one
// once all counts of its period have arrived, against the old version's worst block
// around it. Until then the counts received so far give a preliminary result, which may
// only keep the new version's share of traffic small, not decide on a fault.
//
// On a single route only large faults can be detected soon, on all routes together
// smaller ones too; so each route is tested for routeFailureFactor times the increase
// given in the policy, and the sum of all routes for the increase itself.

#include "route/rollout_evidence.h"

#include <algorithm>
#include <cmath>

namespace mimosahub
{

namespace
{

constexpr double kMaxRate = 0.95;
constexpr double kMaxBaselineRate = 0.9;
// A rate of the newest outcomes is used only if it is more than this many standard
// errors above the long-term rate.
constexpr double kSignificantErrors = 2.0;
// If the new version has more than this fraction of a block's outcomes, some daemon
// must be giving it more than VersionPolicy::firstShare of the traffic.
constexpr double kSmallFraction = 0.1;

struct RateEstimate {
    double mean = 0.0;
    double error = 0.0; ///< Standard error.

    [[nodiscard]] double upper() const
    {
        return mean + error;
    }
};

RateEstimate estimate(std::int64_t hits, std::int64_t trials)
{
    // Half a hit is added, so that the standard error is above 0 without any hits.
    const double n = static_cast<double>(trials) + 1.0;
    const double mean = (static_cast<double>(hits) + 0.5) / n;
    return {mean, std::sqrt(mean * (1.0 - std::min(mean, 1.0)) / n)};
}

RateEstimate estimate(const VersionOutcomes &counts, HitCounter hits)
{
    return estimate(counts.*hits, counts.finished);
}

// Rate of slow answers of a version that is slower by \a factor, for exponentially
// distributed latencies; wider distributions have a lower rate, narrower ones a higher.
double slowedRate(double baseline, double factor)
{
    return std::min(std::pow(baseline, 1.0 / factor), kMaxRate);
}

} // namespace

double RolloutEvidence::Route::outcomesToAccept() const
{
    return std::max(failure.test().trialsToAccept(failureRates), slowness.test().trialsToAccept(slowRates));
}

// Half of the bound on false rollbacks is for the two tests of all routes together, a
// quarter for each; the other half is for the tests of single routes, see entryOf().
RolloutEvidence::RolloutEvidence(const VersionPolicy &policy, const RolloutEvidenceOptions &options)
    : m_policy(policy),
      m_options(options),
      m_all(options.blockLength, options.recentWindow),
      m_overallFailure(&VersionOutcomes::failed, {options.falseRollback / 4, options.falseAccept}, options.alarm),
      m_overallSlowness(&VersionOutcomes::slow, {options.falseRollback / 4, options.falseAccept}, options.alarm)
{
}

void RolloutEvidence::addCounts(const RolloutCounts &counts, double share, WallTime now)
{
    updateSums(counts, share, now);
    clearPreviews();
    m_unconfirmedAlarm = false;
    const auto &blocks = m_all.blocks();
    for (std::size_t i = 0; i < blocks.size(); ++i) {
        const auto begin = blocks[i].begin;
        if (m_evaluatedTo && begin <= *m_evaluatedTo) {
            continue;
        }
        const bool complete = now - begin >= m_options.blockLength + m_options.countDelay;
        evaluateBlock(i, complete, now);
        if (complete) {
            m_evaluatedTo = begin;
            // Incomplete blocks follow and are previewed again after this one.
            clearPreviews();
        }
    }
    checkAlarms();
}

void RolloutEvidence::updateSums(const RolloutCounts &counts, double share, WallTime now)
{
    for (const auto &[key, outcomes] : counts) {
        entryOf(key);
    }
    RouteOutcomes all;
    for (auto &[key, entry] : m_entries) {
        const auto it = counts.find(key);
        const auto fresh = it == counts.end() ? RouteOutcomes() : difference(it->second, entry.lastSums);
        entry.lastSums = it == counts.end() ? entry.lastSums : it->second;
        entry.history.add(fresh, share, now);
        entry.route.sum = entry.history.sum();
        all += fresh;
    }
    m_all.add(all, share, now);
    m_hadSparseBaseline = m_hadSparseBaseline || isSparseBaselineShare(share);
}

std::vector<const RolloutEvidence::Route *> RolloutEvidence::mainRoutes() const
{
    const double least = m_options.minRouteShare * static_cast<double>(m_all.sum().finished());
    std::vector<const Route *> routes;
    for (const auto &[key, entry] : m_entries) {
        const auto n = entry.route.sum.finished();
        if (n > 0 && static_cast<double>(n) >= least) {
            routes.push_back(&entry.route);
        }
    }
    return routes;
}

double RolloutEvidence::outcomesToAcceptOverall() const
{
    // Uses the rates of the busiest route for all routes.
    const Route *busiest = nullptr;
    for (const auto &[key, entry] : m_entries) {
        if (busiest == nullptr || entry.route.sum.finished() > busiest->sum.finished()) {
            busiest = &entry.route;
        }
    }
    if (busiest == nullptr || acceptedOverall()) {
        return 0.0;
    }
    return std::max(m_overallFailure.test().trialsToAccept(busiest->sumFailureRates),
                    m_overallSlowness.test().trialsToAccept(busiest->slowRates));
}

RolloutEvidence::Entry &RolloutEvidence::entryOf(const RouteKey &key)
{
    const auto it = m_entries.find(key);
    if (it != m_entries.end()) {
        return it->second;
    }
    // The routes share one half of the error bound, and each of a route's two tests gets
    // half of the route's part.
    const auto routes = std::max(m_options.expectedRoutes, m_entries.size() + 1);
    const SequentialTestOptions test{m_options.falseRollback / 4 / static_cast<double>(routes), m_options.falseAccept};
    // The empty values are the sum of outcomes and the three pairs of rates.
    Route route{key,
                {},
                VersionAlarm(&VersionOutcomes::failed, test, m_options.alarm),
                VersionAlarm(&VersionOutcomes::slow, test, m_options.alarm),
                {},
                {},
                {}};
    // A history that is created later gets the earlier blocks too, without outcomes, so
    // that a block has the same index in all histories.
    OutcomeBlocks history(m_options.blockLength, m_options.recentWindow);
    for (const auto &block : m_all.blocks()) {
        history.add({}, block.share, block.begin);
    }
    Entry entry{std::move(route), {}, std::move(history)};
    return m_entries.emplace(key, std::move(entry)).first->second;
}

// Whether the old version had too little traffic for a baseline during a block, or
// during the block before it, whose outcomes may be counted late in this one. The number
// of its outcomes in the block doesn't show this, since outcomes of an earlier time may
// arrive late. Once the daemons have given the old version little traffic, one daemon
// may still do so while another has already returned the new version to a small share.
bool RolloutEvidence::hasSparseBaseline(std::size_t block) const
{
    const auto &it = m_all.blocks()[block];
    if (isSparseBaselineShare(it.share) || (block > 0 && isSparseBaselineShare(m_all.blocks()[block - 1].share))) {
        return true;
    }
    const auto all = static_cast<double>(it.counts.finished());
    return m_hadSparseBaseline && static_cast<double>(it.counts.to.finished) > kSmallFraction * all;
}

bool RolloutEvidence::isSparseBaselineShare(double share) const
{
    return share > m_options.sparseBaselineRatio * (1.0 - share);
}

// The old version's rate: over all its outcomes, or over the newest outcomes or any
// neighbour of the block where these are significantly worse.
double RolloutEvidence::baselineRate(const OutcomeBlocks &history, std::size_t block, HitCounter hits) const
{
    const double longTerm = estimate(history.sum().from, hits).upper();
    double rate = longTerm;
    const auto compare = [&](const VersionOutcomes &counts) {
        const auto recent = estimate(counts, hits);
        if (recent.mean - kSignificantErrors * recent.error > longTerm) {
            rate = std::max(rate, recent.upper());
        }
    };
    compare(history.recentSum().from);
    for (const auto &it : history.neighbours(block, m_options.neighbourBlocks)) {
        compare(it.counts.from);
    }
    return rate;
}

RolloutEvidence::SharedDegradation RolloutEvidence::sharedDegradation(std::size_t block) const
{
    const auto excess = [&](HitCounter hits) {
        return std::max(0.0, baselineRate(m_all, block, hits) - estimate(m_all.sum().from, hits).upper());
    };
    return {excess(&VersionOutcomes::failed), excess(&VersionOutcomes::slow)};
}

void RolloutEvidence::setRates(Entry &entry, std::size_t block, const SharedDegradation &degradation) const
{
    auto &route = entry.route;
    const auto recentSum = entry.history.recentSum();
    const bool sparseBaseline = route.sum.from.finished < m_options.minBaselineOutcomes
        || static_cast<double>(recentSum.to.finished)
            > m_options.sparseBaselineRatio * std::max(1.0, static_cast<double>(recentSum.from.finished));
    const auto boundedRate = [&](HitCounter hits, double excess, double floor) {
        const double own = baselineRate(entry.history, block, hits);
        const double common = estimate(route.sum.from, hits).upper() + excess;
        return std::clamp(std::max(own, common), floor, kMaxBaselineRate);
    };
    const double failed = boundedRate(&VersionOutcomes::failed, degradation.failure,
                                      sparseBaseline ? m_options.sparseBaselineFailureFloor : m_options.failureFloor);
    const double slow = boundedRate(&VersionOutcomes::slow, degradation.slowness,
                                    sparseBaseline ? m_options.sparseBaselineSlowFloor : m_options.slowFloor);
    const double increase = m_policy.maxFailureIncrease;
    route.failureRates = {failed, std::min(failed + m_options.routeFailureFactor * increase, kMaxRate)};
    route.sumFailureRates = {failed, std::min(failed + increase, kMaxRate)};
    route.slowRates = {slow, slowedRate(slow, m_policy.maxSlowdown)};
}

// Each route's outcomes are compared with the route's own acceptable rates, so that a
// version isn't penalized for a larger share of a route that fails more often.
void RolloutEvidence::evaluateBlock(std::size_t block, bool complete, WallTime now)
{
    const auto degradation = sharedDegradation(block);
    const bool sparseBaseline = hasSparseBaseline(block);
    LogRatios overall;
    for (auto &[key, entry] : m_entries) {
        setRates(entry, block, degradation);
        auto &route = entry.route;
        const auto &to = entry.history.blocks()[block].counts.to;
        const auto failure = logLikelihoodRatio({to.finished, to.failed}, route.failureRates);
        const auto slowness = logLikelihoodRatio({to.finished, to.slow}, route.slowRates);
        overall.failure += logLikelihoodRatio({to.finished, to.failed}, route.sumFailureRates);
        overall.slowness += slowness;
        if (complete) {
            route.failure.add(failure, sparseBaseline, route.sum, now);
            route.slowness.add(slowness, sparseBaseline, route.sum, now);
        } else {
            route.failure.preview(failure);
            route.slowness.preview(slowness);
        }
    }
    if (complete) {
        m_overallFailure.add(overall.failure, sparseBaseline, m_all.sum(), now);
        m_overallSlowness.add(overall.slowness, sparseBaseline, m_all.sum(), now);
    } else {
        m_overallFailure.preview(overall.failure);
        m_overallSlowness.preview(overall.slowness);
    }
}

void RolloutEvidence::clearPreviews()
{
    for (auto &[key, entry] : m_entries) {
        entry.route.failure.clearPreview();
        entry.route.slowness.clearPreview();
    }
    m_overallFailure.clearPreview();
    m_overallSlowness.clearPreview();
}

void RolloutEvidence::checkAlarms()
{
    for (const auto &[key, entry] : m_entries) {
        const auto where = key.str();
        recordAlarm(entry.route.failure, where);
        recordAlarm(entry.route.slowness, where);
    }
    recordAlarm(m_overallFailure, "all routes");
    recordAlarm(m_overallSlowness, "all routes");
}

// An unconfirmed alarm is confirmed or dismissed by later outcomes, which the old
// version's outcomes of the same time are compared with; see version_alarm.cc.
void RolloutEvidence::recordAlarm(const VersionAlarm &alarm, const std::string &where)
{
    const auto state = alarm.state();
    m_unconfirmedAlarm = m_unconfirmedAlarm || state == AlarmState::Unconfirmed;
    if (state == AlarmState::Faulty && !m_fault) {
        m_fault = alarm.describe(where);
    }
}

} // namespace mimosahub
