// The deviation of a ratio from its mean decays with its age. A ratio that never changes therefore
// has no effect, whatever its value, since the pace is learnt relative to it.

#include "forward/work_time_estimate.h"

#include <algorithm>
#include <cmath>

namespace mimosahub
{

namespace
{

constexpr double kMinTime = 0.01; ///< Bounds the logarithms; relative to the usual time.
constexpr double kMaxTime = 100.0;
constexpr double kMinError = 1e-4; ///< Keeps the trust defined while both errors are 0.

double squaredError(double actual, double expected)
{
    const double error = std::log(std::clamp(actual, kMinTime, kMaxTime) / std::clamp(expected, kMinTime, kMaxTime));
    return error * error;
}

} // namespace

bool WorkTimeEstimate::isReported(TimePoint now) const
{
    return m_ratio && now - m_reportedAt <= m_options.maxAge;
}

void WorkTimeEstimate::record(WorkTimeRatio ratio, TimePoint now)
{
    m_meanRatio = m_ratio ? m_meanRatio + m_options.weight * (ratio.value() - m_meanRatio) : ratio.value();
    m_pace = m_ratio ? m_pace : 1.0 / ratio.value();
    m_ratio = ratio.value();
    m_reportedAt = now;
}

// The response that ends work also carries a ratio, so the newest one is that of the work.
void WorkTimeEstimate::recordOutcome(double time, double average, TimePoint now)
{
    if (!isReported(now)) {
        return;
    }
    m_plainError += m_options.weight * (squaredError(time, average) - m_plainError);
    m_ratioError += m_options.weight * (squaredError(time, m_pace * *m_ratio) - m_ratioError);
    m_pace += m_options.weight * (time / *m_ratio - m_pace);
}

double WorkTimeEstimate::trust() const
{
    const double plain = m_plainError * m_plainError + kMinError;
    const double ratio = m_ratioError * m_ratioError + kMinError;
    return plain / (plain + ratio);
}

double WorkTimeEstimate::at(double average, TimePoint now) const
{
    if (!isReported(now)) {
        return average;
    }
    const auto age = static_cast<double>(std::max(Duration::zero(), Duration(now - m_reportedAt)).count());
    const double decay = std::exp2(-age / static_cast<double>(m_options.halfLife.count()));
    const double ratio = m_meanRatio + (*m_ratio - m_meanRatio) * decay;
    return average * (1.0 - trust()) + m_pace * ratio * trust();
}

} // namespace mimosahub
