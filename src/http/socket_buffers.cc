// A connection's window can't exceed what its listener's buffer allowed when it was opened, unless its
// clamp is raised too. The kernel advertises half of the buffer.

#include "http/socket_buffers.h"

#include <netinet/tcp.h>

namespace mimosahub::http
{

void widenReceiveWindow(boost::asio::ip::tcp::socket &socket, int bytes)
{
    using WindowClamp = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_WINDOW_CLAMP>;
    boost::system::error_code ec;
    socket.set_option(boost::asio::socket_base::receive_buffer_size(bytes), ec);
    socket.set_option(WindowClamp(bytes), ec);
}

} // namespace mimosahub::http
