// Drives a request through a simulation in which events are reordered, delayed,
// duplicated or lost, and checks each action against a record of what the endpoints
// and the log really did.

#include "request/request_core.h"
#include "request/request_text.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>
#include <cstdlib>
#include <map>
#include <set>
#include <sstream>
#include <unordered_map>

using namespace mimosahub;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

namespace
{

// The random choices of the simulation. An exhausted sequence yields zeros, which
// select the fault-free case, so that shrinking removes faults.
class ChoiceSequence
{
public:
    explicit ChoiceSequence(std::vector<std::uint16_t> choices) : m_choices(std::move(choices))
    {
    }
    std::size_t below(std::size_t n)
    {
        return m_next < m_choices.size() ? m_choices[m_next++] % n : 0;
    }
    bool chance(std::size_t oneIn)
    {
        return below(oneIn) == oneIn - 1;
    }
    bool empty() const
    {
        return m_next >= m_choices.size();
    }

private:
    std::vector<std::uint16_t> m_choices;
    std::size_t m_next = 0;
};

// Counts what a set of runs has reached, so that the property doesn't hold vacuously.
struct Coverage {
    std::map<Outcome, int> refusals;
    int answered = 0;
    int recorded = 0;
    int resolvedOk = 0;
    RequestCounters counters;
};

class RequestSimulation
{
public:
    RequestSimulation(ChoiceSequence choiceSequence, Coverage &coverage)
        : m_choiceSequence(std::move(choiceSequence)), m_coverage(coverage)
    {
        m_retryTokens = static_cast<int>(m_choiceSequence.below(4));
        m_histories = ServiceHistories(RetryBudgetOptions{0.0, 0.0, static_cast<double>(m_retryTokens)});
        RequestPlan plan;
        plan.request = RequestId("r1");
        plan.deadline = m_start + Duration(5ms) * (1 + m_choiceSequence.below(200));
        if (m_choiceSequence.below(2) == 0) {
            plan.key = IdempotencyKey("k1");
            plan.keyValidUntil = m_choiceSequence.chance(4) ? m_start + 20ms : TimePoint::max();
        }
        const auto n = 1 + m_choiceSequence.below(3);
        for (std::size_t i = 0; i < n; ++i) {
            StagePlan stage{
                StageId("s" + std::to_string(i)), ServiceId("v" + std::to_string(i)), "", true, false, false, 10ms};
            stage.idempotent = m_choiceSequence.below(3) != 0;
            stage.streaming = m_choiceSequence.below(2) == 1;
            stage.resumable = m_choiceSequence.below(2) == 1;
            seedHistory(stage);
            plan.stages.push_back(stage);
        }
        m_options.hedge.minSamples = 1;
        m_options.budget.minSamples = 1;
        m_options.streamStallTimeout = 30ms;
        m_options.claimTimeout = 40ms;
        m_core.emplace(*RequestCore::create(plan, {m_options, m_histories, m_coverage.counters, m_random}));
    }

    void run()
    {
        handle(Started());
        while (!m_choiceSequence.empty()) {
            step();
        }
        // Without further faults, the pending events and all timers are delivered.
        for (int i = 0; i < 1000 && !m_core->closed(); ++i) {
            finishStep();
        }
        RC_ASSERT(m_core->closed());
        checkEnd();
        const auto late = std::exchange(m_pending, {});
        for (const auto &event : late) {
            handle(event);
        }
        checkEnd();
    }

private:
    struct AttemptRecord {
        std::size_t stage = 0;
        bool connected = false;
        bool sent = false;
        bool ran = false; // Whether the endpoint really ran the call.
        bool refused = false; // The endpoint truthfully reported that it didn't run the call.
        bool ended = false; // Cancelled, closed or answered.
        bool reported = false; // A complete answer that echoes the attempt was passed to the core.
    };

    void seedHistory(const StagePlan &stage)
    {
        for (std::size_t i = m_choiceSequence.below(3) * 10; i > 0; --i) {
            m_histories.of(stage.service, "").recordTime(Duration(1ms) * i, m_start);
        }
    }

