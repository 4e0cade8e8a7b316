#pragma once

#include "forward/work_time_ratio.h"
#include "mimosahub/clock.h"

#include <optional>

/// How long work takes at an endpoint now, from the ratio that it reports and from outcomes.
namespace mimosahub
{

struct WorkTimeEstimateOptions {
    Duration halfLife = std::chrono::milliseconds(250); ///< Of a reported ratio's deviation from its mean.
    Duration maxAge = std::chrono::seconds(5); ///< Older reports count as none.
    double weight = 0.1; ///< Of a new sample in all moving averages.
};

/// Combines the moving average of an endpoint's response times with the ratio that it reports.
/// How much the ratio counts is learnt: for each outcome, the error of the estimate with the
/// ratio is compared with the error without it, so that a false ratio loses its influence.
class WorkTimeEstimate
{
public:
    explicit WorkTimeEstimate(const WorkTimeEstimateOptions &options = {}) : m_options(options)
    {
    }

    /// Records a ratio that the endpoint reported.
    void record(WorkTimeRatio ratio, TimePoint now);
    /// Records that work took \a time, and that \a average, without ratios, was expected; both
    /// relative to the usual time. Requires \a time and \a average above 0.
    void recordOutcome(double time, double average, TimePoint now);
    /// The expected time of work that begins now, where \a average is expected without ratios.
    /// That is \a average if no ratio was reported lately.
    [[nodiscard]] double at(double average, TimePoint now) const;
    /// Whether a ratio was reported lately.
    [[nodiscard]] bool isReported(TimePoint now) const;
    /// Influence of the reported ratio, from 0 to 1.
    [[nodiscard]] double trust() const;

private:
    WorkTimeEstimateOptions m_options;
    std::optional<double> m_ratio; ///< The newest one.
    TimePoint m_reportedAt;
    double m_meanRatio = 1.0;
    double m_pace = 1.0; ///< Moving average of time over ratio.
    double m_plainError = 0.1; ///< Moving average of the squared error without ratios, of logarithms.
    double m_ratioError = 0.1; ///< The same with ratios.
};

} // namespace mimosahub
