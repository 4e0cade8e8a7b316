// Blocking sockets and a thread for each connection: simple, and enough for a few thousand of them.

#include "rig_3.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <random>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig
{

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Record::Record(const std::string &path) : m_file(std::fopen(path.c_str(), "w")), m_begin(nowMs())
{
}

Record::~Record()
{
    if (m_file != nullptr) {
        std::fclose(m_file);
    }
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    if (m_file != nullptr) {
        std::fprintf(m_file, "%9.3f %s\n", static_cast<double>(nowMs() - m_begin) / 1000.0, text.c_str());
        std::fflush(m_file);
    }
}

Conn::~Conn()
{
    if (m_fd >= 0) {
        ::close(m_fd);
    }
}

std::unique_ptr<Conn> Conn::open(int port, int timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return nullptr;
    }
    auto conn = std::make_unique<Conn>(fd);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof(to)) != 0) {
        if (errno != EINPROGRESS) {
            return nullptr;
        }
        pollfd p{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        if (::poll(&p, 1, timeoutMs) <= 0 || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            return nullptr;
        }
    }
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return conn;
}

bool Conn::write(const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto n = ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n > 0) {
            done += static_cast<std::size_t>(n);
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            pollfd p{m_fd, POLLOUT, 0};
            if (::poll(&p, 1, 20000) <= 0) {
                return false;
            }
            continue;
        }
        if (n < 0 && errno == EINTR) {
            continue;
        }
        return false;
    }
    return true;
}

bool Conn::fill(std::int64_t untilMs)
{
    char chunk[65536];
    while (true) {
        const auto n = ::recv(m_fd, chunk, sizeof(chunk), MSG_DONTWAIT);
        if (n > 0) {
            m_buffer.append(chunk, static_cast<std::size_t>(n));
            return true;
        }
        if (n == 0) {
            m_end = true;
            return false;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
            return false;
        }
        const auto left = untilMs - nowMs();
        pollfd p{m_fd, POLLIN, 0};
        if (left <= 0 || ::poll(&p, 1, static_cast<int>(std::min<std::int64_t>(left, 1000000))) == 0) {
            if (nowMs() >= untilMs) {
                m_timedOut = true;
                return false;
            }
        }
    }
}

bool Conn::readLine(std::string &line, std::int64_t untilMs)
{
    while (true) {
        const auto at = m_buffer.find('\n');
        if (at != std::string::npos) {
            line = m_buffer.substr(0, at);
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            m_buffer.erase(0, at + 1);
            return true;
        }
        if (!fill(untilMs)) {
            return false;
        }
    }
}

bool Conn::readExactly(std::string &out, std::size_t n, std::int64_t untilMs)
{
    while (m_buffer.size() < n) {
        if (!fill(untilMs)) {
            return false;
        }
    }
    out = m_buffer.substr(0, n);
    m_buffer.erase(0, n);
    return true;
}

