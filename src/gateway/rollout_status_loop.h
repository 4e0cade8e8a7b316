#pragma once

#include "follow/keyed_follower.h"
#include "gateway/document_reader.h"
#include "gateway/rollout_statuses.h"

#include <boost/asio/steady_timer.hpp>

namespace mimosahub
{

/// Follows the status of rollouts in the store, from the first order on, and writes it.
/// Control thread only.
class RolloutStatusLoop
{
public:
    /// All arguments must outlive this object. \a listener gets the table's changes and
    /// hands them to takeChanges().
    RolloutStatusLoop(boost::asio::io_context &io, const Clock &clock, KeyedStore &store,
                      const DocumentReader &documents, KeyedFollower::Listener &listener, Random &random);

    /// As RolloutStatuses::takeOrder().
    void takeOrder(const RolloutOrder &order, RolloutRecord record, bool rewritten = false);
    /// Takes changes of the table of statuses. \a complete: all of them were read.
    void takeChanges(const std::vector<KeyedChange> &changes, bool complete);
    void want(const WantedStatus &wanted);
    /// Measures how long the store takes to answer; a store that doesn't counts with its timeout.
    http::Awaitable<void> measureStore();
    /// As measured last.
    [[nodiscard]] Duration storeTime() const
    {
        return m_storeTime;
    }
    void setRank(int rank)
    {
        m_statuses.setRank(rank);
    }
    [[nodiscard]] std::vector<GatewayView::Rollout> list() const
    {
        return m_statuses.list();
    }
    [[nodiscard]] KeyedFollower &follower()
    {
        return m_follower;
    }
    /// The store answers again after it was lost.
    void storeRegained();
    void stop();

private:
    void forgetStatus(const std::string &key);
    http::Awaitable<void> loop();
    http::Awaitable<void> write(RolloutReport report);
    /// Absent: the store hasn't answered soon, and the status may have been written.
    http::Awaitable<std::optional<AppendResult>> append(const RolloutReport &report, StoreOffset end);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    KeyedStore &m_store;
    const DocumentReader &m_documents;
    KeyedFollower m_follower;
    RolloutStatuses m_statuses;
    boost::asio::steady_timer m_timer;
    Duration m_storeTime{};
    int m_silences = 0; ///< Of the store, one after the other, at a final status.
    bool m_started = false;
    bool m_stopped = false;
};

} // namespace mimosahub