    void step()
    {
        switch (m_choiceSequence.below(16)) {
        case 8:
        case 9:
            advance(Duration(1ms) * (1 + m_choiceSequence.below(50)));
            break;
        case 10:
            if (!m_timers.empty()) { // Fires early, or again after its time was changed.
                auto it = m_timers.begin();
                std::advance(it, m_choiceSequence.below(m_timers.size()));
                handle(TimerFired{it->second.timer});
            }
            break;
        case 11:
            deliverMismatchedAnswer();
            break;
        case 12:
            if (m_choiceSequence.chance(8)) {
                handle(CallerLeft());
            }
            break;
        case 13:
            if (m_choiceSequence.chance(8)) {
                handle(DaemonStopping{m_now + Duration(1ms) * m_choiceSequence.below(100)});
            }
            break;
        default:
            if (m_pending.empty()) {
                advance(2ms);
            } else {
                deliver(m_choiceSequence.below(m_pending.size()));
            }
        }
    }

    void deliver(std::size_t i)
    {
        const auto event = m_pending[i];
        const auto fault = m_choiceSequence.below(12);
        if (fault != 11) { // 11: delivered again later.
            m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(i));
        }
        const bool essential = std::holds_alternative<ClaimWon>(event) || std::holds_alternative<ClaimLost>(event)
            || std::holds_alternative<ClaimFailed>(event);
        if (fault == 10 && !essential) {
            return; // Lost.
        }
        handle(event);
    }

