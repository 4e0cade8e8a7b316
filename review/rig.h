#pragma once

#include <boost/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Stand-ins for the platform, servers and requesters, each a thread with blocking sockets on a
/// loopback address, and daemons as separate processes.
namespace review
{

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Whether the case is to be disrupted; false if the variable TROUBLE is 0.
[[nodiscard]] bool troubled();
/// Milliseconds since the start of the program.
[[nodiscard]] std::int64_t sinceStart();
void sleepFor(Milliseconds time);
/// Waits until \a holds gives true; false after \a longest.
[[nodiscard]] bool eventually(const std::function<bool()> &holds, Milliseconds longest);

/// All of \a parts, one after the other.
[[nodiscard]] std::string concat(std::initializer_list<std::string_view> parts);

/// Lines with the time since the start, in the file that the variable RECORD names.
void record(const std::string &line);

/// A request or an answer.
struct Message {
    std::string start; ///< The first line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool whole = false; ///< The body ended as its framing says.

    [[nodiscard]] std::string field(const std::string &name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] std::string path() const;
    /// The value of \a name in the query; empty if there is none.
    [[nodiscard]] std::string query(const std::string &name) const;
    [[nodiscard]] int status() const;
};

/// An answer with \a body and \a fields, and its length.
[[nodiscard]] std::string answer(int status, const std::vector<std::pair<std::string, std::string>> &fields,
                                 const std::string &body);
/// The head of an answer that goes on in chunks.
[[nodiscard]] std::string chunkedHead(int status, const std::vector<std::pair<std::string, std::string>> &fields);
[[nodiscard]] std::string chunk(const std::string &data);

/// One channel.
class Channel
{
public:
    explicit Channel(int fd) : m_fd(fd)
    {
    }
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /// Connects to \a port of 127.0.0.1; null if nothing listens there.
    [[nodiscard]] static std::unique_ptr<Channel> open(std::uint16_t port);
    [[nodiscard]] bool write(const std::string &bytes);
    /// The next message; absent if the channel ends before its head does.
    [[nodiscard]] std::optional<Message> read(bool isAnswer);
    /// No read waits longer than \a time.
    void limitReads(Milliseconds time);
    /// Whether the other end has closed the channel.
    [[nodiscard]] bool closed();
    /// Ends the channel with a reset.
    void reset();
    void shutdown();

private:
    bool fill();
    std::optional<std::string> line();

    int m_fd;
    std::string m_buffer;
};

/// Listens on a free port and serves each channel on a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(Channel &)>;

    Listener() = default;
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    void start(Serve serve);
    /// Ends all channels and waits for their threads; nothing listens afterwards.
    void stop();
    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

private:
    void accept();

    Serve m_serve;
    int m_fd = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
    std::mutex m_mutex;
    std::list<std::shared_ptr<Channel>> m_channels;
    std::list<std::thread> m_threads;
};

/// How the platform's store misbehaves.
enum class StoreFault {
    None,
    Refusing, ///< Answers 503; nothing is done.
    Silent, ///< Doesn't answer.
};

/// The platform's store: its keyed topics with one partition.
class Store
{
public:
    Store();
    ~Store();

    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);
    [[nodiscard]] std::uint16_t port() const
    {
        return m_listener.port();
    }
    void setFault(StoreFault fault);
    /// The newest value of \a key; empty if there is none.
    [[nodiscard]] std::string value(const std::string &topic, const std::string &key);

private:
    struct Record {
        std::string key;
        std::optional<std::string> value;
    };
    void serve(Channel &channel);
    std::string read(const Message &request);
    std::string newest(const Message &request);
    std::string append(const Message &request);

    std::mutex m_mutex;
    std::condition_variable m_news;
    bool m_stopped = false;
    StoreFault m_fault = StoreFault::None;
    std::map<std::string, std::vector<Record>> m_topics;
    Listener m_listener;
};

/// What a server writes of itself into the store.
struct ServerEntry {
    std::string id;
    std::string service;
    std::string zone = "z1";
    std::string version = "v1";
    std::string state = "ready";
    std::uint16_t port = 0;
    int slots = 8;
    int coldLeftMs = 0;
    std::int64_t born = 1'790'000'000'000;

    [[nodiscard]] std::string document(std::int64_t seq) const;
};

/// Lists servers in the store and renews their entries.
class Registry
{
public:
    explicit Registry(Store &store);
    ~Registry();

    void list(const ServerEntry &entry);
    void unlist(const std::string &id);
    /// The server says nothing more; its entry stays.
    void forget(const std::string &id);

private:
    void renew();

    Store &m_store;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopped = false;
    std::int64_t m_seq = 0;
    std::map<std::string, ServerEntry> m_entries;
    std::thread m_thread;
};

/// The settings of deploy/gateway.json that differ between daemons.
struct DaemonOptions {
    std::string id;
    std::string zone = "z1";
    std::uint16_t storePort = 0;
};

/// A daemon: target/mimosahubd with settings as of deploy/gateway.json.
class Daemon
{
public:
    explicit Daemon(DaemonOptions options);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void start();
    void signal(int number) const;
    /// Waits for the end of the process; its status as of waitpid().
    int wait();
    [[nodiscard]] bool running();
    [[nodiscard]] bool ready() const;
    /// Its metrics, as text.
    [[nodiscard]] std::string metrics() const;
    [[nodiscard]] std::uint16_t callers() const
    {
        return m_callers;
    }
    [[nodiscard]] std::string logFile() const;

private:
    DaemonOptions m_options;
    std::uint16_t m_callers;
    std::uint16_t m_readiness;
    std::uint16_t m_peers;
    std::uint16_t m_metrics;
    pid_t m_pid = -1;
};

/// A port on which nothing listens.
[[nodiscard]] std::uint16_t freePort();
/// The folder for settings and logs of this run; emptied at the end.
[[nodiscard]] const std::string &scratch();

/// Ends the program: 2 if it could not run.
[[noreturn]] void cannotRun(const std::string &why);

} // namespace review
