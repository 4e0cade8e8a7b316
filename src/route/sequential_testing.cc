// At a rate at or below the acceptable one, the likelihood ratio is a supermartingale,
// so that the probability that it ever exceeds 1/p is at most p (Ville's inequality),
// however often it is evaluated. Restarts prevent evidence from a good period from
// hiding a later fault; the k-th start uses 1/(k(k+1)) of the bound, and these parts
// add up to 1.

#include "route/sequential_testing.h"

#include <cmath>

namespace mimosahub
{

double logLikelihoodRatio(const TrialCounts &counts, const RateHypotheses &rates)
{
    const auto misses = static_cast<double>(counts.trials - counts.hits);
    return static_cast<double>(counts.hits) * std::log(rates.faulty / rates.acceptable)
        + misses * std::log((1.0 - rates.faulty) / (1.0 - rates.acceptable));
}

void SequentialTest::add(double logRatio)
{
    m_total += logRatio;
    m_alarm += logRatio;
    if (m_total <= std::log(m_options.falseAccept)) {
        m_accepted = true;
    }
    if (m_alarm <= m_options.restartBelow) {
        restart();
    }
}

void SequentialTest::restart()
{
    m_alarm = 0.0;
    ++m_starts;
}

double SequentialTest::trialsToAccept(const RateHypotheses &rates) const
{
    if (m_accepted) {
        return 0.0;
    }
    const double drift = rates.acceptable * std::log(rates.faulty / rates.acceptable)
        + (1.0 - rates.acceptable) * std::log((1.0 - rates.faulty) / (1.0 - rates.acceptable));
    return (std::log(m_options.falseAccept) - m_total) / drift;
}

double SequentialTest::alarmThreshold() const
{
    return std::log(static_cast<double>(m_starts) * (m_starts + 1.0) / m_options.falseAlarm);
}

} // namespace mimosahub
