#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace mimosahub::http
{

/// What a connection's peer has done.
enum class SocketState {
    Silent, ///< Nothing to read.
    Readable, ///< Data waits.
    Closed, ///< It closed its side, or the connection broke.
};

/// Looks at \a socket without waiting and without taking data.
[[nodiscard]] SocketState stateOf(boost::asio::ip::tcp::socket &socket);

} // namespace mimosahub::http
