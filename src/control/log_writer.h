#pragma once

#include "base/backoff.h"
#include "base/random.h"
#include "control/control_state.h"
#include "mimosahub/clock.h"
#include "mimosahub/record.h"
#include "mimosahub/verdict.h"

#include <absl/status/statusor.h>

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace mimosahub
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

using Ticket = Ordinal<struct TicketTag>; ///< Identifies one enqueued record within one LogWriter.

/// The result of an enqueued record.
enum class AppendResolution {
    Accepted, ///< It was applied and accepted.
    Rejected, ///< It was applied and rejected.
    NotAppended, ///< It is not in the log and won't be: its deadline passed before it was sent.
    VerdictLost, ///< It is in the log, but restoring a snapshot skipped its verdict; read its effect from the state.
};

/// The reported result of one enqueued record.
struct TicketOutcome {
    Ticket ticket;
    AppendResolution resolution = AppendResolution::NotAppended;
    Verdict verdict; ///< The position is set except for NotAppended; the rejection is set for Rejected.
    Duration retryAfter{}; ///< For NotAppended: how long to wait before a retry.
};

/// The priority of a record in the writer's queue.
enum class Urgency {
    Normal,
    Background, ///< Sent only when no normal record is queued.
};

/// An append to send to the log.
struct AppendRequest {
    Sequence sequence;
    std::string data;
};

struct LogWriterOptions {
    InstanceId writer;
    Incarnation incarnation;
    std::size_t maxBatchRecords = 256;
    std::size_t maxBatchBytes = std::size_t(128) * 1024; ///< A larger record is sent in a batch of its own.
    Duration linger = 2ms; ///< How long a record waits for others to join its batch.
    double appendsPerSecond = 50.0; ///< This daemon's share of the log's append rate.
    double appendBurst = 10.0; ///< Appends that may be sent back to back.
    std::size_t maxQueued = 4096;
    BackoffOptions retry = {.first = 100ms, .max = 5s, .jitter = 0.3}; ///< Delays after failed appends.
    int downAfterFailures = 2; ///< Consecutive failed appends after which new records are refused.
};

/// Appends records to the log in batches, each effective exactly once, and
/// reports the result of each record. Does no I/O: the caller sends the appends
/// that tick() returns, one at a time, and reports their responses and every
/// batch that is applied to the state.
///
/// A batch whose response was lost stays in doubt until it is applied or until
/// a read of the head that started later shows that it isn't in the log; then
/// the same bytes are appended again. The state machine ignores a copy that is
/// appended late. A record in doubt is never reported as not appended, however
/// long it takes.
class LogWriter
{
public:
    LogWriter(LogWriterOptions options, std::uint64_t seed);

    /// Queues \a record. If it can't be sent before \a deadline, its result is
    /// NotAppended. Errors: Unavailable while the log is down or the queue is full
    /// (see retryAfter()), InvalidArgument if it can't be encoded within the
    /// limits, FailedPrecondition after a later incarnation has written.
    absl::StatusOr<Ticket> enqueue(const Record &record, TimePoint deadline, TimePoint now,
                                   Urgency urgency = Urgency::Normal);
    /// The append to send now, if any, stamped \a wallTime. Call at nextTick()
    /// and after each event.
    [[nodiscard]] std::optional<AppendRequest> tick(TimePoint now, WallTime wallTime);
    /// Removes the queued records whose deadline has passed and returns their results; call with tick().
    [[nodiscard]] std::vector<TicketOutcome> expire(TimePoint now);
    /// When to call tick() and expire() if nothing else happens.
    [[nodiscard]] std::optional<TimePoint> nextTick(TimePoint now) const;

    /// The log accepted the append of \a sequence at \a offset.
    void onAppended(Sequence sequence, Offset offset);
    /// The response to the append of \a sequence was lost: it may be in the log.
    void onAppendLost(Sequence sequence, TimePoint now);
    /// The log refused the append of \a sequence: this copy is not in the log.
    void onAppendRefused(Sequence sequence, TimePoint now, std::optional<Duration> retryAfter = std::nullopt);
    /// \a batch was applied to the state.
    [[nodiscard]] std::vector<TicketOutcome> onApplied(const AppliedBatch &batch, TimePoint now);
    /// The state was replaced by a later one.
    [[nodiscard]] std::vector<TicketOutcome> onRestored(const ControlState &state, TimePoint now);
    /// Everything up to the log's head as of \a started has been applied.
    void onHeadRead(TimePoint started);

    /// True while records are refused because appends fail.
    [[nodiscard]] bool down(TimePoint now) const;
    /// How long a refused caller should wait before a retry.
    [[nodiscard]] Duration retryAfter(TimePoint now) const;
    /// True if a later incarnation of this instance has written; this process
    /// can no longer write.
    [[nodiscard]] bool superseded() const
    {
        return m_superseded;
    }
    /// Number of records that are queued or not yet resolved.
    [[nodiscard]] std::size_t pending() const;

private:
    enum class Phase {
        Idle, ///< There is no current batch.
        InFlight, ///< Sent; no response yet.
        Appended, ///< Accepted by the log; not applied yet.
        InDoubt, ///< The response was lost.
    };
    struct Queued {
        Ticket ticket;
        std::string data;
        TimePoint queuedAt;
        TimePoint deadline;
    };
    using Queue = std::deque<Queued>;

    [[nodiscard]] Queue *nextQueue();
    [[nodiscard]] const Queue *nextQueue() const;
    [[nodiscard]] std::size_t batchSize(const Queue &queue) const;
    [[nodiscard]] std::optional<TimePoint> sendTime(TimePoint now) const;
    [[nodiscard]] TimePoint tokenTime(TimePoint now) const;
    [[nodiscard]] bool isCurrent(Sequence sequence) const;
    void refillTokens(TimePoint now);
    void startBatch(WallTime wallTime);
    AppendRequest send();
    void requeue();
    void backOff(TimePoint now, std::optional<Duration> retryAfter);
    std::vector<TicketOutcome> resolve(const AppliedBatch &batch);
    std::vector<TicketOutcome> resolveWithoutVerdicts(Offset offset);
    void finishBatch();

    LogWriterOptions m_options;
    Random m_random;
    std::array<Queue, 2> m_queues; ///< By Urgency.
    Ticket m_lastTicket;

    Phase m_phase = Phase::Idle;
    Sequence m_sequence{1}; ///< Sequence of the current batch, or of the next one.
    std::vector<Queued> m_batch;
    Urgency m_batchUrgency = Urgency::Normal;
    std::string m_batchData;
    Offset m_batchOffset; ///< The offset that the log returned, in phase Appended.
    TimePoint m_inDoubtSince{};
    bool m_mayBeInLog = false; ///< Some copy of the batch may be in the log.
    bool m_mayResend = false; ///< A read has shown that the batch is not in the log.

    int m_failures = 0;
    TimePoint m_notBefore{};
    double m_tokens = 0.0;
    std::optional<TimePoint> m_tokensAt;
    bool m_superseded = false;
};

} // namespace mimosahub
