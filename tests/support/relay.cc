// One thread for each relay. Each direction of a link is a loop of reads and
// writes; a direction that is cut polls until the cut has ended, so that nothing
// is read and nothing gets lost. The kernel's tables say which process opened a
// connection, since all addresses on this machine are alike.

#include "tests/support/relay.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/filesystem.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <optional>
#include <sstream>
#include <vector>

namespace mimosahub::testing
{

namespace
{

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr auto kHeldBackPoll = std::chrono::milliseconds(20);
constexpr std::size_t kBufferBytes = std::size_t(64) * 1024;

/// The inode of the socket of this machine whose local port is \a port and
/// whose other end is at \a peerPort.
std::optional<std::string> inodeOf(std::uint16_t port, std::uint16_t peerPort)
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::array<std::string, 10> field;
        for (auto &it : field) {
            fields >> it;
        }
        const auto portOf = [](const std::string &address) {
            return std::stoul(address.substr(address.find(':') + 1), nullptr, 16);
        };
        if (portOf(field[1]) == port && portOf(field[2]) == peerPort) {
            return field[9];
        }
    }
    return std::nullopt;
}

/// Whether the process \a pid has the socket \a inode open.
bool holds(int pid, const std::string &inode)
{
    const auto wanted = "socket:[" + inode + "]";
    error_code ec;
    const boost::filesystem::path folder("/proc/" + std::to_string(pid) + "/fd");
    for (boost::filesystem::directory_iterator it(folder, ec), end; !ec && it != end; it.increment(ec)) {
        error_code gone;
        if (boost::filesystem::read_symlink(it->path(), gone).string() == wanted) {
            return true;
        }
    }
    return false;
}

} // namespace

/// One connection and its continuation.
struct Relay::Link {
    explicit Link(tcp::socket from) : near(std::move(from)), far(near.get_executor())
    {
        timers.reserve(2);
        timers.emplace_back(near.get_executor());
        timers.emplace_back(near.get_executor());
    }

    void close()
    {
        error_code ec;
        near.close(ec);
        far.close(ec);
    }

    void reset()
    {
        error_code ec;
        near.set_option(tcp::socket::linger(true, 0), ec);
        far.set_option(tcp::socket::linger(true, 0), ec);
        close();
    }

    bool silent = false; ///< For good.
    tcp::socket near;
    tcp::socket far;
    std::string inode; ///< Of the socket of the process that opened it.
    int opener = 0; ///< That process, once a cut from it has held the link back.
    std::array<std::array<char, kBufferBytes>, 2> buffers{};
    std::vector<boost::asio::steady_timer> timers;
};

Relay::Relay() : m_acceptor(m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
{
    m_port = m_acceptor.local_endpoint().port();
    accept();
    m_thread = std::thread([this] { m_io.run(); });
}

Relay::~Relay()
{
    m_io.stop();
    m_thread.join();
}

void Relay::change(std::function<void()> work)
{
    boost::asio::post(m_io, std::move(work));
}

void Relay::setTarget(std::uint16_t port)
{
    change([this, port] { m_target = port; });
}

void Relay::cutAll(bool on)
{
    change([this, on] { m_allCut = on; });
}

void Relay::cutAnswers(bool on)
{
    change([this, on] { m_answersCut = on; });
}

void Relay::delay(std::chrono::milliseconds time)
{
    change([this, time] { m_delay = time; });
}

std::vector<std::shared_ptr<Relay::Link>> Relay::openLinks()
{
    std::vector<std::shared_ptr<Link>> open;
    for (const auto &it : m_links) {
        if (auto link = it.lock()) {
            open.push_back(std::move(link));
        }
    }
    m_links.assign(open.begin(), open.end());
    return open;
}

void Relay::resetOpen()
{
    change([this] {
        for (const auto &link : openLinks()) {
            link->reset();
        }
    });
}

void Relay::silenceOpen()
{
    change([this] {
        for (const auto &link : openLinks()) {
            link->silent = true;
        }
    });
}

void Relay::cutFrom(int pid, bool on)
{
    change([this, pid, on] {
        if (on) {
            m_cutPids.insert(pid);
        } else {
            m_cutPids.erase(pid);
        }
    });
}

/// A process that gives up waiting closes its socket; what it had sent before
/// stays held back, so the opener is kept once it is found.
bool Relay::isCut(Link &link) const
{
    if (m_target == 0 || m_allCut || link.silent || m_cutPids.contains(link.opener)) {
        return true;
    }
    const auto it = std::find_if(m_cutPids.begin(), m_cutPids.end(), [&](int pid) { return holds(pid, link.inode); });
    if (it != m_cutPids.end()) {
        link.opener = *it;
    }
    return it != m_cutPids.end();
}

void Relay::accept()
{
    m_acceptor.async_accept([this](error_code ec, tcp::socket socket) {
        if (ec) {
            return;
        }
        auto link = std::make_shared<Link>(std::move(socket));
        const auto peer = link->near.remote_endpoint(ec);
        if (!ec) {
            link->inode = inodeOf(peer.port(), m_port).value_or("");
            static_cast<void>(openLinks());
            m_links.push_back(link);
            open(link);
        }
        accept();
    });
}

void Relay::open(const std::shared_ptr<Link> &link)
{
    if (isCut(*link)) {
        link->timers[0].expires_after(kHeldBackPoll);
        link->timers[0].async_wait([this, link](error_code) { open(link); });
        return;
    }
    const tcp::endpoint target(boost::asio::ip::address_v4::loopback(), m_target);
    link->far.async_connect(target, [this, link](error_code ec) {
        if (ec) {
            link->close();
            return;
        }
        pump(link, true);
        pump(link, false);
    });
}

void Relay::pump(const std::shared_ptr<Link> &link, bool forward)
{
    auto &from = forward ? link->near : link->far;
    const auto side = forward ? 0U : 1U;
    from.async_wait(tcp::socket::wait_read, [this, link, forward, side, &from](error_code ec) {
        if (ec) {
            link->close();
            return;
        }
        if (isCut(*link) || (m_answersCut && !forward)) {
            link->timers[side].expires_after(kHeldBackPoll);
            link->timers[side].async_wait([this, link, forward](error_code) { pump(link, forward); });
            return;
        }
        from.async_read_some(boost::asio::buffer(link->buffers.at(side)),
                             [this, link, forward, side](error_code readError, std::size_t n) {
                                 if (readError) {
                                     link->close();
                                     return;
                                 }
                                 link->timers[side].expires_after(m_delay);
                                 link->timers[side].async_wait(
                                     [this, link, forward, n](error_code) { pass(link, forward, n); });
                             });
    });
}

/// Writes what pump() has read.
void Relay::pass(const std::shared_ptr<Link> &link, bool forward, std::size_t bytes)
{
    auto &to = forward ? link->far : link->near;
    boost::asio::async_write(to, boost::asio::buffer(link->buffers.at(forward ? 0U : 1U), bytes),
                             [this, link, forward](error_code ec, std::size_t) {
                                 if (ec) {
                                     link->close();
                                 } else {
                                     pump(link, forward);
                                 }
                             });
}

} // namespace mimosahub::testing
