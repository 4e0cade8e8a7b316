#pragma once

#include "route/rollout_counts.h"
#include "route/sequential_testing.h"

#include <string>

/// Alarm of one sequential test of a new version.
namespace mimosahub
{

struct VersionAlarmOptions {
    double confirmRatio = 9.2; ///< Log likelihood ratio that confirms an alarm that needs confirmation.
    double dismissRatio = -4.6; ///< Log likelihood ratio that dismisses such an alarm.
    /// Time without outcomes of the old version that confirms the alarm, if the new version had
    /// minOutcomesWithoutBaseline outcomes meanwhile.
    Duration baselineTimeout = std::chrono::seconds(10);
    std::int64_t minOutcomesWithoutBaseline = 20; ///< Outcomes of the new version required for baselineTimeout.
};

enum class AlarmState {
    Quiet, ///< No evidence against the new version.
    Unconfirmed, ///< Possible fault: the new version should get little traffic until it is resolved.
    Faulty, ///< Fault found; final.
};

/// Detects a raised rate of one kind of hits, failed or slow calls, of a new version.
class VersionAlarm
{
public:
    VersionAlarm(HitCounter hits, const SequentialTestOptions &test, const VersionAlarmOptions &options)
        : m_hits(hits), m_options(options), m_test(test), m_preview(test)
    {
    }

    /// Adds the log likelihood ratio of further outcomes. \a sparseBaseline: the old
    /// version had too little traffic at their time to estimate its rate. \a sums are
    /// the total counts of the outcomes that the test examines. Times never decrease.
    void add(double logRatio, bool sparseBaseline, const RouteOutcomes &sums, WallTime now);
    /// Adds further outcomes of which not all counts have arrived yet, until clearPreview().
    void preview(double logRatio);
    void clearPreview();
    [[nodiscard]] AlarmState state() const;

    [[nodiscard]] const SequentialTest &test() const
    {
        return m_test;
    }
    /// Human-readable description of the fault on route \a where, with its counts.
    [[nodiscard]] std::string describe(const std::string &where) const;

private:
    void detect(double logRatio, bool sparseBaseline, const RouteOutcomes &sums, WallTime now);
    void confirm(double logRatio, bool sparseBaseline, const RouteOutcomes &sums, WallTime now);
    void resetTest(const RouteOutcomes &sums);

    HitCounter m_hits;
    VersionAlarmOptions m_options;
    SequentialTest m_test;
    SequentialTest m_preview; ///< The test including the outcomes of preview().
    AlarmState m_state = AlarmState::Quiet; ///< Unconfirmed: an alarm needs confirmation.
    int m_starts = 1;
    bool m_sparseBaseline = false; ///< Some outcomes since the start had a sparse baseline.
    RouteOutcomes m_sumsAtStart; ///< Total counts when the test's alarm last started.
    double m_confirmation = 0.0; ///< Log likelihood ratio since the alarm.
    RouteOutcomes m_sumsAtAlarm; ///< Total counts at the alarm.
    WallTime m_alarmAt;
    RouteOutcomes m_evidence; ///< The outcomes that showed the fault, for describe().
};

} // namespace mimosahub
