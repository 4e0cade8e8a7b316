// The price of a read is the store's, so that seventy daemons which each read what
// all of them read cost seventy times as much. A few of them, which others ask, read
// more often instead. An answer carries its age, and one that is too old is followed
// by a read of the store: a relay that is cut off, slow or paused delays nothing.

#include "gateway/relayed_store.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace mimosahub
{

namespace
{

/// An answer on its way from another thread.
struct Pending {
    explicit Pending(boost::asio::io_context &io) : timer(io)
    {
    }
    boost::asio::steady_timer timer;
    std::optional<TableAnswer> answer;
};

} // namespace

RelayedStore::RelayedStore(boost::asio::io_context &io, const Clock &clock, std::unique_ptr<KeyedStore> store,
                           const DocumentReader &documents, TableQueryClient &asker, TableRelay &relay,
                           const RelayedStoreOptions &options)
    : m_io(io),
      m_clock(clock),
      m_store(std::move(store)),
      m_documents(documents),
      m_asker(asker),
      m_relay(relay),
      m_options(options),
      m_documentWatch(options.documents)
{
}

http::Awaitable<absl::StatusOr<KeyedPage>> RelayedStore::newest(StoreTable table, std::string afterKey)
{
    auto page = co_await m_store->newest(table, std::move(afterKey));
    if (table == StoreTable::Endpoints && page.ok()) {
        noteEra(page->end.era());
    }
    // Of a copy: whoever follows this daemon may miss an endpoint that the copy lacks, so its first entry in the new
    // era is handed on.
    const bool mayBeCopied = page.ok() && page->end.era() > StoreEra();
    if (table == StoreTable::Endpoints && page.ok() && !mayBeCopied) {
        for (const auto &record : page->records) {
            note(record);
        }
    }
    co_return page;
}

http::Awaitable<AppendResult> RelayedStore::append(StoreTable table, std::string key, std::optional<std::string> value,
                                                   std::optional<StoreOffset> expectedEnd)
{
    co_return co_await m_store->append(table, std::move(key), std::move(value), expectedEnd);
}

http::Awaitable<KeyedReadResult> RelayedStore::read(StoreTable table, StoreOffset from, Duration wait)
{
    if (table == StoreTable::OperatorDocuments) {
        const auto now = m_clock.now();
        co_return co_await m_store->read(table, from,
                                         m_documentWatch.beginRead(from, m_relay.hasRecentQueries(now), now));
    }
    if (table != StoreTable::Endpoints) {
        co_return co_await m_store->read(table, from, wait);
    }
    auto answer = co_await askOther(table, from);
    if (answer && answer->run.next.era() > from.era()) {
        co_return KeyedRun{{}, StoreOffset(0, answer->run.next.era()), true, std::nullopt};
    }
    if (answer && answer->age <= m_options.longestAge && answer->run.next.era() == from.era()) {
        for (const auto &record : answer->run.records) {
            note(record);
        }
        m_documentWatch.recordPeer(answer->documents, m_clock.now());
        answer->run.nextReadDelay = m_options.interval;
        co_return std::move(answer->run);
    }
    const auto sentAt = m_clock.now();
    auto run = co_await m_store->read(table, from, wait);
    if (run.ok()) {
        noteEra(run->next.era());
    }
    if (run.ok() && !run->dropped) {
        KeyedRun news{{}, run->next, false, std::nullopt};
        for (const auto &record : run->records) {
            if (note(record)) {
                news.records.push_back(record);
            }
        }
        m_relay.add(from, news, sentAt);
        if (m_relay.hasRecentQueries(m_clock.now())) {
            run->nextReadDelay = m_options.interval;
        }
    }
    co_return run;
}

void RelayedStore::noteEra(StoreEra era)
{
    if (era > m_era) {
        m_era = era;
        m_known.clear();
    }
}

bool RelayedStore::note(const KeyedRecord &record)
{
    auto endpoint = record.value ? m_documents.endpoint(record.key, *record.value) : absl::NotFoundError("");
    if (!endpoint.ok()) {
        m_known.erase(record.key);
        return true;
    }
    endpoint->sequence = 0;
    const auto it = m_known.find(record.key);
    if (it != m_known.end() && it->second == *endpoint) {
        return false;
    }
    m_known.insert_or_assign(record.key, *std::move(endpoint));
    return true;
}

http::Awaitable<std::optional<TableAnswer>> RelayedStore::askOther(StoreTable table, StoreOffset from)
{
    const auto pending = std::make_shared<Pending>(m_io);
    pending->timer.expires_after(m_options.patience);
    // The answer may come when nobody waits for it any more.
    m_asker.queryTable(table, from, [this, waiting = std::weak_ptr(pending)](std::optional<TableAnswer> answer) {
        boost::asio::post(m_io, [waiting, answer = std::move(answer)]() mutable {
            if (const auto pending = waiting.lock()) {
                pending->answer = std::move(answer);
                pending->timer.cancel();
            }
        });
    });
    co_await pending->timer.async_wait(http::kTuple);
    co_return std::move(pending->answer);
}

} // namespace mimosahub
