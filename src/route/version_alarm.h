#pragma once

#include "route/rollout_counts.h"
#include "route/sequential_testing.h"

#include <string>

/// One sequential test of a new version.
namespace mimosahub
{

struct VersionAlarmOptions {
    double confirmRatio = 9.2; ///< Log likelihood ratio that confirms an alarm which needs it.
    double dismissRatio = -4.6; ///< Log likelihood ratio that dismisses it.
    Duration baselineTimeout = std::chrono::seconds(10); ///< It counts if the old version is silent for this long.
    std::int64_t minOutcomesWithoutBaseline = 20; ///< Provided that the new version had this many outcomes meanwhile.
};

enum class AlarmState {
    Quiet, ///< Nothing speaks against the new version.
    Unconfirmed, ///< Something may: the new version should get little until it is settled.
    Faulty, ///< Sticky.
};

/// Watches one kind of hits of a new version.
class VersionAlarm
{
public:
    VersionAlarm(HitCounter hits, const SequentialTestOptions &test, const VersionAlarmOptions &options)
        : m_hits(hits), m_options(options), m_test(test), m_preview(test)
    {
    }

    /// Adds the log likelihood ratio of further outcomes. \a lonely says that the old
    /// version had too little traffic at their time to tell what was usual then.
    /// \a sums are all those of the outcomes that the test is about. Times never
    /// decrease.
    void add(double logRatio, bool sparseBaseline, const RouteOutcomes &sums, WallTime now);
    /// Adds further outcomes of which not all is known yet, until dropPreview().
    void preview(double logRatio);
    void clearPreview();
    [[nodiscard]] AlarmState state() const;

    [[nodiscard]] const SequentialTest &test() const
    {
        return m_test;
    }
    /// What is wrong \a where, with the figures that speak for it; for people.
    [[nodiscard]] std::string describe(const std::string &where) const;

private:
    void detect(double logRatio, bool sparseBaseline, const RouteOutcomes &sums, WallTime now);
    void confirm(double logRatio, bool sparseBaseline, const RouteOutcomes &sums, WallTime now);
    void resetTest(const RouteOutcomes &sums);

    HitCounter m_hits;
    VersionAlarmOptions m_options;
    SequentialTest m_test;
    SequentialTest m_preview; ///< The test, with the outcomes of preview().
    AlarmState m_state = AlarmState::Quiet; ///< Checking: an alarm needs to be confirmed.
    int m_starts = 1;
    bool m_sparseBaseline = false; ///< Some of the outcomes since the start were lonely.
    RouteOutcomes m_sumsAtStart; ///< Sums when the test's alarm last started.
    double m_confirmation = 0.0; ///< Log likelihood ratio since the alarm.
    RouteOutcomes m_sumsAtAlarm;
    WallTime m_alarmAt;
    RouteOutcomes m_evidence; ///< The outcomes that showed the fault.
};

} // namespace mimosahub
