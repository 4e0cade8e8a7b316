#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <absl/status/status.h>

#include <concepts>
#include <cstdint>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

/// Structured logs: one line for each change of state, with the ids involved.
/// What happens often is counted instead (base/metrics.h).
namespace mimosahub
{

/// Severity of a line.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Form of a line.
enum class LogFormat {
    Text, ///< "TIME LEVEL EVENT key=value ...".
    Json, ///< One JSON object.
};

/// One key with its value.
struct LogField {
    std::string key;
    std::string value;
    bool quoted = true; ///< False for numbers and flags, which JSON writes bare.
};

/// One line that is being written; its destructor hands it over. Costs one
/// atomic load if the level is not logged.
class LogLine
{
public:
    LogLine(LogLevel level, std::string_view event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    LogLine &with(std::string_view key, std::string_view value);
    LogLine &with(std::string_view key, const char *value);
    LogLine &with(std::string_view key, bool value);
    LogLine &with(std::string_view key, double value);
    /// Adds "KEY_ms".
    LogLine &with(std::string_view key, Duration value);
    LogLine &with(std::string_view key, std::integral auto value)
    {
        return number(key, std::to_string(value));
    }
    template<typename Tag>
    LogLine &with(std::string_view key, const Id<Tag> &id)
    {
        return with(key, std::string_view(id.str()));
    }
    template<typename Tag>
    LogLine &with(std::string_view key, Ordinal<Tag> ordinal)
    {
        return number(key, std::to_string(ordinal.value()));
    }
    /// Adds "step", "peer" and "error" from \a status.
    LogLine &with(const absl::Status &status);

private:
    LogLine &number(std::string_view key, std::string text);

    LogLevel m_level;
    bool m_logged;
    std::string_view m_event;
    std::vector<LogField> m_fields;
};

/// Starts a line: logEvent(LogLevel::Info, "zone-out").with("zone", zone). \a event
/// is a hyphenated literal and part of the contract with operators.
inline LogLine logEvent(LogLevel level, std::string_view event)
{
    return {level, event};
}

/// The process's only log output. Lines are written by a thread of its own and
/// dropped, counted, if the stream falls behind: a blocked pipe must not stop
/// traffic. Destruction writes what is queued. Without one, lines are discarded.
class LogOutput
{
public:
    /// \a stream and \a clock must outlive the output.
    [[nodiscard]] static std::unique_ptr<LogOutput> open(std::ostream &stream, LogLevel level, LogFormat format,
                                                         const Clock &clock);
    ~LogOutput();
    LogOutput(const LogOutput &) = delete;
    LogOutput &operator=(const LogOutput &) = delete;

    /// Lines dropped by this process so far.
    [[nodiscard]] static std::uint64_t dropped();
    /// Waits until all queued lines are written.
    void flush();

private:
    struct Sink;
    explicit LogOutput(std::unique_ptr<Sink> sink);
    std::unique_ptr<Sink> m_sink;
};

} // namespace mimosahub
