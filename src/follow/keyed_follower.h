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

/// How one table is followed.
struct KeyedFollowerOptions {
    StoreTable table = StoreTable::OperatorDocuments;
    Duration wait = std::chrono::seconds(20); ///< Longest wait of one read for a record.
    Duration pause{}; ///< From the answer of one read to the next one, so that many changes cost one call.
    BackoffOptions backoff = {std::chrono::milliseconds(100), 2.0, std::chrono::milliseconds(800), 0.5};
};

/// Keeps one table of the store followed: reads all keys once, then what is
/// added, and all keys again after a gap. Tells of the store's loss and return.
/// Control thread only.
class KeyedFollower
{
public:
    /// What a follower tells. Called on the control thread.
    class Listener
    {
    public:
        virtual ~Listener() = default;
        /// The table has changed, or was read whole for the first time. \a complete is
        /// set when \a changes come from reading all keys.
        virtual void tableChanged(StoreTable table, std::vector<KeyedChange> changes, bool complete) = 0;
        /// A call was answered; told before the changes that it brought.
        virtual void storeReached(StoreTable table) = 0;
        /// A call failed.
        virtual void storeFailed(StoreTable table, const absl::Status &status) = 0;
    };

    /// All arguments must outlive the follower.
    KeyedFollower(boost::asio::io_context &io, KeyedStore &store, Listener &listener, Random &random,
                  KeyedFollowerOptions options);

    void start();
    void stop();
    /// Gives up the read that is under way and reads again at once: it may wait for an
    /// answer that never comes.
    void restartRead()
    {
        m_timer.cancel();
        m_restartTimer.wake();
    }
    [[nodiscard]] StoreTable table() const
    {
        return m_options.table;
    }
    /// Where the next record will stand, as far as is known.
    [[nodiscard]] StoreOffset next() const
    {
        return m_table.next();
    }

private:
    http::Awaitable<void> loop();
    http::Awaitable<bool> readAllKeys();
    http::Awaitable<bool> readNewRecords();
    http::Awaitable<void> sleep(Duration duration);
    void reportFailure(const absl::Status &status);

    boost::asio::io_context &m_io;
    KeyedStore &m_store;
    Listener &m_listener;
    Random &m_random;
    KeyedFollowerOptions m_options;
    KeyedTable m_table;
    boost::asio::steady_timer m_timer;
    WakeTimer m_restartTimer; ///< Sleeps beside a read; waking it ends the read.
    int m_failures = 0; ///< In a row.
    Duration m_nextReadDelay{}; ///< Before the next read.
    bool m_complete = false; ///< The table was read whole and no gap has opened since.
    bool m_stopped = false;
};

} // namespace mimosahub
