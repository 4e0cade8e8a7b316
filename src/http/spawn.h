#pragma once

#include "http/awaitable.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace mimosahub::http
{

/// Starts \a coroutine, which must report its own errors; an exception from it is
/// one of a cancelled operation and is dropped.
inline void spawn(boost::asio::io_context &io, Awaitable<void> coroutine)
{
    boost::asio::co_spawn(io, std::move(coroutine), [](const std::exception_ptr &) {});
}

} // namespace mimosahub::http
