#pragma once

#include "follow/keyed_follower.h"
#include "forward/quarantine_news.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>

namespace mimosahub
{

/// Follows the quarantines in the store, writes those that it lacks, and drops those that ended
/// long ago. Control thread only.
class QuarantineStoreLoop
{
public:
    /// All arguments must outlive this object. \a listener gets the table's changes and
    /// hands them to takeChanges(); \a onStored gets what these say.
    QuarantineStoreLoop(boost::asio::io_context &io, const Clock &clock, KeyedStore &store,
                        KeyedFollower::Listener &listener, Random &random,
                        std::function<void(std::vector<Quarantine>)> onStored);

    void start();
    void stop();
    /// Takes changes of the table of quarantines. \a complete: all of them were read.
    void takeChanges(const std::vector<KeyedChange> &changes, bool complete);
    /// \a quarantine should be in the store. \a own: this daemon has changed it; other daemons
    /// write, one after the other, only if that one's write doesn't show.
    void want(const Quarantine &quarantine, bool own);
    /// Writes \a quarantine, a trial of it, if the store holds nothing further; \a onResult is
    /// called once with whether it did.
    void claim(const Quarantine &quarantine, std::function<void(bool)> onResult);
    /// This daemon's index among all, by which daemons take turns.
    void setRank(int rank)
    {
        m_rank = rank;
    }
    [[nodiscard]] bool complete() const
    {
        return m_complete;
    }
    [[nodiscard]] KeyedFollower &follower()
    {
        return m_follower;
    }

private:
    struct Wanted {
        Quarantine quarantine;
        TimePoint writeAt;
    };

    /// The store came back from a copy that lacks the quarantine with \a key: it is written again.
    void restore(const std::string &key);
    [[nodiscard]] bool isStored(const Quarantine &quarantine) const;
    [[nodiscard]] std::optional<ContentId> outdated() const;
    http::Awaitable<void> loop();
    http::Awaitable<void> drop(ContentId content);
    http::Awaitable<void> write(ContentId content);
    http::Awaitable<void> writeClaim(Quarantine quarantine, std::function<void(bool)> onResult);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    KeyedStore &m_store;
    Random &m_random;
    KeyedFollower m_follower;
    std::function<void(std::vector<Quarantine>)> m_onStored;
    std::map<ContentId, Quarantine> m_stored;
    std::map<ContentId, Wanted> m_wanted; ///< What the store lacks.
    boost::asio::steady_timer m_timer;
    int m_rank = 0;
    bool m_complete = false;
    bool m_stopped = false;
};

} // namespace mimosahub
