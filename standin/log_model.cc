// A deque of records and a token bucket. Losing an answer is decided after the
// record was appended, so that a caller which retries blindly doubles it.

#include "standin/log_model.h"

#include <algorithm>

namespace mimosahub::standin
{

LogModel::LogModel(const Clock &clock, LogLimits limits, std::uint64_t seed)
    : m_clock(clock), m_limits(limits), m_random(seed), m_tokens(limits.appendsPerSecond), m_refilled(clock.now())
{
}

bool LogModel::takeToken()
{
    const auto now = m_clock.now();
    const std::chrono::duration<double> passed = now - m_refilled;
    m_refilled = now;
    m_tokens = std::min(m_limits.appendsPerSecond, m_tokens + passed.count() * m_limits.appendsPerSecond);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

AppendResult LogModel::append(std::string data, std::uint64_t &offset)
{
    if (m_faults.down) {
        return AppendResult::Down;
    }
    if (data.size() > m_limits.maxRecordBytes) {
        return AppendResult::TooLarge;
    }
    if (!takeToken()) {
        return AppendResult::RateLimited;
    }
    if (m_random.uniform() < m_faults.loseAppends) {
        return AppendResult::Dropped;
    }
    offset = ++m_head;
    m_records.push_back({offset, std::move(data)});
    while (m_records.size() > m_limits.retainedRecords) {
        m_records.pop_front();
    }
    return m_random.uniform() < m_faults.loseAnswers ? AppendResult::AnswerLost : AppendResult::Appended;
}

std::vector<LogRecord> LogModel::read(std::uint64_t from, std::size_t limit) const
{
    std::vector<LogRecord> result;
    const auto begin = std::max(from, first());
    for (auto offset = begin; offset <= m_head && result.size() < limit; ++offset) {
        result.push_back(m_records[offset - first()]);
    }
    return result;
}

std::uint64_t LogModel::first() const
{
    return m_records.empty() ? m_head + 1 : m_records.front().offset;
}

void LogModel::truncate(std::uint64_t offset)
{
    while (!m_records.empty() && m_records.front().offset < offset) {
        m_records.pop_front();
    }
}

} // namespace mimosahub::standin