bool Conn::peerClosed()
{
    char c = 0;
    const auto n = ::recv(m_fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void Conn::reset()
{
    const linger hard{1, 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    ::close(m_fd);
    m_fd = -1;
}

std::string Message::field(const std::string &name) const
{
    for (const auto &[key, value] : fields) {
        if (key == name) {
            return value;
        }
    }
    return "";
}

std::string Message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string Message::target() const
{
    const auto from = start.find(' ');
    const auto to = start.find(' ', from + 1);
    return from == std::string::npos ? "" : start.substr(from + 1, to - from - 1);
}

int Message::status() const
{
    return start.rfind("HTTP/1.", 0) == 0 && start.size() >= 12 ? std::atoi(start.c_str() + 9) : 0;
}

namespace
{

ReadResult failed(const Conn &conn)
{
    return conn.timedOut() ? ReadResult::Timeout : ReadResult::Broken;
}

bool readHead(Conn &conn, Message &message, std::int64_t untilMs)
{
    message = Message();
    do {
        if (!conn.readLine(message.start, untilMs)) {
            return false;
        }
    } while (message.start.empty());
    std::string line;
    while (true) {
        if (!conn.readLine(line, untilMs)) {
            return false;
        }
        if (line.empty()) {
            return true;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        const auto begin = line.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(name, begin == std::string::npos ? "" : line.substr(begin));
    }
}

/// \a untilEnd: a message without a length ends with its connection.
ReadResult readBody(Conn &conn, Message &message, bool untilEnd, std::int64_t untilMs,
                    const std::function<void(const std::string &)> &onData)
{
    const auto take = [&](const std::string &data) {
        message.body += data;
        if (onData) {
            onData(data);
        }
    };
    if (message.field("transfer-encoding") == "chunked") {
        while (true) {
            std::string line;
            if (!conn.readLine(line, untilMs)) {
                return failed(conn);
            }
            const auto size = std::strtoull(line.c_str(), nullptr, 16);
            if (size == 0) {
                while (conn.readLine(line, untilMs)) {
                    if (line.empty()) {
                        return ReadResult::Whole;
                    }
                }
                return failed(conn);
            }
            std::string data;
            if (!conn.readExactly(data, size, untilMs)) {
                return failed(conn);
            }
            take(data);
            if (!conn.readLine(line, untilMs)) {
                return failed(conn);
            }
        }
    }
    const auto length = message.field("content-length");
    if (!length.empty()) {
        std::string data;
        if (!conn.readExactly(data, std::strtoull(length.c_str(), nullptr, 10), untilMs)) {
            return failed(conn);
        }
        take(data);
        return ReadResult::Whole;
    }
    if (!untilEnd) {
        return ReadResult::Whole;
    }
    while (true) {
        if (!conn.buffer().empty()) {
            take(conn.buffer());
            conn.buffer().clear();
        }
        if (!conn.fill(untilMs)) {
            return conn.sawEnd() ? ReadResult::Whole : failed(conn);
        }
    }
}

} // namespace

ReadResult readRequest(Conn &conn, Message &message, std::int64_t untilMs)
{
    if (!readHead(conn, message, untilMs)) {
        return failed(conn);
    }
    return readBody(conn, message, false, untilMs, {});
}

ReadResult readAnswer(Conn &conn, Message &message, std::int64_t untilMs,
                      const std::function<void(const std::string &)> &onData)
{
    if (!readHead(conn, message, untilMs)) {
        return failed(conn);
    }
    const int status = message.status();
    const bool bare = status == 204 || status == 304;
    return bare ? ReadResult::Whole : readBody(conn, message, true, untilMs, onData);
}

HttpServer::HttpServer(Handler handler) : m_handler(std::move(handler))
{
    m_listen = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(m_listen, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(m_listen, reinterpret_cast<sockaddr *>(&at), sizeof(at)) != 0 || ::listen(m_listen, 1024) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t size = sizeof(at);
    ::getsockname(m_listen, reinterpret_cast<sockaddr *>(&at), &size);
    m_port = ntohs(at.sin_port);
    m_acceptor = std::thread([this] { acceptLoop(); });
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::acceptLoop()
{
    while (!m_stopped) {
        pollfd p{m_listen, POLLIN, 0};
        if (::poll(&p, 1, 50) <= 0) {
            continue;
        }
        const int fd = ::accept4(m_listen, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        auto conn = std::make_shared<Conn>(fd);
        const std::lock_guard lock(m_mutex);
        m_conns.push_back(conn);
        m_threads.emplace_back([this, conn] {
            Message request;
            while (!m_stopped && readRequest(*conn, request, nowMs() + 3600000) == ReadResult::Whole
                   && m_handler(*conn, request)) { }
            ::shutdown(conn->fd(), SHUT_RDWR);
        });
    }
}

void HttpServer::stop()
{
    if (m_stopped.exchange(true)) {
        return;
    }
    m_acceptor.join();
    ::close(m_listen);
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        for (auto &conn : m_conns) {
            ::shutdown(conn->fd(), SHUT_RDWR);
        }
        threads = std::move(m_threads);
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

std::string answerText(int status, const std::string &fields, const std::string &body)
{
    const char *reason = status == 200 ? "OK" : status == 503 ? "Service Unavailable" : "Other";
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

namespace
{

std::string query(const Message &request, const std::string &name)
{
    const auto target = request.target();
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto next = target.find('&', at + 1);
        const auto item = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        if (item.rfind(name + "=", 0) == 0) {
            return item.substr(name.size() + 1);
        }
        at = next;
    }
    return "";
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text += static_cast<char>((value >> (8 * i)) & 0xff);
    }
    return text;
}

std::string base64(const std::string &in)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        std::uint32_t v = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            v = (v << 8) | (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j > in.size() ? '=' : digits[(v >> (18 - 6 * j)) & 63];
        }
    }
    return out;
}

} // namespace

Store::Store()
{
    m_server = std::make_unique<HttpServer>([this](Conn &conn, Message &request) { return handle(conn, request); });
}

void Store::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    m_server->stop();
}

void Store::put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].push_back({key, value});
    }
    m_changed.notify_all();
}

std::optional<std::string> Store::value(const std::string &topic, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    std::optional<std::string> found;
    for (const auto &item : m_topics[topic]) {
        if (item.key == key) {
            found = item.value;
        }
    }
    return found;
}

bool Store::handle(Conn &conn, Message &request)
{
    const auto target = request.target();
    const auto path = target.substr(0, target.find('?'));
    std::string answer;
    if (path == "/log-read") {
        answer = read(request);
    } else if (path == "/log-newest") {
        answer = newest(request);
    } else if (path == "/log-append") {
        answer = append(request);
    } else {
        answer = answerText(404, "", "{}");
    }
    return conn.write(answer);
}

std::string Store::read(const Message &request)
{
    const auto topic = query(request, "topic");
    const auto from = std::strtoull(query(request, "from").c_str(), nullptr, 10);
    const auto wait = std::atoll(query(request, "wait_ms").c_str());
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::milliseconds(wait),
                       [&] { return m_stopped || m_topics[topic].size() > from; });
    const auto &log = m_topics[topic];
    auto body = bigEndian(log.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < log.size(); ++i) {
        std::string record = bigEndian(log[i].key.size(), 1) + log[i].key + log[i].value.value_or("");
        body += bigEndian(record.size(), 4) + record;
    }
    return answerText(200, "Content-Type: application/octet-stream\r\n", body);
}

