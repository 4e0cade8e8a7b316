// Simulates three executors, a log and one endpoint under a random scheduler,
// with pauses, slow and lost deliveries, lost responses and daemons that apply
// the log late.

#include "base/random.h"
#include "control/endpoint_order_table.h"
#include "control/order_executor.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>
#include <functional>
#include <map>

using namespace mimosahub;

namespace
{

constexpr Duration kStep = std::chrono::milliseconds(20);
constexpr Duration kFaultyTime = std::chrono::seconds(40);
constexpr Duration kTotalTime = std::chrono::seconds(200);
constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
constexpr std::uint64_t kSimulations = 8; ///< Simulations for each case, since overlapping holders are rare.
const EndpointId kEndpoint("e");

struct Entry {
    BatchHeader header;
    Record record;
    std::uint64_t tag = 0;
};

struct Effect {
    RecordPosition order;
    FencingNumber fencing;
};

struct Node {
    BatchHeader header;
    OrderExecutor executor;
    LeaseTable leases;
    EndpointOrderTable orders;
    std::size_t appliedCount = 0;
    TimePoint pausedUntil{};
    TimePoint cutUntil{}; ///< Until then the node reaches the endpoint, but not the log.
    std::multimap<TimePoint, std::function<void()>> inbox; ///< Each runs at its time, or later if the node is paused.
    std::map<std::uint64_t, std::function<void(std::optional<Offset>)>> waiting; ///< Callbacks of appends, by tag.
};

class Simulation
{
public:
    Simulation(std::uint64_t seed, bool checksFencing) : m_random(seed), m_checksFencing(checksFencing)
    {
        for (const auto *name : {"a", "b", "c"}) {
            const BatchHeader header{InstanceId(name), Incarnation(1), Sequence(1), {}};
            m_nodes.push_back(
                {header, OrderExecutor(kEndpoint, header.writer, header.incarnation, {}), {}, {}, 0, {}, {}, {}, {}});
        }
    }

    void run()
    {
        for (; m_now < TimePoint() + kTotalTime; m_now += kStep) {
            if (faulty() && m_random.below(50) == 0) {
                m_log.push_back({m_nodes[0].header, EndpointOrder{kEndpoint, ServiceId("s"), {}, "m", "op"}, 0});
                ++m_ordered;
            }
            drain(m_network);
            for (auto &node : m_nodes) {
                runNode(node);
            }
        }
    }

    void check()
    {
        std::map<RecordPosition, int> times;
        for (std::size_t i = 0; i < m_effects.size(); ++i) {
            ++times[m_effects[i].order];
            // RC_ASSERT evaluates both sides of ||, so the first effect is excluded here.
            if (i > 0) {
                RC_ASSERT(m_effects[i - 1].fencing <= m_effects[i].fencing);
                RC_ASSERT(m_effects[i - 1].order <= m_effects[i].order);
            }
        }
        const auto &orders = m_nodes[0].orders.orders();
        RC_ASSERT(orders.size() == m_ordered);
        for (const auto &[position, order] : orders) {
            RC_ASSERT(order.done.has_value());
            RC_ASSERT(order.done->succeeded);
            // An endpoint that checks fencing numbers may accept an old holder's
            // send of the same order just before the new holder's.
            RC_ASSERT(times[position] == 1 || (m_checksFencing && times[position] > 1));
        }
    }

private:
    bool faulty() const
    {
        return m_now < TimePoint() + kFaultyTime;
    }
    bool faultOccurs(std::uint64_t oneIn)
    {
        return faulty() && m_random.below(oneIn) == 0;
    }
    Duration upTo(Duration longest)
    {
        return std::chrono::milliseconds(m_random.below(std::uint64_t(longest / std::chrono::milliseconds(1)) + 1));
    }
    void drain(std::multimap<TimePoint, std::function<void()>> &queue)
    {
        while (!queue.empty() && queue.begin()->first <= m_now) {
            queue.extract(queue.begin()).mapped()();
        }
    }

    void runNode(Node &node)
    {
        if (m_now < node.pausedUntil) {
            return;
        }
        const bool tickFirst = m_random.below(2) == 0;
        if (tickFirst) {
            tick(node);
        }
        drain(node.inbox);
        if (m_now >= node.cutUntil && m_random.below(3) == 0) {
            applyLog(node);
        }
        if (!tickFirst) {
            tick(node);
        }
        if (faultOccurs(60)) {
            auto &until = m_random.below(2) == 0 ? node.pausedUntil : node.cutUntil;
            until = m_now + upTo(std::chrono::seconds(6));
        }
    }

