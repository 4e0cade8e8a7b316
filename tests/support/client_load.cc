// Each connection has a round: what was begun on an earlier connection of the same client is ignored
// when it completes.

#include "tests/support/client_load.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace mimosahub::testing
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::string_view kIdMark = "{id}";
constexpr std::uint32_t kFirstAddress = 0x7F000002; ///< 127.0.0.2
constexpr std::size_t kReadSize = 4096;

} // namespace

struct ClientLoad::Client {
    Client(asio::io_context &io, int index) : socket(io), number(index)
    {
    }
    tcp::socket socket;
    int number;
    std::string begin;
    std::size_t sent = 0; ///< Repetitions.
    int round = 0; ///< Connections so far.
    bool counted = false; ///< As ended.
    std::array<char, kReadSize> dropped{};
};

ClientLoad::ClientLoad(const ClientLoadOptions &options, ClientBytes bytes)
    : m_options(options), m_bytes(std::move(bytes))
{
    for (int i = 0; i < options.count; ++i) {
        auto client = std::make_shared<Client>(m_io, i);
        if (connect(*client)) {
            ++m_connected;
            m_clients.push_back(client);
        }
    }
    for (const auto &client : m_clients) {
        sendNext(client);
        readOn(client);
    }
    m_thread = std::thread([this] { m_io.run(); });
}

ClientLoad::~ClientLoad()
{
    m_io.stop();
    m_thread.join();
}

bool ClientLoad::connect(Client &client)
{
    Error ec;
    client.socket.close(ec);
    client.socket.open(tcp::v4(), ec);
    const auto address = static_cast<std::uint32_t>(client.number % m_options.addresses);
    client.socket.bind({asio::ip::address_v4(kFirstAddress + address), 0}, ec);
    client.socket.connect({asio::ip::address_v4::loopback(), m_options.port}, ec);
    if (ec) {
        return false;
    }
    client.begin = m_bytes.begin;
    if (const auto at = client.begin.find(kIdMark); at != std::string::npos) {
        const auto id = "client-" + std::to_string(client.number) + "-" + std::to_string(client.round);
        client.begin.replace(at, kIdMark.size(), id);
    }
    client.sent = 0;
    ++client.round;
    return true;
}

void ClientLoad::sendNext(const std::shared_ptr<Client> &client)
{
    const auto *piece = &client->begin;
    if (client->sent > 0) {
        piece = client->sent <= m_bytes.times ? &m_bytes.repeated : &m_bytes.end;
    }
    const bool last = client->sent > m_bytes.times;
    ++client->sent;
    asio::async_write(client->socket, asio::buffer(*piece),
                      [this, client, last, round = client->round](const Error &ec, std::size_t) {
                          if (round != client->round) {
                              return;
                          }
                          if (!ec && !last) {
                              sendNext(client);
                          } else if (!client->counted) {
                              client->counted = true;
                              ++m_ended;
                          }
                      });
}

void ClientLoad::readOn(const std::shared_ptr<Client> &client)
{
    if (m_options.returns == 0) {
        return;
    }
    client->socket.async_read_some(asio::buffer(client->dropped),
                                   [this, client, round = client->round](const Error &ec, std::size_t) {
                                       if (round != client->round) {
                                           return;
                                       }
                                       if (ec) {
                                           connectionEnded(client);
                                       } else {
                                           readOn(client);
                                       }
                                   });
}

void ClientLoad::connectionEnded(const std::shared_ptr<Client> &client)
{
    if (client->round <= m_options.returns && connect(*client)) {
        sendNext(client);
        readOn(client);
    }
}

} // namespace mimosahub::testing