std::string Store::newest(const Message &request)
{
    const std::lock_guard lock(m_mutex);
    const auto &log = m_topics[query(request, "topic")];
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < log.size(); ++i) {
        last[log[i].key] = i;
    }
    std::string items;
    for (const auto &[key, at] : last) {
        if (log[at].value) {
            items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + key + "\",\"value\":\""
                + base64(*log[at].value) + "\",\"offset\":" + std::to_string(at) + "}";
        }
    }
    return answerText(200, "Content-Type: application/json\r\n",
                      "{\"items\":[" + items + "],\"more\":false,\"end\":" + std::to_string(log.size()) + "}");
}

std::string Store::append(const Message &request)
{
    std::size_t offset = 0;
    std::size_t end = 0;
    {
        const std::lock_guard lock(m_mutex);
        auto &log = m_topics[query(request, "topic")];
        const auto at = query(request, "at");
        if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != log.size()) {
            return answerText(412, "Content-Type: application/json\r\n",
                              "{\"end\":" + std::to_string(log.size()) + "}");
        }
        offset = log.size();
        std::string rest = request.body;
        while (rest.size() > 4) {
            std::size_t size = 0;
            for (int i = 0; i < 4; ++i) {
                size = (size << 8) | static_cast<unsigned char>(rest[static_cast<std::size_t>(i)]);
            }
            const auto record = rest.substr(4, size);
            const std::size_t keySize = static_cast<unsigned char>(record[0]);
            Item item{record.substr(1, keySize), std::nullopt};
            if (record.size() > 1 + keySize) {
                item.value = record.substr(1 + keySize);
            }
            log.push_back(item);
            rest.erase(0, 4 + size);
        }
        end = log.size();
    }
    m_changed.notify_all();
    return answerText(200, "Content-Type: application/json\r\n",
                      "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(end) + "}");
}

Heartbeat::Heartbeat(Store &store, Entry entry) : m_store(store), m_entry(std::move(entry)), m_born(wallMs())
{
    write();
    m_thread = std::thread([this] {
        std::unique_lock lock(m_mutex);
        while (!m_wake.wait_for(lock, std::chrono::milliseconds(1200), [this] { return m_stopped; })) {
            write();
        }
    });
}

Heartbeat::~Heartbeat()
{
    stop(false);
}

void Heartbeat::write()
{
    ++m_seq;
    m_store.put("keyed.servers", m_entry.id,
                "{\"service\":\"" + m_entry.service + "\",\"address\":\"127.0.0.1:" + std::to_string(m_entry.port)
                    + "\",\"zone\":\"" + m_entry.zone + "\",\"version\":\"" + m_entry.version + "\",\"slots\":"
                    + std::to_string(m_entry.slots) + ",\"state\":\"" + m_entry.state + "\",\"cold_left_ms\":0,\"seq\":"
                    + std::to_string(m_seq) + ",\"born\":" + std::to_string(m_born) + "}");
}

