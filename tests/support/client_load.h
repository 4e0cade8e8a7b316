#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace mimosahub::testing
{

/// What one client sends: \a begin, then \a repeated so many times, then \a end. "{id}" in \a begin
/// stands for a name of its own.
struct ClientBytes {
    std::string begin;
    std::string repeated = {};
    std::size_t times = 0;
    std::string end = {};
};

/// Who sends.
struct ClientLoadOptions {
    std::uint16_t port = 0; ///< Of the daemon, on the loopback address.
    int count = 1; ///< Clients, each on a connection of its own.
    int addresses = 1; ///< Addresses of 127.0.0.0/8 from which they connect in turn.
    int returns = 0; ///< How often each connects anew at once after its connection has ended.
};

/// Clients that each send the same bytes as fast as the daemon takes them. Those that don't return
/// read nothing and stay connected until the load is destroyed; the others read and drop what comes,
/// so that they see the end of their connection. One thread for all.
class ClientLoad
{
public:
    ClientLoad(const ClientLoadOptions &options, ClientBytes bytes);
    ~ClientLoad();
    ClientLoad(const ClientLoad &) = delete;
    ClientLoad &operator=(const ClientLoad &) = delete;

    /// Clients that have sent all that they had, or whose connection the daemon has closed.
    [[nodiscard]] int ended() const
    {
        return m_ended;
    }
    /// Clients whose first connection was made.
    [[nodiscard]] int connected() const
    {
        return m_connected;
    }

private:
    struct Client;

    bool connect(Client &client);
    void sendNext(const std::shared_ptr<Client> &client);
    void readOn(const std::shared_ptr<Client> &client);
    void connectionEnded(const std::shared_ptr<Client> &client);

    const ClientLoadOptions m_options;
    const ClientBytes m_bytes;
    boost::asio::io_context m_io{1};
    std::vector<std::shared_ptr<Client>> m_clients;
    int m_connected = 0;
    std::atomic<int> m_ended{0};
    std::thread m_thread;
};

} // namespace mimosahub::testing
