// Blocking sockets, one thread for each connection: simple rather than fast.

#include "review/rig_2.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review2
{

namespace
{

constexpr Millis kSendPatience(10'000);
constexpr std::size_t kReadSize = std::size_t(64) * 1024;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool isSameName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && ::strncasecmp(a.data(), b.data(), a.size()) == 0;
}

/// Waits for \a events of \a fd; false when \a end has come before.
bool waitFor(int fd, short events, TimePoint end)
{
    while (true) {
        const auto left = std::chrono::ceil<Millis>(end - Clock::now()).count();
        pollfd item{fd, events, 0};
        const int n = ::poll(&item, 1, static_cast<int>(std::max<long>(0, left)));
        if (n > 0) {
            return true;
        }
        if (n == 0 || errno != EINTR) {
            return false;
        }
    }
}

/// A port below those that the system gives to connections, free at the moment.
std::uint16_t freePort()
{
    constexpr int kFirst = 12'000;
    constexpr int kCount = 18'000;
    constexpr int kOfProcess = 40;
    static std::atomic<int> next{static_cast<int>(::getpid()) * kOfProcess};
    while (true) {
        const auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(port);
        const bool isFree = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(fd);
        if (isFree) {
            return port;
        }
    }
}

std::string queryValue(const std::string &query, const std::string &name)
{
    for (std::size_t begin = 0; begin < query.size();) {
        const auto end = std::min(query.find('&', begin), query.size());
        const auto part = query.substr(begin, end - begin);
        if (part.compare(0, name.size() + 1, name + "=") == 0) {
            return part.substr(name.size() + 1);
        }
        begin = end + 1;
    }
    return "";
}

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text += static_cast<char>((number >> (8U * static_cast<unsigned>(i))) & 0xffU);
    }
    return text;
}

std::string base64(const std::string &text)
{
    constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = (group << 8U) | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            const auto digit = (group >> (6U * (3 - static_cast<unsigned>(k)))) & 0x3fU;
            result += i + k <= text.size() ? kDigits[digit] : '=';
        }
    }
    return result;
}

std::string httpAnswer(int status, const std::string &type, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Type: " + type
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A server's answer that says that it has not run the request \a id.
std::string notExecuted(int status, const std::string &id)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nX-Mimosahub-Request-Id: " + id
        + "\r\nX-Mimosahub-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

std::int64_t wallMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Record::Record(const std::string &path) : m_file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

Record::~Record()
{
    ::close(m_file);
}

double Record::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - m_start).count();
}

void Record::line(const std::string &text)
{
    std::array<char, 32> time{};
    const int n = std::snprintf(time.data(), time.size(), "%9.3f s  ", seconds());
    const auto whole = std::string(time.data(), static_cast<std::size_t>(n)) + text + "\n";
    const std::lock_guard lock(m_mutex);
    if (::write(m_file, whole.data(), whole.size()) < 0) {
        std::perror("record");
    }
}

std::string Message::header(std::string_view name) const
{
    for (const auto &[field, value] : headers) {
        if (isSameName(field, name)) {
            return value;
        }
    }
    return "";
}

std::string Message::second() const
{
    const auto begin = first.find(' ');
    if (begin == std::string::npos) {
        return "";
    }
    return first.substr(begin + 1, first.find(' ', begin + 1) - begin - 1);
}

int Message::status() const
{
    return std::atoi(second().c_str());
}

Channel::~Channel()
{
    close();
}

Channel::Channel(Channel &&other) noexcept : m_fd(std::exchange(other.m_fd, -1)), m_buffer(std::move(other.m_buffer))
{
}

Channel &Channel::operator=(Channel &&other) noexcept
{
    if (this != &other) {
        close();
        m_fd = std::exchange(other.m_fd, -1);
        m_buffer = std::move(other.m_buffer);
    }
    return *this;
}

Channel Channel::connect(std::uint16_t port, Millis patience)
{
    Channel channel(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const int fd = channel.fd();
    const auto address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        int error = errno;
        if (error == EINPROGRESS && waitFor(fd, POLLOUT, Clock::now() + patience)) {
            socklen_t size = sizeof error;
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        if (error != 0) {
            return Channel();
        }
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return channel;
}

void Channel::close()
{
    if (m_fd >= 0) {
        ::close(m_fd);
        m_fd = -1;
    }
}

bool Channel::send(std::string_view bytes)
{
    const auto end = Clock::now() + kSendPatience;
    while (!bytes.empty()) {
        const auto n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(n));
        } else if (errno != EAGAIN || !waitFor(m_fd, POLLOUT, end)) {
            return false;
        }
    }
    return true;
}

