// A token bucket that is filled by traffic and time. The number of retries is at
// most fraction * traffic + perSecond * time + burst, whatever fails.

#include "request/retry_budget.h"

#include <algorithm>

namespace mimosahub
{

RetryBudget::RetryBudget(const RetryBudgetOptions &options) : m_options(options), m_tokens(options.burst)
{
}

void RetryBudget::setOptions(const RetryBudgetOptions &options, TimePoint now)
{
    m_tokens = std::min(options.burst, tokensAt(now));
    m_filledAt = m_filledAt ? std::max(*m_filledAt, now) : m_filledAt;
    m_options = options;
}

void RetryBudget::deposit()
{
    m_tokens = std::min(m_options.burst, m_tokens + m_options.fraction);
}

double RetryBudget::tokensAt(TimePoint now) const
{
    if (!m_filledAt || now <= *m_filledAt) {
        return m_tokens;
    }
    const double seconds = std::chrono::duration<double>(now - *m_filledAt).count();
    return std::min(m_options.burst, m_tokens + seconds * m_options.perSecond);
}

bool RetryBudget::available(TimePoint now) const
{
    return tokensAt(now) >= 1.0;
}

bool RetryBudget::tryTake(TimePoint now)
{
    m_tokens = tokensAt(now);
    m_filledAt = m_filledAt ? std::max(*m_filledAt, now) : now;
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

void RetryBudget::giveBack()
{
    m_tokens = std::min(m_options.burst, m_tokens + 1.0);
}

std::unique_ptr<ReservedRetry> ReservedRetry::tryTake(RetryBudget &budget, TimePoint now)
{
    return budget.tryTake(now) ? std::unique_ptr<ReservedRetry>(new ReservedRetry(budget)) : nullptr;
}

ReservedRetry::~ReservedRetry()
{
    if (!m_spent) {
        m_budget.giveBack();
    }
}

} // namespace mimosahub
