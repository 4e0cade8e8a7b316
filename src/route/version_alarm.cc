// A sequential test takes the acceptable rate from the old version's outcomes in the
// same period. If the old version had hardly any traffic then, as when all traffic
// goes to the new version, a problem of all endpoints can't be distinguished from a
// fault of the new version. An alarm that includes such outcomes must be confirmed: the
// gate returns most traffic to the old version, and a second test evaluates only later
// outcomes, which have those of the old version for comparison. An alarm that isn't
// confirmed restarts the first test, which uses a further part of its error bound.

#include "route/version_alarm.h"

#include <absl/strings/str_format.h>

namespace mimosahub
{

namespace
{

double percent(std::int64_t hits, std::int64_t trials)
{
    return trials == 0 ? 0.0 : 100.0 * static_cast<double>(hits) / static_cast<double>(trials);
}

} // namespace

void VersionAlarm::add(double logRatio, bool sparseBaseline, const RouteOutcomes &sums, WallTime now)
{
    switch (m_state) {
    case AlarmState::Quiet:
        detect(logRatio, sparseBaseline, sums, now);
        break;
    case AlarmState::Unconfirmed:
        confirm(logRatio, sparseBaseline, sums, now);
        break;
    case AlarmState::Faulty:
        break;
    }
}

void VersionAlarm::clearPreview()
{
    m_preview = m_test;
}

void VersionAlarm::preview(double logRatio)
{
    m_preview.add(logRatio);
}

AlarmState VersionAlarm::state() const
{
    return m_state == AlarmState::Quiet && m_preview.alarmed() ? AlarmState::Unconfirmed : m_state;
}

void VersionAlarm::detect(double logRatio, bool sparseBaseline, const RouteOutcomes &sums, WallTime now)
{
    m_test.add(logRatio);
    m_sparseBaseline = m_sparseBaseline || sparseBaseline;
    if (m_test.starts() != m_starts) {
        resetTest(sums);
    } else if (m_test.alarmed() && !m_sparseBaseline) {
        m_state = AlarmState::Faulty;
        m_evidence = difference(sums, m_sumsAtStart);
    } else if (m_test.alarmed()) {
        m_state = AlarmState::Unconfirmed;
        m_confirmation = 0.0;
        m_sumsAtAlarm = sums;
        m_alarmAt = now;
    }
}

void VersionAlarm::confirm(double logRatio, bool sparseBaseline, const RouteOutcomes &sums, WallTime now)
{
    const auto since = difference(sums, m_sumsAtAlarm);
    const bool baselineMissing = since.from.finished == 0 && since.to.finished >= m_options.minOutcomesWithoutBaseline
        && now - m_alarmAt >= m_options.baselineTimeout;
    m_confirmation += sparseBaseline ? 0.0 : logRatio;
    if (baselineMissing || m_confirmation >= m_options.confirmRatio) {
        m_state = AlarmState::Faulty;
        m_evidence = since;
    } else if (m_confirmation <= m_options.dismissRatio) {
        m_test.restart();
        resetTest(sums);
        m_state = AlarmState::Quiet;
    }
}

void VersionAlarm::resetTest(const RouteOutcomes &sums)
{
    m_starts = m_test.starts();
    m_sparseBaseline = false;
    m_sumsAtStart = sums;
}

std::string VersionAlarm::describe(const std::string &where) const
{
    const auto &from = m_evidence.from;
    const auto &to = m_evidence.to;
    return absl::StrFormat("%s on %s: %d of %d answers (%.1f%%) against %d of %d (%.1f%%) of the old version",
                           m_hits == &VersionOutcomes::slow ? "is slow" : "fails", where, to.*m_hits, to.finished,
                           percent(to.*m_hits, to.finished), from.*m_hits, from.finished,
                           percent(from.*m_hits, from.finished));
}

} // namespace mimosahub
