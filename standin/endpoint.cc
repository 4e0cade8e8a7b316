// Times grow with the number of running calls above the capacity, which is how
// a continuous batch slows down. In cold start all times grow by a factor, and
// more calls than it bears make the endpoint fall over: it then refuses
// everything for a while. Tokens are a function of the prompt and the position,
// so that a resumed stream can be checked against an unbroken one.

#include "standin/endpoint.h"

#include "base/hash.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <fstream>

namespace mimosahub::standin
{

namespace
{

namespace json = boost::json;

constexpr std::size_t kPrefixBytes = 256;
constexpr std::size_t kBytesPerToken = 4;
constexpr int kDefaultTokens = 16;
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t(16) << 20U; ///< Of a call: more than any caller's.
/// The request that crossed answers belong to.
constexpr auto kAnotherRequest = "another-request";
/// How often a held call looks whether it may go on.
constexpr auto kHoldPoll = std::chrono::milliseconds(5);
/// A silent call holds its connection for this long.
constexpr auto kSilence = std::chrono::minutes(10);

http::Response error(int status, std::string_view text)
{
    return http::makeResponse(status, http::kJsonType, json::serialize(json::object{{"error", text}}));
}

std::int64_t wallMs(const Clock &clock)
{
    return clock.wallTime().time_since_epoch().count();
}

std::string tokenAt(const std::string &prompt, int position)
{
    return "t" + std::to_string(hashBytes(prompt, static_cast<std::uint64_t>(position)) % 1000) + " ";
}

/// The text of a chat-completions request, all messages joined.
std::string promptOf(const json::object &request)
{
    std::string prompt;
    if (const auto *messages = request.if_contains("messages"); messages != nullptr && messages->is_array()) {
        for (const auto &message : messages->get_array()) {
            prompt += json::value_to<std::string>(message.at("content"));
            prompt += '\n';
        }
    }
    return prompt;
}

int intOr(const json::object &object, std::string_view key, int fallback)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    return value != nullptr && value->is_number() ? value->to_number<int>() : fallback;
}

} // namespace

/// Counts one running call for as long as it lives, also when it is cancelled.
class Endpoint::Running
{
public:
    explicit Running(Endpoint &endpoint) : m_endpoint(endpoint), m_begin(endpoint.m_clock.now())
    {
        auto &ledger = endpoint.m_ledger;
        ++ledger.started;
        ++ledger.running;
        ledger.lastStartMs = wallMs(endpoint.m_clock);
        ledger.maxRunning = std::max(ledger.maxRunning, ledger.running);
        if (endpoint.isCold()) {
            ledger.maxRunningCold = std::max(ledger.maxRunningCold, ledger.running);
        }
        endpoint.noteLoad();
    }
    ~Running()
    {
        auto &ledger = m_endpoint.m_ledger;
        --ledger.running;
        ledger.busySeconds += std::chrono::duration<double>(m_endpoint.m_clock.now() - m_begin).count();
        if (!m_finished) {
            ++ledger.cancelled;
        }
        m_endpoint.noteLoad();
    }
    Running(const Running &) = delete;
    Running &operator=(const Running &) = delete;

    void finish()
    {
        m_finished = true;
    }

private:
    Endpoint &m_endpoint;
    TimePoint m_begin;
    bool m_finished = false;
};

absl::StatusOr<std::unique_ptr<Endpoint>> Endpoint::start(asio::io_context &io, const Clock &clock,
                                                          const EndpointOptions &options)
{
    std::unique_ptr<Endpoint> endpoint(new Endpoint(io, clock, options));
    auto *self = endpoint.get();
    http::ServerOptions limits;
    limits.maxBodyBytes = kMaxBodyBytes;
    auto server = http::Server::listen(io, options.info.address, limits,
                                       [self](http::Exchange &exchange) { return self->handle(exchange); });
    if (!server.ok()) {
        return server.status();
    }
    endpoint->m_server = *server;
    endpoint->m_server->start();
    return endpoint;
}

Endpoint::Endpoint(asio::io_context &io, const Clock &clock, EndpointOptions options)
    : m_io(io),
      m_clock(clock),
      m_options(std::move(options)),
      m_random(m_options.seed ^ hashBytes(m_options.info.id.str())),
      m_coldUntil(clock.now() + m_options.coldTime),
      m_started(clock.now()),
      m_fallenUntil(clock.now())
{
    noteLoad();
}

EndpointInfo Endpoint::info() const
{
    auto info = m_options.info;
    info.address.port = m_server->port();
    return info;
}

bool Endpoint::isCold() const
{
    return m_clock.now() < m_coldUntil;
}

bool Endpoint::hit(double rate)
{
    return rate > 0 && m_random.uniform() < rate;
}