bool Channel::isClosedByPeer() const
{
    char byte = 0;
    const auto n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

Ending Channel::more(TimePoint end)
{
    if (!waitFor(m_fd, POLLIN, end)) {
        return Ending::Late;
    }
    std::array<char, kReadSize> bytes{};
    const auto n = ::recv(m_fd, bytes.data(), bytes.size(), 0);
    if (n <= 0) {
        return Ending::Closed;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(n));
    return Ending::Whole;
}

Ending Channel::readLine(std::string &line, TimePoint end)
{
    while (true) {
        const auto at = m_buffer.find("\r\n");
        if (at != std::string::npos) {
            line = m_buffer.substr(0, at);
            m_buffer.erase(0, at + 2);
            return Ending::Whole;
        }
        if (const auto ending = more(end); ending != Ending::Whole) {
            return ending;
        }
    }
}

Ending Channel::readBytes(std::string &to, std::size_t count, TimePoint end)
{
    while (m_buffer.size() < count) {
        if (const auto ending = more(end); ending != Ending::Whole) {
            return ending;
        }
    }
    to += m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return Ending::Whole;
}

Ending Channel::readChunks(std::string &to, TimePoint end)
{
    while (true) {
        std::string line;
        if (const auto ending = readLine(line, end); ending != Ending::Whole) {
            return ending;
        }
        const auto size = std::strtoul(line.c_str(), nullptr, 16);
        std::string chunk;
        if (const auto ending = readBytes(chunk, size + 2, end); ending != Ending::Whole) {
            return ending;
        }
        if (size == 0) {
            return Ending::Whole;
        }
        to.append(chunk, 0, size);
    }
}

Ending Channel::read(Message &message, TimePoint end)
{
    message = Message();
    if (const auto ending = readLine(message.first, end); ending != Ending::Whole) {
        return ending;
    }
    while (true) {
        std::string line;
        if (const auto ending = readLine(line, end); ending != Ending::Whole) {
            return ending;
        }
        if (line.empty()) {
            break;
        }
        const auto colon = line.find(':');
        const auto value = colon == std::string::npos ? colon : line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
    }
    if (isSameName(message.header("Transfer-Encoding"), "chunked")) {
        return readChunks(message.body, end);
    }
    return readBytes(message.body, std::strtoul(message.header("Content-Length").c_str(), nullptr, 10), end);
}

Listener::Listener(Serve serve) : m_serve(std::move(serve))
{
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t size = sizeof address;
    const bool listening = ::bind(m_fd, reinterpret_cast<const sockaddr *>(&address), size) == 0
        && ::listen(m_fd, SOMAXCONN) == 0 && ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    if (!listening) {
        std::perror("listen");
        std::exit(kNotRun);
    }
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { acceptLoop(); });
}

Listener::~Listener()
{
    stop();
}

void Listener::acceptLoop()
{
    while (!m_stopped) {
        const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            std::this_thread::sleep_for(Millis(1));
            continue;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(m_mutex);
        m_open.insert(fd);
        ++m_serving;
        std::thread([this, fd] {
            Channel channel(fd);
            m_serve(channel);
            const std::lock_guard guard(m_mutex);
            m_open.erase(fd);
            channel.close();
            --m_serving;
            m_idle.notify_all();
        }).detach();
    }
}

void Listener::stop()
{
    if (m_stopped.exchange(true)) {
        return;
    }
    ::shutdown(m_fd, SHUT_RDWR);
    m_thread.join();
    ::close(m_fd);
    std::unique_lock lock(m_mutex);
    for (const int fd : m_open) {
        ::shutdown(fd, SHUT_RDWR);
    }
    m_idle.wait(lock, [this] { return m_serving == 0; });
}

Store::Store() : m_listener([this](Channel &channel) { serve(channel); })
{
}

void Store::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_appended.notify_all();
    m_listener.stop();
}

