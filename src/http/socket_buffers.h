#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace mimosahub::http
{

/// Bytes that the kernel may hold for connections: they count against the process's memory. The
/// kernel takes twice as many for its own bookkeeping.
constexpr int kCallerReceiveBytes = 16 * 1024; ///< Before a large body is admitted.
constexpr int kBodyReceiveBytes = 64 * 1024; ///< While a large body is read: 640 KiB/s at a round trip of 100 ms.
constexpr int kCallerSendBytes = 16 * 1024;
constexpr int kPeerReceiveBytes = 32 * 1024; ///< For messages of other daemons.
constexpr int kEndpointReceiveBytes = 32 * 1024;
constexpr int kEndpointSendBytes = 64 * 1024;

/// Lets the peer of \a socket send \a bytes ahead, more than when it connected. Errors are ignored: the
/// connection then goes on with its present window.
void widenReceiveWindow(boost::asio::ip::tcp::socket &socket, int bytes);

} // namespace mimosahub::http
