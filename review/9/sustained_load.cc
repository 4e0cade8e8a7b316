// A roll-out of 20 s to a version that is bad under load: once it has run more than 75 requests in
// 2.5 s (the service gets 125 in that time), it fails every other request, until its load falls.
// The rule: of all requests that reach the service between the order and its deadline, a bad
// version gets no more than exposure_share, and exposure_slack.

#include "review/rig_2.h"

#include <cstdio>
#include <deque>
#include <memory>

namespace
{

using namespace review2;

constexpr int kServersOfVersion = 3;
constexpr int kDaemons = 2;
constexpr int kCallersOfDaemon = 13;
constexpr int kMaxFds = 4100;
constexpr int kDescriptors = 1000;
constexpr Millis kTimeout(1'500);
constexpr Millis kPeriod(500); ///< Between two requests of a caller.
constexpr Millis kCalm(6'000);
constexpr int kDurationSeconds = 20; ///< duration_s of the order.
constexpr std::size_t kLoad = 75; ///< Requests in kLoadTime above which the version fails.
constexpr Millis kLoadTime(2'500);
constexpr double kExposureShare = 0.1;
constexpr int kExposureSlack = 50;
constexpr Millis kAfterwards(8'000); ///< After the deadline.

/// What has reached the service, by version.
class Arrivals
{
public:
    /// Records a request at the new version; true if it is to fail.
    bool addNew()
    {
        const auto now = Clock::now();
        const std::lock_guard lock(m_mutex);
        m_recent.push_back(now);
        while (m_recent.front() < now - kLoadTime) {
            m_recent.pop_front();
        }
        m_new.push_back(now);
        return m_recent.size() > kLoad && m_new.size() % 2 == 0;
    }
    void addOld()
    {
        const std::lock_guard lock(m_mutex);
        m_old.push_back(Clock::now());
    }
    void addFailure()
    {
        const std::lock_guard lock(m_mutex);
        m_failures.push_back(Clock::now());
    }
    [[nodiscard]] std::vector<TimePoint> ofNew()
    {
        const std::lock_guard lock(m_mutex);
        return m_new;
    }
    [[nodiscard]] std::vector<TimePoint> ofOld()
    {
        const std::lock_guard lock(m_mutex);
        return m_old;
    }
    [[nodiscard]] std::vector<TimePoint> failures()
    {
        const std::lock_guard lock(m_mutex);
        return m_failures;
    }

private:
    std::mutex m_mutex;
    std::deque<TimePoint> m_recent;
    std::vector<TimePoint> m_new;
    std::vector<TimePoint> m_old;
    std::vector<TimePoint> m_failures;
};

int countBetween(const std::vector<TimePoint> &times, TimePoint begin, TimePoint end)
{
    int n = 0;
    for (const auto time : times) {
        n += time >= begin && time <= end ? 1 : 0;
    }
    return n;
}

struct Tally {
    std::atomic<int> served{0};
    std::atomic<int> failed{0};
    std::atomic<int> other{0};
    std::atomic<bool> stopped{false};
};

void bookAlways(const Daemon &daemon, const std::string &name, Millis delay, Tally &tally)
{
    std::this_thread::sleep_for(delay);
    Channel channel;
    for (int n = 0; !tally.stopped; ++n) {
        const auto begin = Clock::now();
        if (!channel.isOpen()) {
            channel = Channel::connect(daemon.callers());
        }
        Message answer;
        const auto text = requestText("/book/1", name + "-" + std::to_string(n), kTimeout, "a booking");
        const bool sent = channel.isOpen() && channel.send(text);
        const auto ending = sent ? channel.read(answer, Clock::now() + kTimeout + Millis(1000)) : Ending::Closed;
        if (ending != Ending::Whole) {
            channel.close();
        }
        const bool isAnswer = ending == Ending::Whole;
        ++(isAnswer && answer.status() == 200       ? tally.served
               : isAnswer && answer.status() == 500 ? tally.failed
                                                    : tally.other);
        std::this_thread::sleep_until(begin + kPeriod);
    }
}

/// The servers of one version.
std::vector<std::unique_ptr<Server>> startVersion(Store &store, const std::string &version, Arrivals &arrivals)
{
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < kServersOfVersion; ++i) {
        ServerOptions options;
        options.id = "desk-" + version + "-" + std::to_string(i + 1);
        options.version = version;
        if (version == "v2") {
            options.fails = [&arrivals] { return arrivals.addNew() && isTroubled(); };
        }
        options.onBooked = [&arrivals, version](bool failed) {
            if (failed) {
                arrivals.addFailure();
            } else if (version == "v1") {
                arrivals.addOld();
            }
        };
        servers.push_back(std::make_unique<Server>(options));
        store.put("keyed.servers", options.id, entryDocument(servers.back()->entry()));
    }
    return servers;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2 || !allowDescriptors(kDescriptors)) {
        return kNotRun;
    }
    Record record(std::string(argv[1]) + "/record.txt");
    const Scratch scratch;
    Store store;
    Arrivals arrivals;
    auto oldServers = startVersion(store, "v1", arrivals);
    store.put("keyed.op", "config", configurationDocument(1, kTimeout, kTimeout));
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int i = 0; i < kDaemons; ++i) {
        daemons.push_back(
            std::make_unique<Daemon>("front-" + std::to_string(i + 1), scratch.path(), store.port(), kMaxFds));
        if (!daemons.back()->start() || !daemons.back()->waitReady(Millis(10'000))) {
            record.line("a daemon did not become ready");
            return kNotRun;
        }
    }
    Tally tally;
    std::vector<std::thread> callers;
    for (auto &daemon : daemons) {
        for (int i = 0; i < kCallersOfDaemon; ++i) {
            callers.emplace_back(bookAlways, std::cref(*daemon), daemon->id() + "-caller-" + std::to_string(i),
                                 kPeriod * i / kCallersOfDaemon, std::ref(tally));
        }
    }
    std::this_thread::sleep_for(kCalm);
    auto newServers = startVersion(store, "v2", arrivals);
    const auto order = Clock::now();
    store.put("keyed.op", "rollout/assistant",
              R"({"service":"assistant","target":"v2","duration_s":)" + std::to_string(kDurationSeconds) + "}");
    record.line("the operator orders a roll-out to v2 in 20 s");
    const auto deadline = order + std::chrono::seconds(kDurationSeconds);
    std::string status;
    auto nextLine = order;
    while (Clock::now() < deadline + kAfterwards) {
        if (const auto now = store.value("keyed.status", "rollout/assistant"); now != status) {
            status = now;
            record.line("status: " + status);
            if (status.find("completed") != std::string::npos) {
                for (auto &server : oldServers) {
                    store.put("keyed.servers", server->id(), "");
                    server->stop();
                }
                record.line("the old servers stop");
            }
        }
        if (Clock::now() >= nextLine) {
            nextLine += Millis(1000);
            record.line(std::to_string(arrivals.ofOld().size()) + " requests at v1, "
                        + std::to_string(arrivals.ofNew().size()) + " at v2 so far; "
                        + std::to_string(arrivals.failures().size()) + " failed at v2; callers got "
                        + std::to_string(tally.served) + " successes, " + std::to_string(tally.failed)
                        + " failures of a server, " + std::to_string(tally.other) + " others");
        }
        std::this_thread::sleep_for(Millis(10));
    }
    tally.stopped = true;
    for (auto &caller : callers) {
        caller.join();
    }
    const int atNew = countBetween(arrivals.ofNew(), order, deadline);
    const int all = atNew + countBetween(arrivals.ofOld(), order, deadline);
    const int allowed = static_cast<int>(kExposureShare * all) + kExposureSlack;
    const bool isBad = countBetween(arrivals.failures(), order, deadline) > 0;
    record.line("between the order and its deadline " + std::to_string(all) + " requests reached the service, "
                + std::to_string(atNew) + " of them v2; a bad version may get " + std::to_string(allowed) + "; v2 was "
                + (isBad ? "bad" : "not bad") + " until the deadline");
    daemons.clear();
    for (auto &server : oldServers) {
        server->stop();
    }
    for (auto &server : newServers) {
        server->stop();
    }
    store.stop();
    std::printf("%d requests at v2 until the deadline, %d allowed if it is bad\n", atNew, allowed);
    return isBad && atNew > allowed ? kBroken : kHeld;
}
