// The coroutines of one call follow each other: each starts the next while it
// still has a last step to take.

#include "daemon/endpoint_call.h"

#include <boost/asio/steady_timer.hpp>

#include <criterion/criterion.h>

using namespace mimosahub;

namespace
{

constexpr auto kLongWait = std::chrono::seconds(30);

/// What the coroutines of the test share.
struct Scene {
    boost::asio::io_context io{1};
    SystemClock clock;
    http::MemoryAccount memory{clock, {}};
    std::shared_ptr<EndpointCall> call =
        std::make_shared<EndpointCall>(CallIdentity(), 0, memory, [](const RequestEvent &) {});
    bool cancelled = false;
};

http::Awaitable<void> waitLong(Scene &scene)
{
    boost::asio::steady_timer timer(scene.io, kLongWait);
    const auto [ec] = co_await timer.async_wait(http::kTuple);
    scene.cancelled = ec == boost::asio::error::operation_aborted;
}

http::Awaitable<void> startNext(Scene &scene)
{
    spawnFor(scene.io, scene.call, 0, waitLong(scene));
    co_return;
}

/// Ends without having waited for anything.
http::Awaitable<void> abandonItself(Scene &scene)
{
    scene.call->abandon();
    co_return;
}

} // namespace

Test(endpoint_call, abandoning_cancels_the_coroutine_that_an_earlier_one_started)
{
    Scene scene;
    spawnFor(scene.io, scene.call, 0, startNext(scene));
    scene.io.poll(); // The first coroutine takes its last step, the second waits.
    scene.call->abandon();
    scene.io.poll();
    cr_assert(scene.cancelled);
}

Test(endpoint_call, a_coroutine_abandoned_in_its_last_step_ends_without_an_exception_in_its_thread)
{
    Scene scene;
    spawnFor(scene.io, scene.call, 0, abandonItself(scene));
    bool thrown = false;
    try {
        scene.io.poll();
    } catch (const std::exception &) {
        thrown = true;
    }
    cr_assert(!thrown);
    cr_assert_eq(scene.call.use_count(), 1, "the coroutine still keeps the call");
}