void Store::add(const std::string &topic, std::string bytes)
{
    const std::size_t keySize = static_cast<unsigned char>(bytes.front());
    Item item{bytes.substr(1, keySize), bytes.substr(1 + keySize), {}};
    item.bytes = std::move(bytes);
    m_topics[topic].push_back(std::move(item));
    m_appended.notify_all();
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    add(topic, static_cast<char>(key.size()) + key + value);
}

std::string Store::value(const std::string &topic, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    std::string newest;
    for (const auto &item : m_topics[topic]) {
        newest = item.key == key ? item.value : newest;
    }
    return newest;
}

void Store::serve(Channel &channel)
{
    constexpr auto kIdle = std::chrono::seconds(60);
    Message request;
    while (!m_listener.stopped() && channel.read(request, Clock::now() + kIdle) == Ending::Whole) {
        if (!channel.send(answer(request))) {
            return;
        }
    }
}

std::string Store::answer(const Message &request)
{
    const auto target = request.second();
    const auto mark = target.find('?');
    const auto path = target.substr(0, mark);
    const auto query = mark == std::string::npos ? "" : target.substr(mark + 1);
    const auto topic = queryValue(query, "topic");
    if (path == "/log-append") {
        return append(topic, query, request.body);
    }
    if (path == "/log-read") {
        return read(topic, query);
    }
    return path == "/log-newest" ? newest(topic, query) : httpAnswer(404, "application/json", "{}");
}

std::string Store::append(const std::string &topic, const std::string &query, const std::string &body)
{
    constexpr std::size_t kLengthBytes = 4;
    const std::lock_guard lock(m_mutex);
    const auto offset = m_topics[topic].size();
    const auto at = queryValue(query, "at");
    if (!at.empty() && std::strtoul(at.c_str(), nullptr, 10) != offset) {
        return httpAnswer(412, "application/json", "{\"end\":" + std::to_string(offset) + "}");
    }
    for (std::size_t begin = 0; begin + kLengthBytes < body.size();) {
        std::size_t size = 0;
        for (std::size_t i = 0; i < kLengthBytes; ++i) {
            size = size << 8U | static_cast<unsigned char>(body[begin + i]);
        }
        add(topic, body.substr(begin + kLengthBytes, size));
        begin += kLengthBytes + size;
    }
    const auto end = std::to_string(m_topics[topic].size());
    return httpAnswer(200, "application/json", "{\"offset\":" + std::to_string(offset) + ",\"end\":" + end + "}");
}

std::string Store::read(const std::string &topic, const std::string &query)
{
    const auto from = std::strtoul(queryValue(query, "from").c_str(), nullptr, 10);
    const auto wait = Millis(std::strtoul(queryValue(query, "wait_ms").c_str(), nullptr, 10));
    std::unique_lock lock(m_mutex);
    m_appended.wait_for(lock, wait, [&] { return m_topics[topic].size() > from || m_stopped; });
    const auto &log = m_topics[topic];
    auto body = bigEndian(log.size(), 8) + bigEndian(0, 8);
    for (auto i = from; i < log.size(); ++i) {
        body += bigEndian(log[i].bytes.size(), 4) + log[i].bytes;
    }
    return httpAnswer(200, "application/octet-stream", body);
}

std::string Store::newest(const std::string &topic, const std::string &query)
{
    constexpr std::size_t kPage = 500;
    const auto after = queryValue(query, "after");
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::size_t> newest;
    const auto &log = m_topics[topic];
    for (std::size_t i = 0; i < log.size(); ++i) {
        if (log[i].value.empty()) {
            newest.erase(log[i].key);
        } else {
            newest[log[i].key] = i;
        }
    }
    std::string items;
    std::size_t n = 0;
    auto it = after.empty() ? newest.begin() : newest.upper_bound(after);
    for (; it != newest.end() && n < kPage; ++it, ++n) {
        items += std::string(n == 0 ? "" : ",") + R"({"key":")" + it->first + R"(","value":")"
            + base64(log[it->second].value) + R"(","offset":)" + std::to_string(it->second) + "}";
    }
    return httpAnswer(200, "application/json",
                      "{\"items\":[" + items + "],\"more\":" + (it == newest.end() ? "false" : "true")
                          + ",\"end\":" + std::to_string(log.size()) + "}");
}

