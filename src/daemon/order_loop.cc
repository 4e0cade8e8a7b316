// The executor decides; here is the network. A connection is opened before the
// executor is asked for the last time, so that only the write itself lies
// between its check of the lease and the bytes on their way.

#include "daemon/order_loop.h"

#include "base/hash.h"
#include "base/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace mimosahub
{

namespace
{

namespace json = boost::json;
using http::beast::http::verb;

constexpr Duration kTick = std::chrono::milliseconds(50);
/// How much earlier a daemon may take a free lease than the next in turn.
constexpr Duration kTurn = std::chrono::milliseconds(300);
constexpr Duration kAppendPatience = std::chrono::seconds(1);
constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
constexpr std::uint64_t kMaxOrderAnswerBytes = 65536;
constexpr int kStaleStatus = 409;

std::string_view actionName(EndpointAction action)
{
    switch (action) {
    case EndpointAction::LoadModel:
        return "load-model";
    case EndpointAction::LoadAdapter:
        return "load-adapter";
    case EndpointAction::ChangeRole:
        break;
    }
    return "change-role";
}

std::string orderBody(const EndpointOrder &order, const SendOrder &send)
{
    json::object body;
    body["action"] = actionName(order.action);
    body["argument"] = order.argument;
    body["order"] = send.order.str();
    body["fencing"] = send.fencing.value();
    if (order.action == EndpointAction::LoadModel) {
        body["version"] = order.argument;
    }
    return json::serialize(body);
}

template<typename T>
bool readNumber(std::string_view text, T &number)
{
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    return ec == std::errc() && end == text.data() + text.size();
}

/// The position in "OFFSET.INDEX"; absent if it is none.
std::optional<RecordPosition> readPosition(std::string_view text)
{
    const auto dot = text.find('.');
    std::uint64_t offset = 0;
    RecordPosition position;
    if (dot == std::string_view::npos || !readNumber(text.substr(0, dot), offset)
        || !readNumber(text.substr(dot + 1), position.index)) {
        return std::nullopt;
    }
    position.offset = Offset(offset);
    return position;
}

/// What an endpoint said of its last order.
struct LastOrder {
    bool read = false;
    std::optional<RecordPosition> position;
};

/// Reads {"order": "OFFSET.INDEX" or null}.
LastOrder readLastOrder(const absl::StatusOr<http::Response> &response)
{
    json::error_code ec;
    const auto value =
        response.ok() && response->result_int() == 200 ? json::parse(response->body(), ec) : json::value();
    const auto *object = ec ? nullptr : value.if_object();
    const auto *order = object != nullptr ? object->if_contains("order") : nullptr;
    if (order == nullptr) {
        return {};
    }
    if (order->is_null()) {
        return {true, std::nullopt};
    }
    const auto position =
        order->is_string() ? readPosition({order->get_string().data(), order->get_string().size()}) : std::nullopt;
    return {position.has_value(), position};
}

SendResult resultOf(int status)
{
    constexpr int kClassSize = 100;
    if (status == kStaleStatus) {
        return SendResult::Stale;
    }
    switch (status / kClassSize) {
    case 2:
        return SendResult::Acknowledged;
    case 4:
        return SendResult::Refused;
    default:
        return SendResult::Unknown;
    }
}

std::optional<Offset> acceptedOffset(const absl::StatusOr<TicketOutcome> &outcome)
{
    if (outcome.ok() && outcome->resolution == AppendResolution::Accepted) {
        return outcome->verdict.position.offset;
    }
    return std::nullopt;
}

} // namespace

OrderLoop::OrderLoop(boost::asio::io_context &io, const Clock &clock, LogLoop &log, http::ConnectionPool &pool,
                     GroupMember self)
    : m_io(io), m_clock(clock), m_log(log), m_pool(pool), m_self(std::move(self)), m_timer(io)
{
}

void OrderLoop::start()
{
    boost::asio::co_spawn(m_io, tickLoop(), boost::asio::detached);
}

void OrderLoop::stop()
{
    m_stopped = true;
    m_timer.wake();
}

void OrderLoop::stateChanged(const InstanceListing &listing)
{
    m_addresses.clear();
    for (const auto &endpoint : listing.endpoints) {
        m_addresses.emplace(endpoint.id, endpoint.address);
    }
    const auto &state = m_log.state();
    std::map<EndpointId, OrderView> views;
    for (const auto &[position, order] : state.endpointOrders()) {
        auto &view = views[order.order.endpoint];
        if (!order.done && !view.pending) {
            view.pending = position;
            const auto &services = state.configuration()->services;
            const auto service = services.find(order.order.service);
            view.checksFencing = service != services.end() && service->second.checksFencing;
        }
    }
    for (const auto &[id, view] : views) {
        auto &executor = m_executors[id];
        if (!executor) {
            executor = std::make_unique<OrderExecutor>(id, m_self.id, m_self.incarnation, OrderExecutorOptions());
        }
    }
    const auto now = m_clock.now();
    for (auto &[id, executor] : m_executors) {
        auto &view = views[id];
        view.lease = state.lease(OrderExecutor::leaseName(id));
        view.reachable = m_addresses.contains(id);
        executor->setView(view, now);
    }
    m_timer.wake();
}

http::Awaitable<void> OrderLoop::tickLoop()
{
    while (!m_stopped) {
        tick();
        co_await m_timer.sleep(m_clock.now(), std::nullopt, kTick);
    }
}

void OrderLoop::tick()
{
    for (auto &[id, executor] : m_executors) {
        for (const auto &action : executor->tick(m_clock.now(), acquireDelay(id))) {
            std::visit([this, &id = id](const auto &it) { perform(id, it); }, action);
        }
    }
}

/// Daemons take their turns in an order that all compute alike, so that usually
/// one append is made for a free lease.
Duration OrderLoop::acquireDelay(const EndpointId &endpoint) const
{
    const auto own = rendezvousWeight(endpoint.str(), m_self.id.str());
    int before = 0;
    for (const auto &[id, member] : m_log.state().members()) {
        before += rendezvousWeight(endpoint.str(), id.str()) > own ? 1 : 0;
    }
    return kTurn * before;
}

void OrderLoop::perform(const EndpointId &endpoint, const AppendLease &action)
{
    m_log.submit(action.record, m_clock.now() + kAppendPatience, Urgency::Normal,
                 [this, endpoint](const absl::StatusOr<TicketOutcome> &outcome) {
                     m_executors[endpoint]->onLeaseResolved(acceptedOffset(outcome), m_clock.now());
                 });
}

void OrderLoop::perform(const EndpointId &endpoint, const AppendOrderDone &action)
{
    logEvent(LogLevel::Info, "order-ended")
        .with("endpoint", endpoint)
        .with("order", action.record.order.str())
        .with("succeeded", action.record.succeeded);
    m_log.submit(action.record, m_clock.now() + kAppendPatience, Urgency::Normal,
                 [this, endpoint](const absl::StatusOr<TicketOutcome> &) {
                     m_executors[endpoint]->onDoneResolved(m_clock.now());
                 });
}

void OrderLoop::perform(const EndpointId &endpoint, const ReadLastOrder &)
{
    const auto it = m_addresses.find(endpoint);
    if (it == m_addresses.end()) {
        m_executors[endpoint]->onReadEnded(false, std::nullopt, m_clock.now());
        return;
    }
    boost::asio::co_spawn(m_io, read(endpoint, it->second), boost::asio::detached);
}

void OrderLoop::perform(const EndpointId &endpoint, const SendOrder &action)
{
    const auto it = m_addresses.find(endpoint);
    if (it == m_addresses.end()) {
        m_executors[endpoint]->onSendEnded(SendResult::NotSent, m_clock.now());
        return;
    }
    boost::asio::co_spawn(m_io, send(endpoint, it->second, action), boost::asio::detached);
}

http::Awaitable<void> OrderLoop::read(EndpointId endpoint, Address address)
{
    const auto response =
        co_await m_pool.call(address, http::Request(verb::get, "/orders/last", 11), kCallTimeout, kMaxOrderAnswerBytes);
    const auto last = readLastOrder(response);
    m_executors[endpoint]->onReadEnded(last.read, last.position, m_clock.now());
    m_timer.wake();
}

http::Awaitable<void> OrderLoop::send(EndpointId endpoint, Address address, SendOrder order)
{
    const auto result = co_await deliver(endpoint, address, order);
    logEvent(LogLevel::Info, "order-sent")
        .with("endpoint", endpoint)
        .with("order", order.order.str())
        .with("fencing", order.fencing)
        .with("result", static_cast<int>(result));
    m_executors[endpoint]->onSendEnded(result, m_clock.now());
    m_timer.wake();
}

http::Awaitable<SendResult> OrderLoop::deliver(EndpointId endpoint, Address address, SendOrder order)
{
    auto connection = co_await m_pool.acquire(address, true);
    const auto &orders = m_log.state().endpointOrders();
    const auto it = orders.find(order.order);
    if (!connection.ok() || it == orders.end()) {
        co_return SendResult::NotSent;
    }
    http::Request request(verb::post, "/orders", 11);
    request.set(http::beast::http::field::host, address.str());
    request.set(http::beast::http::field::content_type, http::toBeast(http::kJsonType));
    request.body() = orderBody(it->second.order, order);
    request.prepare_payload();
    if (!m_executors[endpoint]->maySend(order, m_clock.now())) {
        m_pool.release(std::move(*connection));
        co_return SendResult::NotSent;
    }
    const auto sent = co_await (*connection)->send(request, kCallTimeout);
    if (!sent.ok()) {
        co_return (*connection)->bytesLeft() ? SendResult::Unknown : SendResult::NotSent;
    }
    const auto header = co_await (*connection)->readHeader(kCallTimeout);
    if (!header.ok()) {
        co_return SendResult::Unknown;
    }
    const auto rest = co_await (*connection)->readRest(kCallTimeout, kMaxOrderAnswerBytes);
    m_pool.release(std::move(*connection));
    co_return rest.ok() ? resultOf(static_cast<int>(header->result_int())) : SendResult::Unknown;
}

} // namespace mimosahub
