// On days without rollouts the table isn't read, since every call of the store costs.

#include "gateway/rollout_status_loop.h"

#include "base/log.h"
#include "http/spawn.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>

namespace mimosahub
{

namespace
{

using namespace boost::asio::experimental::awaitable_operators;
using namespace std::chrono_literals;

constexpr Duration kIdle = 1h; ///< Until a wish wakes the loop.
constexpr Duration kPatience = 250ms; ///< Until a final status is written again; doubled by each silence.
constexpr int kMostSilences = 3; ///< That double it.
constexpr Duration kWritePause = 150ms; ///< After a write, until the follower has met it.

KeyedFollowerOptions statusOptions()
{
    KeyedFollowerOptions options;
    options.table = StoreTable::Status;
    return options;
}

} // namespace

RolloutStatusLoop::RolloutStatusLoop(boost::asio::io_context &io, const Clock &clock, KeyedStore &store,
                                     const DocumentReader &documents, KeyedFollower::Listener &listener, Random &random)
    : m_io(io),
      m_clock(clock),
      m_store(store),
      m_documents(documents),
      m_follower(io, store, listener, random, statusOptions()),
      m_timer(io)
{
}

void RolloutStatusLoop::takeOrder(const RolloutOrder &order, RolloutRecord record, bool rewritten)
{
    m_statuses.takeOrder(order, record, rewritten);
    if (!m_started) {
        m_started = true;
        m_follower.start();
        http::spawn(m_io, loop());
    }
}

void RolloutStatusLoop::takeChanges(const std::vector<KeyedChange> &changes, bool complete)
{
    for (const auto &change : changes) {
        if (!change.value) {
            if (change.lost) {
                forgetStatus(change.key);
            }
            continue;
        }
        const auto report = m_documents.status(change.key, *change.value);
        if (!report.ok()) {
            logEvent(LogLevel::Warning, "status-unreadable").with("key", change.key).with(report.status());
            continue;
        }
        m_statuses.takeStatus(*report);
    }
    if (complete) {
        m_statuses.setComplete();
    }
    m_timer.cancel(); // A write that met another record may be made again.
}

void RolloutStatusLoop::forgetStatus(const std::string &key)
{
    for (const auto &service : m_statuses.reported()) {
        if (m_documents.statusKey(service) == key) {
            logEvent(LogLevel::Info, "rollout-status-lost").with("service", service);
            m_statuses.forgetStatus(service);
        }
    }
}

void RolloutStatusLoop::want(const WantedStatus &wanted)
{
    m_statuses.want(wanted, m_clock.now());
    m_timer.cancel();
}

void RolloutStatusLoop::storeRegained()
{
    if (m_started) {
        m_follower.restartRead();
    }
}

void RolloutStatusLoop::stop()
{
    m_stopped = true;
    m_follower.stop();
    m_timer.cancel();
}

http::Awaitable<void> RolloutStatusLoop::loop()
{
    while (!m_stopped) {
        auto report = m_statuses.nextWrite(m_clock.now());
        if (!report) {
            m_timer.expires_after(kIdle);
            co_await m_timer.async_wait(http::kTuple);
            continue;
        }
        co_await write(std::move(*report));
    }
}

// A final status is due at a deadline. A write that gets no answer soon is made again: the table's end is its
// condition, so that only one of them is done.
http::Awaitable<std::optional<AppendResult>> RolloutStatusLoop::append(const RolloutReport &report, StoreOffset end)
{
    const auto key = m_documents.statusKey(report.service);
    const auto document = m_documents.statusDocument(report);
    if (report.stage == RolloutStage::Running) {
        co_return co_await m_store.append(StoreTable::Status, key, document, end);
    }
    boost::asio::steady_timer patience(m_io, kPatience * (1 << m_silences) + 2 * m_storeTime);
    const auto ended =
        co_await (m_store.append(StoreTable::Status, key, document, end) || patience.async_wait(http::kTuple));
    const auto *answer = std::get_if<AppendResult>(&ended);
    m_silences = answer != nullptr ? 0 : std::min(m_silences + 1, kMostSilences);
    co_return answer != nullptr ? std::optional(*answer) : std::nullopt;
}

http::Awaitable<void> RolloutStatusLoop::write(RolloutReport report)
{
    const auto end = m_follower.next();
    const auto written = co_await append(report, end);
    const auto result = written.value_or(AppendResult::Lost);
    logEvent(LogLevel::Info, "rollout-status")
        .with("service", report.service)
        .with("target", report.target)
        .with("status", m_documents.statusDocument(report))
        .with("at", end.value())
        .with("result", appendResultName(result));
    if (result == AppendResult::Conflict) {
        m_follower.restartRead(); // The read in flight would have brought the record that is there already.
    }
    if (!written) {
        co_return; // It has waited already.
    }
    const auto until = m_clock.now() + kWritePause;
    const auto isRead = [&] { return result == AppendResult::Conflict && m_follower.next() > end; };
    while (!m_stopped && m_clock.now() < until && !isRead()) { // A wish may wake the timer early.
        m_timer.expires_after(until - m_clock.now());
        co_await m_timer.async_wait(http::kTuple);
    }
}

// A read of a few records takes as long as a write.
http::Awaitable<void> RolloutStatusLoop::measureStore()
{
    const auto begin = m_clock.now();
    const auto page = co_await m_store.newest(StoreTable::Status, "");
    m_storeTime = m_clock.now() - begin;
    logEvent(LogLevel::Info, "rollout-store-time").with("time", m_storeTime).with("ok", page.ok());
}

} // namespace mimosahub
