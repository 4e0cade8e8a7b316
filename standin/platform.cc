// The whole platform in one process. An answer is lost by closing the
// connection without a word, after or before the append took effect.

#include "standin/platform.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>

namespace mimosahub::standin
{

namespace
{

namespace json = boost::json;

constexpr std::size_t kReadLimit = 1000;
/// How often a held call looks whether it may go on.
constexpr auto kHoldPoll = std::chrono::milliseconds(5);
constexpr std::uint64_t kWeightBytes = 16'000'000;

std::uint64_t number(const std::string &text, std::uint64_t fallback)
{
    std::uint64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http::Response answer(int status, const json::value &body)
{
    return http::makeResponse(status, http::kJsonType, json::serialize(body));
}

http::Response appended(std::uint64_t offset)
{
    return answer(200, json::object{{"offset", offset}});
}

http::Response weight(std::string_view name)
{
    return answer(200, json::object{{"name", name}, {"bytes", kWeightBytes}});
}

http::Response error(int status, std::string_view text)
{
    return answer(status, json::object{{"error", text}});
}

HoldPoint holdPointOf(std::string_view name)
{
    if (name == "before") {
        return HoldPoint::Before;
    }
    if (name == "after") {
        return HoldPoint::After;
    }
    return name == "lost" ? HoldPoint::Lost : HoldPoint::None;
}

double numberOr(const json::object &object, std::string_view key, double fallback)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    return value != nullptr ? value->to_number<double>() : fallback;
}

} // namespace

absl::StatusOr<std::unique_ptr<Platform>> Platform::start(asio::io_context &io, const Clock &clock,
                                                          const PlatformOptions &options)
{
    std::unique_ptr<Platform> platform(new Platform(io, clock, options));
    auto *self = platform.get();
    auto server = http::Server::listen(io, options.address, {},
                                       [self](http::Exchange &exchange) { return self->handle(exchange); });
    if (!server.ok()) {
        return server.status();
    }
    platform->m_server = *server;
    platform->m_server->start();
    return platform;
}

Platform::Platform(asio::io_context &io, const Clock &clock, const PlatformOptions &options)
    : m_io(io), m_clock(clock), m_options(options), m_log(clock, options.log, options.seed)
{
    setInstances(json::array());
}

http::Awaitable<void> Platform::sleep(Duration time)
{
    asio::steady_timer timer(m_io, time);
    co_await timer.async_wait(asio::use_awaitable);
}

http::Awaitable<void> Platform::handle(http::Exchange &exchange)
{
    const std::string target(http::fromBeast(exchange.request().target()));
    const auto path = http::pathOf(target);
    if (path.starts_with("/admin/")) {
        co_await exchange.answer(admin(path, exchange.request().body()));
        co_return;
    }
    if (m_log.faults().delay.count() > 0) {
        co_await sleep(m_log.faults().delay);
    }
    if (path == "/log/append") {
        co_await append(exchange);
    } else if (path == "/log/read") {
        co_await waitWhile([this] { return m_hold.reads; });
        co_await exchange.answer(readLog(target));
    } else if (path == "/instances") {
        co_await exchange.answer(instances());
    } else if (path.starts_with("/weights/")) {
        co_await weights(exchange, path.substr(path.rfind('/') + 1));
    } else {
        co_await exchange.answer(error(404, "no such path"));
    }
}

http::Awaitable<void> Platform::waitWhile(const std::function<bool()> &held)
{
    while (held()) {
        co_await sleep(kHoldPoll);
    }
}

/// Appends, with the point at which the append is to be held.
http::Awaitable<void> Platform::append(http::Exchange &exchange)
{
    const bool holds =
        m_hold.point != HoldPoint::None && exchange.request().body().find(m_hold.text) != std::string::npos;
    if (!holds) {
        co_await answerAppend(exchange);
        co_return;
    }
    ++m_hold.matched;
    if (m_hold.point == HoldPoint::Before) {
        co_await waitWhile([this] { return m_hold.point == HoldPoint::Before; });
        co_await answerAppend(exchange);
        co_return;
    }
    std::uint64_t offset = 0;
    const bool done = m_log.append(exchange.request().body(), offset) == AppendResult::Appended;
    if (!done || m_hold.point == HoldPoint::Lost) {
        exchange.closeAfterwards();
        co_return;
    }
    co_await waitWhile([this] { return m_hold.point == HoldPoint::After; });
    co_await exchange.answer(appended(offset));
}

http::Awaitable<void> Platform::answerAppend(http::Exchange &exchange)
{
    std::uint64_t offset = 0;
    switch (m_log.append(exchange.request().body(), offset)) {
    case AppendResult::Appended:
        co_await exchange.answer(appended(offset));
        break;
    case AppendResult::AnswerLost:
    case AppendResult::Dropped:
        exchange.closeAfterwards();
        break;
    case AppendResult::RateLimited: {
        auto response = error(429, "append rate exceeded");
        response.set(http::beast::http::field::retry_after, "1");
        co_await exchange.answer(std::move(response));
        break;
    }
    case AppendResult::TooLarge:
        co_await exchange.answer(error(413, "record too large"));
        break;
    case AppendResult::Down:
        co_await exchange.answer(error(503, "log is down"));
        break;
    }
}

http::Response Platform::readLog(std::string_view target) const
{
    auto &log = const_cast<Platform *>(this)->m_log;
    if (log.faults().down) {
        return error(503, "log is down");
    }
    const auto from = number(http::queryValue(target, "from"), 1);
    const auto limit = std::min<std::uint64_t>(number(http::queryValue(target, "limit"), kReadLimit), kReadLimit);
    json::array records;
    for (auto &record : log.read(from, limit)) {
        records.push_back(json::object{{"offset", record.offset}, {"data", std::move(record.data)}});
    }
    return answer(200, json::object{{"first", log.first()}, {"head", log.head()}, {"records", std::move(records)}});
}

http::Response Platform::instances() const
{
    if (m_listDown) {
        return error(503, "list is down");
    }
    const auto seen = m_clock.now() - m_options.listLag;
    std::string_view json = m_lists.front().json;
    for (const auto &version : m_lists) {
        if (version.since <= seen) {
            json = version.json;
        }
    }
    return http::makeResponse(200, http::kJsonType, std::string(json));
}

http::Awaitable<void> Platform::weights(http::Exchange &exchange, std::string_view name)
{
    const std::chrono::duration<double> time(static_cast<double>(kWeightBytes) / m_options.weightBytesPerSecond);
    m_weightsFree = std::max(m_weightsFree, m_clock.now()) + std::chrono::duration_cast<Duration>(time);
    co_await sleep(m_weightsFree - m_clock.now());
    co_await exchange.answer(weight(name));
}

http::Response Platform::admin(std::string_view path, const std::string &body)
{
    json::error_code ec;
    const auto value = json::parse(body, ec);
    if (ec) {
        return error(400, ec.message());
    }
    if (path == "/admin/instances") {
        setInstances(value);
    } else if (path == "/admin/fault" && value.is_object()) {
        setFaults(value.get_object());
    } else if (path == "/admin/truncate" && value.is_object()) {
        m_log.truncate(static_cast<std::uint64_t>(numberOr(value.get_object(), "before", 0)));
    } else {
        return error(404, "no such path");
    }
    return answer(200, json::object{{"ok", true}, {"matched", m_hold.matched}});
}

/// Adds or replaces the entries of \a list; an entry with "gone" is removed.
void Platform::setInstances(const json::value &list)
{
    for (const auto &entry : list.as_array()) {
        const std::string id(entry.at("id").as_string());
        if (entry.as_object().contains("gone")) {
            m_instances.erase(id);
        } else {
            m_instances[id] = entry;
        }
    }
    json::array all;
    for (const auto &[id, entry] : m_instances) {
        all.push_back(entry);
    }
    m_lists.push_back({m_clock.now(), json::serialize(json::object{{"instances", std::move(all)}})});
    const auto seen = m_clock.now() - m_options.listLag;
    while (m_lists.size() > 1 && m_lists[1].since <= seen) {
        m_lists.pop_front();
    }
}

void Platform::setFaults(const json::object &faults)
{
    auto &log = m_log.faults();
    log.down = numberOr(faults, "log_down", log.down ? 1 : 0) != 0;
    log.loseAnswers = numberOr(faults, "lose_answers", log.loseAnswers);
    log.loseAppends = numberOr(faults, "lose_appends", log.loseAppends);
    const auto delay = std::chrono::duration<double, std::milli>(
        numberOr(faults, "delay_ms", std::chrono::duration<double, std::milli>(log.delay).count()));
    log.delay = std::chrono::duration_cast<Duration>(delay);
    m_log.limits().appendsPerSecond = numberOr(faults, "appends_per_second", m_log.limits().appendsPerSecond);
    m_listDown = numberOr(faults, "list_down", m_listDown ? 1 : 0) != 0;
    setHold(faults);
}

void Platform::setHold(const json::object &faults)
{
    if (const auto *point = faults.if_contains("hold")) {
        m_hold.point = holdPointOf(json::value_to<std::string>(*point));
        m_hold.matched = 0;
    }
    if (const auto *text = faults.if_contains("hold_text")) {
        m_hold.text = json::value_to<std::string>(*text);
    }
    m_hold.reads = numberOr(faults, "hold_reads", m_hold.reads ? 1 : 0) != 0;
}

} // namespace mimosahub::standin