void Endpoint::noteLoad()
{
    m_samples.push_back({m_clock.now(), m_ledger.running, isCold(), m_options.info.version.str()});
    const auto seen = m_clock.now() - m_options.reportLag;
    while (m_samples.size() > 1 && m_samples[1].at <= seen) {
        m_samples.pop_front();
    }
}

http::Awaitable<void> Endpoint::handle(http::Exchange &exchange)
{
    const std::string target(http::fromBeast(exchange.request().target()));
    const auto path = http::pathOf(target);
    if (path == "/load") {
        co_await exchange.answer(load());
    } else if (path == "/ledger") {
        co_await exchange.answer(ledger());
    } else if (path == "/fault") {
        co_await exchange.answer(setFaults(exchange.request().body()));
    } else if (path == "/orders/last") {
        co_await exchange.answer(lastOrder());
    } else if (path == "/orders") {
        co_await exchange.answer(order(exchange.request().body()));
    } else if (path.starts_with("/calls/") && m_options.kind == ServiceKind::Plain) {
        co_await call(exchange, path.substr(path.rfind('/') + 1));
    } else if (path == "/v1/chat/completions" && m_options.kind == ServiceKind::Engine) {
        co_await call(exchange, "");
    } else {
        co_await exchange.answer(error(404, "no such path"));
    }
}

http::Awaitable<void> Endpoint::call(http::Exchange &exchange, std::string_view name)
{
    if (m_clock.now() < m_fallenUntil || hit(m_faults.refuseRate)) {
        auto response = answerFor(exchange, 503, R"({"error":"not accepting"})");
        response.set(http::toBeast(http::kNotRunHeader), "1");
        co_await exchange.answer(std::move(response));
        co_return;
    }
    Running running(*this);
    if (isCold() && m_ledger.running > m_options.coldBears) {
        ++m_ledger.fallen;
        m_fallenUntil = m_clock.now() + m_options.fallTime;
        co_await exchange.answer(answerFor(exchange, 500, R"({"error":"fell over in cold start"})"));
        co_return;
    }
    if (m_options.kind == ServiceKind::Engine) {
        co_await runEngine(exchange);
    } else {
        co_await runPlain(exchange, name);
    }
    running.finish();
}

/// Whether a fault has answered, or will never answer, the call.
http::Awaitable<bool> Endpoint::applyFaults(http::Exchange &exchange, std::string_view route)
{
    if (hit(m_faults.silentRate)) {
        asio::steady_timer timer(m_io, kSilence);
        co_await timer.async_wait(asio::use_awaitable);
        exchange.closeAfterwards();
        co_return true;
    }
    if (hit(m_faults.dropRate)) {
        exchange.closeAfterwards();
        co_return true;
    }
    const bool onRoute = m_faults.failRoute.empty() || m_faults.failRoute == route;
    const bool overloaded = m_faults.failAbove > 0 && m_ledger.running > m_faults.failAbove;
    if (overloaded || (onRoute && hit(m_faults.failRate))) {
        co_await exchange.answer(answerFor(exchange, m_faults.failStatus, R"({"error":"fault"})"));
        co_return true;
    }
    co_return false;
}

http::Awaitable<void> Endpoint::sleepScaled(Duration time)
{
    const double crowd = std::max(1.0, static_cast<double>(m_ledger.running) / m_options.capacity);
    const double factor = crowd * m_faults.slow * (isCold() ? m_options.coldSlowdown : 1.0);
    const double spread = 0.8 + 0.4 * m_random.uniform();
    asio::steady_timer timer(m_io, std::chrono::duration_cast<Duration>(time * (factor * spread)));
    co_await timer.async_wait(asio::use_awaitable);
}

