// Three coroutines, so that a slow platform never delays a renewal: one for the lease, one for the
// calls, and one by which daemons that are no candidates look whether there is a holder at all.
//
// The counts of a window are written to the store before they are reported. Whoever holds the lease
// later repeats them, and never reports others.

#include "gateway/duty_loop.h"

#include "base/log.h"
#include "gateway/duty_reporter.h"
#include "http/spawn.h"

#include <boost/json.hpp>

#include <algorithm>

namespace mimosahub
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration kTick = 100ms;
constexpr Duration kIdleTick = 1s; ///< Of a daemon that doesn't follow the table.
constexpr Duration kWatchInterval = 20s; ///< Between two looks of a daemon that is no candidate.
constexpr int kUnchangedLooks = 2; ///< After which it takes the candidates for dead.
constexpr Duration kCallTimeout = 2s;
constexpr Duration kShortestCall = 20ms; ///< With less time left of the lease, nothing is sent.
constexpr Duration kRecordPatience = 500ms;
constexpr Duration kRecordPoll = 20ms;
constexpr Duration kObserveInterval = 500ms;
/// Of a window's end, until its counts have come from all daemons: two hops with pauses of 0.4 s, and
/// one repetition of each.
constexpr Duration kCollectTime = 3s;
/// If the platform can't be reached for so long, another daemon tries. A call without a response is a
/// reason only if the platform checks tokens: it may be carried out late, after calls of the next holder.
constexpr Duration kUnreachedPatience = 2s;
constexpr Duration kUnreachedPause = 8s; ///< Before a daemon that didn't reach the platform takes over again.
constexpr double kCallShare = 0.5; ///< Of the platform's rate of calls.
constexpr std::size_t kSettledKept = 64;
/// Sorted after the keys of agreed counts, which are large, and before that of the lease.
constexpr const char *kBeforeLease = "agreed~";

KeyedFollowerOptions dutyOptions()
{
    KeyedFollowerOptions options;
    options.table = StoreTable::Duties;
    options.wait = 5s;
    return options;
}

DutyLeaseOptions leaseOptions(const DutySettings &settings)
{
    DutyLeaseOptions options;
    options.lease = settings.lease;
    options.margin = std::min<Duration>(500ms, settings.lease / 4);
    options.quiet = settings.fenceChecked ? Duration::zero() : settings.lease;
    options.candidateStep = std::min<Duration>(500ms, settings.lease / 4);
    return options;
}

std::uint64_t incarnationOf(const Clock &clock)
{
    return static_cast<std::uint64_t>(clock.wallTime().time_since_epoch().count());
}

std::uint64_t sumOf(const UsageCounts &counts)
{
    std::uint64_t sum = 0;
    for (const auto &[workspace, count] : counts) {
        sum += count;
    }
    return sum;
}

} // namespace

std::string_view dutyOutcomeName(DutyOutcome outcome)
{
    switch (outcome) {
    case DutyOutcome::Done:
        return "done";
    case DutyOutcome::Fenced:
        return "fenced";
    case DutyOutcome::Limited:
        return "limited";
    case DutyOutcome::Failed:
        return "failed";
    case DutyOutcome::Rejected:
        return "rejected";
    case DutyOutcome::Lost:
        return "lost";
    }
    return "";
}

DutyLoop::Counters::Counters(MetricRegistry &metrics)
    : holds(metrics.gauge("mimosahub_duty_holder", "1 while this daemon holds the lease of the duties.")),
      token(metrics.gauge("mimosahub_duty_token", "Highest fencing token that is known.")),
      reports(metrics.counter("mimosahub_duty_usage_reports_total", "Usage reports that the platform took.")),
      orders(metrics.counter("mimosahub_duty_scale_orders_total", "Scale orders that the platform took.")),
      failures(metrics.counter("mimosahub_duty_calls_failed_total", "Calls for duties that were not taken.")),
      takeOvers(metrics.counter("mimosahub_duty_take_overs_total", "Times that this daemon took the lease."))
{
}

DutyLoop::DutyLoop(boost::asio::io_context &io, KeyedStore &store, http::ConnectionPool &pool,
                   KeyedFollower::Listener &listener, Random &random, const GatewaySettings &settings,
                   const DutyShared &shared, MetricRegistry &metrics)
    : m_io(io),
      m_store(store),
      m_pool(pool),
      m_settings(settings),
      m_duties(*settings.duties),
      m_calls(shared.calls),
      m_board(shared.board),
      m_follower(io, store, listener, random, dutyOptions()),
      m_lease(settings.instance.id, incarnationOf(m_clock), leaseOptions(m_duties)),
      m_counters(metrics),
      m_leaseTimer(io),
      m_watchTimer(io),
      m_callTimer(io)
{
}

