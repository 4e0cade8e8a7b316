// Blocking sockets and a thread for each channel: the stand-ins write each byte at the moment
// that a case wants.

#include "rig.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr Milliseconds kHeartbeat{1200};
constexpr std::size_t kReadSize = 65536;

const Clock::time_point kStart = Clock::now();

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string trim(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string::npos ? "" : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text += static_cast<char>(number >> (8 * i) & 0xffU);
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    constexpr const char *kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const auto n = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U | (k < n ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += k <= n ? kDigits[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return text;
}

std::string unescape(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::ofstream &recordFile()
{
    const char *name = std::getenv("RECORD");
    static std::ofstream file(name == nullptr ? "/dev/null" : name);
    return file;
}

} // namespace

bool troubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::int64_t sinceStart()
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - kStart).count();
}

void sleepFor(Milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool eventually(const std::function<bool()> &holds, Milliseconds longest)
{
    const auto until = Clock::now() + longest;
    while (Clock::now() < until) {
        if (holds()) {
            return true;
        }
        sleepFor(Milliseconds(20));
    }
    return holds();
}

std::string concat(std::initializer_list<std::string_view> parts)
{
    std::string whole;
    for (const auto part : parts) {
        whole += part;
    }
    return whole;
}

void record(const std::string &line)
{
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    recordFile() << sinceStart() << " ms " << line << std::endl;
}

void cannotRun(const std::string &why)
{
    record("could not run: " + why);
    std::cerr << "could not run: " << why << std::endl;
    std::_Exit(2);
}

std::string Message::field(const std::string &name) const
{
    for (const auto &[key, value] : fields) {
        if (lower(key) == lower(name)) {
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
    const auto begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
}

std::string Message::path() const
{
    const auto whole = target();
    return whole.substr(0, whole.find('?'));
}

std::string Message::query(const std::string &name) const
{
    const auto whole = target();
    const auto mark = whole.find('?');
    std::istringstream parts(mark == std::string::npos ? "" : whole.substr(mark + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.starts_with(name + "=")) {
            return unescape(part.substr(name.size() + 1));
        }
    }
    return "";
}

int Message::status() const
{
    const auto space = start.find(' ');
    return space == std::string::npos ? 0 : std::atoi(start.c_str() + space);
}

std::string answer(int status, const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body)
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " x\r\n";
    for (const auto &[name, value] : fields) {
        text += concat({name, ": ", value, "\r\n"});
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunkedHead(int status, const std::vector<std::pair<std::string, std::string>> &fields)
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " x\r\n";
    for (const auto &[name, value] : fields) {
        text += concat({name, ": ", value, "\r\n"});
    }
    return text + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string &data)
{
    std::ostringstream size;
    size << std::hex << data.size();
    return size.str() + "\r\n" + data + "\r\n";
}

Channel::~Channel()
{
    ::close(m_fd);
}

std::unique_ptr<Channel> Channel::open(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<Channel>(fd);
}

bool Channel::write(const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto n = ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

bool Channel::fill()
{
    std::array<char, kReadSize> bytes{};
    const auto n = ::recv(m_fd, bytes.data(), bytes.size(), 0);
    if (n <= 0) {
        return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(n));
    return true;
}

std::optional<std::string> Channel::line()
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    auto text = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return text;
}

std::optional<Message> Channel::read(bool isAnswer)
{
    Message message;
    auto text = line();
    if (!text) {
        return std::nullopt;
    }
    message.start = *text;
    while ((text = line()) && !text->empty()) {
        const auto colon = text->find(':');
        message.fields.emplace_back(text->substr(0, colon), trim(text->substr(std::min(colon + 1, text->size()))));
    }
    if (!text) {
        return std::nullopt;
    }
    if (lower(message.field("Transfer-Encoding")) == "chunked") {
        while ((text = line())) {
            const auto size = std::stoul(*text, nullptr, 16);
            while (m_buffer.size() < size + 2) {
                if (!fill()) {
                    message.body += m_buffer;
                    m_buffer.clear();
                    return message;
                }
            }
            message.body += m_buffer.substr(0, size);
            m_buffer.erase(0, size + 2);
            if (size == 0) {
                message.whole = true;
                return message;
            }
        }
        return message;
    }
    const auto length = message.field("Content-Length");
    if (length.empty() && isAnswer) {
        while (fill()) { }
        message.body = std::exchange(m_buffer, "");
        message.whole = true;
        return message;
    }
    const auto size = length.empty() ? 0 : std::stoul(length);
    while (m_buffer.size() < size && fill()) { }
    message.whole = m_buffer.size() >= size;
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return message;
}

void Channel::limitReads(Milliseconds time)
{
    timeval limit{};
    limit.tv_sec = time.count() / 1000;
    limit.tv_usec = time.count() % 1000 * 1000;
    ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

bool Channel::closed()
{
    char byte = 0;
    const auto n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Channel::reset()
{
    const linger hard{1, 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    const int none = ::open("/dev/null", O_RDWR | O_CLOEXEC);
    ::dup2(none, m_fd); // Closes the socket with a reset; the number stays taken.
    ::close(none);
}

void Channel::shutdown()
{
    ::shutdown(m_fd, SHUT_RDWR);
}

Listener::~Listener()
{
    stop();
}

void Listener::start(Serve serve)
{
    m_serve = std::move(serve);
    m_stopped = false;
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(m_port); // The same port again after a stop.
    if (::bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(m_fd, 512) != 0) {
        cannotRun(std::string("can't listen: ") + std::strerror(errno));
    }
    socklen_t size = sizeof address;
    ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { accept(); });
}

void Listener::accept()
{
    while (!m_stopped) {
        const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(m_mutex);
        auto channel = std::make_shared<Channel>(fd);
        if (m_stopped) {
            return;
        }
        m_channels.push_back(channel);
        m_threads.emplace_back([this, channel]() mutable {
            m_serve(*channel);
            const std::lock_guard lock(m_mutex);
            m_channels.remove(channel);
        });
    }
}

void Listener::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    m_stopped = true;
    ::shutdown(m_fd, SHUT_RDWR);
    m_thread.join();
    ::close(m_fd);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &channel : m_channels) {
            channel->shutdown();
        }
    }
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

Store::Store()
{
    m_listener.start([this](Channel &channel) { serve(channel); });
}

Store::~Store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        m_news.notify_all();
    }
    m_listener.stop();
}

void Store::put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({key, value});
    m_news.notify_all();
}

