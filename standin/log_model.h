#pragma once

#include "base/random.h"
#include "mimosahub/clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace mimosahub::standin
{

/// Behaviour of the platform's log that tests switch.
struct LogFaults {
    bool down = false; ///< Every call is refused.
    double loseAnswers = 0; ///< Fraction of appends that take effect but whose answer is lost.
    double loseAppends = 0; ///< Fraction of appends that are dropped before they take effect.
    Duration delay{0}; ///< Added to every call.
};

/// Limits of the platform's log.
struct LogLimits {
    std::size_t retainedRecords = 100000; ///< Older records expire.
    double appendsPerSecond = 400;
    std::size_t maxRecordBytes = std::size_t(256) * 1024;
};

/// What became of one append.
enum class AppendResult {
    Appended,
    AnswerLost, ///< Took effect; the caller must not hear of it.
    Dropped, ///< Did not take effect; the caller must not hear of it.
    RateLimited,
    TooLarge,
    Down,
};

/// One retained record.
struct LogRecord {
    std::uint64_t offset = 0;
    std::string data;
};

/// The platform's append-only log: offsets from 1, limited retention, a rate
/// limit by token bucket, outages, and answers that are lost after the append
/// took effect.
class LogModel
{
public:
    LogModel(const Clock &clock, LogLimits limits, std::uint64_t seed);

    /// Appends \a data; \a offset is set when it took effect.
    AppendResult append(std::string data, std::uint64_t &offset);
    /// Up to \a limit records from \a from on, of those retained.
    [[nodiscard]] std::vector<LogRecord> read(std::uint64_t from, std::size_t limit) const;
    /// Offset of the oldest retained record; head() + 1 when there is none.
    [[nodiscard]] std::uint64_t first() const;
    /// Offset of the newest record; 0 when none was ever appended.
    [[nodiscard]] std::uint64_t head() const
    {
        return m_head;
    }
    /// Expires all records below \a offset.
    void truncate(std::uint64_t offset);

    LogFaults &faults()
    {
        return m_faults;
    }
    LogLimits &limits()
    {
        return m_limits;
    }

private:
    bool takeToken();

    const Clock &m_clock;
    LogLimits m_limits;
    LogFaults m_faults;
    Random m_random;
    std::deque<LogRecord> m_records;
    std::uint64_t m_head = 0;
    double m_tokens = 0;
    TimePoint m_refilled;
};

} // namespace mimosahub::standin
