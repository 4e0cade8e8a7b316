// One of seven booking servers fails part of the bookings that it has run, with status 503 and
// its stamp. A requester takes 503 for the promise that its booking has not run, and books again.

#include "review/rig.h"

#include <iostream>

using namespace review;

namespace
{

constexpr Milliseconds kWorkTime{15};
constexpr int kServers = 7; ///< The first one is the faulty one.
constexpr int kFailedOfTen = 4; ///< Of the faulty server's bookings.
constexpr int kClients = 3;
constexpr auto kLength = std::chrono::seconds(20);
constexpr int kTries = 2; ///< Of a requester.

/// Bookings by the attempt that ran them.
class Ledger
{
public:
    void book(const std::string &attempt)
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs[attempt];
    }
    [[nodiscard]] int runs(const std::string &attempt)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs[attempt];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
};

class BookingServer
{
public:
    BookingServer(std::string id, Ledger &ledger, bool faulty) : m_id(std::move(id)), m_ledger(ledger), m_faulty(faulty)
    {
        m_listener.start([this](Channel &channel) {
            while (const auto request = channel.read(false)) {
                if (!channel.write(handle(*request))) {
                    return;
                }
            }
        });
    }
    [[nodiscard]] ServerEntry entry() const
    {
        ServerEntry entry;
        entry.id = m_id;
        entry.service = "desk";
        entry.port = m_listener.port();
        return entry;
    }

private:
    std::string handle(const Message &request)
    {
        const auto id = request.field("X-Mimosahub-Request-Id");
        if (request.field("X-Mimosahub-Expect-Instance") != m_id) {
            return answer(421, {{"X-Mimosahub-Request-Id", id}, {"X-Mimosahub-Not-Executed", "1"}}, "");
        }
        m_ledger.book(id);
        sleepFor(kWorkTime);
        const bool fails = m_faulty && m_count++ % 10 < kFailedOfTen;
        const int status = fails ? 503 : 200;
        record(m_id + " ran " + id + " and answers " + std::to_string(status));
        return answer(status, {{"X-Mimosahub-Request-Id", id}, {"X-Mimosahub-Server-Stamp", m_id + "." + id}},
                      fails ? "the depot did not confirm" : "booked");
    }

    std::string m_id;
    Ledger &m_ledger;
    bool m_faulty;
    std::atomic<int> m_count{0};
    Listener m_listener;
};

json::object configuration()
{
    const json::object route{{"name", "book"},           {"host", "h.example"}, {"path_prefix", "/book/"},
                             {"kind", "non_idempotent"}, {"timeout_ms", 1500},  {"target_latency_ms", 100},
                             {"service", "desk"},        {"priority", 2},       {"max_attempts", 2}};
    return {{"version", 1}, {"routes", {route}}, {"services", {{{"name", "desk"}, {"max_conns", 100}}}}};
}

/// One attempt at \a daemon; the status of its answer, 0 if there is none.
int attempt(const Daemon &daemon, const std::string &id)
{
    const auto channel = Channel::open(daemon.callers());
    if (!channel) {
        return 0;
    }
    channel->limitReads(Milliseconds(3000));
    const bool sent = channel->write("POST /book/1 HTTP/1.1\r\nHost: h.example\r\nX-Mimosahub-Request-Id: " + id
                                     + "\r\nX-Mimosahub-Deadline-Ms: 1500\r\nContent-Length: 6\r\n\r\npallet");
    const auto reply = sent ? channel->read(true) : std::nullopt;
    return reply ? reply->status() : 0;
}

bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

int main()
{
    Ledger ledger;
    Store store;
    Registry registry(store);
    std::vector<std::unique_ptr<BookingServer>> servers;
    for (int i = 0; i < kServers; ++i) {
        servers.push_back(
            std::make_unique<BookingServer>("desk-" + std::to_string(i + 1), ledger, troubled() && i == 0));
        registry.list(servers.back()->entry());
    }
    store.put("keyed.op", "config", json::serialize(configuration()));
    Daemon daemon({"d1", "z1", store.port()});
    daemon.start();
    std::atomic<int> bookings{0};
    std::atomic<int> served{0};
    std::atomic<int> falsePromises{0};
    std::atomic<int> twice{0};
    std::list<std::thread> clients;
    const auto end = Clock::now() + kLength;
    for (int i = 0; i < kClients; ++i) {
        clients.emplace_back([&, i] {
            for (int n = 0; Clock::now() < end; ++n) {
                ++bookings;
                int runs = 0;
                for (int k = 0; k < kTries; ++k) {
                    const auto id = "b" + std::to_string(i) + "x" + std::to_string(n) + "x" + std::to_string(k);
                    const int status = attempt(daemon, id);
                    runs += ledger.runs(id);
                    record("requester " + id + " got " + std::to_string(status) + ", which ran "
                           + std::to_string(ledger.runs(id)) + " times");
                    served += status == 200 ? 1 : 0;
                    if (!isPromise(status)) {
                        break;
                    }
                    falsePromises += ledger.runs(id) > 0 ? 1 : 0;
                    sleepFor(Milliseconds(300));
                }
                twice += runs > 1 ? 1 : 0;
                sleepFor(Milliseconds(100));
            }
        });
    }
    for (auto &client : clients) {
        client.join();
    }
    const auto summary = std::to_string(bookings) + " bookings, " + std::to_string(served) + " served, "
        + std::to_string(falsePromises) + " attempts that had run were answered as not run, " + std::to_string(twice)
        + " pallets booked twice";
    record(summary);
    std::cout << summary << std::endl;
    if (served * 2 < bookings) {
        cannotRun("less than half of the bookings were served");
    }
    return falsePromises > 0 ? 1 : 0;
}