void DutyLoop::start()
{
    http::spawn(m_io, leaseLoop());
    http::spawn(m_io, watchLoop());
    http::spawn(m_io, callLoop());
}

void DutyLoop::stop()
{
    m_stopped = true;
    m_follower.stop();
    m_leaseTimer.cancel();
    m_watchTimer.cancel();
    m_callTimer.cancel();
}

void DutyLoop::storeRegained()
{
    m_follower.restartRead();
}

void DutyLoop::startFollower(std::string_view why)
{
    if (!m_following) {
        m_following = true;
        m_follower.start();
        logEvent(LogLevel::Info, "duty-candidate").with("rank", m_rank.value_or(-1)).with("why", why);
    }
}

void DutyLoop::setView(const GatewayView &view)
{
    m_configuration = view.configuration;
    m_endpoints.clear();
    for (const auto &endpoint : view.endpoints) {
        m_endpoints[{endpoint.info.service, endpoint.info.zone}] += endpoint.info.leaving ? 0 : 1;
    }
    m_rank.reset();
    const auto candidates = dutyCandidates(view.daemons);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].id == m_settings.instance.id) {
            m_rank = static_cast<int>(i);
        }
    }
    m_alone = candidates.size() < 2;
    m_lease.setRank(m_rank);
    if (m_rank && *m_rank < static_cast<int>(DutyReporter::kCandidates)) {
        startFollower("listed");
    }
}

void DutyLoop::takeChanges(const std::vector<KeyedChange> &changes, bool complete)
{
    const auto now = m_clock.now();
    m_complete = m_complete || complete;
    for (const auto &change : changes) {
        if (!change.value) {
            continue;
        }
        if (change.key == kDutyLeaseKey) {
            const auto record = readDutyLease(*change.value);
            if (record.ok()) {
                m_lease.takeRecord(*record, now);
            } else {
                logEvent(LogLevel::Warning, "duty-unreadable").with("key", change.key).with(record.status());
            }
        } else if (isAgreedUsageKey(change.key)) {
            auto agreed = readAgreedUsage(*change.value);
            if (agreed.ok()) {
                m_agreed.emplace(agreed->window, std::move(agreed->counts));
            } else {
                logEvent(LogLevel::Warning, "duty-unreadable").with("key", change.key).with(agreed.status());
            }
        }
    }
    if (m_complete) {
        m_lease.tableRead(now);
    }
    noteHolder();
}

std::uint64_t DutyLoop::tokenFloor() const
{
    // Seconds since 1970, so that a token stays above those whose record the store has lost.
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(m_clock.wallTime().time_since_epoch()).count());
}

DutyCaller DutyLoop::caller() const
{
    return {m_settings.instance.id, m_lease.token()};
}

http::Awaitable<void> DutyLoop::sleep(boost::asio::steady_timer &timer, Duration duration)
{
    timer.expires_after(duration);
    co_await timer.async_wait(http::kTuple);
}

http::Awaitable<void> DutyLoop::leaseLoop()
{
    while (!m_stopped) {
        m_lease.learnToken(m_board.token());
        m_board.learnToken(m_lease.highestToken());
        if (const auto record = m_lease.nextWrite(m_clock.now(), tokenFloor())) {
            co_await writeLease(*record);
        }
        noteHolder();
        co_await sleep(m_leaseTimer, m_following ? kTick : kIdleTick);
    }
}

http::Awaitable<void> DutyLoop::writeLease(DutyLeaseRecord record)
{
    const auto end = m_follower.next();
    const bool takesOver = !m_lease.holds(m_clock.now());
    m_lease.writeBegan(record, m_clock.now());
    const auto result =
        co_await m_store.append(StoreTable::Duties, std::string(kDutyLeaseKey), writeDutyLease(record), end);
    m_lease.writeEnded(result == AppendResult::Appended, m_clock.now());
    if (takesOver) {
        logEvent(LogLevel::Info, "duty-take-over")
            .with("token", record.token)
            .with("at", end.value())
            .with("result", appendResultName(result));
    }
    if (result == AppendResult::Appended) {
        co_await awaitRecord(end);
    }
}

http::Awaitable<void> DutyLoop::awaitRecord(StoreOffset offset)
{
    const auto until = m_clock.now() + kRecordPatience;
    boost::asio::steady_timer timer(m_io);
    while (!m_stopped && m_follower.next() <= offset && m_clock.now() < until) {
        co_await sleep(timer, kRecordPoll);
    }
}