http::Awaitable<void> Endpoint::waitWhile(const bool &held)
{
    asio::steady_timer timer(m_io);
    // Counts also a call whose caller leaves, until its coroutine is destroyed.
    const auto release = [this](const void *) { --m_ledger.held; };
    ++m_ledger.held;
    const std::unique_ptr<const void, decltype(release)> counted(this, release);
    while (held) {
        timer.expires_after(kHoldPoll);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void Endpoint::noteExecution(const Ledger::Execution &execution)
{
    m_ledger.executions.push_back(execution);
    if (!m_options.ledgerFile.empty()) {
        std::ofstream(m_options.ledgerFile, std::ios::app) << execution.key << ' ' << execution.request << std::endl;
    }
}

http::Awaitable<void> Endpoint::runPlain(http::Exchange &exchange, std::string_view name)
{
    const std::string key(http::header(exchange.request(), "Idempotency-Key"));
    const std::string request(http::header(exchange.request(), http::kRequestHeader));
    if (!key.empty()) {
        co_await waitWhile(m_faults.holdBefore);
        noteExecution({key, request, std::string(name)});
        co_await waitWhile(m_faults.holdAfter);
    }
    co_await sleepScaled(m_options.callTime);
    if (co_await applyFaults(exchange, name)) {
        co_return;
    }
    json::object body{{"endpoint", m_options.info.id.str()},
                      {"version", m_options.info.version.str()},
                      {"call", name},
                      {"request", request},
                      {"key", key}};
    body["input_digest"] = hashBytes(exchange.request().body());
    auto response = answerFor(exchange, 200, json::serialize(body));
    if (hit(m_faults.shortRate)) {
        response.set("X-Whole-Length", std::to_string(response.body().size()));
        static_cast<void>(co_await exchange.startStream(std::move(response)));
        static_cast<void>(co_await exchange.writeChunk("{\"endpoint\":"));
        exchange.closeAfterwards();
        co_return;
    }
    co_await exchange.answer(std::move(response));
}

Duration Endpoint::promptTime(const std::string &prompt)
{
    const auto prefix = hashBytes(std::string_view(prompt).substr(0, kPrefixBytes));
    const auto tokens = std::max<std::size_t>(1, prompt.size() / kBytesPerToken);
    const auto it = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    std::size_t cached = 0;
    if (it != m_prefixes.end()) {
        cached = std::min(tokens - 1, kPrefixBytes / kBytesPerToken);
        m_prefixes.erase(it);
    }
    m_prefixes.push_front(prefix);
    if (m_prefixes.size() > m_options.cachedPrefixes) {
        m_prefixes.pop_back();
    }
    m_ledger.cachedTokens += cached;
    m_ledger.computedTokens += tokens - cached;
    return m_options.promptTokenTime * (tokens - cached);
}

http::Awaitable<void> Endpoint::runEngine(http::Exchange &exchange)
{
    json::error_code ec;
    const auto value = json::parse(exchange.request().body(), ec);
    if (ec || !value.is_object()) {
        co_await exchange.answer(answerFor(exchange, 400, R"({"error":"not a JSON object"})"));
        co_return;
    }
    const auto &request = value.get_object();
    const auto prompt = promptOf(request);
    const int count = intOr(request, "max_tokens", kDefaultTokens);
    const int first = std::clamp(intOr(request, "resume_from", 0), 0, count);
    const std::string stage(http::header(exchange.request(), http::kStageHeader));
    co_await sleepScaled(promptTime(prompt));
    if (co_await applyFaults(exchange, stage)) {
        co_return;
    }
    co_await streamTokens(exchange, prompt, first, count);
}

http::Awaitable<void> Endpoint::streamTokens(http::Exchange &exchange, const std::string &prompt, int first, int count)
{
    auto head = answerFor(exchange, 200, "");
    head.set(http::beast::http::field::content_type, http::toBeast(http::kEventStreamType));
    // A crossed stream is another request's whole: its head and its tokens.
    const bool crossed = http::header(head, http::kRequestHeader) == kAnotherRequest;
    const std::string text = crossed ? kAnotherRequest : prompt;
    if (!(co_await exchange.startStream(std::move(head))).ok()) {
        co_return;
    }
    const int cut = hit(m_faults.shortRate) ? first + (count - first) / 2 : count;
    for (int i = first; i < cut; ++i) {
        co_await sleepScaled(m_options.tokenTime);
        json::object event{
            {"offset", i},
            {"choices",
             json::array{json::object{{"index", 0}, {"delta", json::object{{"content", tokenAt(text, i)}}}}}}};
        ++m_ledger.generatedTokens;
        if (!(co_await exchange.writeChunk("data: " + json::serialize(event) + "\n\n")).ok()) {
            co_return;
        }
    }
    if (cut != count) {
        exchange.closeAfterwards();
        co_return;
    }
    static_cast<void>(co_await exchange.writeChunk("data: [DONE]\n\n"));
    static_cast<void>(co_await exchange.finishStream());
}

/// An answer that echoes the request, or another one under the crossed fault.
http::Response Endpoint::answerFor(const http::Exchange &exchange, int status, std::string body)
{
    auto response = http::makeResponse(status, http::kJsonType, std::move(body));
    for (const auto name : {http::kRequestHeader, http::kStageHeader, http::kAttemptHeader}) {
        const auto value = http::header(exchange.request(), name);
        if (!value.empty()) {
            response.set(http::toBeast(name), http::toBeast(value));
        }
    }
    if (hit(m_faults.crossedRate)) {
        response.set(http::toBeast(http::kRequestHeader), kAnotherRequest);
        const auto own = http::header(exchange.request(), http::kRequestHeader);
        const auto at = own.empty() ? std::string::npos : response.body().find(own);
        if (at != std::string::npos) {
            response.body().replace(at, own.size(), kAnotherRequest);
            response.prepare_payload();
        }
    }
    return response;
}

http::Response Endpoint::load()
{
    noteLoad();
    const auto &sample = m_samples.front();
    const auto uptime = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_started);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - sample.at);
    return http::makeResponse(200, http::kJsonType,
                              json::serialize(json::object{{"running", sample.running},
                                                           {"cold", sample.cold},
                                                           {"version", sample.version},
                                                           {"uptime_ms", uptime.count()},
                                                           {"age_ms", age.count()}}));
}

