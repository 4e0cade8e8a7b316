// The daemons report totals, so that a coordinator that takes over knows what was sent
// with the next report of each. What a daemon has sent since its last report is estimated
// by its rate, and never more than it may send; a daemon that is cut off stops by itself
// once it has had no decision for as long as its reports count here.
//
// Each daemon may use the part of the remaining budget that it has of the traffic, and
// gets a new part several times a second. A part that is below one request is rounded up:
// where many daemons share little traffic, few of them get a request in that time.

#include "forward/exposure_budget.h"

#include <algorithm>
#include <cmath>

namespace mimosahub
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration kRateWindow = 3s;
constexpr Duration kBurstWindow = 1s; ///< A higher rate in so short a time counts if it can't be chance.
constexpr Duration kLeastWindow = 500ms; ///< Over a shorter time no rate is measured.
constexpr Duration kReportLag = 150ms; ///< Between a send and the decision that knows it.
constexpr double kReserve = 0.02; ///< Of the limit, for a rate that rises after the load test began.
constexpr double kStandardErrors = 1.5; ///< Of a number of requests, which count as chance.
constexpr double kRise = 0.25; ///< Of the rate, for which mayFinish() keeps a reserve.

double seconds(Duration duration)
{
    return std::chrono::duration<double>(std::max(Duration::zero(), duration)).count();
}

double chance(double requests)
{
    return kStandardErrors * std::sqrt(std::max(0.0, requests));
}

} // namespace

void ExposureBudget::take(const DaemonRun &run, const SplitSends &sends, Duration elapsed, TimePoint now)
{
    auto &source = m_sources[run];
    source.sends = sends;
    source.elapsed = elapsed;
    source.receivedAt = now;
    source.cap = sends.target;
    source.samples.push_back({now, sends.all()});
    while (source.samples.size() > 1 && source.samples[1].at <= now - kRateWindow) {
        source.samples.pop_front();
    }
    source.rate = rateOver(source, kRateWindow);
    source.newestRate = rateOver(source, kBurstWindow);
    m_known.insert(run.daemon);
}

void ExposureBudget::setDaemons(int daemons)
{
    m_daemons = std::max(1, daemons);
}

double ExposureBudget::rateOver(const Source &source, Duration window)
{
    const auto &newest = source.samples.back();
    const Sample *first = &source.samples.front();
    for (const auto &sample : source.samples) {
        if (sample.at <= newest.at - window) {
            first = &sample;
        }
    }
    const Duration length = newest.at - first->at;
    if (length >= kLeastWindow) {
        return static_cast<double>(newest.all - std::min(newest.all, first->all)) / seconds(length);
    }
    return static_cast<double>(newest.all) / seconds(std::max(source.elapsed, kLeastWindow));
}

double ExposureBudget::rateOf(const Source &source, SourceRate rate, TimePoint now)
{
    return now - source.receivedAt > kRolloutNewsAge ? 0.0 : source.*rate;
}

double ExposureBudget::sumOfRates(SourceRate rate, TimePoint now) const
{
    double sum = 0.0;
    for (const auto &[run, source] : m_sources) {
        sum += rateOf(source, rate, now);
    }
    return sum * completeness();
}

double ExposureBudget::rate(TimePoint now) const
{
    const double newest = sumOfRates(&Source::newestRate, now);
    return std::max(sumOfRates(&Source::rate, now), newest - std::sqrt(newest));
}

double ExposureBudget::meanRate() const
{
    Duration longest = kLeastWindow;
    for (const auto &[run, source] : m_sources) {
        longest = std::max(longest, source.elapsed);
    }
    return allSends() / seconds(longest);
}

double ExposureBudget::completeness() const
{
    return m_known.empty() ? 1.0 : std::max(1.0, static_cast<double>(m_daemons) / static_cast<double>(m_known.size()));
}

double ExposureBudget::allSends() const
{
    double sum = 0.0;
    for (const auto &[run, source] : m_sources) {
        sum += static_cast<double>(source.sends.all());
    }
    return sum;
}

double ExposureBudget::targetSends(TimePoint now) const
{
    double sum = 0.0;
    for (const auto &[run, source] : m_sources) {
        const auto left = static_cast<double>(source.cap - std::min(source.cap, source.sends.target));
        const double sent = source.newestRate * seconds(std::min(kRolloutNewsAge, Duration(now - source.receivedAt)));
        sum += static_cast<double>(source.sends.target) + std::min(left, sent);
    }
    return sum * completeness();
}

double ExposureBudget::allowed(Duration remaining, TimePoint now) const
{
    return m_limit.allowed(allSends() + rate(now) * seconds(remaining));
}

double ExposureBudget::expected(Duration remaining, TimePoint now) const
{
    return targetSends(now) + rate(now) * seconds(remaining);
}

// For a rate that rises, or that has been low for a while.
double ExposureBudget::reserve(Duration remaining, TimePoint now) const
{
    const double requests = rate(now) * seconds(remaining);
    const double usual = meanRate() * seconds(remaining);
    return std::max({chance(requests), kRise * requests, usual - requests});
}

bool ExposureBudget::mayStart(Duration remaining, Duration atEnd, TimePoint now) const
{
    return expected(remaining, now) + reserve(atEnd, now) <= (1.0 - kReserve) * allowed(remaining, now);
}

bool ExposureBudget::isOverdrawn(Duration remaining, TimePoint now) const
{
    return expected(remaining, now) - std::sqrt(rate(now) * seconds(remaining)) > allowed(remaining, now);
}

bool ExposureBudget::mayFinish(Duration remaining, TimePoint now) const
{
    return expected(remaining, now) + reserve(remaining, now) <= allowed(remaining, now);
}

std::uint64_t ExposureBudget::grantCap(const DaemonRun &run, TimePoint now)
{
    const auto it = m_sources.find(run);
    if (it == m_sources.end()) {
        return 0;
    }
    auto &source = it->second;
    const double total = sumOfRates(&Source::rate, now);
    const double spare = m_limit.allowed(allSends()) - targetSends(now) - total * seconds(kReportLag);
    const double part = total > 0.0 ? rateOf(source, &Source::rate, now) / total : 1.0 / m_daemons;
    const auto more = spare < 1.0 ? std::uint64_t{0} : static_cast<std::uint64_t>(std::max(1.0, spare * part));
    source.cap = source.sends.target + more;
    return source.cap;
}

} // namespace mimosahub
