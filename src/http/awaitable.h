#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include <chrono>
#include <exception>

/// Coroutines of Asio, as this project uses them.
namespace mimosahub::http
{

template<typename T>
using Awaitable = boost::asio::awaitable<T>;

/// Makes an operation of Asio give its error code instead of throwing it.
constexpr auto kTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Whether \a error ended a coroutine because it was cancelled.
inline bool isCancellation(const std::exception &error)
{
    const auto *systemError = dynamic_cast<const boost::system::system_error *>(&error);
    return systemError != nullptr && systemError->code() == boost::asio::error::operation_aborted;
}

/// Waits until somebody cancels \a timer, or an hour has passed.
inline Awaitable<void> sleepOn(boost::asio::steady_timer &timer)
{
    timer.expires_after(std::chrono::hours(1));
    co_await timer.async_wait(kTuple);
}

} // namespace mimosahub::http
