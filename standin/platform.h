#pragma once

#include "http/server.h"
#include "standin/log_model.h"

#include <boost/json.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace mimosahub::standin
{

namespace asio = boost::asio;

/// Settings of the platform's stand-in.
struct PlatformOptions {
    Address address{"127.0.0.1", 0};
    LogLimits log;
    Duration listLag = std::chrono::milliseconds(500); ///< Age of the instance list that readers see.
    double weightBytesPerSecond = 64e6;
    std::uint64_t seed = 1;
};

/// At which point an append is held, or its answer lost.
enum class HoldPoint {
    None,
    Before, ///< Held before it takes effect.
    After, ///< Took effect; the answer is held.
    Lost, ///< Took effect; the connection closes without an answer.
};

/// Faults of the appends that hold a text, until they are switched off.
struct AppendHold {
    HoldPoint point = HoldPoint::None;
    std::string text; ///< Which appends: those that contain this.
    bool reads = false; ///< All reads of the log are held, too.
    int matched = 0; ///< Appends that contained the text since the fault was set.
};

/// Stands in for the platform: POST /log/append, GET /log/read, GET /instances,
/// GET /weights/NAME. POST /admin/instances, /admin/fault and /admin/truncate
/// are for tests.
class Platform
{
public:
    static absl::StatusOr<std::unique_ptr<Platform>> start(asio::io_context &io, const Clock &clock,
                                                           const PlatformOptions &options);

    [[nodiscard]] std::uint16_t port() const
    {
        return m_server->port();
    }

private:
    Platform(asio::io_context &io, const Clock &clock, const PlatformOptions &options);
    http::Awaitable<void> handle(http::Exchange &exchange);
    http::Awaitable<void> append(http::Exchange &exchange);
    http::Awaitable<void> answerAppend(http::Exchange &exchange);
    http::Awaitable<void> waitWhile(const std::function<bool()> &held);
    void setHold(const boost::json::object &faults);
    http::Awaitable<void> weights(http::Exchange &exchange, std::string_view name);
    http::Response readLog(std::string_view target) const;
    http::Response instances() const;
    http::Response admin(std::string_view path, const std::string &body);
    void setInstances(const boost::json::value &list);
    void setFaults(const boost::json::object &faults);
    http::Awaitable<void> sleep(Duration time);

    struct ListVersion {
        TimePoint since;
        std::string json;
    };

    asio::io_context &m_io;
    const Clock &m_clock;
    PlatformOptions m_options;
    LogModel m_log;
    std::map<std::string, boost::json::value> m_instances;
    std::deque<ListVersion> m_lists;
    bool m_listDown = false;
    AppendHold m_hold;
    TimePoint m_weightsFree;
    std::shared_ptr<http::Server> m_server;
};

} // namespace mimosahub::standin