void Heartbeat::setState(const std::string &state)
{
    const std::lock_guard lock(m_mutex);
    m_entry.state = state;
    write();
}

void Heartbeat::stop(bool remove)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            return;
        }
        m_stopped = true;
    }
    m_wake.notify_all();
    m_thread.join();
    if (remove) {
        m_store.put("keyed.servers", m_entry.id, std::nullopt);
    }
}

int freePort()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof(at)) != 0) {
        std::perror("bind");
        std::exit(2);
    }
    socklen_t size = sizeof(at);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&at), &size);
    ::close(fd);
    return ntohs(at.sin_port);
}

std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

namespace
{

std::string folderToRemove; // NOLINT

} // namespace

std::string temporaryFolder()
{
    if (folderToRemove.empty()) {
        std::string name = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) {
            std::perror("mkdtemp");
            std::exit(2);
        }
        folderToRemove = name;
        std::atexit([] {
            if (std::getenv("KEEP_LOGS") == nullptr) {
                std::error_code ec;
                std::filesystem::remove_all(folderToRemove, ec);
            }
        });
    }
    return folderToRemove;
}

Daemon::Daemon(const DaemonOptions &options, int storePort, const std::string &folder)
    : m_options(options),
      m_folder(folder),
      m_settings(folder + "/" + options.id + ".json"),
      m_callers(freePort()),
      m_ready(freePort()),
      m_peers(freePort()),
      m_metrics(freePort())
{
    // As deploy/gateway.json, filled in for this machine.
    std::FILE *file = std::fopen(m_settings.c_str(), "w");
    std::fprintf(file,
                 "{\"instance\": {\"id\": \"%s\", \"zone\": \"%s\", \"region\": \"r1\"},\n"
                 "\"listen\": {\"callers\": \"127.0.0.1:%d\", \"readiness\": \"127.0.0.1:%d\", \"peers\": "
                 "\"127.0.0.1:%d\", \"metrics\": \"127.0.0.1:%d\"},\n"
                 "\"store\": {\"leaving_bound\": \"2000ms\", \"configuration_bound\": \"2000ms\", \"address\": "
                 "\"127.0.0.1:%d\"},\n"
                 "\"second_sends\": {\"ratio\": 0.2, \"extra\": %d, \"window\": \"10s\"},\n"
                 "\"rollouts\": {\"exposure_slack\": 50, \"exposure_share\": 0.1},\n"
                 "\"limits\": {\"memory_mb\": %d, \"descriptors\": %d},\n"
                 "\"capacity\": 0.25, \"grace\": \"8s\", \"log\": {\"level\": \"info\", \"format\": \"json\"}}\n",
                 options.id.c_str(), options.zone.c_str(), m_callers, m_ready, m_peers, m_metrics, storePort,
                 options.budgetExtra, options.memoryMb, options.descriptors);
    std::fclose(file);
}

Daemon::~Daemon()
{
    if (running()) {
        ::kill(m_pid, SIGKILL);
        waitEnd(5000);
    }
}

bool Daemon::start()
{
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with the script.
        const int out = ::open(log().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::setenv("MIMOSAHUB_CONFIG", m_settings.c_str(), 1);
        ::execl("target/mimosahubd", "target/mimosahubd", static_cast<char *>(nullptr));
        std::_Exit(127);
    }
    return m_pid > 0;
}

bool Daemon::waitReady(int timeoutMs)
{
    const auto until = nowMs() + timeoutMs;
    while (nowMs() < until && running()) {
        if (auto conn = Conn::open(m_ready, 500)) {
            Message answer;
            conn->write("GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
            if (readAnswer(*conn, answer, nowMs() + 500) == ReadResult::Whole && answer.status() == 200) {
                return true;
            }
        }
        sleepMs(50);
    }
    return false;
}

void Daemon::signal(int number)
{
    if (running()) {
        ::kill(m_pid, number);
    }
}

bool Daemon::running()
{
    if (m_pid <= 0) {
        return false;
    }
    if (::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
        m_pid = -1;
        return false;
    }
    return true;
}

bool Daemon::waitEnd(int timeoutMs)
{
    const auto until = nowMs() + timeoutMs;
    while (running()) {
        if (nowMs() >= until) {
            return false;
        }
        sleepMs(20);
    }
    return true;
}

} // namespace rig