// If all candidates are gone, whoever finds the lease unchanged becomes one. The looks leave out the
// agreed counts.
http::Awaitable<void> DutyLoop::watchLoop()
{
    std::optional<std::string> before;
    int unchanged = 0;
    while (!m_stopped && !m_following) {
        co_await sleep(m_watchTimer, kWatchInterval);
        if (m_stopped || m_following) {
            co_return;
        }
        const auto page = co_await m_store.newest(StoreTable::Duties, kBeforeLease);
        if (!page.ok()) {
            continue;
        }
        const std::string lease = page->records.empty() ? "" : page->records.front().value.value_or("");
        unchanged = before == lease ? unchanged + 1 : 0;
        before = lease;
        if (unchanged >= kUnchangedLooks) {
            startFollower("no holder");
        }
    }
}

http::Awaitable<void> DutyLoop::callLoop()
{
    while (!m_stopped) {
        if (m_lease.mayCall(m_clock.now())) {
            observeLoads();
            if (m_duties.usageReport) {
                co_await reportUsage();
            }
            if (m_duties.autoscale) {
                co_await orderScale();
            }
        } else if (!m_lease.holds(m_clock.now())) {
            m_planner.clear();
        }
        co_await sleep(m_callTimer, m_following ? kTick : kIdleTick);
    }
}

http::Awaitable<void> DutyLoop::reportUsage()
{
    const auto now = m_time.estimate(m_clock.now(), m_clock.wallTime()).time_since_epoch();
    const Duration length = m_duties.usageWindow;
    const auto collect = std::min<Duration>(kCollectTime, m_duties.usageDue / 2);
    const auto newest = (now - collect) / length - 1;
    const auto oldest = std::max<UsageWindowNumber>(0, (now - m_duties.usageDue) / length - 1);
    m_agreed.erase(m_agreed.begin(), m_agreed.lower_bound(oldest));
    while (m_settled.size() > kSettledKept) {
        m_settled.erase(m_settled.begin());
    }
    for (UsageWindowNumber window = oldest; window <= newest && !m_stopped; ++window) {
        if (m_settled.contains(window) || (window + 1) * length + m_duties.usageDue < now) {
            continue;
        }
        if (!m_agreed.contains(window)) {
            if (!co_await agree(window)) {
                co_return;
            }
        }
        const auto counts = m_agreed.at(window);
        const auto outcome = co_await call(m_calls.reportUsage(caller(), window, counts), "usage");
        if (!outcome) {
            co_return;
        }
        logEvent(*outcome == DutyOutcome::Done ? LogLevel::Info : LogLevel::Warning, "duty-usage")
            .with("window", window)
            .with("workspaces", counts.size())
            .with("requests", sumOf(counts))
            .with("token", m_lease.token())
            .with("outcome", dutyOutcomeName(*outcome));
        if (*outcome == DutyOutcome::Done || *outcome == DutyOutcome::Rejected) {
            m_settled.insert(window);
            m_counters.reports.add(*outcome == DutyOutcome::Done ? 1 : 0);
        } else {
            co_return; // Tried again by the next round.
        }
    }
}

http::Awaitable<bool> DutyLoop::agree(UsageWindowNumber window)
{
    const AgreedUsage agreed{window, m_board.totals(window)};
    const auto end = m_follower.next();
    if (!m_lease.mayCall(m_clock.now())) {
        co_return false;
    }
    const auto result =
        co_await m_store.append(StoreTable::Duties, agreedUsageKey(window), writeAgreedUsage(agreed), end);
    if (result != AppendResult::Appended) {
        co_return m_agreed.contains(window);
    }
    m_agreed.emplace(window, agreed.counts);
    co_await awaitRecord(end);
    co_return true;
}

void DutyLoop::observeLoads()
{
    const auto now = m_clock.now();
    if (now < m_observeAt || !m_configuration) {
        return;
    }
    m_observeAt = now + kObserveInterval;
    for (const auto &[place, inFlight] : m_board.loads(now)) {
        const auto *service = m_configuration->findService(place.first);
        if (service == nullptr || !service->scale || !service->engine) {
            continue; // Without slots it is unknown what an endpoint can carry.
        }
        const auto it = m_endpoints.find(place);
        m_planner.observe({place.first, place.second, *service->scale, std::max(1, service->engine->slots),
                           it == m_endpoints.end() ? 0 : it->second, inFlight},
                          now);
    }
}

