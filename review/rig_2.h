#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

/// Stand-ins of the second review: a store, servers and callers on blocking sockets and
/// threads, without any of the project's code, and daemons as processes.
namespace review2
{

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;

constexpr int kHeld = 0; ///< Exit code: the rule held.
constexpr int kBroken = 1; ///< Exit code: the rule was broken.
constexpr int kNotRun = 2; ///< Exit code: the case could not run.

/// Unix milliseconds.
[[nodiscard]] std::int64_t wallMillis();

/// Whether the disruption takes place: not with TROUBLE=0 in the environment.
[[nodiscard]] bool isTroubled();

/// Lines with the time since the start, in record.txt of a case's folder. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text);
    [[nodiscard]] double seconds() const;

private:
    std::mutex m_mutex;
    int m_file = -1;
    TimePoint m_start = Clock::now();
};

/// A message of HTTP/1.1: its first line, headers and body.
struct Message {
    std::string first;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// The value of header \a name, or empty.
    [[nodiscard]] std::string header(std::string_view name) const;
    /// The second word of the first line: a request's target or an answer's status.
    [[nodiscard]] std::string second() const;
    [[nodiscard]] int status() const;
};

/// How reading a message ended.
enum class Ending {
    Whole,
    Closed, ///< By an end of stream or a reset, before its end.
    Late,
};

/// A connected socket that is closed when destroyed.
class Channel
{
public:
    explicit Channel(int fd = -1) : m_fd(fd)
    {
    }
    ~Channel();
    Channel(Channel &&other) noexcept;
    Channel &operator=(Channel &&other) noexcept;
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /// Connects to a port of 127.0.0.1; not open if that fails or takes longer than \a patience.
    static Channel connect(std::uint16_t port, Millis patience = Millis(1000));

    [[nodiscard]] bool isOpen() const
    {
        return m_fd >= 0;
    }
    [[nodiscard]] int fd() const
    {
        return m_fd;
    }
    /// Sends all of \a bytes; false if the peer has gone or takes nothing for ten seconds.
    bool send(std::string_view bytes);
    /// Reads a whole message until \a end.
    Ending read(Message &message, TimePoint end);
    /// Whether the peer has closed it.
    [[nodiscard]] bool isClosedByPeer() const;
    void close();

private:
    Ending more(TimePoint end);
    Ending readLine(std::string &line, TimePoint end);
    Ending readBytes(std::string &to, std::size_t count, TimePoint end);
    Ending readChunks(std::string &to, TimePoint end);

    int m_fd = -1;
    std::string m_buffer;
};

/// Listens on a free port of 127.0.0.1 and serves each connection on a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(Channel &)>;

    explicit Listener(Serve serve);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }
    /// Closes the port and all connections.
    void stop();
    [[nodiscard]] bool stopped() const
    {
        return m_stopped;
    }

private:
    void acceptLoop();

    Serve m_serve;
    int m_fd = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopped{false};
    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::set<int> m_open;
    int m_serving = 0;
    std::thread m_thread;
};

/// The platform's store: keyed topics, appends, reads that wait, and pages of newest records.
class Store
{
public:
    Store();
    [[nodiscard]] std::uint16_t port() const
    {
        return m_listener.port();
    }
    /// Appends as an operator or server does; an empty value drops the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// The newest value of a key, or empty.
    [[nodiscard]] std::string value(const std::string &topic, const std::string &key);
    void stop();

private:
    struct Item {
        std::string key;
        std::string value;
        std::string bytes;
    };
    void serve(Channel &channel);
    std::string answer(const Message &request);
    std::string append(const std::string &topic, const std::string &query, const std::string &body);
    std::string read(const std::string &topic, const std::string &query);
    std::string newest(const std::string &topic, const std::string &query);
    void add(const std::string &topic, std::string bytes);

    std::mutex m_mutex;
    std::condition_variable m_appended;
    std::map<std::string, std::vector<Item>> m_topics;
    bool m_stopped = false;
    Listener m_listener;
};

/// What a server says of itself in the store.
struct Entry {
    std::string id;
    std::string service;
    std::uint16_t port = 0;
    std::string version = "v1";
    int slots = 128;
    bool draining = false;
    int sequence = 1;
    std::optional<std::int64_t> born; ///< Without it the entry isn't one that a server writes.
};

