// A write whose answer is lost may still be done, and seconds later: an older state can so
// replace a newer one. Readers keep the furthest state that they have met, and whoever
// finds that the store holds less writes it again.
//
// A trial is claimed by an append on the condition that the table ends where this daemon
// has read it to. So of all daemons one gets it, and one that was paused or cut off gets
// none.

#include "gateway/quarantine_store_loop.h"

#include "base/log.h"
#include "gateway/quarantine_document.h"
#include "http/spawn.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration kIdle = 10min; ///< Until the loop looks for what ended, if no wish wakes it.
constexpr Duration kEndedLifetime = 1h; ///< For which the store keeps a quarantine that has ended.
constexpr Duration kFirstDelay = 2s; ///< Until a daemon writes that hasn't changed the quarantine.
constexpr Duration kDelayStep = 250ms; ///< Between the writes of two such daemons.
constexpr Duration kRewriteDelay = 1s; ///< Until a write that the follower hasn't met is repeated.
constexpr double kRewriteSpread = 0.3;

KeyedFollowerOptions quarantineOptions()
{
    KeyedFollowerOptions options;
    options.table = StoreTable::Quarantines;
    options.wait = 28s;
    return options;
}

} // namespace

QuarantineStoreLoop::QuarantineStoreLoop(boost::asio::io_context &io, const Clock &clock, KeyedStore &store,
                                         KeyedFollower::Listener &listener, Random &random,
                                         std::function<void(std::vector<Quarantine>)> onStored)
    : m_io(io),
      m_clock(clock),
      m_store(store),
      m_random(random),
      m_follower(io, store, listener, random, quarantineOptions()),
      m_onStored(std::move(onStored)),
      m_timer(io)
{
}

void QuarantineStoreLoop::start()
{
    m_follower.start();
    http::spawn(m_io, loop());
}

void QuarantineStoreLoop::stop()
{
    m_stopped = true;
    m_follower.stop();
    m_timer.cancel();
}

bool QuarantineStoreLoop::isStored(const Quarantine &quarantine) const
{
    const auto it = m_stored.find(quarantine.content);
    return it != m_stored.end() && !quarantine.supersedes(it->second);
}

void QuarantineStoreLoop::takeChanges(const std::vector<KeyedChange> &changes, bool complete)
{
    std::vector<Quarantine> stored;
    for (const auto &change : changes) {
        if (change.lost) {
            restore(change.key);
            continue;
        }
        if (!change.value) {
            std::erase_if(m_stored, [&](const auto &entry) { return quarantineKey(entry.first) == change.key; });
            continue;
        }
        const auto quarantine = readQuarantineDocument(change.key, *change.value, m_clock);
        if (!quarantine.ok()) {
            logEvent(LogLevel::Warning, "quarantine-unreadable").with("key", change.key).with(quarantine.status());
            continue;
        }
        m_stored[quarantine->content] = *quarantine;
        stored.push_back(*quarantine);
    }
    m_complete = m_complete || complete;
    if (!stored.empty()) {
        m_onStored(std::move(stored));
    }
}

void QuarantineStoreLoop::restore(const std::string &key)
{
    const auto it = std::find_if(m_stored.begin(), m_stored.end(),
                                 [&](const auto &entry) { return quarantineKey(entry.first) == key; });
    if (it == m_stored.end()) {
        return;
    }
    const auto lost = it->second;
    m_stored.erase(it);
    logEvent(LogLevel::Info, "quarantine-lost")
        .with("service", lost.content.service)
        .with("part", std::string_view(lost.content.id));
    want(lost, false);
}

void QuarantineStoreLoop::want(const Quarantine &quarantine, bool own)
{
    const auto it = m_wanted.find(quarantine.content);
    const bool covered = it != m_wanted.end() && !quarantine.supersedes(it->second.quarantine) && !own;
    if (covered || isStored(quarantine)) {
        return;
    }
    const Duration delay = own ? Duration::zero() : kFirstDelay + m_rank * kDelayStep;
    m_wanted[quarantine.content] = {quarantine, m_clock.now() + delay};
    m_timer.cancel();
}

http::Awaitable<void> QuarantineStoreLoop::loop()
{
    while (!m_stopped) {
        if (auto content = outdated()) {
            co_await drop(std::move(*content));
            continue;
        }
        std::erase_if(m_wanted, [this](const auto &wanted) { return isStored(wanted.second.quarantine); });
        const auto next = std::min_element(m_wanted.begin(), m_wanted.end(), [](const auto &a, const auto &b) {
            return a.second.writeAt < b.second.writeAt;
        });
        const auto now = m_clock.now();
        if (next != m_wanted.end() && next->second.writeAt <= now) {
            co_await write(next->first);
            continue;
        }
        m_timer.expires_after(next == m_wanted.end() ? kIdle : Duration(next->second.writeAt - now));
        co_await m_timer.async_wait(http::kTuple);
    }
}

std::optional<ContentId> QuarantineStoreLoop::outdated() const
{
    const Duration age = kEndedLifetime + m_rank * kDelayStep; // One daemon after the other.
    const auto it = std::find_if(m_stored.begin(), m_stored.end(), [&](const auto &entry) {
        return entry.second.ended && m_clock.now() - entry.second.changedAt > age;
    });
    return it == m_stored.end() ? std::nullopt : std::optional(it->first);
}

// On the condition that nothing was written that this daemon hasn't read: the content may be
// quarantined anew. Tried once; another daemon's turn comes later.
http::Awaitable<void> QuarantineStoreLoop::drop(ContentId content)
{
    m_stored.erase(content);
    const auto result =
        co_await m_store.append(StoreTable::Quarantines, quarantineKey(content), std::nullopt, m_follower.next());
    logEvent(LogLevel::Info, "quarantine-dropped")
        .with("service", content.service)
        .with("part", std::string_view(content.id))
        .with("result", appendResultName(result));
}

http::Awaitable<void> QuarantineStoreLoop::write(ContentId content)
{
    const auto document = writeQuarantineDocument(m_wanted.at(content).quarantine, m_clock);
    const auto result =
        co_await m_store.append(StoreTable::Quarantines, quarantineKey(content), document, std::nullopt);
    logEvent(LogLevel::Info, "quarantine-stored")
        .with("service", content.service)
        .with("part", std::string_view(content.id))
        .with("result", appendResultName(result));
    if (const auto it = m_wanted.find(content); it != m_wanted.end()) {
        it->second.writeAt = m_clock.now() + m_random.jitter(kRewriteDelay, kRewriteSpread);
    }
}

void QuarantineStoreLoop::claim(const Quarantine &quarantine, std::function<void(bool)> onResult)
{
    if (!m_complete || isStored(quarantine)) {
        onResult(false);
        return;
    }
    http::spawn(m_io, writeClaim(quarantine, std::move(onResult)));
}

http::Awaitable<void> QuarantineStoreLoop::writeClaim(Quarantine quarantine, std::function<void(bool)> onResult)
{
    const auto end = m_follower.next();
    const auto result = co_await m_store.append(StoreTable::Quarantines, quarantineKey(quarantine.content),
                                                writeQuarantineDocument(quarantine, m_clock), end);
    logEvent(LogLevel::Info, "quarantine-trial")
        .with("service", quarantine.content.service)
        .with("part", std::string_view(quarantine.content.id))
        .with("trial", quarantine.trials)
        .with("at", end.value())
        .with("result", appendResultName(result));
    onResult(result == AppendResult::Appended);
}

} // namespace mimosahub
