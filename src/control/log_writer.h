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

using Ticket = Ordinal<struct TicketTag>; ///< Names one enqueued record within one LogWriter.

/// How an enqueued record ended.
enum class Resolution {
    Accepted, ///< It was folded at its offset and accepted.
    Rejected, ///< It was folded at its offset and rejected.
    NotAppended, ///< It is not in the log and won't be: its deadline passed before it was sent.
    VerdictLost, ///< It is in the log, but its verdict was skipped by restoring a snapshot; ask the state.
};

/// The end of one enqueued record.
struct TicketOutcome {
    Ticket ticket;
    Resolution resolution = Resolution::NotAppended;
    Verdict verdict; ///< Its position holds except for NotAppended, its rejection for Rejected.
    Duration retryAfter{}; ///< For NotAppended: when to come back.
};

/// Whether others wait for a record.
enum class Urgency {
    Normal,
    Background, ///< Sent when nothing else is queued.
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
    std::size_t maxBatchBytes = std::size_t(128) * 1024; ///< A single larger record still gets a batch of its own.
    Duration linger = 2ms; ///< How long a record waits for company.
    double appendsPerSecond = 50.0; ///< This daemon's share of what the log takes.
    double appendBurst = 10.0; ///< Appends that may follow each other at once.
    std::size_t maxQueued = 4096;
    BackoffOptions retry = {.first = 100ms, .max = 5s, .jitter = 0.3}; ///< Delays after failed appends.
    int downAfterFailures = 2; ///< Failed appends in a row after which nothing is queued.
};

/// Appends records to the log in batches, each in effect once, and says how
/// each ended. Knows no sockets: the caller sends the appends that tick() asks
/// for, one at a time, and reports their answers and everything that is folded.
///
/// A batch whose answer was lost stays in doubt until the fold meets it or a
/// read of the head that started later shows that it isn't there; then the same
/// bytes are appended again. The fold ignores a copy that turns up late. A
/// record in doubt is never reported as not appended, however long it takes.
class LogWriter
{
public:
    LogWriter(LogWriterOptions options, std::uint64_t seed);

    /// Queues \a record. If it can't be sent before \a deadline it ends as
    /// NotAppended. Errors: Unavailable while the log is down or the queue full
    /// (see retryAfter()), InvalidArgument if it can't be encoded within the
    /// limits, FailedPrecondition after a later incarnation has written.
    absl::StatusOr<Ticket> enqueue(const Record &record, TimePoint deadline, TimePoint now,
                                   Urgency urgency = Urgency::Normal);
    /// The append to send now, if any, stamped \a wallTime. Call at nextTick()
    /// and after each event.
    [[nodiscard]] std::optional<AppendRequest> tick(TimePoint now, WallTime wallTime);
    /// Ends the queued records whose deadline has passed; call with tick().
    [[nodiscard]] std::vector<TicketOutcome> expire(TimePoint now);
    /// When to call tick() and expire() if nothing else happens.
    [[nodiscard]] std::optional<TimePoint> nextTick(TimePoint now) const;

    /// The append of \a sequence was taken at \a offset.
    void onAppended(Sequence sequence, Offset offset);
    /// The answer to the append of \a sequence was lost: it may be in the log.
    void onAppendLost(Sequence sequence, TimePoint now);
    /// The log refused the append of \a sequence: this copy is not in the log.
    void onAppendRefused(Sequence sequence, TimePoint now, std::optional<Duration> retryAfter = std::nullopt);
    /// The state has folded \a batch.
    [[nodiscard]] std::vector<TicketOutcome> onApplied(const AppliedBatch &batch, TimePoint now);
    /// The state was replaced by a later one.
    [[nodiscard]] std::vector<TicketOutcome> onRestored(const ControlState &state, TimePoint now);
    /// All up to the log's head as of \a started has been folded.
    void onHeadRead(TimePoint started);

    /// True while records are refused because appends fail.
    [[nodiscard]] bool down(TimePoint now) const;
    /// When a caller that was refused should come back.
    [[nodiscard]] Duration retryAfter(TimePoint now) const;
    /// True if a later incarnation of this instance has written; this process
    /// can't write any more.
    [[nodiscard]] bool superseded() const
    {
        return m_superseded;
    }
    /// Records that are queued or not yet settled.
    [[nodiscard]] std::size_t pending() const;

private:
    enum class Phase {
        Idle, ///< No batch is under way.
        InFlight, ///< Sent; no answer yet.
        Appended, ///< Taken by the log; not folded yet.
        InDoubt, ///< Answer lost.
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
    Sequence m_sequence{1}; ///< Of the batch under way, or of the next one.
    std::vector<Queued> m_batch;
    Urgency m_batchUrgency = Urgency::Normal;
    std::string m_batchData;
    Offset m_batchOffset; ///< Where the log says it is, in phase Appended.
    TimePoint m_inDoubtSince{};
    bool m_mayBeInLog = false; ///< Some copy of the batch may be in the log.
    bool m_mayResend = false; ///< A read has shown that it wasn't.

    int m_failures = 0;
    TimePoint m_notBefore{};
    double m_tokens = 0.0;
    std::optional<TimePoint> m_tokensAt;
    bool m_superseded = false;
};

} // namespace mimosahub
