#pragma once

#include "http/message.h"
#include "http/socket_state.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <list>
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
        m_ended = false;
        m_waited = m_limit;
        m_timer.expires_after(m_waited);
        wait();
    }
    void stop()
    {
        ++m_round;
        m_timer.cancel();
    }
    /// Ends the wait, unless bytes of the next request have come; true if it did.
    bool endUnlessReadable()
    {
        if (stateOf(m_socket) == SocketState::Readable) {
            return false;
        }
        m_ended = true;
        boost::system::error_code ec;
        m_socket.cancel(ec);
        return true;
    }
    /// Whether the present wait was ended, so that its read ends soon.
    [[nodiscard]] bool ended() const
    {
        return m_ended;
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
        } else {
            endUnlessReadable(); // If there are bytes, its read is about to end.
        }
    }

    asio::ip::tcp::socket &m_socket;
    const Duration &m_limit;
    asio::steady_timer m_timer;
    bool m_ended = false;
    Duration m_waited{}; ///< The limit that the timer waits for.
    std::uint64_t m_round = 0; ///< A timer that has expired can't be cancelled any more.
};

/// The connections of a server that wait for their next request, the longest-idle first.
class IdleConnections
{
public:
    /// One connection's place; it is idle for as long as this lives.
    class Place
    {
    public:
        /// Both arguments must outlive this object.
        Place(IdleConnections &connections, IdleWatch &watch)
            : m_watches(connections.m_watches), m_place(m_watches.insert(m_watches.end(), &watch))
        {
        }
        ~Place()
        {
            m_watches.erase(m_place);
        }
        Place(const Place &) = delete;
        Place &operator=(const Place &) = delete;

    private:
        std::list<IdleWatch *> &m_watches;
        std::list<IdleWatch *>::iterator m_place;
    };

    /// Ends the wait of the longest-idle connection of which no byte of the next request
    /// has come; false if there is none among those that are looked at.
    bool endLongest()
    {
        int looks = 0;
        for (auto *watch : m_watches) {
            if (watch->ended()) {
                continue;
            }
            if (watch->endUnlessReadable()) {
                return true;
            }
            if (++looks == kMaxLooks) {
                return false;
            }
        }
        return false;
    }

private:
    static constexpr int kMaxLooks = 16; ///< Each is a system call.

    std::list<IdleWatch *> m_watches;
};

} // namespace mimosahub::http
