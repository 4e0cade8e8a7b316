// Peeks one byte: the system tells an end of stream from silence only to who reads.

#include "http/socket_state.h"

#include <cerrno>
#include <sys/socket.h>

namespace mimosahub::http
{

SocketState stateOf(boost::asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
        return SocketState::Readable;
    }
    const bool silent = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return silent ? SocketState::Silent : SocketState::Closed;
}

} // namespace mimosahub::http
