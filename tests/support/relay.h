#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <thread>
#include <vector>

namespace mimosahub::testing
{

/// A TCP relay to one port of this machine, on a port that the system chose,
/// with a switch for a cut of the network. What comes during a cut is held back
/// without a word; the cut's end delivers it, as the network's own repeats would.
class Relay
{
public:
    Relay();
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }
    /// Sets where connections go; they wait until then.
    void setTarget(std::uint16_t port);
    /// Cuts all connections, or ends that cut.
    void cutAll(bool on);
    /// Holds back only what the target answers, or ends that.
    void cutAnswers(bool on);
    /// Delays each piece of data by \a time.
    void delay(std::chrono::milliseconds time);
    /// Resets all connections that are open.
    void resetOpen();
    /// All connections that are open fall silent for good; new ones work.
    void silenceOpen();
    /// Cuts the connections that the process \a pid opened or opens, or ends that cut.
    void cutFrom(int pid, bool on);

private:
    struct Link;

    void accept();
    void open(const std::shared_ptr<Link> &link);
    void pump(const std::shared_ptr<Link> &link, bool forward);
    void pass(const std::shared_ptr<Link> &link, bool forward, std::size_t bytes);
    [[nodiscard]] bool isCut(Link &link) const;
    [[nodiscard]] std::vector<std::shared_ptr<Link>> openLinks();
    void change(std::function<void()> work);

    boost::asio::io_context m_io{1};
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::uint16_t m_target = 0;
    bool m_allCut = false;
    bool m_answersCut = false;
    std::chrono::milliseconds m_delay{0};
    std::vector<std::weak_ptr<Link>> m_links;
    std::set<int> m_cutPids;
    std::thread m_thread;
};

} // namespace mimosahub::testing
