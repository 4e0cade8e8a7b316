#pragma once

#include "mimosahub/clock.h"

#include <memory>
#include <optional>

namespace mimosahub
{

/// Limits of retries and hedges.
struct RetryBudgetOptions {
    double fraction = 0.1; ///< Retries and hedges allowed for each first attempt.
    double perSecond = 0.5; ///< Additional retries per second, so that a service with little traffic can retry.
    double burst = 10; ///< Capacity of the bucket in tokens.
};

/// Limits retries and hedges to a fraction of a service's traffic, so that retries
/// don't overload a failing service. A token bucket: first attempts and time fill
/// it, each retry takes one token.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options = {});

    /// Replaces the limits; what was taken already still counts.
    void setOptions(const RetryBudgetOptions &options, TimePoint now);
    /// Counts a first attempt.
    void deposit();
    /// Whether tryTake() would succeed.
    [[nodiscard]] bool available(TimePoint now) const;
    /// Takes a token for a retry or hedge; false if there is none.
    [[nodiscard]] bool tryTake(TimePoint now);
    /// Returns a token that was taken for a retry that was not made.
    void giveBack();

private:
    [[nodiscard]] double tokensAt(TimePoint now) const;

    RetryBudgetOptions m_options;
    double m_tokens;
    std::optional<TimePoint> m_filledAt; // Absent before the first use.
};

/// A token of a retry budget that is held for a retry that may become necessary; it
/// goes back unless the retry is made.
class ReservedRetry
{
public:
    /// Null if \a budget, which must outlive the token, has none.
    [[nodiscard]] static std::unique_ptr<ReservedRetry> tryTake(RetryBudget &budget, TimePoint now);
    ~ReservedRetry();
    ReservedRetry(const ReservedRetry &) = delete;
    ReservedRetry &operator=(const ReservedRetry &) = delete;

    /// The retry is made.
    void spend()
    {
        m_spent = true;
    }

private:
    explicit ReservedRetry(RetryBudget &budget) : m_budget(budget)
    {
    }

    RetryBudget &m_budget;
    bool m_spent = false;
};

} // namespace mimosahub
