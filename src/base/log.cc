// A line travels through Boost.Log as one attribute that holds its fields; the
// sink's formatter renders it as text or JSON on the sink's thread. The queue is
// bounded and drops on overflow, since the threads that log also serve traffic.

#include "base/log.h"

#include "base/utf8.h"
#include "mimosahub/error.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>
#include <boost/log/attributes/attribute_value_impl.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/formatting_ostream.hpp>
#include <boost/make_shared.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <limits>

namespace mimosahub
{

namespace
{

namespace logging = boost::log;

constexpr std::size_t kQueuedLines = 4096;
constexpr int kNothingLogged = std::numeric_limits<int>::max();
constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

// Least severe level that is logged; above all levels while no output is open.
std::atomic<int> leastLevel = kNothingLogged;
std::atomic<const Clock *> logClock = nullptr;
std::atomic<std::uint64_t> droppedLines = 0;

// What one line holds on its way to the sink.
struct LineData {
    WallTime time;
    LogLevel level = LogLevel::Info;
    std::string event;
    std::vector<LogField> fields;
};

// Overflow strategy of the sink's queue.
class CountedDrop
{
protected:
    // NOLINTBEGIN(readability-identifier-naming): Boost.Log calls these by name.
    template<typename Lock>
    static bool on_overflow(const logging::record_view & /*record*/, Lock & /*lock*/)
    {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    static void on_queue_space_available()
    {
    }
    static void interrupt()
    {
    }
    // NOLINTEND(readability-identifier-naming)
};

std::string timeText(WallTime time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    const std::time_t calendar = std::chrono::system_clock::to_time_t(seconds);
    std::tm parts{};
    gmtime_r(&calendar, &parts);
    std::array<char, 32> buf{};
    const std::size_t n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string millis = std::to_string((time - seconds).count());
    return std::string(buf.data(), n) + "." + std::string(3 - millis.size(), '0') + millis + "Z";
}

bool isPlainWord(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < '\x7f' && c != '"' && c != '=' && c != '\\';
    });
}

// JSON's escapes keep a value on its line whatever bytes a caller sent.
std::string quoted(std::string_view text)
{
    return boost::json::serialize(boost::json::string(validUtf8(text)));
}

std::string textLine(const LineData &line)
{
    std::string out = timeText(line.time) + " " + std::string(kLevelNames.at(static_cast<std::size_t>(line.level)))
        + " " + line.event;
    for (const auto &field : line.fields) {
        absl::StrAppend(&out, " ", field.key, "=", isPlainWord(field.value) ? field.value : quoted(field.value));
    }
    return out;
}

std::string jsonLine(const LineData &line)
{
    std::string out = "{\"time\":" + quoted(timeText(line.time)) + ",\"level\":"
        + quoted(kLevelNames.at(static_cast<std::size_t>(line.level))) + ",\"event\":" + quoted(line.event);
    for (const auto &field : line.fields) {
        absl::StrAppend(&out, ",", quoted(field.key), ":", field.quoted ? quoted(field.value) : field.value);
    }
    return out + "}";
}

// The logger that all lines go through.
logging::sources::logger_mt &logger()
{
    static logging::sources::logger_mt logger;
    return logger;
}

} // namespace

LogLine::LogLine(LogLevel level, std::string_view event)
    : m_level(level), m_logged(static_cast<int>(level) >= leastLevel.load(std::memory_order_relaxed)), m_event(event)
{
}

LogLine::~LogLine()
{
    const Clock *clock = logClock.load(std::memory_order_acquire);
    if (!m_logged || !clock) {
        return;
    }
    auto record = logger().open_record();
    if (record) {
        LineData line{clock->wallTime(), m_level, std::string(m_event), std::move(m_fields)};
        record.attribute_values().insert("Line", logging::attributes::make_attribute_value(std::move(line)));
        logger().push_record(std::move(record));
    }
}

LogLine &LogLine::with(std::string_view key, std::string_view value)
{
    if (m_logged) {
        m_fields.push_back({std::string(key), std::string(value), true});
    }
    return *this;
}

LogLine &LogLine::with(std::string_view key, const char *value)
{
    return with(key, std::string_view(value));
}

LogLine &LogLine::with(std::string_view key, bool value)
{
    return number(key, value ? "true" : "false");
}

LogLine &LogLine::with(std::string_view key, double value)
{
    return number(key, boost::json::serialize(boost::json::value(value)));
}

LogLine &LogLine::with(std::string_view key, Duration value)
{
    return number(std::string(key) + "_ms", absl::StrCat(std::chrono::duration<double, std::milli>(value).count()));
}

LogLine &LogLine::with(const absl::Status &status)
{
    if (const auto step = stepOf(status); !step.empty()) {
        with("step", std::string_view(step));
    }
    if (const auto peer = peerOf(status); !peer.empty()) {
        with("peer", std::string_view(peer));
    }
    return with("error", std::string_view(status.message().data(), status.message().size()));
}

LogLine &LogLine::number(std::string_view key, std::string text)
{
    if (m_logged) {
        m_fields.push_back({std::string(key), std::move(text), false});
    }
    return *this;
}

struct LogOutput::Sink {
    using Backend = logging::sinks::text_ostream_backend;
    using Frontend =
        logging::sinks::asynchronous_sink<Backend, logging::sinks::bounded_fifo_queue<kQueuedLines, CountedDrop>>;

    boost::shared_ptr<Frontend> frontend;
};

LogOutput::LogOutput(std::unique_ptr<Sink> sink) : m_sink(std::move(sink))
{
}

std::unique_ptr<LogOutput> LogOutput::open(std::ostream &stream, LogLevel level, LogFormat format, const Clock &clock)
{
    auto backend = boost::make_shared<Sink::Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&stream, [](std::ostream *) { /* not owned */ }));
    backend->auto_flush(true);
    auto sink = std::make_unique<Sink>();
    sink->frontend = boost::make_shared<Sink::Frontend>(backend);
    sink->frontend->set_formatter([format](const logging::record_view &record, logging::formatting_ostream &out) {
        if (const auto line = record["Line"].extract<LineData>()) {
            out << (format == LogFormat::Json ? jsonLine(*line) : textLine(*line));
        }
    });
    logging::core::get()->add_sink(sink->frontend);
    logClock.store(&clock, std::memory_order_release);
    leastLevel.store(static_cast<int>(level), std::memory_order_relaxed);
    return std::unique_ptr<LogOutput>(new LogOutput(std::move(sink)));
}

LogOutput::~LogOutput()
{
    leastLevel.store(kNothingLogged, std::memory_order_relaxed);
    logClock.store(nullptr, std::memory_order_release);
    logging::core::get()->remove_sink(m_sink->frontend);
    m_sink->frontend->stop();
    m_sink->frontend->flush();
}

std::uint64_t LogOutput::dropped()
{
    return droppedLines.load(std::memory_order_relaxed);
}

void LogOutput::flush()
{
    m_sink->frontend->flush();
}

} // namespace mimosahub
