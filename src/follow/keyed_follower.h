#pragma once

#include "base/backoff.h"
#include "base/random.h"
#include "follow/keyed_table.h"
#include "http/wake_timer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace mimosahub
{

/// Options for following one table.
struct KeyedFollowerOptions {
    StoreTable table = StoreTable::OperatorDocuments;
    Duration wait = std::chrono::seconds(20); ///< Maximum time that one read waits for a record.
    /// Delay before all keys are read in a new era, spread evenly from 0 to this: all daemons read them.
    Duration eraSpread = std::chrono::milliseconds(400);
    Duration pause{}; ///< Delay between a response and the next read, so that many changes cost one read.
    /// Delays of 100 ms, doubled with each failure up to 800 ms, each varied by up to half.
    BackoffOptions backoff = {std::chrono::milliseconds(100), 2.0, std::chrono::milliseconds(800), 0.5};
};

/// Follows one table of the store: reads all keys once, then the records that
/// are added, and all keys again after a gap. Reports failed and successful reads.
/// Control thread only.
class KeyedFollower
{
public:
    /// Receives the events of a follower. Called on the control thread.
    class Listener
    {
    public:
        virtual ~Listener() = default;
        /// The table has changed, or all its keys were read for the first time.
        /// \a complete is set if \a changes result from reading all keys.
        virtual void tableChanged(StoreTable table, std::vector<KeyedChange> changes, bool complete) = 0;
        /// A read succeeded; reported before the changes in its response.
        virtual void storeReached(StoreTable table) = 0;
        /// A read failed.
        virtual void storeFailed(StoreTable table, const absl::Status &status) = 0;
        /// The table is read again, since the store came back from a copy.
        virtual void eraEntered(StoreTable /*table*/, StoreEra /*era*/)
        {
        }
    };

    /// All arguments must outlive the follower.
    KeyedFollower(boost::asio::io_context &io, KeyedStore &store, Listener &listener, Random &random,
                  KeyedFollowerOptions options);

    void start();
    void stop();
    /// Cancels the read in flight, which may wait for a response that never comes, or the wait
    /// before the next one, and reads again at once.
    void restartRead()
    {
        m_timer.cancel();
        if (m_reading) {
            m_restartTimer.wake();
        }
    }
    /// The store is in \a era: if that is news, all keys are read again.
    void learnEra(StoreEra era);
    /// Of the last reading of all keys in a new era.
    [[nodiscard]] const EraSummary &eraSummary() const
    {
        return m_table.eraSummary();
    }
    [[nodiscard]] StoreTable table() const
    {
        return m_options.table;
    }
    /// The offset from which the next read continues.
    [[nodiscard]] StoreOffset next() const
    {
        return m_table.next();
    }

private:
    http::Awaitable<void> loop();
    // False if a read failed.
    http::Awaitable<bool> readNext();
    http::Awaitable<bool> readAllKeys();
    // False if the read failed or was cancelled, or if there is a gap.
    http::Awaitable<bool> readNewRecords();
    /// Reads all keys again from \a first on, after a delay.
    void enterEra(StoreOffset first);
    void takeDropped(StoreOffset next);
    http::Awaitable<void> sleep(Duration duration);
    void reportFailure(const absl::Status &status);

    boost::asio::io_context &m_io;
    KeyedStore &m_store;
    Listener &m_listener;
    Random &m_random;
    KeyedFollowerOptions m_options;
    KeyedTable m_table;
    boost::asio::steady_timer m_timer;
    WakeTimer m_restartTimer; ///< Sleeps while a read is in flight; waking it cancels the read.
    int m_failures = 0; ///< Consecutive failed reads.
    Duration m_nextReadDelay{}; ///< Delay before the next read.
    std::optional<Duration> m_eraDelay; ///< Before all keys are read in a new era.
    bool m_complete = false; ///< All keys were read and there has been no gap since.
    bool m_reading = false; ///< A read of new records is in flight.
    bool m_stopped = false;
};

} // namespace mimosahub
