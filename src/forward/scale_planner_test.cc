// Replays of loads: one value of requests in flight for each half second.

#include "forward/scale_planner.h"

#include <rapidcheck.h>

#include <functional>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

constexpr int kSlots = 10;
const TimePoint kStart{1h};
const ServiceId kService("engine");

/// A zone whose endpoints start \a boot after they were ordered; load that they can't take waits
/// unseen at the callers.
class Replay
{
public:
    explicit Replay(int endpoints, Duration boot = 8s) : m_endpoints(endpoints), m_boot(boot)
    {
    }

    void run(Duration time, const std::function<double(double)> &load)
    {
        for (const auto end = m_now + time; m_now < end; m_now += 500ms) {
            while (!m_booting.empty() && m_booting.front().first <= m_now) {
                m_endpoints = std::max(m_endpoints, m_booting.front().second);
                m_booting.pop_front();
            }
            const double seconds = std::chrono::duration<double>(m_now - kStart).count();
            const double wanted = load(seconds);
            const auto carried = std::min(wanted, static_cast<double>(m_endpoints * kSlots));
            missed += wanted - carried;
            planner.observe(
                {kService, ZoneId("z1"), {5, 60, m_boot}, kSlots, m_endpoints, static_cast<std::uint64_t>(carried)},
                m_now);
            for (const auto &order : planner.due(m_now)) {
                cr_assert(order.desired >= 5 && order.desired <= 60);
                cr_assert(order.desired * kSlots >= static_cast<int>(carried), "below what is in use");
                planner.sent(order, true, false, m_now);
                orders.push_back(order.desired);
                m_booting.emplace_back(m_now + m_boot, order.desired);
                if (order.desired < m_endpoints) {
                    m_endpoints = order.desired;
                    m_booting.clear();
                }
            }
        }
    }
    [[nodiscard]] int endpoints() const
    {
        return m_endpoints;
    }

    ScalePlanner planner;
    std::vector<int> orders;
    double missed = 0.0;

private:
    TimePoint m_now = kStart;
    int m_endpoints;
    Duration m_boot;
    std::deque<std::pair<TimePoint, int>> m_booting;
};

} // namespace

Test(scale_planner, nothing_is_ordered_before_a_load_is_known)
{
    Replay replay(30);
    replay.run(2500ms, [](double) { return 290.0; });
    cr_assert(replay.orders.empty());
}

Test(scale_planner, a_steady_load_changes_nothing_for_half_a_minute_and_settles_then)
{
    Replay replay(30);
    replay.run(25s, [](double) { return 150.0; });
    cr_assert(replay.orders.empty(), "a fall is not followed at once");
    replay.run(60s, [](double) { return 150.0; });
    cr_assert_eq(replay.orders.size(), 1);
    cr_assert_eq(replay.endpoints(), 22);
}

Test(scale_planner, a_burst_is_followed_at_once_and_does_not_flap)
{
    Replay replay(30);
    replay.run(10s, [](double) { return 190.0; });
    replay.run(6s, [](double) { return 290.0; });
    cr_assert(not replay.orders.empty() && replay.orders.back() >= 42);
    const auto before = replay.orders.size();
    replay.run(20s, [](double) { return 190.0; });
    cr_assert_eq(replay.orders.size(), before, "the burst may come again");
}

Test(scale_planner, a_slow_rise_is_met_before_it_comes)
{
    Replay replay(20);
    replay.run(60s, [](double seconds) { return 130.0 + 5.0 * seconds; });
    cr_assert(replay.missed < 1.0, "%f were missed", replay.missed);
}

Test(scale_planner, a_fall_is_followed_and_never_below_the_least_number)
{
    Replay replay(40);
    replay.run(10s, [](double) { return 280.0; });
    replay.run(120s, [](double) { return 3.0; });
    cr_assert_eq(replay.endpoints(), 5);
}

Test(scale_planner, load_of_a_lost_zone_is_taken_up)
{
    Replay replay(30);
    replay.run(20s, [](double) { return 200.0; });
    replay.run(30s, [](double) { return 300.0; });
    cr_assert(replay.endpoints() >= 43, "%d", replay.endpoints());
}

Test(scale_planner, full_endpoints_hide_load_that_is_found_by_growth)
{
    Replay replay(10, 20s);
    replay.run(120s, [](double) { return 400.0; });
    cr_assert(replay.endpoints() >= 57, "%d", replay.endpoints());
}

// A call without a response may be carried out after a newer one.
Test(scale_planner, a_lost_order_is_repeated)
{
    ScalePlanner planner;
    ScaleState state{kService, ZoneId("z1"), {5, 60, 8s}, kSlots, 10, 95};
    auto now = kStart;
    for (int i = 0; i < 10; ++i, now += 500ms) {
        planner.observe(state, now);
    }
    const auto orders = planner.due(now);
    cr_assert_eq(orders.size(), 1);
    planner.sent(orders[0], false, true, now);
    cr_assert(planner.due(now + 1s).empty());
    cr_assert(planner.due(now + 6s) == orders);
    planner.sent(orders[0], true, false, now + 6s);
    cr_assert(planner.due(now + 20s).empty());
}

Test(scale_planner, orders_stay_within_the_bounds_and_above_what_is_in_use)
{
    const bool holds = rc::check("bounds", [] {
        const int min = *rc::gen::inRange(0, 20);
        const int max = min + *rc::gen::inRange(0, 50);
        ScalePlanner planner;
        auto now = kStart;
        for (int i = 0; i < 200; ++i, now += 500ms) {
            const auto inFlight = *rc::gen::inRange<std::uint64_t>(0, 900);
            planner.observe({kService, ZoneId("z1"), {min, max, 8s}, kSlots, *rc::gen::inRange(0, 60), inFlight}, now);
            for (const auto &order : planner.due(now)) {
                RC_ASSERT(order.desired >= min && order.desired <= max);
                RC_ASSERT(order.desired == max || static_cast<std::uint64_t>(order.desired) * kSlots >= inFlight);
                planner.sent(order, *rc::gen::arbitrary<bool>(), false, now);
            }
        }
    });
    cr_assert(holds);
}