void Store::setFault(StoreFault fault)
{
    const std::lock_guard lock(m_mutex);
    m_fault = fault;
    m_news.notify_all();
}

std::string Store::value(const std::string &topic, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    std::string newest;
    for (const auto &item : m_topics[topic]) {
        newest = item.key == key ? item.value.value_or("") : newest;
    }
    return newest;
}

void Store::serve(Channel &channel)
{
    while (const auto request = channel.read(false)) {
        StoreFault fault{};
        {
            std::unique_lock lock(m_mutex);
            fault = m_fault;
            if (m_stopped) {
                return;
            }
        }
        if (fault == StoreFault::Silent) {
            sleepFor(Milliseconds(200)); // The channel returns nothing further.
            while (!channel.closed()) {
                const std::lock_guard lock(m_mutex);
                if (m_stopped) {
                    return;
                }
                sleepFor(Milliseconds(50));
            }
            return;
        }
        const auto path = request->path();
        const auto reply = fault == StoreFault::Refusing ? answer(503, {}, "{}")
            : path == "/log-read"                        ? read(*request)
            : path == "/log-newest"                      ? newest(*request)
            : path == "/log-append"                      ? append(*request)
                                                         : answer(404, {}, "{}");
        if (!channel.write(reply)) {
            return;
        }
    }
}

std::string Store::read(const Message &request)
{
    std::unique_lock lock(m_mutex);
    auto &log = m_topics[request.query("topic")];
    const auto from = std::strtoull(request.query("from").c_str(), nullptr, 10);
    const auto wait = Milliseconds(std::atoi(request.query("wait_ms").c_str()));
    m_news.wait_for(lock, wait, [&] { return log.size() > from || m_stopped || m_fault != StoreFault::None; });
    auto body = bigEndian(log.size(), 8) + bigEndian(0, 8);
    for (auto i = from; i < log.size(); ++i) {
        const auto bytes = static_cast<char>(log[i].key.size()) + log[i].key + log[i].value.value_or("");
        body += bigEndian(bytes.size(), 4) + bytes;
    }
    return answer(200, {{"Content-Type", "application/octet-stream"}}, body);
}

std::string Store::newest(const Message &request)
{
    const std::lock_guard lock(m_mutex);
    const auto &log = m_topics[request.query("topic")];
    std::map<std::string, json::object> items;
    for (std::size_t i = 0; i < log.size(); ++i) {
        if (log[i].value) {
            items[log[i].key] = {{"key", log[i].key}, {"value", base64(*log[i].value)}, {"offset", i}};
        } else {
            items.erase(log[i].key);
        }
    }
    json::array list;
    for (auto &[key, item] : items) {
        list.push_back(std::move(item));
    }
    const json::object page{{"items", std::move(list)}, {"more", false}, {"end", log.size()}};
    return answer(200, {{"Content-Type", "application/json"}}, json::serialize(page));
}