std::string entryDocument(const Entry &entry)
{
    return R"({"service":")" + entry.service + R"(","address":"127.0.0.1:)" + std::to_string(entry.port)
        + R"(","zone":"z1","version":")" + entry.version + R"(","slots":)" + std::to_string(entry.slots)
        + R"(,"state":")" + (entry.draining ? "draining" : "ready") + R"(","cold_left_ms":0,"seq":)"
        + std::to_string(entry.sequence) + (entry.born ? ",\"born\":" + std::to_string(*entry.born) : "") + "}";
}

Server::Server(ServerOptions options)
    : m_options(std::move(options)), m_listener([this](Channel &channel) { serve(channel); })
{
}

Entry Server::entry() const
{
    Entry entry;
    entry.id = m_options.id;
    entry.service = m_options.service;
    entry.version = m_options.version;
    entry.port = m_listener.port();
    entry.slots = m_options.slots;
    entry.born = m_born;
    return entry;
}

bool Server::ranSoundly(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    return m_runs.contains(id);
}

std::set<std::string> Server::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::string Server::head(const Message &request, std::string_view type, int status) const
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nX-Mimosahub-Request-Id: "
        + request.header("X-Mimosahub-Request-Id") + "\r\nX-Mimosahub-Server-Stamp: stamp-" + m_options.id
        + "\r\nContent-Type: " + std::string(type) + "\r\n" + (m_leaving ? "Server-Leaving: 1\r\n" : "");
}

void Server::serve(Channel &channel)
{
    constexpr auto kIdle = std::chrono::seconds(60);
    Message request;
    while (!m_listener.stopped() && channel.read(request, Clock::now() + kIdle) == Ending::Whole) {
        const auto id = request.header("X-Mimosahub-Request-Id");
        const bool another = request.header("X-Mimosahub-Expect-Instance") != m_options.id;
        if (another || m_running >= m_options.slots) {
            if (!channel.send(notExecuted(another ? 421 : 503, id))) {
                return;
            }
            continue;
        }
        ++m_running;
        bool kept = false;
        if (m_options.endless()) {
            ++m_endless;
            sendEndlessly(channel, request);
        } else {
            {
                const std::lock_guard lock(m_mutex);
                m_runs.insert(id);
            }
            kept = request.second().starts_with("/book/") ? book(channel, request) : stream(channel, request);
        }
        --m_running;
        if (!kept) {
            return;
        }
    }
}