    void applyLog(Node &node)
    {
        while (node.appliedCount < m_log.size()) {
            const auto &entry = m_log[node.appliedCount++];
            const Offset offset(node.appliedCount);
            const RecordContext context{entry.header, {offset, 0}};
            const bool accepted = std::visit([&](const auto &it) { return apply(node, it, context); }, entry.record);
            if (const auto it = node.waiting.extract(entry.tag); it && entry.header == node.header) {
                it.mapped()(accepted ? std::optional(offset) : std::nullopt);
            }
        }
        OrderView view{node.leases.lease(OrderExecutor::leaseName(kEndpoint)), std::nullopt, m_checksFencing, true};
        for (const auto &[position, order] : node.orders.orders()) {
            if (!order.done) {
                view.pending = position;
                break;
            }
        }
        node.executor.setView(view, m_now);
    }
    template<typename T>
    static bool apply(Node &node, const T &record, const RecordContext &context)
    {
        if constexpr (std::is_same_v<T, EndpointOrder>) {
            return node.orders.apply(record, context, true).accepted();
        } else if constexpr (std::is_same_v<T, EndpointOrderDone>) {
            return node.orders.apply(record, context).accepted();
        } else if constexpr (requires { node.leases.apply(record, context); }) {
            return node.leases.apply(record, context).accepted();
        }
        return false;
    }

    void tick(Node &node)
    {
        for (const auto &action : node.executor.tick(m_now, upTo(std::chrono::seconds(1)))) {
            std::visit([&](const auto &it) { perform(node, it); }, action);
        }
    }
    void append(Node &node, const Record &record, std::function<void(std::optional<Offset>)> resolved)
    {
        if (m_now < node.cutUntil || faultOccurs(8)) {
            node.inbox.emplace(m_now + upTo(kCallTimeout), [resolved] { resolved(std::nullopt); });
            return;
        }
        const auto tag = ++m_tag;
        node.waiting[tag] = std::move(resolved);
        m_network.emplace(m_now + upTo(kCallTimeout), [this, &node, record, tag] {
            m_log.push_back({node.header, record, tag});
        });
    }
    void perform(Node &node, const AppendLease &action)
    {
        append(node, action.record, [&](auto offset) { node.executor.onLeaseResolved(offset, m_now); });
    }
    void perform(Node &node, const AppendOrderDone &action)
    {
        append(node, action.record, [&](auto) { node.executor.onDoneResolved(m_now); });
    }
    void perform(Node &node, const ReadLastOrder &)
    {
        m_network.emplace(m_now + upTo(kCallTimeout), [this, &node] {
            const auto last = m_effects.empty() ? std::nullopt : std::optional(m_effects.back().order);
            const bool read = !faultOccurs(8);
            node.inbox.emplace(m_now, [this, &node, last, read] { node.executor.onReadEnded(read, last, m_now); });
        });
    }
    void perform(Node &node, const SendOrder &action)
    {
        // A connection is opened first; the node may pause in the meantime.
        node.inbox.emplace(m_now + upTo(kCallTimeout), [this, &node, action] {
            if (node.executor.maySend(action, m_now)) {
                deliver(node, action);
            } else {
                node.executor.onSendEnded(SendResult::NotSent, m_now);
            }
        });
    }
    void deliver(Node &node, const SendOrder &send)
    {
        const auto deliveryDelay = faultOccurs(2) ? kMaxDeliveryTime - upTo(kCallTimeout) : upTo(kCallTimeout / 2);
        const bool answered = deliveryDelay < kCallTimeout && !faultOccurs(4);
        const bool lost = !answered && faultOccurs(4);
        if (!answered) {
            node.inbox.emplace(m_now + kCallTimeout,
                               [this, &node] { node.executor.onSendEnded(SendResult::Unknown, m_now); });
        }
        if (lost) {
            return;
        }
        m_network.emplace(m_now + deliveryDelay, [this, &node, send, answered] {
            const bool stale = m_checksFencing && send.fencing < m_lastFencing;
            if (!stale) {
                m_lastFencing = send.fencing;
                m_effects.push_back({send.order, send.fencing});
            }
            if (answered) {
                const auto result = stale ? SendResult::Stale : SendResult::Acknowledged;
                node.inbox.emplace(m_now, [this, &node, result] { node.executor.onSendEnded(result, m_now); });
            }
        });
    }

    Random m_random;
    bool m_checksFencing;
    TimePoint m_now{};
    std::vector<Node> m_nodes;
    std::vector<Entry> m_log;
    std::uint64_t m_tag = 0;
    std::size_t m_ordered = 0;
    std::multimap<TimePoint, std::function<void()>> m_network;
    std::vector<Effect> m_effects;
    FencingNumber m_lastFencing;
};

} // namespace

Test(order_executor, no_old_holder_has_effect_after_a_new_one_and_each_order_ends_done)
{
    cr_assert(rc::check([](std::uint64_t seed, bool checksFencing) {
        for (std::uint64_t i = 0; i < kSimulations; ++i) {
            Simulation simulation(seed * kSimulations + i, checksFencing);
            simulation.run();
            simulation.check();
        }
    }));
}
