// Two coroutines: one reads what the follower asks for, one appends what the
// writer has ready. Both decide nothing; they sleep until the pure cores have
// something to do and report what the network answered.

#include "daemon/log_loop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace mimosahub
{

namespace
{

/// Longest sleep of a loop that nothing wakes.
constexpr Duration kLongestSleep = std::chrono::seconds(1);

} // namespace

LogLoop::LogLoop(boost::asio::io_context &io, const Clock &clock, SharedLog &log, const LogLoopOptions &options)
    : m_io(io),
      m_clock(clock),
      m_log(log),
      m_recentLimit(options.recentEntries),
      m_follower(options.follower, m_state, options.seed),
      m_writer(options.writer, options.seed),
      m_readTimer(io),
      m_writeTimer(io)
{
}

void LogLoop::start()
{
    boost::asio::co_spawn(m_io, readLoop(), boost::asio::detached);
    boost::asio::co_spawn(m_io, writeLoop(), boost::asio::detached);
}

void LogLoop::stop()
{
    m_stopped = true;
    m_readTimer.wake();
    m_writeTimer.wake();
}

void LogLoop::addListener(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

void LogLoop::submit(const Record &record, TimePoint deadline, Urgency urgency, Settled settled)
{
    const auto ticket = m_writer.enqueue(record, deadline, m_clock.now(), urgency);
    if (!ticket.ok()) {
        settled(ticket.status());
        return;
    }
    m_waiting.emplace(*ticket, std::move(settled));
    m_writeTimer.wake();
}

http::Awaitable<absl::StatusOr<TicketOutcome>> LogLoop::append(Record record, TimePoint deadline, Urgency urgency,
                                                               TimePoint giveUp)
{
    struct Waiting {
        explicit Waiting(boost::asio::io_context &io) : timer(io)
        {
        }
        std::optional<absl::StatusOr<TicketOutcome>> outcome;
        boost::asio::steady_timer timer;
    };
    auto waiting = std::make_shared<Waiting>(m_io);
    waiting->timer.expires_after(giveUp - m_clock.now());
    submit(record, deadline, urgency, [waiting](const absl::StatusOr<TicketOutcome> &outcome) {
        waiting->outcome = outcome;
        waiting->timer.cancel();
    });
    if (!waiting->outcome) {
        co_await waiting->timer.async_wait(http::kTuple);
    }
    if (!waiting->outcome) {
        co_return errorAt(absl::StatusCode::kDeadlineExceeded, Step::Append, "",
                          "the log has not said whether it took the record");
    }
    co_return *waiting->outcome;
}

void LogLoop::wake()
{
    m_follower.wake();
    m_readTimer.wake();
}

void LogLoop::takePeerEntries(const std::vector<LogEntry> &entries, Offset peerApplied,
                              std::optional<TimePoint> freshAsOf)
{
    remember(entries);
    handleStep(m_follower.onPeerEntries(entries, peerApplied, freshAsOf));
}

http::Awaitable<void> LogLoop::readLoop()
{
    while (!m_stopped) {
        const auto request = m_follower.tick(m_clock.now());
        if (!request) {
            co_await m_readTimer.sleep(m_clock.now(), m_follower.nextTick(), kLongestSleep);
            continue;
        }
        const auto answer = co_await m_log.read(request->from, request->limit);
        if (answer.result.ok()) {
            remember(answer.result->entries);
            handleStep(m_follower.onRead(*answer.result, m_clock.now()));
        } else {
            m_follower.onReadFailed(m_clock.now(), answer.retryAfter);
        }
    }
}

http::Awaitable<void> LogLoop::writeLoop()
{
    while (!m_stopped) {
        settle(m_writer.expire(m_clock.now()));
        if (auto request = m_writer.tick(m_clock.now(), m_clock.wallTime())) {
            co_await sendAppend(std::move(*request));
        } else {
            co_await m_writeTimer.sleep(m_clock.now(), m_writer.nextTick(m_clock.now()), kLongestSleep);
        }
    }
}

http::Awaitable<void> LogLoop::sendAppend(AppendRequest request)
{
    const auto answer = co_await m_log.append(std::move(request.data));
    switch (answer.kind) {
    case AppendAnswer::Kind::Appended:
        m_writer.onAppended(request.sequence, answer.offset);
        break;
    case AppendAnswer::Kind::Lost:
        m_writer.onAppendLost(request.sequence, m_clock.now());
        break;
    case AppendAnswer::Kind::Refused:
        m_writer.onAppendRefused(request.sequence, m_clock.now(), answer.retryAfter);
        break;
    }
    wake();
}

void LogLoop::handleStep(const FollowerStep &step)
{
    if (step.restored) {
        settle(m_writer.onRestored(m_state, m_clock.now()));
    }
    for (const auto &batch : step.applied) {
        settle(m_writer.onApplied(batch, m_clock.now()));
    }
    if (step.headReadStarted) {
        m_writer.onHeadRead(*step.headReadStarted);
    }
    m_writeTimer.wake();
    for (const auto &listener : m_listeners) {
        listener(step);
    }
}

void LogLoop::settle(const std::vector<TicketOutcome> &outcomes)
{
    for (const auto &outcome : outcomes) {
        const auto node = m_waiting.extract(outcome.ticket);
        if (!node.empty()) {
            node.mapped()(outcome);
        }
    }
}

void LogLoop::remember(const std::vector<LogEntry> &entries)
{
    for (const auto &entry : entries) {
        if (!m_recent.empty() && entry.offset <= m_recent.back().offset) {
            continue;
        }
        if (!m_recent.empty() && entry.offset != m_recent.back().offset.next()) {
            m_recent.clear();
        }
        m_recent.push_back(entry);
    }
    while (m_recent.size() > m_recentLimit) {
        m_recent.pop_front();
    }
}

std::vector<LogEntry> LogLoop::recent(Offset from, std::size_t limit) const
{
    std::vector<LogEntry> result;
    if (m_recent.empty() || from < m_recent.front().offset) {
        return result;
    }
    for (auto i = from.value() - m_recent.front().offset.value(); i < m_recent.size() && result.size() < limit; ++i) {
        result.push_back(m_recent[i]);
    }
    return result;
}

} // namespace mimosahub