std::string Store::append(const Message &request)
{
    const std::lock_guard lock(m_mutex);
    auto &log = m_topics[request.query("topic")];
    const auto at = request.query("at");
    if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != log.size()) {
        return answer(412, {}, json::serialize(json::object{{"end", log.size()}}));
    }
    const auto offset = log.size();
    for (auto rest = request.body; rest.size() > 4;) {
        std::size_t size = 0;
        for (int i = 0; i < 4; ++i) {
            size = size << 8U | static_cast<unsigned char>(rest[static_cast<std::size_t>(i)]);
        }
        const auto bytes = rest.substr(4, size);
        rest.erase(0, 4 + size);
        const auto keySize = static_cast<unsigned char>(bytes.front());
        const auto value = bytes.substr(1U + keySize);
        log.push_back({bytes.substr(1, keySize), value.empty() ? std::nullopt : std::optional(value)});
    }
    m_news.notify_all();
    return answer(200, {}, json::serialize(json::object{{"offset", offset}, {"end", log.size()}}));
}

std::string ServerEntry::document(std::int64_t seq) const
{
    return json::serialize(json::object{{"service", service},
                                        {"address", "127.0.0.1:" + std::to_string(port)},
                                        {"zone", zone},
                                        {"version", version},
                                        {"slots", slots},
                                        {"state", state},
                                        {"cold_left_ms", coldLeftMs},
                                        {"seq", seq},
                                        {"born", born}});
}

Registry::Registry(Store &store) : m_store(store), m_thread([this] { renew(); })
{
}

Registry::~Registry()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        m_wake.notify_all();
    }
    m_thread.join();
}

void Registry::list(const ServerEntry &entry)
{
    const std::lock_guard lock(m_mutex);
    m_entries[entry.id] = entry;
    m_store.put("keyed.servers", entry.id, entry.document(++m_seq));
}

void Registry::unlist(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    m_entries.erase(id);
    m_store.put("keyed.servers", id, std::nullopt);
}

void Registry::forget(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    m_entries.erase(id);
}

void Registry::renew()
{
    std::unique_lock lock(m_mutex);
    while (!m_wake.wait_for(lock, kHeartbeat, [this] { return m_stopped; })) {
        ++m_seq;
        for (const auto &[id, entry] : m_entries) {
            m_store.put("keyed.servers", id, entry.document(m_seq));
        }
    }
}

std::uint16_t freePort()
{
    // Below the ports that the system gives to outgoing connections.
    constexpr int kFirst = 11'000;
    constexpr int kCount = 19'000;
    static int next = static_cast<int>(::getpid()) * 37;
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

const std::string &scratch()
{
    static const std::string folder = [] {
        const char *given = std::getenv("SCRATCH");
        return std::string(given == nullptr ? "." : given);
    }();
    return folder;
}

Daemon::Daemon(DaemonOptions options)
    : m_options(std::move(options)),
      m_callers(freePort()),
      m_readiness(freePort()),
      m_peers(freePort()),
      m_metrics(freePort())
{
}

Daemon::~Daemon()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

std::string Daemon::logFile() const
{
    return scratch() + "/" + m_options.id + ".log";
}

void Daemon::start()
{
    const auto local = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    const auto file = scratch() + "/" + m_options.id + ".json";
    // As deploy/gateway.json is filled in at a small deployment.
    std::ofstream(file) << json::serialize(
        json::object{{"instance", {{"id", m_options.id}, {"zone", m_options.zone}, {"region", "r1"}}},
                     {"listen",
                      {{"callers", local(m_callers)},
                       {"readiness", local(m_readiness)},
                       {"peers", local(m_peers)},
                       {"metrics", local(m_metrics)}}},
                     {"store", {{"address", local(m_options.storePort)}, {"leaving_bound", "2000ms"}}},
                     {"second_sends", {{"ratio", 0.2}, {"extra", 54}, {"window", "10s"}}},
                     {"rollouts", {{"exposure_share", 0.1}, {"exposure_slack", 50}}},
                     {"capacity", 0.25},
                     {"grace", "8s"},
                     {"log", {{"level", "info"}, {"format", "json"}}}});
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with this program, however that ends.
        const int log = ::open(logFile().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("MIMOSAHUB_CONFIG", file.c_str(), 1);
        ::execl("target/mimosahubd", "target/mimosahubd", nullptr);
        std::_Exit(127);
    }
    if (!eventually([this] { return ready(); }, Milliseconds(10'000))) {
        cannotRun("daemon " + m_options.id + " isn't ready");
    }
    record("daemon " + m_options.id + " is ready");
}

void Daemon::signal(int number) const
{
    ::kill(m_pid, number);
}

int Daemon::wait()
{
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = -1;
    return status;
}

bool Daemon::running()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid > 0;
}

bool Daemon::ready() const
{
    const auto channel = Channel::open(m_readiness);
    if (!channel || !channel->write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    channel->limitReads(Milliseconds(1000));
    const auto reply = channel->read(true);
    return reply && reply->status() == 200;
}

std::string Daemon::metrics() const
{
    const auto channel = Channel::open(m_metrics);
    if (!channel || !channel->write("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
        return "";
    }
    channel->limitReads(Milliseconds(2000));
    const auto reply = channel->read(true);
    return reply ? reply->body : "";
}

} // namespace review
