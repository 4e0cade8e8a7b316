// An endpoint can become cold again without notice, so its limit must drop on the
// first indication: two slow answers among the newest three, a report of a cold
// start, or an uptime that shows a restarted process. "Slow" is relative to the
// endpoint's own typical latency, since models differ, and to the pool's, since a
// slow pool doesn't make each of its endpoints cold. The limit rises slowly on
// purpose: by one for every N answers in time at a limit of N, so that it never
// doubles in one step.

#include "route/endpoint_condition.h"

#include <algorithm>
#include <vector>

namespace mimosahub
{

enum class EndpointCondition::Event : std::size_t {
    Listed,
    ListedLeaving,
    Unlisted,
    ReportedWarm, ///< A report that was taken after the current state began shows it warm.
    TurnedCold, ///< By its own report or its restarted process, or as another daemon reported.
    Answered, ///< An answer arrived in time.
    AnsweredSlowly,
    Failed,
    Tick,
};

enum class EndpointCondition::Guard : std::size_t {
    AnswersSuffice, ///< answersToWarm consecutive answers in time.
    RampComplete, ///< The rising limit has reached warmLimit.
    MostlySlow, ///< At least minSlowAnswers of the newest answers were slow.
    FailuresInRow,
    PatienceOver, ///< Steady answers for coldTimeout, and no recent report of a cold start.
};

enum class EndpointCondition::Action : std::size_t {
    RestartRamp, ///< Sets the limit to coldLimit; clears the counts of consecutive answers and the recent answers.
    RaiseLimit,
    HalveLimit,
    ScheduleProbe,
    PostponeProbe,
    AdoptSpeed, ///< Takes the latency of the newest answers as typical: the expected latency was too low.
};

namespace
{

// Time for which a report of a cold start keeps the endpoint cold.
constexpr Duration kColdReportLifetime = 10s;
// Uptimes are measured with a lag: a computed start time that differs by less than
// this is the same start.
constexpr Duration kStartTolerance = 2s;
// An endpoint that is as slow as its pool isn't cold. The pool's latency ratio is
// divided by this factor before an answer is compared with it.
constexpr double kPoolTolerance = 1.5;
constexpr std::size_t kRecentWindow = 8;
constexpr std::size_t kMinTypicalAnswers = 5;

double medianOf(const boost::circular_buffer<double> &values)
{
    std::vector<double> sorted(values.begin(), values.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

} // namespace

const ChartVocabulary &endpointVocabulary()
{
    static const ChartVocabulary vocabulary = {
        {"cold", "warming", "warm", "failing", "leaving", "gone"},
        {"listed", "listed-leaving", "unlisted", "reported-warm", "turned-cold", "answered", "answered-slowly",
         "failed", "tick"},
        {"answers-suffice", "ramp-complete", "mostly-slow", "failures-in-row", "patience-over"},
        {"restart-ramp", "raise-limit", "halve-limit", "schedule-probe", "postpone-probe", "adopt-speed"},
    };
    return vocabulary;
}

std::string_view endpointStateName(EndpointState state)
{
    return endpointVocabulary().states[static_cast<std::size_t>(state)];
}

EndpointConditionOptions EndpointConditionOptions::of(const Service &service)
{
    EndpointConditionOptions options;
    options.coldLimit = service.coldLimit;
    options.warmLimit = service.warmLimit;
    return options;
}

EndpointCondition::EndpointCondition(const Chart &chart, const EndpointConditionOptions &options, TimePoint now)
    : m_options(options),
      m_chart(chart),
      m_now(now),
      m_since(now),
      m_probeDue(now),
      m_probeInterval(options.probeInterval),
      m_rampLimit(options.coldLimit),
      m_recentRatios(kRecentWindow),
      m_recentSlow(options.slowWindow),
      m_typicalRatios(options.typicalWindow)
{
}

void EndpointCondition::listed(bool leaving, TimePoint now)
{
    fire(leaving ? Event::ListedLeaving : Event::Listed, now);
}

void EndpointCondition::unlisted(TimePoint now)
{
    fire(Event::Unlisted, now);
}

void EndpointCondition::reported(const LoadReport &report, TimePoint now)
{
    const TimePoint takenAt = now - report.age;
    bool restarted = false;
    if (report.uptime) {
        const TimePoint started = takenAt - *report.uptime;
        restarted = m_processStart && started > *m_processStart + kStartTolerance;
        if (!m_processStart || restarted) {
            m_processStart = started;
        }
    }
    if (report.cold) {
        m_coldReportedAt = now;
    } else if (takenAt > m_since) {
        m_coldReportedAt.reset();
    }
    if (restarted) {
        m_typicalRatios.clear();
    }
    if (report.cold || restarted) {
        fire(Event::TurnedCold, now);
    } else if (takenAt > m_since) {
        // An older report says nothing about a state that began after it.
        m_handlingReport = true;
        fire(Event::ReportedWarm, now);
        m_handlingReport = false;
    }
}

void EndpointCondition::answered(const AnswerTiming &timing, TimePoint now)
{
    const double expected = std::max<double>(1.0, static_cast<double>(timing.expected.count()));
    const double ratio = static_cast<double>(timing.latency.count()) / expected;
    const bool slow = isSlow(ratio, timing.poolRatio);
    m_consecutiveFailures = 0;
    m_recentRatios.push_back(ratio);
    m_recentSlow.push_back(slow);
    if (slow) {
        m_consecutiveTimely = 0;
        fire(Event::AnsweredSlowly, now);
        return;
    }
    ++m_consecutiveTimely;
    if (state() == EndpointState::Warm) {
        m_typicalRatios.push_back(ratio);
    }
    fire(Event::Answered, now);
}

void EndpointCondition::failed(TimePoint now)
{
    ++m_consecutiveFailures;
    m_consecutiveTimely = 0;
    fire(Event::Failed, now);
}

void EndpointCondition::probed(TimePoint now)
{
    m_now = now;
    m_probeDue = now + m_probeInterval;
}

void EndpointCondition::tick(TimePoint now)
{
    fire(Event::Tick, now);
}

EndpointLimit EndpointCondition::limit(TimePoint now) const
{
    switch (state()) {
    case EndpointState::Cold:
        return {m_options.coldLimit, false};
    case EndpointState::Warming:
        return {m_rampLimit, false};
    case EndpointState::Warm:
        return {m_options.warmLimit, false};
    case EndpointState::Failing:
        return {0, now >= m_probeDue};
    case EndpointState::Leaving:
    case EndpointState::Gone:
        break;
    }
    return {};
}

bool EndpointCondition::holds(std::size_t guard) const
{
    switch (static_cast<Guard>(guard)) {
    case Guard::AnswersSuffice:
        return m_consecutiveTimely >= m_options.answersToWarm && !isReportedCold();
    case Guard::RampComplete:
        return m_rampLimit >= m_options.warmLimit;
    case Guard::MostlySlow:
        return std::count(m_recentSlow.begin(), m_recentSlow.end(), true) >= m_options.minSlowAnswers;
    case Guard::FailuresInRow:
        return m_consecutiveFailures >= m_options.failureThreshold;
    case Guard::PatienceOver:
        return m_now - m_since >= m_options.coldTimeout && m_recentRatios.full() && !isReportedCold();
    }
    return false;
}

void EndpointCondition::fire(Event event, TimePoint now)
{
    m_now = now;
    const auto before = m_chart.state();
    const auto *transition = m_chart.fire(static_cast<std::size_t>(event), *this);
    if (transition == nullptr) {
        return;
    }
    if (m_chart.state() != before) {
        m_since = now;
    }
    for (const auto action : transition->actions) {
        run(static_cast<Action>(action), now);
    }
}

void EndpointCondition::run(Action action, TimePoint now)
{
    switch (action) {
    case Action::RestartRamp:
        m_rampLimit = m_options.coldLimit;
        m_consecutiveTimely = 0;
        m_timelyAtLimit = 0;
        m_consecutiveFailures = 0;
        m_probeInterval = m_options.probeInterval;
        m_recentSlow.clear();
        m_recentRatios.clear();
        break;
    case Action::RaiseLimit:
        raiseLimit();
        break;
    case Action::HalveLimit:
        m_rampLimit = std::max(m_options.coldLimit, m_rampLimit / 2);
        m_timelyAtLimit = 0;
        break;
    case Action::ScheduleProbe:
        m_probeDue = now + m_probeInterval;
        break;
    case Action::PostponeProbe:
        m_probeInterval = std::min(2 * m_probeInterval, m_options.probeIntervalMax);
        m_probeDue = now + m_probeInterval;
        break;
    case Action::AdoptSpeed:
        m_adoptedRatio = std::max(m_adoptedRatio, medianOf(m_recentRatios));
        break;
    }
}

bool EndpointCondition::isReportedCold() const
{
    return m_coldReportedAt && m_now - *m_coldReportedAt <= kColdReportLifetime;
}

double EndpointCondition::typicalRatio() const
{
    return m_typicalRatios.size() < kMinTypicalAnswers ? m_adoptedRatio : medianOf(m_typicalRatios);
}

bool EndpointCondition::isSlow(double ratio, double poolRatio) const
{
    const double typical = std::max(typicalRatio(), poolRatio / kPoolTolerance);
    return ratio > m_options.slowRatio * typical;
}

void EndpointCondition::raiseLimit()
{
    const int room = m_options.warmLimit - m_options.coldLimit;
    if (m_handlingReport) {
        m_rampLimit += std::max(1, room / std::max(1, m_options.reportsToWarmLimit));
    } else if (++m_timelyAtLimit >= m_rampLimit) {
        m_rampLimit += 1;
        m_timelyAtLimit = 0;
    }
    m_rampLimit = std::min(m_rampLimit, m_options.warmLimit);
}

} // namespace mimosahub
