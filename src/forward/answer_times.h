#pragma once

#include "forward/gateway_configuration.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>

/// Limits above which an answer counts as several times slower than usual.
namespace mimosahub
{

/// Times of one answer.
struct AnswerTimes {
    Duration first{}; ///< From the send to the answer or its first event.
    std::optional<Duration> gap; ///< Mean time between events, if there were several.
};

/// Limits by route, from the newest answers that were recorded. Not thread-safe.
class SlowLimits
{
public:
    /// Adds an answer of a version that serves as the baseline.
    void record(const RouteId &route, const AnswerTimes &times);
    /// Whether the answer is slow; absent while too few answers of the route were recorded.
    [[nodiscard]] std::optional<bool> isSlow(const RouteId &route, const AnswerTimes &times) const;
    /// The time to the first byte above which an answer is slow; absent as above.
    [[nodiscard]] std::optional<Duration> firstLimit(const RouteId &route) const;

private:
    /// The newest values of one kind, in no order.
    class Window
    {
    public:
        void add(Duration value);
        [[nodiscard]] std::optional<Duration> limit() const;

    private:
        static constexpr std::size_t kSize = 64;
        std::array<Duration, kSize> m_values{};
        std::size_t m_count = 0; ///< Of all values that were added.
    };
    struct Route {
        Window first;
        Window gap;
    };

    std::map<RouteId, Route> m_routes;
};

} // namespace mimosahub
