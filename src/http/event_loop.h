#pragma once

#include <boost/asio/io_context.hpp>

#include <string_view>

namespace mimosahub::http
{

/// Runs the handlers of \a io until it is stopped or out of work. An exception ends
/// only the handler that throws it; it is logged with \a thread, the loop's name.
void runEventLoop(boost::asio::io_context &io, std::string_view thread);

} // namespace mimosahub::http
