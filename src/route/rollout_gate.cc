// The schedule gives the earliest time of each step, and the evidence determines
// whether the step may be taken at all. Each step waits for gateOutcomes outcomes on
// each route at its own share, since faults may show only under load. Before a share
// above unacceptedShareMax, the tests must also have accepted the new version on each
// route and on all routes together: a number of outcomes alone could miss a fault on
// one route. So a faulty version stays at a small share until its fault is detected. A
// good version that waits too long for acceptance is reported early, not let through.
// While an alarm against a version is unconfirmed, the version gets its first share.

#include "route/rollout_gate.h"

#include "mimosahub/error.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace mimosahub
{

namespace
{

enum class Event : std::size_t {
    Begun,
    StepTaken,
    BehindSchedule, ///< The next step is due, but its conditions are not met.
    Looked, ///< New outcomes were evaluated.
    FaultFound,
    Aborted,
};

enum class Guard : std::size_t {
    AllMoved, ///< All traffic goes to the new version, and it has enough outcomes.
};

constexpr double kNever = std::numeric_limits<double>::infinity();
// Projections beyond this are treated as "never".
constexpr double kMaxProjectionSeconds = 366.0 * 86'400.0;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

absl::Status invalidRollout(const RolloutSchedule &schedule, const std::string &message)
{
    return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "",
                   absl::StrCat("rollout of ", schedule.service.str(), ": ", message));
}

} // namespace

const ChartVocabulary &rolloutVocabulary()
{
    static const ChartVocabulary vocabulary = {
        {"announced", "probing", "stepping", "held", "done", "taken-back", "aborted"},
        {"begun", "step-taken", "behind-schedule", "looked", "fault-found", "aborted"},
        {"all-moved"},
        {},
    };
    return vocabulary;
}

std::string_view rolloutStateName(RolloutState state)
{
    return rolloutVocabulary().states[static_cast<std::size_t>(state)];
}

absl::StatusOr<RolloutGate> RolloutGate::create(const Chart &chart, const RolloutSchedule &schedule,
                                                const RolloutGateOptions &options)
{
    const auto &policy = schedule.policy;
    if (schedule.due <= schedule.begin) {
        return invalidRollout(schedule, "due is not after begin");
    }
    if (schedule.from == schedule.to) {
        return invalidRollout(schedule, "the new version is the old one");
    }
    if (!(policy.firstShare > 0.0 && policy.firstShare <= options.unacceptedShareMax)) {
        return invalidRollout(
            schedule,
            absl::StrCat("firstShare ", policy.firstShare, " is not in (0, ", options.unacceptedShareMax, "]"));
    }
    if (policy.gateOutcomes < 1 || policy.maxFailureIncrease <= 0.0 || policy.maxSlowdown <= 1.0) {
        return invalidRollout(schedule, "gateOutcomes, maxFailureIncrease or maxSlowdown is out of range");
    }
    return RolloutGate(chart, schedule, options);
}

RolloutGate::RolloutGate(const Chart &chart, const RolloutSchedule &schedule, const RolloutGateOptions &options)
    : m_schedule(schedule), m_options(options), m_chart(chart), m_evidence(schedule.policy, options.evidence)
{
    m_shares.push_back(schedule.policy.firstShare);
    for (const auto share : options.steps) {
        if (share > m_shares.back()) {
            m_shares.push_back(share);
        }
    }
}

const RolloutVerdict &RolloutGate::update(const RolloutCounts &counts, WallTime now)
{
    if (now < m_schedule.begin || m_verdict.state >= RolloutState::Done) {
        return m_verdict;
    }
    m_now = now;
    m_evidence.addCounts(counts, m_verdict.share, now);
    if (!m_firstUpdate) {
        m_firstUpdate = now;
        for (const auto *route : m_evidence.mainRoutes()) {
            m_finishedAtFirstUpdate[route->key] = route->sum.finished();
        }
        fire(static_cast<std::size_t>(Event::Begun));
    }
    if (m_evidence.fault()) {
        end(static_cast<std::size_t>(Event::FaultFound), *m_evidence.fault());
        return m_verdict;
    }
    m_verdict.reason.clear();
    if (m_evidence.hasUnconfirmedAlarm()) {
        // At the first share both versions have outcomes to compare, and a fault that
        // is confirmed has affected little traffic meanwhile.
        m_verdict.share = m_shares.front();
        m_verdict.reason = "checks whether the old version does as badly at the same time";
        project();
        return m_verdict;
    }
    const auto missing = missingOutcomes(m_step, 0.0);
    if (!isLastStep() && now >= plannedAt(m_step + 1)) {
        if (missing.outcomes <= 0.0) {
            enterStep(m_step + 1);
            fire(static_cast<std::size_t>(Event::StepTaken));
        } else {
            fire(static_cast<std::size_t>(Event::BehindSchedule));
            m_verdict.reason = absl::StrCat("waits for ", missing.description);
        }
    }
    fire(static_cast<std::size_t>(Event::Looked));
    m_verdict.share = m_shares[m_step];
    project();
    return m_verdict;
}

void RolloutGate::rolledBack(const std::string &evidence)
{
    end(static_cast<std::size_t>(Event::FaultFound), evidence);
}

void RolloutGate::aborted(const std::string &reason)
{
    end(static_cast<std::size_t>(Event::Aborted), reason);
}

