#pragma once

#include "config/settings.h"
#include "control/order_executor.h"
#include "daemon/log_loop.h"
#include "http/connection_pool.h"
#include "http/wake_timer.h"
#include "logservice/log_service.h"
#include "peer/membership.h"

#include <map>
#include <memory>

namespace mimosahub
{

/// Carries out orders to endpoints: runs one OrderExecutor for each endpoint
/// that has orders against the log and the network. Everything happens on the
/// control thread.
class OrderLoop
{
public:
    /// All arguments must outlive the loop.
    OrderLoop(boost::asio::io_context &io, const Clock &clock, LogLoop &log, http::ConnectionPool &pool,
              GroupMember self);

    void start();
    void stop();
    /// Takes what the log has brought and where the endpoints are.
    void stateChanged(const InstanceListing &listing);

private:
    using Executors = std::map<EndpointId, std::unique_ptr<OrderExecutor>>;

    http::Awaitable<void> tickLoop();
    void tick();
    [[nodiscard]] Duration acquireDelay(const EndpointId &endpoint) const;
    void perform(const EndpointId &endpoint, const AppendLease &action);
    void perform(const EndpointId &endpoint, const ReadLastOrder &action);
    void perform(const EndpointId &endpoint, const SendOrder &action);
    void perform(const EndpointId &endpoint, const AppendOrderDone &action);
    http::Awaitable<void> read(EndpointId endpoint, Address address);
    http::Awaitable<void> send(EndpointId endpoint, Address address, SendOrder order);
    http::Awaitable<SendResult> deliver(EndpointId endpoint, Address address, SendOrder order);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    LogLoop &m_log;
    http::ConnectionPool &m_pool;
    GroupMember m_self;
    WakeTimer m_timer;
    Executors m_executors; ///< Never removed: they remember what may still be under way.
    std::map<EndpointId, Address> m_addresses;
    bool m_stopped = false;
};

} // namespace mimosahub
