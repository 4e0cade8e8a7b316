#include "http/event_loop.h"

#include <boost/asio/post.hpp>

#include <criterion/criterion.h>
#include <stdexcept>

using namespace mimosahub;

// It ended the thread, and with it the process.
Test(event_loop, an_exception_ends_only_the_handler_that_throws_it)
{
    boost::asio::io_context io(1);
    int done = 0;
    for (int i = 0; i < 3; ++i) {
        boost::asio::post(io, [] { throw std::runtime_error("odd"); });
        boost::asio::post(io, [&] { ++done; });
    }
    http::runEventLoop(io, "test");
    cr_assert_eq(done, 3);
}
