// One batch is in flight at a time. This keeps the sequences in order in the
// log, bounds how much can be in doubt, and makes batches larger under load:
// while one is in flight, records queue up for the next. A sequence is used up
// only by a batch that may be in the log: after a refusal of a batch of which no
// copy can be in the log, the next batch uses the same sequence.

#include "control/log_writer.h"

#include "mimosahub/error.h"

#include <algorithm>

namespace mimosahub
{

LogWriter::LogWriter(LogWriterOptions options, std::uint64_t seed)
    : m_options(std::move(options)), m_random(seed), m_tokens(m_options.appendBurst)
{
}

absl::StatusOr<Ticket> LogWriter::enqueue(const Record &record, TimePoint deadline, TimePoint now, Urgency urgency)
{
    if (m_superseded) {
        return errorAt(absl::StatusCode::kFailedPrecondition, Step::Append, "",
                       "a later incarnation of this instance has written");
    }
    if (down(now)) {
        return errorAt(absl::StatusCode::kUnavailable, Step::Append, "", "the log is not accepting appends");
    }
    auto &queue = m_queues.at(static_cast<std::size_t>(urgency));
    if (queue.size() >= m_options.maxQueued) {
        return errorAt(absl::StatusCode::kUnavailable, Step::Append, "", "too many records are queued for the log");
    }
    auto data = encodeRecord(record);
    constexpr std::size_t kEnvelopeBytes = 1024;
    if (data.size() > kMaxBatchBytes - kEnvelopeBytes) {
        return errorAt(absl::StatusCode::kInvalidArgument, Step::Append, "", "the record is too long");
    }
    // A record that readers can't decode could make its whole batch unreadable.
    if (const auto decoded = decodeRecord(data); !decoded.ok()) {
        return errorAt(absl::StatusCode::kInvalidArgument, Step::Append, "", std::string(decoded.status().message()));
    }
    m_lastTicket = m_lastTicket.next();
    queue.push_back({m_lastTicket, std::move(data), now, deadline});
    return m_lastTicket;
}

std::optional<AppendRequest> LogWriter::tick(TimePoint now, WallTime wallTime)
{
    refillTokens(now);
    const auto time = sendTime(now);
    if (!time || now < *time) {
        return std::nullopt;
    }
    if (m_phase == Phase::Idle) {
        startBatch(wallTime);
    }
    return send();
}

std::vector<TicketOutcome> LogWriter::expire(TimePoint now)
{
    std::vector<TicketOutcome> outcomes;
    for (auto &queue : m_queues) {
        std::erase_if(queue, [&](const Queued &it) {
            if (it.deadline > now) {
                return false;
            }
            outcomes.push_back({it.ticket, AppendResolution::NotAppended, {}, retryAfter(now)});
            return true;
        });
    }
    return outcomes;
}

std::optional<TimePoint> LogWriter::nextTick(TimePoint now) const
{
    auto time = sendTime(now);
    for (const auto &queue : m_queues) {
        for (const auto &it : queue) {
            time = time ? std::min(*time, it.deadline) : it.deadline;
        }
    }
    return time;
}

void LogWriter::onAppended(Sequence sequence, Offset offset)
{
    if (!isCurrent(sequence)) {
        return;
    }
    m_phase = Phase::Appended;
    m_batchOffset = offset;
    m_failures = 0;
    m_notBefore = {};
}

void LogWriter::onAppendLost(Sequence sequence, TimePoint now)
{
    if (!isCurrent(sequence)) {
        return;
    }
    m_phase = Phase::InDoubt;
    m_inDoubtSince = now;
    m_mayBeInLog = true;
    m_mayResend = false;
    backOff(now, std::nullopt);
}

void LogWriter::onAppendRefused(Sequence sequence, TimePoint now, std::optional<Duration> retryAfter)
{
    if (!isCurrent(sequence)) {
        return;
    }
    backOff(now, retryAfter);
    if (m_mayBeInLog) {
        // An earlier copy may still be appended, so the batch must not be split up.
        m_phase = Phase::InDoubt;
        m_inDoubtSince = now;
        m_mayResend = false;
        return;
    }
    requeue();
}

std::vector<TicketOutcome> LogWriter::onApplied(const AppliedBatch &batch, TimePoint now)
{
    const auto &header = batch.header;
    const bool mine = header && header->writer == m_options.writer && header->incarnation == m_options.incarnation;
    if (header && header->writer == m_options.writer && header->incarnation > m_options.incarnation) {
        m_superseded = true;
    }
    if (m_phase == Phase::Idle) {
        return {};
    }
    if (mine && header->sequence == m_sequence) {
        return batch.firstOffset ? resolveWithoutVerdicts(*batch.firstOffset) : resolve(batch);
    }
    if (m_phase == Phase::Appended && batch.offset >= m_batchOffset) {
        // The log returned an offset that holds another append.
        m_phase = Phase::InDoubt;
        m_inDoubtSince = now;
        m_mayBeInLog = true;
        m_mayResend = false;
    }
    return {};
}

std::vector<TicketOutcome> LogWriter::onRestored(const ControlState &state, TimePoint now)
{
    if (m_phase == Phase::Idle) {
        return {};
    }
    if (const auto offset = state.appendOffset(m_options.writer, m_options.incarnation, m_sequence)) {
        return resolveWithoutVerdicts(*offset);
    }
    if (m_phase == Phase::Appended && state.appliedOffset() >= m_batchOffset) {
        m_phase = Phase::InDoubt;
        m_inDoubtSince = now;
        m_mayBeInLog = true;
        m_mayResend = false;
    }
    return {};
}

void LogWriter::onHeadRead(TimePoint started)
{
    if (m_phase == Phase::InDoubt && started >= m_inDoubtSince) {
        m_mayResend = true;
    }
}

bool LogWriter::down(TimePoint now) const
{
    return m_failures >= m_options.downAfterFailures && (m_phase == Phase::InDoubt || now < m_notBefore);
}

Duration LogWriter::retryAfter(TimePoint now) const
{
    return std::max(m_notBefore - now, m_options.retry.first);
}

std::size_t LogWriter::pending() const
{
    return m_batch.size() + m_queues[0].size() + m_queues[1].size();
}

LogWriter::Queue *LogWriter::nextQueue()
{
    const auto it = std::find_if(m_queues.begin(), m_queues.end(), [](const Queue &queue) { return !queue.empty(); });
    return it == m_queues.end() ? nullptr : &*it;
}

const LogWriter::Queue *LogWriter::nextQueue() const
{
    return const_cast<LogWriter *>(this)->nextQueue();
}

std::size_t LogWriter::batchSize(const Queue &queue) const
{
    std::size_t n = 0;
    std::size_t bytes = 0;
    for (const auto &it : queue) {
        bytes += it.data.size() + 1;
        if (n == m_options.maxBatchRecords || (n > 0 && bytes > m_options.maxBatchBytes)) {
            break;
        }
        ++n;
    }
    return n;
}

std::optional<TimePoint> LogWriter::sendTime(TimePoint now) const
{
    const auto earliest = std::max(m_notBefore, tokenTime(now));
    if (m_phase == Phase::InDoubt && m_mayResend) {
        return earliest;
    }
    const auto *queue = nextQueue();
    if (m_phase != Phase::Idle || !queue || m_superseded) {
        return std::nullopt;
    }
    const bool full = batchSize(*queue) < queue->size() || queue->size() >= m_options.maxBatchRecords;
    return full ? earliest : std::max(earliest, queue->front().queuedAt + m_options.linger);
}

TimePoint LogWriter::tokenTime(TimePoint now) const
{
    const double missing = 1.0 - m_tokens;
    if (missing <= 0.0 || !m_tokensAt) {
        return now;
    }
    const double seconds = missing / m_options.appendsPerSecond;
    return *m_tokensAt + std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

bool LogWriter::isCurrent(Sequence sequence) const
{
    return m_phase == Phase::InFlight && sequence == m_sequence;
}

void LogWriter::refillTokens(TimePoint now)
{
    if (m_tokensAt) {
        const double seconds = std::chrono::duration<double>(now - *m_tokensAt).count();
        m_tokens = std::min(m_options.appendBurst, m_tokens + seconds * m_options.appendsPerSecond);
    }
    m_tokensAt = now;
}

void LogWriter::startBatch(WallTime wallTime)
{
    auto &queue = *nextQueue();
    m_batchUrgency = &queue == m_queues.data() ? Urgency::Normal : Urgency::Background;
    const auto end = queue.begin() + static_cast<std::ptrdiff_t>(batchSize(queue));
    m_batch.assign(std::move_iterator(queue.begin()), std::move_iterator(end));
    queue.erase(queue.begin(), end);
    std::vector<std::string> records;
    records.reserve(m_batch.size());
    for (const auto &it : m_batch) {
        records.push_back(it.data);
    }
    m_batchData = encodeBatch({m_options.writer, m_options.incarnation, m_sequence, wallTime}, records);
}

AppendRequest LogWriter::send()
{
    m_tokens -= 1.0;
    m_phase = Phase::InFlight;
    m_mayResend = false;
    return {m_sequence, m_batchData};
}

void LogWriter::requeue()
{
    auto &queue = m_queues.at(static_cast<std::size_t>(m_batchUrgency));
    queue.insert(queue.begin(), std::move_iterator(m_batch.begin()), std::move_iterator(m_batch.end()));
    m_batch.clear();
    m_phase = Phase::Idle;
}

void LogWriter::backOff(TimePoint now, std::optional<Duration> retryAfter)
{
    const auto delay = backoffDelay(m_options.retry, ++m_failures, m_random);
    m_notBefore = now + std::max(delay, retryAfter.value_or(Duration::zero()));
}

std::vector<TicketOutcome> LogWriter::resolve(const AppliedBatch &batch)
{
    std::vector<TicketOutcome> outcomes;
    for (std::size_t i = 0; i < m_batch.size(); ++i) {
        // An append that is rejected as a whole has one verdict for all of its records.
        const auto &verdict = batch.verdicts.at(std::min(i, batch.verdicts.size() - 1));
        const auto resolution = verdict.accepted() ? AppendResolution::Accepted : AppendResolution::Rejected;
        m_superseded = m_superseded || verdict.rejection == Rejection::StaleIncarnation;
        outcomes.push_back({m_batch[i].ticket, resolution, verdict, Duration::zero()});
    }
    finishBatch();
    return outcomes;
}

std::vector<TicketOutcome> LogWriter::resolveWithoutVerdicts(Offset offset)
{
    std::vector<TicketOutcome> outcomes;
    for (std::size_t i = 0; i < m_batch.size(); ++i) {
        Verdict verdict;
        verdict.position = {offset, static_cast<std::uint32_t>(i)};
        outcomes.push_back({m_batch[i].ticket, AppendResolution::VerdictLost, std::move(verdict), Duration::zero()});
    }
    finishBatch();
    return outcomes;
}

void LogWriter::finishBatch()
{
    m_batch.clear();
    m_batchData.clear();
    m_phase = Phase::Idle;
    m_sequence = m_sequence.next();
    m_mayBeInLog = false;
    m_mayResend = false;
    m_failures = 0;
    m_notBefore = {};
}

} // namespace mimosahub
