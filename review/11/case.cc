// Streams of one daemon while many users come at once: the events of each stream that ends as complete are checked.

#include "../rig_3.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace rig;

namespace
{

constexpr int kModelServers = 12; ///< As the site.
constexpr int kModelSlots = 128;
constexpr int kDeskServers = 3;
constexpr int kDeskSlots = 6;
constexpr int kDeskQueue = 24;
constexpr int kEvents = 190; ///< Of a stream, as the longest of the site file.
constexpr int kEventGapMs = 55; ///< Pauses up to 250 ms are on time.
constexpr int kLeastEventBytes = 20;
constexpr int kEventBytesRange = 300; ///< At most 330 in the site file.
constexpr std::uint64_t kLeastPromptBytes = 10000;
constexpr std::uint64_t kPromptBytesRange = 45000; ///< 32,500 on average; the site file has 18,000, at most 110,000.
constexpr double kStreamsPerSecond = 68.0; ///< As the site has for all machines, any number of which may be lost.
constexpr double kLookupsPerSecond = 24.0; ///< As the site's requests that aren't streams.
constexpr int kLookupMs = 15; ///< As the site file.
constexpr double kBurst = 2.6; ///< Of the streams, the one class that bursts.
constexpr int kBurstBeginsMs = 8000;
constexpr int kBurstMs = 6800;
constexpr int kTrafficMs = 18000;
constexpr int kDeadlineMs = 15000;

std::string eventText(int id)
{
    const int size = kLeastEventBytes + id * 7919 % kEventBytesRange;
    return "id: " + std::to_string(id)
        + "\ndata: " + std::string(static_cast<std::size_t>(size), static_cast<char>('a' + id % 26)) + "\n\n";
}

std::string chunk(const std::string &data)
{
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    return size + data + "\r\n";
}

/// A sound server that is registered in the store and rejects what is beyond its places.
class Server
{
public:
    Server(Store &store, Record &record, const Entry &entry, int places)
        : m_record(record),
          m_id(entry.id),
          m_places(places),
          m_http([this](Conn &conn, Message &request) { return handle(conn, request); })
    {
        auto listed = entry;
        listed.port = m_http.port();
        m_heartbeat = std::make_unique<Heartbeat>(store, listed);
    }

private:
    bool handle(Conn &conn, Message &request)
    {
        const auto id = request.field("x-mimosahub-request-id");
        const auto known = "X-Mimosahub-Request-Id: " + id + "\r\n";
        const auto expected = request.field("x-mimosahub-expect-instance");
        if (!expected.empty() && expected != m_id) {
            return conn.write(answerText(421, known + "X-Mimosahub-Instance-Id: " + m_id + "\r\n", ""));
        }
        if (++m_running > m_places) {
            --m_running;
            m_record.line("server " + m_id + " is full and rejects " + id);
            return conn.write(answerText(503, known + "X-Mimosahub-Not-Executed: 1\r\n", ""));
        }
        const auto stamp = known + "X-Mimosahub-Server-Stamp: stamp-of-" + m_id + "\r\n";
        const bool goesOn = request.method() == "GET" ? lookUp(conn, id, stamp) : stream(conn, request, id, stamp);
        --m_running;
        return goesOn;
    }

    bool lookUp(Conn &conn, const std::string &id, const std::string &stamp)
    {
        m_record.line("server " + m_id + " runs " + id);
        sleepMs(kLookupMs);
        return conn.write(answerText(200, stamp, "stock"));
    }

    /// Begins after the request's Last-Event-Id.
    bool stream(Conn &conn, const Message &request, const std::string &id, const std::string &stamp)
    {
        const int from = std::atoi(request.field("last-event-id").c_str()) + 1;
        m_record.line("server " + m_id + " runs " + id + " from event " + std::to_string(from));
        if (!conn.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + stamp
                        + "\r\n")) {
            return false;
        }
        for (int event = from; event <= kEvents; ++event) {
            sleepMs(kEventGapMs);
            if (conn.peerClosed() || !conn.write(chunk(eventText(event)))) {
                m_record.line("server " + m_id + " lost the channel of " + id + " before event "
                              + std::to_string(event));
                return false;
            }
        }
        m_record.line("server " + m_id + " has made all events of " + id);
        return conn.write("0\r\n\r\n");
    }

