#pragma once

#include "control/log_follower.h"
#include "control/log_writer.h"
#include "http/wake_timer.h"
#include "logservice/log_service.h"

#include <deque>
#include <functional>
#include <map>

namespace mimosahub
{

/// Options of LogLoop.
struct LogLoopOptions {
    LogFollowerOptions follower;
    LogWriterOptions writer;
    std::uint64_t seed = 1;
    std::size_t recentEntries = 4096; ///< Kept to pass on to peers.
};

/// Runs the follower and the writer of the platform's log against the network.
/// Everything happens on the control thread.
class LogLoop
{
public:
    /// Told after each change of the state.
    using Listener = std::function<void(const FollowerStep &)>;
    /// Told once how a submitted record ended. An error means that it was not queued.
    using Settled = std::function<void(const absl::StatusOr<TicketOutcome> &)>;

    /// \a log and \a clock must outlive the loop.
    LogLoop(boost::asio::io_context &io, const Clock &clock, SharedLog &log, const LogLoopOptions &options);

    void start();
    void stop();
    void addListener(Listener listener);
    /// Appends \a record; \a settled runs later on the control thread.
    void submit(const Record &record, TimePoint deadline, Urgency urgency, Settled settled);
    /// As submit(), for coroutines of the control thread. DeadlineExceeded if the
    /// record is still in doubt at \a giveUp: the log may take it yet.
    http::Awaitable<absl::StatusOr<TicketOutcome>> append(Record record, TimePoint deadline, Urgency urgency,
                                                          TimePoint giveUp);
    /// Reads the log soon.
    void wake();
    /// Takes records that a peer passed on.
    void takePeerEntries(const std::vector<LogEntry> &entries, Offset peerApplied, std::optional<TimePoint> freshAsOf);

    [[nodiscard]] const ControlState &state() const
    {
        return m_state;
    }
    [[nodiscard]] LogFollower &follower()
    {
        return m_follower;
    }
    [[nodiscard]] LogWriter &writer()
    {
        return m_writer;
    }
    /// Up to \a limit of the recent entries from \a from on; empty if \a from is too old.
    [[nodiscard]] std::vector<LogEntry> recent(Offset from, std::size_t limit) const;

private:
    http::Awaitable<void> readLoop();
    http::Awaitable<void> writeLoop();
    http::Awaitable<void> sendAppend(AppendRequest request);
    void handleStep(const FollowerStep &step);
    void settle(const std::vector<TicketOutcome> &outcomes);
    void remember(const std::vector<LogEntry> &entries);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    SharedLog &m_log;
    std::size_t m_recentLimit;
    ControlState m_state;
    LogFollower m_follower;
    LogWriter m_writer;
    WakeTimer m_readTimer;
    WakeTimer m_writeTimer;
    std::vector<Listener> m_listeners;
    std::map<Ticket, Settled> m_waiting;
    std::deque<LogEntry> m_recent;
    bool m_stopped = false;
};

} // namespace mimosahub