bool RolloutGate::holds(std::size_t guard) const
{
    return static_cast<Guard>(guard) == Guard::AllMoved && isLastStep()
        && m_now >= timeAtFraction(m_options.doneFraction) && missingOutcomes(m_step, 0.0).outcomes <= 0.0;
}

void RolloutGate::fire(std::size_t event)
{
    m_chart.fire(event, *this);
    m_verdict.state = static_cast<RolloutState>(m_chart.state());
}

void RolloutGate::end(std::size_t event, const std::string &reason)
{
    if (m_verdict.state >= RolloutState::Done) {
        return;
    }
    fire(event);
    m_verdict.share = 0.0;
    m_verdict.reason = reason;
    m_verdict.projectedDone.reset();
    m_verdict.willMissDue = false;
}

void RolloutGate::enterStep(std::size_t step)
{
    m_step = step;
    m_finishedAtEntry.clear();
    for (const auto *route : m_evidence.mainRoutes()) {
        m_finishedAtEntry[route->key] = route->sum.to.finished;
    }
}

bool RolloutGate::isLastStep() const
{
    return m_step + 1 == m_shares.size();
}

WallTime RolloutGate::plannedAt(std::size_t step) const
{
    return timeAtFraction(m_options.lastStepFraction * static_cast<double>(step)
                          / static_cast<double>(m_shares.size() - 1));
}

WallTime RolloutGate::timeAtFraction(double fraction) const
{
    const auto length = static_cast<double>((m_schedule.due - m_schedule.begin).count());
    return m_schedule.begin + std::chrono::milliseconds(static_cast<std::int64_t>(length * fraction));
}

double RolloutGate::ratePerSecond(const RolloutEvidence::Route &route) const
{
    const double elapsed = secondsOf(m_now - *m_firstUpdate);
    if (elapsed <= 0.0) {
        return 0.0;
    }
    const auto it = m_finishedAtFirstUpdate.find(route.key);
    const auto before = it == m_finishedAtFirstUpdate.end() ? 0 : it->second;
    return static_cast<double>(route.sum.finished() - before) / elapsed;
}

std::int64_t RolloutGate::outcomesAtStep(const RolloutEvidence::Route &route) const
{
    const auto it = m_finishedAtEntry.find(route.key);
    return route.sum.to.finished - (it == m_finishedAtEntry.end() ? 0 : it->second);
}

RolloutGate::MissingOutcomes RolloutGate::missingOutcomes(std::size_t step, double collected) const
{
    MissingOutcomes worst;
    const auto consider = [&](double outcomes, double rate, const std::string &where) {
        const double perSecond = rate * m_shares[step];
        const double seconds = perSecond > 0.0 ? outcomes / perSecond : kNever;
        if (outcomes > 0.0 && seconds >= worst.seconds) {
            worst = {outcomes, seconds,
                     absl::StrFormat("about %.0f more outcomes on %s, which brings %.2f a second at a share of %g",
                                     std::ceil(outcomes), where, perSecond, m_shares[step])};
        }
    };
    const double next = step + 1 < m_shares.size() ? m_shares[step + 1] : 0.0;
    const auto routes = m_evidence.mainRoutes();
    double total = 0.0;
    for (const auto *route : routes) {
        const double rate = ratePerSecond(*route);
        const double here = step == m_step ? static_cast<double>(outcomesAtStep(*route)) : 0.0;
        double outcomes = m_schedule.policy.gateOutcomes - here;
        if (next > m_options.unacceptedShareMax) {
            outcomes = std::max(outcomes, route->outcomesToAccept() - collected * rate);
        }
        consider(outcomes, rate, route->key.str());
        total += rate;
    }
    if (next > m_options.unacceptedShareMax) {
        consider(m_evidence.outcomesToAcceptOverall() - collected * total, total, "all routes");
    }
    if (routes.empty()) {
        consider(m_schedule.policy.gateOutcomes, 0.0, "any route");
    }
    return worst;
}

// Simulates the remaining steps at the current rates.
void RolloutGate::project()
{
    m_verdict.willMissDue = false;
    m_verdict.projectedDone.reset();
    if (m_verdict.state == RolloutState::Done || m_now - *m_firstUpdate < m_options.projectionDelay) {
        return;
    }
    double ahead = 0.0; // Seconds from now.
    double collected = 0.0; // Outcomes of the new version by then, in seconds of all outcomes.
    double longest = 0.0;
    std::string why = m_verdict.reason;
    for (std::size_t step = m_step; step < m_shares.size() && ahead < kMaxProjectionSeconds; ++step) {
        const auto missing = missingOutcomes(step, collected);
        double until = ahead + missing.seconds;
        if (missing.seconds > longest) {
            longest = missing.seconds;
            why = absl::StrCat("needs ", missing.description);
        }
        const bool last = step + 1 == m_shares.size();
        const auto planned = last ? timeAtFraction(m_options.doneFraction) : plannedAt(step + 1);
        until = std::max(until, secondsOf(planned - m_now));
        collected += (until - ahead) * m_shares[step];
        ahead = until;
    }
    const bool never = !(ahead < kMaxProjectionSeconds);
    if (!never) {
        m_verdict.projectedDone = m_now + std::chrono::milliseconds(static_cast<std::int64_t>(ahead * 1000.0));
    }
    m_verdict.willMissDue = never || *m_verdict.projectedDone > m_schedule.due;
    if (m_verdict.willMissDue) {
        m_verdict.reason = why;
    }
}

} // namespace mimosahub
