#pragma once

#include "http/message.h"
#include "http/socket_state.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>

namespace mimosahub::http
{

/// Ends the wait for a connection's next request after the idle limit. A limit that is
/// raised meanwhile holds for the present wait too, since callers go by the one in force.
class IdleWatch : public std::enable_shared_from_this<IdleWatch>
{
public:
    /// \a socket and \a limit must be valid from each start() to the next stop().
    IdleWatch(asio::ip::tcp::socket &socket, const Duration &limit)
        : m_socket(socket), m_limit(limit), m_timer(socket.get_executor())
    {
    }

    void start()
    {
        m_waited = m_limit;
        m_timer.expires_after(m_waited);
        wait();
    }
    void stop()
    {
        ++m_round;
        m_timer.cancel();
    }

private:
    void wait()
    {
        m_timer.async_wait([self = shared_from_this(), round = m_round](const boost::system::error_code &ec) {
            if (!ec && round == self->m_round) {
                self->expired();
            }
        });
    }
    void expired()
    {
        if (m_waited < m_limit) {
            m_timer.expires_at(m_timer.expiry() + (m_limit - m_waited));
            m_waited = m_limit;
            wait();
        } else if (stateOf(m_socket) != SocketState::Readable) { // Otherwise its read is about to end.
            boost::system::error_code ec;
            m_socket.cancel(ec);
        }
    }

    asio::ip::tcp::socket &m_socket;
    const Duration &m_limit;
    asio::steady_timer m_timer;
    Duration m_waited{}; ///< The limit that the timer waits for.
    std::uint64_t m_round = 0; ///< A timer that has expired can't be cancelled any more.
};

} // namespace mimosahub::http