bool Server::stream(Channel &channel, const Message &request)
{
    std::this_thread::sleep_for(m_options.firstTime);
    if (!channel.send(head(request, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    for (int i = 1; i <= m_options.events; ++i) {
        const auto event = "id: " + std::to_string(i) + "\ndata: token " + std::to_string(i) + "\n\n";
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
        if (!channel.send(size.data() + event + "\r\n")) {
            return false;
        }
        std::this_thread::sleep_for(m_options.eventTime);
    }
    return channel.send("0\r\n\r\n");
}

bool Server::book(Channel &channel, const Message &request)
{
    std::this_thread::sleep_for(m_options.bookTime);
    const bool failed = m_options.fails();
    m_options.onBooked(failed);
    const std::string body = failed ? "failed" : "booked";
    return channel.send(head(request, "text/plain", failed ? 500 : 200)
                        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void Server::sendEndlessly(Channel &channel, const Message &request)
{
    constexpr int kPiecesPerSecond = 20;
    const std::string piece(m_options.endlessBytesPerSecond / kPiecesPerSecond, 'x');
    bool open = channel.send(head(request, "text/plain") + "\r\n");
    while (open && !m_listener.stopped() && !channel.isClosedByPeer()) {
        std::this_thread::sleep_for(Millis(1000 / kPiecesPerSecond));
        open = channel.send(piece);
    }
}

std::string configurationDocument(int version, Millis askTimeout, Millis bookTimeout)
{
    const auto route = [](const std::string &prefix, const std::string &kind, Millis timeout) {
        return R"({"name":"r)" + prefix + R"(","host":"h.example","path_prefix":")" + prefix + R"(","kind":")" + kind
            + R"(","timeout_ms":)" + std::to_string(timeout.count())
            + R"(,"target_latency_ms":2200,"service":"assistant",)"
            + R"("priority":1,"max_attempts":2,"resumable":false,"sticky":false})";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + route("/ask/", "streaming", askTimeout) + ","
        + route("/book/", "non_idempotent", bookTimeout)
        + R"(],"services":[{"name":"assistant","max_conns":620,"engine":{"slots":128,"kv_capacity":500000}}],)"
        + R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,)"
        + R"("idle_timeout_ms":60000},"tenants":[{"name":"shops","api_keys":["secret"],"priority":2}]})";
}

std::string requestText(const std::string &path, const std::string &id, Millis deadline, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer secret\r\nX-Mimosahub-Request-Id: "
        + id + "\r\nX-Mimosahub-Deadline-Ms: " + std::to_string(deadline.count())
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Daemon::Daemon(std::string id, const std::string &folder, std::uint16_t storePort, int maxFds)
    : m_id(std::move(id)),
      m_settings(folder + "/" + m_id + ".json"),
      m_log(folder + "/" + m_id + ".log"),
      m_maxFds(maxFds),
      m_callers(freePort()),
      m_readiness(freePort())
{
    const auto local = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    std::ofstream(m_settings) << R"({"instance":{"id":")" << m_id
                              << R"(","zone":"z1","region":"r1"},"listen":{"callers":)" << local(m_callers)
                              << ",\"readiness\":" << local(m_readiness) << ",\"peers\":" << local(freePort())
                              << ",\"metrics\":" << local(freePort()) << "},\"store\":{\"address\":" << local(storePort)
                              << R"(,"leaving_bound":"2000ms","configuration_bound":"2000ms"},)"
                              << R"("second_sends":{"ratio":0.2,"extra":54,"window":"10s"},)"
                              << R"("rollouts":{"exposure_share":0.1,"exposure_slack":50},)"
                              << R"("capacity":0.25,"grace":"8s","log":{"level":"info","format":"json"}})";
}

Daemon::~Daemon()
{
    if (running()) {
        signal(SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

bool Daemon::start()
{
    const auto config = "MIMOSAHUB_CONFIG=" + m_settings;
    m_pid = ::fork();
    if (m_pid == 0) {
        if (m_maxFds > 0) {
            const rlimit limit{static_cast<rlim_t>(m_maxFds), static_cast<rlim_t>(m_maxFds)};
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        std::string program = "target/mimosahubd";
        std::string variable = config;
        std::array<char *, 2> arguments{program.data(), nullptr};
        std::array<char *, 2> environment{variable.data(), nullptr};
        ::execve(program.c_str(), arguments.data(), environment.data());
        ::_exit(kNotRun);
    }
    return m_pid > 0;
}

void Daemon::signal(int number) const
{
    ::kill(m_pid, number);
}

bool Daemon::running()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) != 0) {
        m_pid = -1;
    }
    return m_pid > 0;
}

bool Daemon::isReady() const
{
    auto channel = Channel::connect(m_readiness);
    Message answer;
    return channel.isOpen() && channel.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        && channel.read(answer, Clock::now() + Millis(1000)) == Ending::Whole && answer.status() == 200;
}

bool Daemon::waitReady(Millis patience)
{
    const auto end = Clock::now() + patience;
    while (Clock::now() < end && running()) {
        if (isReady()) {
            return true;
        }
        std::this_thread::sleep_for(Millis(50));
    }
    return false;
}

std::size_t Daemon::memory() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string word;
    while (status >> word && word != "VmRSS:") { }
    std::size_t kib = 0;
    status >> kib;
    return kib * 1024;
}

std::size_t Daemon::descriptors() const
{
    std::error_code ec;
    std::size_t n = 0;
    for (auto it = std::filesystem::directory_iterator("/proc/" + std::to_string(m_pid) + "/fd", ec);
         !ec && it != std::filesystem::directory_iterator(); it.increment(ec)) {
        ++n;
    }
    return n;
}

bool allowDescriptors(int count)
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    const auto wanted = static_cast<rlim_t>(count);
    if (limit.rlim_cur < wanted) {
        limit.rlim_cur = std::min(wanted, limit.rlim_max);
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    return limit.rlim_cur >= wanted;
}

Scratch::Scratch()
{
    auto pattern = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    const char *made = ::mkdtemp(pattern.data());
    if (made == nullptr) {
        std::perror("mkdtemp");
        std::exit(kNotRun);
    }
    m_path = made;
}

Scratch::~Scratch()
{
    std::error_code ec;
    std::filesystem::remove_all(m_path, ec);
}

} // namespace review2
