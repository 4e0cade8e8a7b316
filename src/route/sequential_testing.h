#pragma once

#include <cstdint>

/// Wald's sequential probability ratio test for rates.
namespace mimosahub
{

/// The two rates between which a test decides; 0 < usual < faulty < 1.
struct RateHypotheses {
    double acceptable = 0.005; ///< At or below this, nothing is wrong.
    double faulty = 0.025; ///< At or above this, something is.
};

/// Trials and the hits among them.
struct TrialCounts {
    std::int64_t trials = 0;
    std::int64_t hits = 0;
};

/// Error bounds of a test.
struct SequentialTestOptions {
    double falseAlarm = 0.0005; ///< Probability that it ever rejects a usual rate.
    double falseAccept = 0.001; ///< Probability that it accepts a faulty rate.
    double restartBelow = -3.0; ///< Log likelihood ratio at which the alarm starts anew, so that a later fault shows.
};

/// Log likelihood ratio of \a counts: above 0 speaks for the faulty rate.
[[nodiscard]] double logLikelihoodRatio(const TrialCounts &counts, const RateHypotheses &rates);

/// Watches one rate. Acceptance counts all trials; the alarm starts anew
/// whenever the evidence is well on the good side, and each start spends a
/// smaller part of the false-alarm bound, so that the bound holds for the whole
/// life of the test whatever the number of looks.
class SequentialTest
{
public:
    explicit SequentialTest(const SequentialTestOptions &options = {}) : m_options(options)
    {
    }
    /// Adds the log likelihood ratio of new trials. The rates behind it may
    /// change between calls, if they don't depend on the trials added.
    void add(double logRatio);

    /// The trials since the last start speak for the faulty rate.
    [[nodiscard]] bool alarmed() const
    {
        return m_alarm >= alarmThreshold();
    }
    /// Starts the alarm anew: its trials have turned out to say nothing.
    void restart();
    /// How often the alarm has started; at first 1.
    [[nodiscard]] int starts() const
    {
        return m_starts;
    }
    /// Enough trials speak for the usual rate. Sticky.
    [[nodiscard]] bool accepted() const
    {
        return m_accepted;
    }
    /// Further trials at the usual rate until accepted(), as expected.
    [[nodiscard]] double trialsToAccept(const RateHypotheses &rates) const;

private:
    [[nodiscard]] double alarmThreshold() const;

    SequentialTestOptions m_options;
    double m_total = 0.0; ///< Of all trials.
    double m_alarm = 0.0; ///< Since the last start.
    int m_starts = 1;
    bool m_accepted = false;
};

} // namespace mimosahub
