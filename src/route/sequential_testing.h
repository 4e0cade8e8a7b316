#pragma once

#include <cstdint>

/// Wald's sequential probability ratio test (SPRT) for rates.
namespace mimosahub
{

/// The two rates between which a test decides; 0 < acceptable < faulty < 1.
struct RateHypotheses {
    double acceptable = 0.005; ///< The version is good at or below this rate.
    double faulty = 0.025; ///< The version is faulty at or above this rate.
};

/// Number of trials, and of hits among them.
struct TrialCounts {
    std::int64_t trials = 0;
    std::int64_t hits = 0;
};

/// Error bounds of a test.
struct SequentialTestOptions {
    double falseAlarm = 0.0005; ///< Probability that the test ever rejects an acceptable rate.
    double falseAccept = 0.001; ///< Probability that the test accepts a faulty rate.
    /// Natural log likelihood ratio at which the alarm restarts, so that it detects a later fault.
    double restartBelow = -3.0;
};

/// Natural log likelihood ratio of \a counts: above 0 is evidence for the faulty rate.
[[nodiscard]] double logLikelihoodRatio(const TrialCounts &counts, const RateHypotheses &rates);

/// Tests one rate. Acceptance counts all trials. The alarm restarts whenever the
/// evidence for the acceptable rate is strong, and each start uses a smaller part of
/// the false-alarm bound, so that the bound holds for the whole lifetime of the test
/// and any number of evaluations.
class SequentialTest
{
public:
    explicit SequentialTest(const SequentialTestOptions &options = {}) : m_options(options)
    {
    }
    /// Adds the log likelihood ratio of new trials. Its rates may change between
    /// calls, provided that they don't depend on the trials added.
    void add(double logRatio);

    /// The trials since the last start are evidence for the faulty rate.
    [[nodiscard]] bool alarmed() const
    {
        return m_alarm >= alarmThreshold();
    }
    /// Restarts the alarm, after its trials proved to be no evidence.
    void restart();
    /// Number of times that the alarm has started, initially 1.
    [[nodiscard]] int starts() const
    {
        return m_starts;
    }
    /// Enough trials are evidence for the acceptable rate. Never reset.
    [[nodiscard]] bool accepted() const
    {
        return m_accepted;
    }
    /// Expected number of further trials at the acceptable rate until accepted().
    [[nodiscard]] double trialsToAccept(const RateHypotheses &rates) const;

private:
    [[nodiscard]] double alarmThreshold() const;

    SequentialTestOptions m_options;
    double m_total = 0.0; ///< Log likelihood ratio of all trials.
    double m_alarm = 0.0; ///< Log likelihood ratio of the trials since the last start.
    int m_starts = 1;
    bool m_accepted = false;
};

} // namespace mimosahub
