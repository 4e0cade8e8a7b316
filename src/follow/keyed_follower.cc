// One coroutine reads all keys at the start and after a gap, and otherwise the
// records that follow. Failed reads are retried after a delay with jitter, so that
// daemons which lost the store at the same time don't all return at once.

#include "follow/keyed_follower.h"

#include "base/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include <set>

namespace mimosahub
{

namespace
{

using namespace boost::asio::experimental::awaitable_operators;

constexpr Duration kMaxReadDuration = std::chrono::hours(1); ///< Far above the timeout of any read.
/// Delay before the next read after a gap or restartRead().
constexpr Duration kDelayAfterGap = std::chrono::milliseconds(5);

} // namespace

KeyedFollower::KeyedFollower(boost::asio::io_context &io, KeyedStore &store, Listener &listener, Random &random,
                             KeyedFollowerOptions options)
    : m_io(io),
      m_store(store),
      m_listener(listener),
      m_random(random),
      m_options(options),
      m_timer(io),
      m_restartTimer(io)
{
}

void KeyedFollower::start()
{
    boost::asio::co_spawn(m_io, loop(), boost::asio::detached);
}

void KeyedFollower::stop()
{
    m_stopped = true;
    restartRead();
}

http::Awaitable<void> KeyedFollower::sleep(Duration duration)
{
    if (!m_stopped && duration > Duration::zero()) {
        m_timer.expires_after(duration);
        co_await m_timer.async_wait(http::kTuple);
    }
}

void KeyedFollower::reportFailure(const absl::Status &status)
{
    ++m_failures;
    m_listener.storeFailed(m_options.table, status);
}

http::Awaitable<void> KeyedFollower::loop()
{
    while (!m_stopped) {
        const bool ok = co_await readNext();
        if (m_stopped) {
            co_return;
        }
        if (ok) {
            m_failures = 0;
            co_await sleep(m_random.jitter(m_nextReadDelay, 0.1));
        } else {
            co_await sleep(m_failures > 0 ? backoffDelay(m_options.backoff, m_failures, m_random) : kDelayAfterGap);
        }
    }
}

// An exception would end the loop without a sign, and with it all following.
http::Awaitable<bool> KeyedFollower::readNext()
{
    try {
        if (m_eraDelay) {
            co_await sleep(*std::exchange(m_eraDelay, std::nullopt));
        }
        if (m_complete) {
            co_return co_await readNewRecords();
        }
        co_return co_await readAllKeys();
    } catch (const std::exception &e) {
        m_reading = false;
        if (!m_stopped) {
            m_complete = false;
            reportFailure(absl::InternalError(e.what()));
        }
        co_return false;
    }
}

http::Awaitable<bool> KeyedFollower::readAllKeys()
{
    std::vector<KeyedChange> changes;
    std::string after;
    std::set<std::string> continuedAfter;
    m_table.beginPages();
    auto era = m_table.next().era();
    while (true) {
        const auto page = co_await m_store.newest(m_options.table, after);
        if (!page.ok()) {
            if (!m_stopped) {
                reportFailure(page.status());
                m_listener.tableChanged(m_options.table, std::move(changes), false);
            }
            co_return false;
        }
        if (page->end.era() > m_table.next().era()) {
            enterEra(StoreOffset(0, page->end.era()));
            if (after.empty()) { // This is the first page of the new era.
                m_eraDelay.reset();
                m_table.beginPages();
                era = page->end.era();
            }
        }
        if (m_table.next().era() != era || page->end.era() != era) { // Pages of two eras: all are read again.
            if (!m_stopped) {
                m_listener.tableChanged(m_options.table, std::move(changes), false);
                if (page->end.era() < m_table.next().era()) {
                    reportFailure(absl::UnavailableError("a page of an earlier era"));
                }
            }
            co_return false;
        }
        m_table.applyPage(*page, changes);
        if (!page->more) {
            m_table.endPages(changes);
            break;
        }
        if (page->lastKey.empty() || !continuedAfter.insert(page->lastKey).second) {
            // The log still brings the records to come; to read the same page again would bring nothing.
            logEvent(LogLevel::Warning, "pages-incomplete")
                .with("table", storeTableName(m_options.table))
                .with("after", after)
                .with("keys", m_table.size());
            m_table.abandonPages(changes);
            break;
        }
        after = page->lastKey;
    }
    m_complete = true;
    m_nextReadDelay = m_options.pause;
    if (!m_stopped) {
        m_listener.storeReached(m_options.table);
        m_listener.tableChanged(m_options.table, std::move(changes), true);
    }
    co_return true;
}

void KeyedFollower::enterEra(StoreOffset first)
{
    m_complete = false;
    m_eraDelay = m_random.jitter(m_options.eraSpread / 2, 1.0);
    m_table.enterEra(first);
    m_listener.eraEntered(m_options.table, first.era());
}

void KeyedFollower::learnEra(StoreEra era)
{
    if (era > m_table.next().era()) {
        enterEra(StoreOffset(0, era));
        restartRead();
    }
}

// A store that states eras may answer so while its copy is still short; one that states
// none says what can't be.
void KeyedFollower::takeDropped(StoreOffset next)
{
    if (next.era() > m_table.next().era()) {
        m_failures = 0;
        enterEra(next);
    } else if (next > m_table.next()) {
        m_failures = 0;
        m_complete = false;
        m_table.skipTo(next);
    } else {
        reportFailure(
            absl::InternalError("the store reports dropped records, but continues at or before the requested offset"));
        if (next.era() > StoreEra()) {
            m_complete = false;
            m_table.enterEra(StoreOffset(next.value(), m_table.next().era()));
        }
    }
}

http::Awaitable<bool> KeyedFollower::readNewRecords()
{
    m_reading = true;
    const auto ended = co_await (m_store.read(m_options.table, m_table.next(), m_options.wait)
                                 || m_restartTimer.sleep({}, std::nullopt, kMaxReadDuration));
    m_reading = false;
    const auto *answer = std::get_if<KeyedReadResult>(&ended);
    if (m_stopped || answer == nullptr) {
        co_return false;
    }
    const auto &run = *answer;
    if (!run.ok()) {
        reportFailure(run.status());
        co_return false;
    }
    if (run->dropped) {
        takeDropped(run->next);
        co_return false;
    }
    if (run->next.era() != m_table.next().era()) {
        co_return false; // Another table met a new era during the read.
    }
    m_nextReadDelay = run->nextReadDelay.value_or(m_options.pause);
    m_listener.storeReached(m_options.table);
    std::vector<KeyedChange> changes;
    m_table.applyRun(*run, changes);
    if (!changes.empty()) {
        m_listener.tableChanged(m_options.table, std::move(changes), false);
    }
    co_return true;
}

} // namespace mimosahub