http::Awaitable<void> DutyLoop::orderScale()
{
    const auto pause = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1.0 / std::max(0.1, m_duties.callsPerSecond * kCallShare)));
    for (const auto &order : m_planner.due(m_clock.now())) {
        const auto outcome = co_await call(m_calls.orderScale(caller(), order), "scale");
        if (!outcome) {
            co_return;
        }
        const auto it = m_endpoints.find({order.service, order.zone});
        logEvent(*outcome == DutyOutcome::Done ? LogLevel::Info : LogLevel::Warning, "duty-scale")
            .with("service", order.service)
            .with("zone", order.zone)
            .with("desired", order.desired)
            .with("endpoints", it == m_endpoints.end() ? 0 : it->second)
            .with("token", m_lease.token())
            .with("outcome", dutyOutcomeName(*outcome));
        m_planner.sent(order, *outcome == DutyOutcome::Done, *outcome == DutyOutcome::Lost, m_clock.now());
        if (*outcome == DutyOutcome::Done) {
            m_counters.orders.add();
        } else if (*outcome != DutyOutcome::Rejected) {
            co_return;
        }
        co_await sleep(m_callTimer, pause);
    }
}

http::Awaitable<std::optional<DutyOutcome>> DutyLoop::call(http::Request request, std::string_view matter)
{
    const auto token = m_lease.token();
    auto connection = co_await m_pool.acquire(m_duties.address, false);
    if (!connection.ok()) {
        m_counters.failures.add();
        noteUnreached(matter);
        co_return DutyOutcome::Failed;
    }
    const auto now = m_clock.now(); // Connecting may have taken a while, or the process was suspended.
    const auto time = std::min(kCallTimeout, m_lease.callTime(now));
    if (!m_lease.mayCall(now) || m_lease.token() != token || time < kShortestCall) {
        m_pool.release(std::move(*connection));
        logEvent(LogLevel::Info, "duty-call-withheld").with("matter", matter).with("token", token);
        co_return std::nullopt;
    }
    const auto response = co_await (*connection)->call(std::move(request), time, http::kMaxBodyBytes);
    auto outcome = DutyOutcome::Lost;
    if (response.ok()) {
        m_pool.release(std::move(*connection));
        outcome = m_calls.outcomeOf(static_cast<int>(response->result_int()));
        m_unreachedSince.reset();
    } else if (m_duties.fenceChecked) {
        noteUnreached(matter);
    }
    if (outcome == DutyOutcome::Fenced && m_lease.token() == token) {
        m_lease.refused(m_clock.now());
        logEvent(LogLevel::Warning, "duty-fenced").with("matter", matter).with("token", token);
    }
    if (outcome != DutyOutcome::Done) {
        m_counters.failures.add();
    }
    co_return outcome;
}

void DutyLoop::noteUnreached(std::string_view matter)
{
    const auto now = m_clock.now();
    if (!m_unreachedSince) {
        m_unreachedSince = now;
    }
    if (!m_alone && now - *m_unreachedSince >= kUnreachedPatience && m_lease.holds(now)) {
        logEvent(LogLevel::Warning, "duty-given-up").with("matter", matter).with("token", m_lease.token());
        m_lease.giveUp(now, kUnreachedPause);
        m_unreachedSince.reset();
    }
}

void DutyLoop::noteHolder()
{
    const auto now = m_clock.now();
    const bool holds = m_lease.holds(now);
    const auto &record = m_lease.record();
    if (holds != m_held) {
        m_held = holds;
        m_counters.holds.set(holds ? 1.0 : 0.0);
        m_counters.takeOvers.add(holds ? 1 : 0);
        logEvent(LogLevel::Info, holds ? "duty-held" : "duty-lost")
            .with("token", holds ? m_lease.token() : m_lease.highestToken());
    }
    m_counters.token.set(static_cast<double>(m_lease.highestToken()));
    if (record && (!m_shown || m_shown->token != record->token)) {
        m_shownAt = now;
        logEvent(LogLevel::Info, "duty-holder").with("holder", record->holder).with("token", record->token);
    }
    m_shown = record;
    publishStatus();
}

void DutyLoop::publishStatus()
{
    boost::json::object status{{"this_daemon_holds", m_held}, {"follows", m_following}};
    if (m_shown) {
        const auto age = std::chrono::duration_cast<std::chrono::seconds>(m_clock.now() - m_shownAt).count();
        boost::json::array rows;
        for (const auto &[name, on] :
             {std::pair("usage", m_duties.usageReport), std::pair("scale", m_duties.autoscale)}) {
            if (on) {
                rows.push_back(
                    {{"duty", name}, {"holder", m_shown->holder.str()}, {"token", m_shown->token}, {"age_s", age}});
            }
        }
        status["duties"] = std::move(rows);
    } else {
        status["duties"] = boost::json::array();
    }
    m_board.setStatus(boost::json::serialize(status));
}

} // namespace mimosahub
