#pragma once

#include "control/decision.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace mimosahub
{

/// The result of an order to an endpoint.
struct EndpointOrderResult {
    RecordPosition position; ///< Position of the EndpointOrderDone.
    bool succeeded = false;
    std::string result;

    friend bool operator==(const EndpointOrderResult &, const EndpointOrderResult &) = default;
};

/// One order to an endpoint and, once it is done, its result.
struct EndpointOrderState {
    EndpointOrder order;
    std::optional<EndpointOrderResult> done;

    friend bool operator==(const EndpointOrderState &, const EndpointOrderState &) = default;
};

/// Orders to endpoints, by position. The holder of the endpoint's lease executes
/// them in that sequence; the first result recorded for an order is final.
class EndpointOrderTable
{
public:
    static constexpr std::size_t kMaxPending = 1024;
    /// Number of results kept for operators to read; the oldest is evicted first.
    static constexpr std::size_t kMaxDone = 256;

    /// \a serviceKnown: whether the configuration contains the order's service.
    Decision apply(const EndpointOrder &order, const RecordContext &context, bool serviceKnown);
    Decision apply(const EndpointOrderDone &done, const RecordContext &context);

    [[nodiscard]] const std::map<RecordPosition, EndpointOrderState> &orders() const
    {
        return m_orders;
    }

    template<class Archive>
    friend void describe(Archive &archive, EndpointOrderTable &it)
    {
        archive.field("orders", it.m_orders);
        if constexpr (Archive::kReading) {
            it.countPending();
        }
    }
    friend bool operator==(const EndpointOrderTable &, const EndpointOrderTable &) = default;

private:
    void countPending();
    void evictOldestDone();

    std::map<RecordPosition, EndpointOrderState> m_orders;
    std::size_t m_pending = 0; ///< Derived from m_orders.
};

template<class Archive>
void describe(Archive &archive, EndpointOrderResult &it)
{
    archive.field("position", it.position);
    archive.field("succeeded", it.succeeded);
    archive.field("result", it.result, kMaxTextBytes);
}

template<class Archive>
void describe(Archive &archive, EndpointOrderState &it)
{
    archive.field("order", it.order);
    archive.field("done", it.done);
}

} // namespace mimosahub