[[nodiscard]] std::string entryDocument(const Entry &entry);

/// How a model server works.
struct ServerOptions {
    std::string id;
    std::string service = "assistant";
    std::string version = "v1";
    int slots = 128;
    Millis firstTime{600}; ///< From a request to the first event of its stream.
    int events = 12;
    Millis eventTime{70}; ///< Between events.
    Millis bookTime{15}; ///< From a request of /book/ to its answer.
    /// Whether a request gets no answer but bytes without end, until the caller closes.
    std::function<bool()> endless = [] { return false; };
    std::size_t endlessBytesPerSecond = 700'000;
    /// Whether a request of /book/ fails after it has run: status 500 with the server's stamp.
    std::function<bool()> fails = [] { return false; };
    /// Called for each request of /book/ that ran, with whether it failed.
    std::function<void(bool failed)> onBooked = [](bool) {};
};

/// A model server that follows the pages, but for the requests that are to get bytes without end.
/// It reads a request, streams events with a length for each chunk, and keeps the connection.
class Server
{
public:
    explicit Server(ServerOptions options);

    [[nodiscard]] Entry entry() const;
    [[nodiscard]] const std::string &id() const
    {
        return m_options.id;
    }
    /// Whether the request \a id began to run here soundly.
    [[nodiscard]] bool ranSoundly(const std::string &id);
    [[nodiscard]] int endlessAnswers() const
    {
        return m_endless;
    }
    /// The requests that it began to run soundly.
    [[nodiscard]] std::set<std::string> runs();
    /// From now on all its answers say that it is leaving.
    void leave()
    {
        m_leaving = true;
    }
    void stop()
    {
        m_listener.stop();
    }

private:
    void serve(Channel &channel);
    bool stream(Channel &channel, const Message &request);
    bool book(Channel &channel, const Message &request);
    void sendEndlessly(Channel &channel, const Message &request);
    [[nodiscard]] std::string head(const Message &request, std::string_view type, int status = 200) const;

    ServerOptions m_options;
    std::int64_t m_born = wallMillis();
    std::atomic<int> m_running{0};
    std::atomic<int> m_endless{0};
    std::atomic<bool> m_leaving{false};
    std::mutex m_mutex;
    std::set<std::string> m_runs;
    Listener m_listener;
};

/// The operator's configuration: a streaming route, /ask/, and one whose requests run once, /book/.
[[nodiscard]] std::string configurationDocument(int version, Millis askTimeout, Millis bookTimeout);

/// The head and body of a request as a caller sends it.
[[nodiscard]] std::string requestText(const std::string &path, const std::string &id, Millis deadline,
                                      const std::string &body);

/// One daemon, started as the deploy file says, with the settings of its template.
class Daemon
{
public:
    /// \a maxFds: the limit on its descriptors; 0 leaves it.
    Daemon(std::string id, const std::string &folder, std::uint16_t storePort, int maxFds);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// False if the program can't be started.
    [[nodiscard]] bool start();
    void signal(int number) const;
    [[nodiscard]] bool running();
    [[nodiscard]] bool waitReady(Millis patience);
    [[nodiscard]] std::uint16_t callers() const
    {
        return m_callers;
    }
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    /// Resident memory in bytes.
    [[nodiscard]] std::size_t memory() const;
    /// Open descriptors.
    [[nodiscard]] std::size_t descriptors() const;

private:
    [[nodiscard]] bool isReady() const;

    std::string m_id;
    std::string m_settings;
    std::string m_log;
    int m_maxFds = 0;
    std::uint16_t m_callers = 0;
    std::uint16_t m_readiness = 0;
    pid_t m_pid = -1;
};

/// Lets this process open \a count descriptors, as far as its hard limit allows; false if it doesn't.
[[nodiscard]] bool allowDescriptors(int count);

/// A new folder for scratch files, removed when destroyed.
class Scratch
{
public:
    Scratch();
    ~Scratch();
    Scratch(const Scratch &) = delete;
    Scratch &operator=(const Scratch &) = delete;

    [[nodiscard]] const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

} // namespace review2
