#include "daemon/log_loop.h"

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

/// Longer than the longest delay of the follower's own.
constexpr Duration kRetryAfter = 20s;

/// A log that limits the rate of reads.
class LimitedLog : public SharedLog
{
public:
    http::Awaitable<AppendAnswer> append(std::string /*data*/) override
    {
        co_return AppendAnswer{};
    }
    http::Awaitable<ReadAnswer> read(Offset /*from*/, std::size_t /*limit*/) override
    {
        ++reads;
        co_return ReadAnswer{errorAt(absl::StatusCode::kUnavailable, Step::ReadLog, "", "429"), kRetryAfter};
    }

    int reads = 0;
};

} // namespace

Test(log_loop, reads_no_sooner_than_the_log_asked_for)
{
    ManualClock clock;
    LimitedLog log;
    boost::asio::io_context io(1);
    LogLoop loop(io, clock, log, {});
    const auto settle = [&] {
        loop.wake(); // Wakes the loop, which looks at the clock anew.
        io.restart();
        io.poll();
    };
    loop.start();
    settle();
    cr_assert_eq(log.reads, 1);
    clock.advance(kRetryAfter - 1ms);
    settle();
    cr_assert_eq(log.reads, 1, "the log was read before the time it had asked for");
    clock.advance(1ms);
    settle();
    cr_assert_eq(log.reads, 2);
    loop.stop();
    io.restart();
    io.poll();
}