    Record &m_record;
    std::string m_id;
    int m_places;
    std::atomic<int> m_running{0};
    HttpServer m_http;
    std::unique_ptr<Heartbeat> m_heartbeat;
};

struct Counts {
    std::atomic<int> sent{0};
    std::atomic<int> whole{0};
    std::atomic<int> cut{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    std::atomic<int> broken{0}; ///< Ended as complete, with an event missing or double.
};

/// The ids of the events in \a body, with spaces between them.
std::string idsOf(const std::string &body)
{
    std::string ids;
    for (std::size_t at = 0; at < body.size();) {
        const auto end = body.find('\n', at);
        if (body.compare(at, 4, "id: ") == 0) {
            ids += (ids.empty() ? "" : " ") + body.substr(at + 4, end - at - 4);
        }
        at = end == std::string::npos ? body.size() : end + 1;
    }
    return ids;
}

std::string allIds()
{
    std::string ids = "1";
    for (int event = 2; event <= kEvents; ++event) {
        ids += " " + std::to_string(event);
    }
    return ids;
}

void callOnce(int port, Record &record, Counts &counts)
{
    ++counts.sent;
    const auto id = newId();
    const auto promptBytes =
        kLeastPromptBytes + std::strtoull(id.substr(0, 8).c_str(), nullptr, 16) % kPromptBytesRange;
    record.line("client " + id + " sends a request of " + std::to_string(promptBytes) + " bytes");
    const auto conn = Conn::open(port, 1000);
    if (!conn
        || !conn->write("POST /chat/1 HTTP/1.1\r\nHost: h.example\r\nX-Mimosahub-Request-Id: " + id
                        + "\r\nX-Mimosahub-Model: m\r\nX-Mimosahub-Token-Counts: 612,280\r\nX-Mimosahub-Prompt-Prefix: "
                          "5c1e07a2:103,"
                        + id.substr(0, 8) + ":509\r\nX-Mimosahub-Deadline-Ms: " + std::to_string(kDeadlineMs)
                        + "\r\nAuthorization: Bearer secret\r\nContent-Length: " + std::to_string(promptBytes)
                        + "\r\n\r\n" + std::string(promptBytes, 'p'))) {
        ++counts.failed;
        record.line("client " + id + " could not send");
        return;
    }
    Message answer;
    const auto result = readAnswer(*conn, answer, nowMs() + kDeadlineMs + 1000);
    const int status = answer.status();
    if (status != 200) {
        ++(status == 503 || status == 429 ? counts.refused : counts.failed);
        record.line("client " + id + " gets status " + std::to_string(status));
        return;
    }
    if (result != ReadResult::Whole) {
        ++counts.cut;
        record.line("client " + id + " gets a stream that is cut");
        return;
    }
    ++counts.whole;
    const auto ids = idsOf(answer.body);
    const bool sound = ids == allIds();
    counts.broken += sound ? 0 : 1;
    record.line("client " + id + " gets a stream that ends as complete"
                + (sound ? "" : ", BROKEN: its events are " + ids));
}

void lookUp(int port, Record &record)
{
    const auto id = newId();
    const auto conn = Conn::open(port, 1000);
    Message answer;
    const bool whole = conn
        && conn->write("GET /stock/1 HTTP/1.1\r\nHost: h.example\r\nX-Mimosahub-Request-Id: " + id
                       + "\r\nX-Mimosahub-Deadline-Ms: 1500\r\nAuthorization: Bearer secret\r\n\r\n")
        && readAnswer(*conn, answer, nowMs() + 2000) == ReadResult::Whole;
    record.line("client " + id + " looks up, status " + std::to_string(whole ? answer.status() : 0));
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2) {
        return 2;
    }
    Record record(std::string(argv[1]) + "/record.txt");
    Store store;
    store.put("keyed.op", "config",
              R"({"version":1,"routes":[{"name":"r1","host":"h.example","path_prefix":"/chat/","kind":"streaming",)"
              R"("timeout_ms":15000,"target_latency_ms":1500,"priority":1,"service":"engine","max_attempts":2,)"
              R"("public":false,"sticky":true,"resumable":true,"target_gap_ms":250},)"
              R"({"name":"r2","host":"h.example","path_prefix":"/stock/","kind":"idempotent","timeout_ms":1500,)"
              R"("target_latency_ms":100,"priority":2,"service":"desk","max_attempts":2,"public":false,)"
              R"("sticky":false}],)"
              R"("services":[{"name":"engine","health_path":"/healthz","max_conns":620,"protocol":"h1","tls":false,)"
              R"("cold_s":0.0,"cold_per_s":0.0,"engine":{"slots":128,"kv_capacity":488301,"kv_token_bytes":96256,)"
              R"("link_mbps":260000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,)"
              R"("hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},)"
              R"({"name":"desk","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false,"cold_s":0.0,)"
              R"("cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
              R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
              R"("tenants":[{"name":"shops","api_keys":["secret"],"priority":1}]})");
    std::vector<std::unique_ptr<Server>> servers;
    const auto startServer = [&](const std::string &id, const std::string &service, int slots, int queue) {
        Entry entry;
        entry.id = id;
        entry.service = service;
        entry.slots = slots;
        servers.push_back(std::make_unique<Server>(store, record, entry, slots + queue));
    };
    for (int i = 1; i <= kModelServers; ++i) {
        startServer("engine-" + std::to_string(i), "engine", kModelSlots, 0);
    }
    for (int i = 1; i <= kDeskServers; ++i) {
        startServer("desk-" + std::to_string(i), "desk", kDeskSlots, kDeskQueue);
    }
    Daemon daemon({}, store.port(), temporaryFolder());
    if (!daemon.start() || !daemon.waitReady(10000)) {
        record.line("the daemon did not become ready");
        return 2;
    }
    sleepMs(1000);
    Counts counts;
    std::vector<std::thread> clients;
    const auto begin = nowMs();
    auto last = begin;
    double due = 0.0;
    double lookupsDue = 0.0;
    while (last - begin < kTrafficMs) {
        sleepMs(5);
        const auto now = nowMs();
        const bool burst = trouble() && now - begin >= kBurstBeginsMs && now - begin < kBurstBeginsMs + kBurstMs;
        const double seconds = static_cast<double>(now - last) / 1000.0;
        due += kStreamsPerSecond * seconds * (burst ? kBurst : 1.0);
        lookupsDue += kLookupsPerSecond * seconds;
        last = now;
        for (; lookupsDue >= 1.0; lookupsDue -= 1.0) {
            clients.emplace_back([&] { lookUp(daemon.callers(), record); });
        }
        for (; due >= 1.0; due -= 1.0) {
            clients.emplace_back([&] { callOnce(daemon.callers(), record, counts); });
        }
    }
    for (auto &client : clients) {
        client.join();
    }
    const auto text = "streams sent " + std::to_string(counts.sent) + ", whole " + std::to_string(counts.whole)
        + ", cut " + std::to_string(counts.cut) + ", refused " + std::to_string(counts.refused) + ", failed "
        + std::to_string(counts.failed)
        + "; ended as complete with an event missing or double: " + std::to_string(counts.broken);
    record.line(text);
    std::puts(text.c_str());
    servers.clear();
    store.stop();
    if (counts.whole == 0) {
        return 2;
    }
    return counts.broken > 0 ? 1 : 0;
}
