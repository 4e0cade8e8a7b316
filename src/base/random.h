#pragma once

#include "mimosahub/clock.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <cstdint>

namespace mimosahub
{

/// Seeded random source. Decisions take it by reference, so that a seed repeats
/// a run; Boost.Random gives the same numbers with every standard library.
class Random
{
public:
    explicit Random(std::uint64_t seed) : m_engine(seed)
    {
    }

    /// Uniform in [0, 1).
    double uniform()
    {
        return boost::random::uniform_01<double>()(m_engine);
    }
    /// Uniform in [0, n); \a n must be at least 1.
    std::uint64_t below(std::uint64_t n)
    {
        return boost::random::uniform_int_distribution<std::uint64_t>(0, n - 1)(m_engine);
    }
    /// \a base spread evenly over [base * (1 - fraction), base * (1 + fraction)).
    Duration jitter(Duration base, double fraction)
    {
        const double factor = 1.0 + fraction * (2.0 * uniform() - 1.0);
        return Duration(static_cast<Duration::rep>(static_cast<double>(base.count()) * factor));
    }
    /// The engine, for the distributions of Boost.Random.
    boost::random::mt19937_64 &engine()
    {
        return m_engine;
    }

private:
    boost::random::mt19937_64 m_engine;
};

} // namespace mimosahub
