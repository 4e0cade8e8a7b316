#include "base/log.h"

#include "mimosahub/error.h"

#include <boost/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <future>
#include <sstream>

using namespace mimosahub;

Test(log, writes_text_from_its_level_on)
{
    std::ostringstream out;
    ManualClock clock;
    auto output = LogOutput::open(out, LogLevel::Info, LogFormat::Text, clock);
    logEvent(LogLevel::Debug, "hidden");
    logEvent(LogLevel::Info, "zone-out")
        .with("zone", ZoneId("east 1"))
        .with("offset", Offset(7))
        .with("after", std::chrono::seconds(2));
    logEvent(LogLevel::Error, "append-failed")
        .with(errorAt(absl::StatusCode::kUnavailable, Step::Append, "10.0.0.1:80", "refused"));
    output.reset();
    logEvent(LogLevel::Error, "after-the-end");
    const std::string expected =
        "2019-12-20T00:00:00.000Z info zone-out zone=\"east 1\" offset=7 after_ms=2000\n"
        "2019-12-20T00:00:00.000Z error append-failed step=append peer=10.0.0.1:80 error=refused\n";
    cr_assert(out.str() == expected, "%s", out.str().c_str());
}

namespace
{

// Blocks each write until it is opened, like a pipe that nobody reads.
class BlockedBuffer : public std::stringbuf
{
public:
    void open()
    {
        m_opened.set_value();
    }

protected:
    std::streamsize xsputn(const char *text, std::streamsize n) override
    {
        m_gate.wait();
        return std::stringbuf::xsputn(text, n);
    }

private:
    std::promise<void> m_opened;
    std::shared_future<void> m_gate = m_opened.get_future().share();
};

} // namespace

Test(log, a_blocked_stream_loses_lines_but_never_blocks)
{
    constexpr std::uint64_t kLines = 20'000;
    BlockedBuffer buf;
    std::ostream stream(&buf);
    ManualClock clock;
    auto output = LogOutput::open(stream, LogLevel::Info, LogFormat::Text, clock);
    for (std::uint64_t i = 0; i < kLines; ++i) {
        logEvent(LogLevel::Info, "tick").with("n", i);
    }
    const auto dropped = LogOutput::dropped();
    buf.open();
    output.reset();
    const auto text = buf.str();
    const auto written = static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n'));
    cr_assert(dropped > 0 && written > 0);
    cr_assert(written + dropped == kLines, "%lu written, %lu dropped", written, dropped);
}

Test(log, any_value_stays_on_its_line_and_reads_back)
{
    cr_assert(rc::check([](const std::string &value) {
        std::ostringstream out;
        ManualClock clock;
        auto output = LogOutput::open(out, LogLevel::Debug, LogFormat::Json, clock);
        const auto ascii = *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
        logEvent(LogLevel::Info, "x").with("raw", std::string_view(value)).with("ascii", std::string_view(ascii));
        output.reset();
        const auto line = out.str();
        RC_ASSERT(std::count(line.begin(), line.end(), '\n') == 1);
        boost::json::parse_options options;
        options.allow_invalid_utf8 = true;
        RC_ASSERT(boost::json::parse(line, {}, options).at("ascii").as_string() == ascii);
    }));
}

// A reader of the log must be able to parse each line, whatever the store's keys hold.
Test(log, a_value_that_is_not_utf8_leaves_the_line_readable)
{
    std::ostringstream out;
    ManualClock clock;
    auto output = LogOutput::open(out, LogLevel::Info, LogFormat::Json, clock);
    logEvent(LogLevel::Warning, "document-unreadable").with("key", "\xff\n\"/");
    output.reset();
    boost::json::error_code ec;
    const auto line = boost::json::parse(out.str(), ec);
    cr_assert(!ec, "%s", out.str().c_str());
    cr_assert(line.at("key").as_string() == "\xEF\xBF\xBD\n\"/", "%s", out.str().c_str());
}