    // Fires due timers in any order, or delays them.
    void advance(Duration step)
    {
        m_now += step;
        std::vector<RequestTimer> due;
        for (const auto &[name, set] : m_timers) {
            if (set.at <= m_now) {
                due.push_back(set.timer);
            }
        }
        while (!due.empty()) {
            const auto i = m_choiceSequence.below(due.size());
            if (m_choiceSequence.chance(6)) {
                break; // The process was paused.
            }
            fire(due[i]);
            due.erase(due.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    void fire(const RequestTimer &timer)
    {
        const auto it = m_timers.find(nameOf(timer));
        if (it != m_timers.end() && it->second.at <= m_now) {
            m_timers.erase(it);
        }
        handle(TimerFired{timer});
        if (timer.kind == TimerKind::Deadline && m_now >= m_core->plan().deadline) {
            RC_ASSERT(m_core->answered());
        }
    }

    void finishStep()
    {
        if (!m_pending.empty()) {
            deliver(0);
            return;
        }
        const auto next = std::min_element(m_timers.begin(), m_timers.end(),
                                           [](const auto &a, const auto &b) { return a.second.at < b.second.at; });
        RC_ASSERT(next != m_timers.end());
        m_now = std::max(m_now, next->second.at);
        const auto timer = next->second.timer; // fire() removes the map's entry.
        fire(timer);
    }

    void deliverMismatchedAnswer()
    {
        const AttemptId attempt(std::to_string(1 + m_choiceSequence.below(4)));
        if (!m_attemptRecords.contains(attempt)) {
            return;
        }
        CallIdentity echo = m_core->identityOf(attempt);
        switch (m_choiceSequence.below(3)) {
        case 0:
            echo.request = RequestId("r2");
            break;
        case 1:
            echo.stage = StageId("other");
            break;
        default:
            echo.attempt = AttemptId("9");
        }
        handle(m_choiceSequence.below(2) == 0 ? RequestEvent(AttemptAnswered{attempt, echo, 200, true})
                                              : RequestEvent(AttemptRefused{attempt, echo, std::nullopt}));
    }

    void handle(const RequestEvent &event)
    {
        m_trace << "> " << textOf(event) << '\n';
        recordDelivery(event);
        std::vector<RequestAction> actions;
        m_core->handle(event, m_now, actions);
        for (const auto &action : actions) {
            m_trace << "< " << textOf(action, m_start) << '\n';
            std::visit([&](const auto &it) { perform(it); }, action);
        }
    }

    void recordDelivery(const RequestEvent &event)
    {
        m_delivered = std::nullopt;
        if (const auto *answered = std::get_if<AttemptAnswered>(&event)) {
            const bool own = answered->echo == m_core->identityOf(answered->attempt);
            if (own && answered->whole && answered->status < 400) {
                m_delivered = answered->attempt;
            }
            auto &entry = m_attemptRecords[answered->attempt];
            entry.ended = entry.ended || (own && answered->whole);
            entry.reported = entry.reported || (own && answered->whole);
        } else if (const auto *data = std::get_if<StreamData>(&event)) {
            m_delivered = data->end ? std::optional(data->attempt) : std::nullopt;
        } else if (const auto *refused = std::get_if<AttemptRefused>(&event)) {
            auto &entry = m_attemptRecords[refused->attempt];
            entry.ended = entry.ended || refused->echo == m_core->identityOf(refused->attempt);
        } else if (const auto *none = std::get_if<NoEndpoint>(&event)) {
            m_attemptRecords[none->attempt].ended = true;
        } else if (const auto *connected = std::get_if<Connected>(&event)) {
            m_attemptRecords[connected->attempt].connected = true;
            m_attemptRecords[connected->attempt].ended = false;
        } else if (const auto *chosen = std::get_if<EndpointChosen>(&event)) {
            m_attemptRecords[chosen->attempt].ended = false; // A slot is held, possibly once more.
        } else if (const auto *won = std::get_if<ClaimWon>(&event)) {
            m_claimWon = m_claimWon || won->round == m_claimRound;
        }
    }

    void perform(const ChooseEndpoint &action)
    {
        RC_ASSERT(!m_answered);
        m_attemptRecords[action.attempt].stage = action.stage;
        const int attempts = ++m_attemptsOfStage[action.stage];
        RC_ASSERT(attempts <= m_options.maxAttempts && attempts <= 1 + m_retryTokens);
        if (m_choiceSequence.chance(10)) {
            m_pending.emplace_back(NoEndpoint{action.attempt, Reason::Overloaded, std::nullopt});
        } else {
            m_pending.emplace_back(EndpointChosen{action.attempt, EndpointId("e" + action.attempt.str())});
        }
    }

    void perform(const AppendClaim &action)
    {
        RC_ASSERT(!m_answered && !m_claimWon);
        m_claimRound = action.round;
        const auto fault = m_choiceSequence.below(10);
        if (fault == 9) {
            m_pending.emplace_back(ClaimFailed{action.round, std::nullopt});
        } else if (fault >= 6) {
            const auto loss = static_cast<ClaimLoss>(m_choiceSequence.below(5));
            m_pending.emplace_back(ClaimLost{action.round, loss, static_cast<Outcome>(m_choiceSequence.below(4))});
        } else {
            m_pending.emplace_back(ClaimWon{action.round});
        }
    }

    void perform(const OpenConnection &action)
    {
        RC_ASSERT(!m_answered && !m_attemptRecords[action.attempt].ended);
        RC_ASSERT(action.fresh == !stageOf(action.attempt).idempotent);
        if (m_choiceSequence.chance(6)) {
            m_pending.emplace_back(AttemptFailed{action.attempt, AttemptFailure::ConnectFailed});
        } else {
            m_pending.emplace_back(Connected{action.attempt});
        }
    }

    void perform(const SendCall &action)
    {
        auto &entry = m_attemptRecords[action.attempt];
        RC_ASSERT(!m_answered && !entry.ended && !entry.sent && entry.connected);
        RC_ASSERT(m_now < m_core->plan().deadline);
        entry.sent = true;
        const auto &stage = stageOf(action.attempt);
        if (!stage.idempotent) {
            RC_ASSERT(m_singleSends.insert(entry.stage).second);
            RC_ASSERT(!m_core->plan().key || (m_claimWon && !m_record));
            RC_ASSERT(m_now < m_core->plan().keyValidUntil);
        }
        RC_ASSERT(action.fromOffset == (stage.streaming ? m_relayed : 0));
        RC_ASSERT(action.fromOffset == 0 || stage.resumable);
        entry.ran = true;
        if (!stage.idempotent && m_choiceSequence.chance(4)) {
            m_pending.emplace_back(CallerLeft()); // While a non-idempotent call is in flight.
        }
        if (stage.streaming) {
            answerStream(action);
        } else {
            answerCall(action.attempt, entry);
        }
    }

    void answerCall(const AttemptId &attempt, AttemptRecord &entry)
    {
        const auto echo = m_core->identityOf(attempt);
        switch (m_choiceSequence.below(10)) {
        case 9:
            return; // No answer.
        case 8:
            m_pending.emplace_back(AttemptFailed{attempt, static_cast<AttemptFailure>(1 + m_choiceSequence.below(5))});
            return;
        case 7:
            m_pending.emplace_back(AttemptAnswered{attempt, echo, 200, false});
            return;
        case 6:
            m_pending.emplace_back(AttemptAnswered{attempt, echo, m_choiceSequence.below(2) == 0 ? 500 : 404, true});
            return;
        case 5:
            entry.ran = false;
            entry.refused = true;
            m_pending.emplace_back(AttemptRefused{attempt, echo, 70ms});
            return;
        default:
            m_pending.emplace_back(AttemptAnswered{attempt, echo, 200, true});
        }
    }

    // A stream of kTokens tokens, which the engine may interrupt anywhere and whose
    // events the simulation may still reorder.
    void answerStream(const SendCall &action)
    {
        auto next = m_choiceSequence.chance(4) ? 0 : action.fromOffset; // Some engines ignore the offset.
        m_pending.emplace_back(StreamOpened{action.attempt, m_core->identityOf(action.attempt), 200});
        while (next < kTokens && !m_choiceSequence.chance(8)) {
            const auto n = std::min<std::uint64_t>(kTokens - next, 1 + m_choiceSequence.below(4));
            next += n;
            m_pending.emplace_back(StreamData{action.attempt, next - n, n, next == kTokens});
        }
        if (next < kTokens) {
            m_pending.emplace_back(AttemptFailed{action.attempt, AttemptFailure::Reset});
        }
    }

    void perform(const CancelAttempt &action)
    {
        m_attemptRecords[action.attempt].ended = true;
    }

    void perform(const CloseConnection &action)
    {
        m_attemptRecords[action.attempt].ended = true;
    }

    void perform(const CommitStage &action)
    {
        RC_ASSERT(!m_answered && action.stage == m_committed);
        RC_ASSERT(m_delivered == action.attempt);
        RC_ASSERT(m_attemptRecords[action.attempt].stage == action.stage && m_attemptRecords[action.attempt].sent);
        m_attemptRecords[action.attempt].ended = true;
        ++m_committed;
        m_lastCommit = action.attempt;
    }

    void perform(const RelayTokens &action)
    {
        RC_ASSERT(!m_answered && action.count > 0);
        RC_ASSERT(action.offset == m_relayed);
        m_relayed += action.count;
    }

    void perform(const SetTimer &action)
    {
        m_timers[nameOf(action.timer)] = action;
    }

    void perform(const RecordOutcome &action)
    {
        RC_ASSERT(m_claimWon && !m_record);
        m_record = action.outcome;
        for (const auto &[id, entry] : m_attemptRecords) {
            RC_ASSERT(action.outcome != Outcome::NotRun || stageOf(id).idempotent || !entry.ran);
        }
        if (action.outcome == Outcome::Ok) {
            RC_ASSERT(action.attempt.has_value());
            RC_ASSERT(m_delivered == action.attempt);
            m_coverage.resolvedOk += m_answered ? 1 : 0;
        }
    }

    void perform(const FinalAnswer &action)
    {
        RC_ASSERT(!m_answered);
        m_answered = true;
        RC_ASSERT(action.streamBegun == (m_relayed > 0));
        if (action.source == AnswerSource::Endpoint) {
            const auto &last = m_core->plan().stages.back();
            RC_ASSERT(m_committed == m_core->plan().stages.size() && action.attempt == m_lastCommit);
            RC_ASSERT(!last.streaming || m_relayed == kTokens);
            ++m_coverage.answered;
        } else if (action.source == AnswerSource::Refusal) {
            checkRefusal(action.refusal);
        } else {
            ++m_coverage.recorded;
        }
    }

    void checkRefusal(const Refusal &refusal)
    {
        ++m_coverage.refusals[refusal.outcome];
        RC_ASSERT(refusal.outcome != Outcome::Ok);
        for (const auto &[id, entry] : m_attemptRecords) {
            if (refusal.outcome == Outcome::NotRun) {
                RC_ASSERT(!entry.sent || entry.refused);
            }
            const bool open = entry.ran && !entry.reported && !stageOf(id).idempotent;
            RC_ASSERT(!open || refusal.outcome == Outcome::Unknown);
            const bool harmful = entry.ran && !stageOf(id).idempotent && !m_core->plan().key;
            RC_ASSERT(!harmful || !refusal.retryAfter);
        }
    }

    void checkEnd() const
    {
        RC_ASSERT(m_answered);
        RC_ASSERT(m_claimWon == m_record.has_value());
        for (const auto &[id, entry] : m_attemptRecords) {
            RC_ASSERT(entry.ended);
        }
    }

    const StagePlan &stageOf(const AttemptId &attempt) const
    {
        return m_core->plan().stages.at(m_attemptRecords.at(attempt).stage);
    }
    static std::string nameOf(const RequestTimer &timer)
    {
        return std::string(timerKindName(timer.kind)) + timer.attempt.str();
    }

    static constexpr std::uint64_t kTokens = 12;

    ChoiceSequence m_choiceSequence;
    Coverage &m_coverage;
    const TimePoint m_start = TimePoint(std::chrono::hours(1));
    TimePoint m_now = m_start;
    RequestOptions m_options;
    ServiceHistories m_histories;
    Random m_random{1};
    std::optional<RequestCore> m_core;
    std::vector<RequestEvent> m_pending;
    std::map<std::string, SetTimer> m_timers;
    std::unordered_map<AttemptId, AttemptRecord> m_attemptRecords;
    std::set<std::size_t> m_singleSends;
    std::optional<AttemptId> m_delivered; // The attempt that the current event completely answers.
    std::optional<AttemptId> m_lastCommit;
    std::optional<Outcome> m_record;
    std::map<std::size_t, int> m_attemptsOfStage;
    int m_retryTokens = 0;
    std::size_t m_committed = 0;
    std::uint64_t m_relayed = 0;
    int m_claimRound = 0;
    bool m_claimWon = false;
    bool m_answered = false;

public:
    std::ostringstream m_trace;
};

void setRuns(int n)
{
    const char *params = std::getenv("RC_PARAMS");
    const auto all = std::string(params != nullptr ? params : "") + " max_success=" + std::to_string(n);
    setenv("RC_PARAMS", all.c_str(), 1);
}

} // namespace

Test(request_core, keeps_its_invariants_in_any_order_of_events)
{
    constexpr int kRuns = 50000;
    setRuns(kRuns);
    Coverage coverage;
    cr_assert(rc::check([&](const std::vector<std::uint16_t> &choices) {
        RequestSimulation simulation(ChoiceSequence(choices), coverage);
        try {
            simulation.run();
        } catch (...) {
            RC_LOG() << simulation.m_trace.str();
            throw;
        }
    }));
    cr_assert(coverage.answered > 0 && coverage.recorded > 0 && coverage.resolvedOk > 0);
    cr_assert(coverage.refusals.size() == 3);
    const auto &counters = coverage.counters;
    cr_assert(counters.retries > 0 && counters.hedges > 0 && counters.resumes > 0 && counters.timeouts > 0);
    cr_assert(counters.lateAnswers > 0 && counters.mismatchedAnswers > 0 && counters.partialAnswers > 0);
}