http::Response Endpoint::ledger() const
{
    json::array executions;
    for (const auto &it : m_ledger.executions) {
        executions.push_back(json::object{{"key", it.key}, {"request", it.request}, {"call", it.call}});
    }
    json::array orders;
    for (const auto &it : m_orders) {
        orders.push_back(json::string(it));
    }
    return http::makeResponse(200, http::kJsonType,
                              json::serialize(json::object{{"endpoint", m_options.info.id.str()},
                                                           {"executions", std::move(executions)},
                                                           {"orders", std::move(orders)},
                                                           {"started", m_ledger.started},
                                                           {"cancelled", m_ledger.cancelled},
                                                           {"fallen", m_ledger.fallen},
                                                           {"running", m_ledger.running},
                                                           {"held", m_ledger.held},
                                                           {"max_running", m_ledger.maxRunning},
                                                           {"max_running_cold", m_ledger.maxRunningCold},
                                                           {"last_start_ms", m_ledger.lastStartMs},
                                                           {"cached_tokens", m_ledger.cachedTokens},
                                                           {"computed_tokens", m_ledger.computedTokens},
                                                           {"generated_tokens", m_ledger.generatedTokens},
                                                           {"busy_seconds", m_ledger.busySeconds},
                                                           {"stale_orders", m_ledger.staleOrders}}));
}

http::Response Endpoint::order(const std::string &body)
{
    json::error_code ec;
    const auto value = json::parse(body, ec);
    if (ec || !value.is_object()) {
        return error(400, "not a JSON object");
    }
    const auto &order = value.get_object();
    if (hit(m_faults.orderFailRate)) {
        return error(503, "not now");
    }
    const auto *number = order.if_contains("fencing");
    const auto fencing = number != nullptr && number->is_number() ? number->to_number<std::uint64_t>() : 0;
    if (m_options.checksFencing && fencing < m_lastFencing) {
        ++m_ledger.staleOrders;
        return error(409, "old fencing number");
    }
    m_lastFencing = std::max(m_lastFencing, fencing);
    m_orders.push_back(body);
    if (const auto *id = order.if_contains("order"); id != nullptr && id->is_string()) {
        m_lastOrder = json::value_to<std::string>(*id);
    }
    if (const auto *version = order.if_contains("version"); version != nullptr && version->is_string()) {
        m_options.info.version =
            VersionId(std::string_view(version->get_string().data(), version->get_string().size()));
        m_coldUntil = m_clock.now() + m_options.coldTime;
        noteLoad();
    }
    return http::makeResponse(200, http::kJsonType, R"({"done":true})");
}

http::Response Endpoint::lastOrder() const
{
    json::object body;
    body["order"] = m_lastOrder ? json::value(json::string(*m_lastOrder)) : json::value();
    return http::makeResponse(200, http::kJsonType, json::serialize(body));
}

http::Response Endpoint::setFaults(const std::string &body)
{
    json::error_code ec;
    const auto value = json::parse(body, ec);
    if (ec || !value.is_object()) {
        return error(400, "not a JSON object");
    }
    const auto &object = value.get_object();
    const auto set = [&](std::string_view key, double &field) {
        if (const auto *it = object.if_contains({key.data(), key.size()})) {
            field = it->to_number<double>();
        }
    };
    set("slow", m_faults.slow);
    set("fail", m_faults.failRate);
    set("refuse", m_faults.refuseRate);
    set("short", m_faults.shortRate);
    set("crossed", m_faults.crossedRate);
    set("silent", m_faults.silentRate);
    set("drop", m_faults.dropRate);
    set("order_fail", m_faults.orderFailRate);
    m_faults.holdBefore = intOr(object, "hold_before", m_faults.holdBefore ? 1 : 0) != 0;
    m_faults.holdAfter = intOr(object, "hold_after", m_faults.holdAfter ? 1 : 0) != 0;
    m_faults.failStatus = intOr(object, "fail_status", m_faults.failStatus);
    m_faults.failAbove = intOr(object, "fail_above", m_faults.failAbove);
    if (const auto *route = object.if_contains("fail_route")) {
        m_faults.failRoute = json::value_to<std::string>(*route);
    }
    if (const auto *cold = object.if_contains("cold_ms")) {
        m_coldUntil = m_clock.now() + std::chrono::milliseconds(cold->to_number<int>());
        m_started = m_clock.now();
        m_prefixes.clear();
        noteLoad();
    }
    return http::makeResponse(200, http::kJsonType, R"({"ok":true})");
}

} // namespace mimosahub::standin
