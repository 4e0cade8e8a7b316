// Stand-ins and helpers for the cases of the third review: a small HTTP/1.1 layer on blocking
// sockets, the platform's store, servers that register themselves there, the project's daemon as
// a process, and clients. Everything is on 127.0.0.1 and the real clock.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace rig
{

/// Milliseconds of the steady clock.
std::int64_t nowMs();
void sleepMs(std::int64_t ms);
/// Unix time in milliseconds.
std::int64_t wallMs();

/// The file record.txt in the case's folder.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::FILE *m_file;
    std::int64_t m_begin;
};

/// A connected socket with a read buffer.
class Conn
{
public:
    explicit Conn(int fd) : m_fd(fd)
    {
    }
    ~Conn();
    Conn(const Conn &) = delete;
    Conn &operator=(const Conn &) = delete;

    /// Null if the connection is refused or not established in time.
    static std::unique_ptr<Conn> open(int port, int timeoutMs);
    bool write(const std::string &bytes);
    /// Reads more into the buffer. False at the end, on an error or after the time.
    bool fill(std::int64_t untilMs);
    bool readLine(std::string &line, std::int64_t untilMs);
    bool readExactly(std::string &out, std::size_t n, std::int64_t untilMs);
    /// Whether the peer has closed its side.
    bool peerClosed();
    /// Resets the connection.
    void reset();
    bool timedOut() const
    {
        return m_timedOut;
    }
    bool sawEnd() const
    {
        return m_end;
    }
    std::string &buffer()
    {
        return m_buffer;
    }
    int fd() const
    {
        return m_fd;
    }

private:
    int m_fd;
    std::string m_buffer;
    bool m_timedOut = false;
    bool m_end = false;
};

struct Message {
    std::string start; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> fields; ///< Names in lower case.
    std::string body;

    std::string field(const std::string &name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

enum class ReadResult {
    Whole,
    Broken,
    Timeout
};

/// Reads a whole request.
ReadResult readRequest(Conn &conn, Message &message, std::int64_t untilMs);
/// Reads an answer; \a onData is called with each part of the body as it comes.
ReadResult readAnswer(Conn &conn, Message &message, std::int64_t untilMs,
                      const std::function<void(const std::string &)> &onData = {});

/// A listening port with a thread for each connection.
class HttpServer
{
public:
    /// False ends the connection.
    using Handler = std::function<bool(Conn &, Message &)>;

    explicit HttpServer(Handler handler);
    ~HttpServer();
    int port() const
    {
        return m_port;
    }
    void stop();

private:
    void acceptLoop();

    Handler m_handler;
    int m_listen = -1;
    int m_port = 0;
    std::atomic<bool> m_stopped{false};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Conn>> m_conns;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

std::string answerText(int status, const std::string &fields, const std::string &body);

/// The platform's store, as far as the daemons use it: keyed topics with one partition.
class Store
{
public:
    Store();
    int port() const
    {
        return m_server->port();
    }
    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);
    std::optional<std::string> value(const std::string &topic, const std::string &key);
    void stop();

private:
    struct Item {
        std::string key;
        std::optional<std::string> value;
    };
    bool handle(Conn &conn, Message &request);
    std::string read(const Message &request);
    std::string newest(const Message &request);
    std::string append(const Message &request);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Item>> m_topics;
    bool m_stopped = false;
    std::unique_ptr<HttpServer> m_server;
};

struct Entry {
    std::string id;
    std::string service;
    std::string zone = "z1";
    std::string version = "v1";
    int slots = 8;
    int port = 0;
    std::string state = "ready";
};

/// Writes the entry of a server every 1.2 s until it is destroyed.
class Heartbeat
{
public:
    Heartbeat(Store &store, Entry entry);
    ~Heartbeat();
    void setState(const std::string &state);
    /// Ends the heartbeats; with \a remove the entry is removed.
    void stop(bool remove);

private:
    void write();

    Store &m_store;
    Entry m_entry;
    std::int64_t m_born;
    std::int64_t m_seq = 0;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopped = false;
    std::thread m_thread;
};

struct DaemonOptions {
    std::string id = "front-z1-1";
    std::string zone = "z1";
    int memoryMb = 260;
    int descriptors = 4100;
    int budgetExtra = 54;
    std::string ip = "127.0.0.1";
};

/// The project's daemon, started as the deploy file says.
class Daemon
{
public:
    Daemon(const DaemonOptions &options, int storePort, const std::string &folder);
    ~Daemon();
    bool start();
    bool waitReady(int timeoutMs);
    void signal(int number);
    /// Waits for its end; false if it still runs.
    bool waitEnd(int timeoutMs);
    bool running();
    int callers() const
    {
        return m_callers;
    }
    int metrics() const
    {
        return m_metrics;
    }
    std::string log() const
    {
        return m_folder + "/" + m_options.id + ".log";
    }
    const std::string &id() const
    {
        return m_options.id;
    }
    pid_t pid() const
    {
        return m_pid;
    }
    int exitStatus() const
    {
        return m_status;
    }

private:
    DaemonOptions m_options;
    std::string m_folder;
    std::string m_settings;
    int m_callers = 0;
    int m_ready = 0;
    int m_peers = 0;
    int m_metrics = 0;
    pid_t m_pid = -1;
    int m_status = 0;
};

int freePort();
/// A random hexadecimal id.
std::string newId();
/// Whether the disruption is on: TROUBLE is not 0.
bool trouble();
/// The folder for files of a run, removed at the end of the process.
std::string temporaryFolder();

} // namespace rig
